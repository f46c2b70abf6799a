//! Divides the process's memory among client connections and the bodies of requests and responses.

/// Memory of everything that does not depend on clients' connections: the program, endpoint lists, quotas.
const BASE_BYTES: usize = 6 * 1024 * 1024;
/// Fraction of the memory for the bodies of pending requests, and of that for prefetched response bodies, as a divisor.
const BODIES_DIVISOR: usize = 8;
/// Fraction of the memory above [`BASE_BYTES`] for client connections, as a divisor.
const CONNECTIONS_DIVISOR: usize = 2;
/// Most memory that one client connection takes: a large head, pipelined input, and a response that is streamed as slowly as
/// its client reads.
const CONNECTION_BYTES: usize = 64 * 1024;
/// Minimum number of client connections, however little memory there is.
const MIN_CONNECTIONS: usize = 16;

/// Maximum numbers of bytes and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemoryBudget {
    /// Client connections of all kinds.
    pub client_connections: usize,
    /// Bytes of the bodies of pending requests.
    pub request_body_bytes: usize,
    /// Bytes of prefetched response bodies.
    pub response_body_bytes: usize,
}

impl MemoryBudget {
    pub(crate) fn new(max_memory_bytes: usize) -> Self {
        let above_base = max_memory_bytes.saturating_sub(BASE_BYTES);
        let client_connections = above_base / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        MemoryBudget {
            client_connections: client_connections.max(MIN_CONNECTIONS),
            request_body_bytes: max_memory_bytes / BODIES_DIVISOR,
            response_body_bytes: max_memory_bytes / BODIES_DIVISOR,
        }
    }
}
