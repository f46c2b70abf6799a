//! The endpoint list: its format, its sources, and the coordination between nodes that depends on it.
//!
//! - [`endpoint_list`]: the JSON form of the list;
//! - [`watch`]: watches the list at the discovery service;
//! - [`registry`]: merges the lists of registries and of discovery;
//! - [`startup`]: schedules the calls to discovery when the nodes of a fleet start;
//! - [`zone_failover`]: moves traffic away from failing zones.

pub(crate) mod address_owners;
pub(crate) mod endpoint_list;
pub(crate) mod registry;
pub(crate) mod startup;
pub(crate) mod watch;
pub(crate) mod zone_failover;
