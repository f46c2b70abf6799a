//! Follows the endpoint list: the discovery service, registries, and the fleet's schedules around them.

pub mod endpoint_list;
pub mod registry;
pub mod startup;
pub mod watch;
pub mod zone_failover;
