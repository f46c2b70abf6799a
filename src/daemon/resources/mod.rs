//! Limits of resources: queue capacities, body lengths, memory, and file descriptors for connections.

pub(crate) mod connection_budget;
pub(crate) mod limits;
pub(crate) mod memory_budget;
