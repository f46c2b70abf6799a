//! Limits of resources: queue capacities, body lengths, and file descriptors for connections.

pub(crate) mod connection_budget;
pub(crate) mod limits;
