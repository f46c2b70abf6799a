//! The resources of the process.

/// The resources of which the settings grant fractions to customers, networks and unsent bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Maximum number of client connections.
    pub connections: usize,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: u64,
}
