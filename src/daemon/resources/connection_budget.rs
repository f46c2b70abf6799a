//! Divides the process's file descriptors among client connections and upstream connections, as far as there is memory for
//! them.
//!
//! From about 120 descriptors on there are at least as many upstream connections as client connections, since each
//! pending request has at most one attempt in flight.

use std::sync::Arc;

use tokio::sync::Semaphore;

use super::memory_budget::MemoryBudget;

/// Descriptors reserved for everything except client and upstream connections: listeners, discovery, peers, the admin
/// address, registries, standard streams and the runtime.
const RESERVED_DESCRIPTORS: usize = 32;
/// Fraction of the descriptors for client connections, as a divisor: one third, since each request may also need an
/// upstream connection.
const CLIENT_DIVISOR: usize = 3;
/// Fraction of the descriptors for spare client connections, whose requests are only rejected, as a divisor.
const SPARE_DIVISOR: usize = 16;
/// Maximum fraction of the client connections that memory allows for spare ones, as a divisor.
const SPARE_MEMORY_DIVISOR: usize = 8;

/// Maximum numbers of connections.
pub(crate) struct ConnectionBudget {
    /// Client connections whose requests are served.
    pub clients: usize,
    /// Additional client connections whose requests are rejected, while idle connections are evicted to free permits.
    pub spare: usize,
    /// Connections to endpoints.
    pub upstream: usize,
}

impl ConnectionBudget {
    pub(crate) fn new(max_descriptors: usize, memory: MemoryBudget) -> Self {
        let max_connections = memory.client_connections;
        let spare = (max_descriptors / SPARE_DIVISOR).min(max_connections / SPARE_MEMORY_DIVISOR);
        let clients = max_descriptors
            .div_ceil(CLIENT_DIVISOR)
            .min(max_connections - spare);
        let taken = RESERVED_DESCRIPTORS + clients + spare;
        let left = max_descriptors.saturating_sub(taken);
        ConnectionBudget {
            clients,
            spare,
            upstream: left.clamp(1, max_connections),
        }
    }

    /// Creates one permit per client connection, including spare ones. A permit is acquired before `accept` and
    /// released when the connection is closed.
    pub(crate) fn client_permits(&self) -> Arc<Semaphore> {
        Arc::new(Semaphore::new(self.clients + self.spare))
    }
}

#[cfg(test)]
mod tests;
