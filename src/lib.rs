//! applewall decides, for one node of a fleet of API ingress nodes, which requests to admit, which to reject and
//! where to send them.
//!
//! [`decision::DecisionPolicy`] is the decision policy; [`api`] defines its inputs and outputs. [`platform_settings`]
//! reads the platform's settings object. [`simulator`] implements the simulator's protocol and is not needed when the
//! library is embedded.

pub mod api;
pub mod decision;
pub mod gossip;
pub mod platform_settings;
pub mod simulator;

pub use decision::{LoadStatistics, SnapshotError};
