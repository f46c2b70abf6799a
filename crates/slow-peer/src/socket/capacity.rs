//! The resources of the process.

/// The resources of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Maximum number of client connections.
    pub connections: usize,
    /// Memory in bytes.
    pub memory_bytes: u64,
}
