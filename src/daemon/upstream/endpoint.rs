//! The connections of one endpoint, shared by the pool and the attempts at the endpoint.
//!
//! The lock is never held across an await point.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::OwnedSemaphorePermit;

use super::connection::UpstreamConnection;

/// What an attempt gets from the pool: an idle connection, or the right to open one.
pub(super) enum ConnectionLease {
    /// A connection that was idle within the limit; its endpoint may have closed it since.
    Idle(UpstreamConnection),
    /// A permit to open a new one.
    Permit(OwnedSemaphorePermit),
}

/// An endpoint's address, draining flag and idle connections.
pub(super) struct EndpointConnections {
    /// The address on which it accepts connections.
    pub address: SocketAddr,
    /// Whether it is draining: it gets no more requests.
    pub draining: bool,
    /// Idle connections, in the order in which they became idle.
    pub idle: Vec<UpstreamConnection>,
}

/// An endpoint that the pool lists, or that attempts in flight still use after its removal.
pub(super) struct UpstreamEndpoint {
    /// Protects address, draining flag and idle connections, which change together. Held only briefly by the pool and
    /// by attempts.
    connections: Mutex<EndpointConnections>,
}

impl UpstreamEndpoint {
    /// Creates an endpoint without connections.
    pub(super) fn new(address: SocketAddr) -> Self {
        UpstreamEndpoint {
            connections: Mutex::new(EndpointConnections {
                address,
                draining: false,
                idle: Vec::new(),
            }),
        }
    }

    /// Locks the endpoint's connections. The guard must not be held across an await point.
    pub(super) fn lock(&self) -> MutexGuard<'_, EndpointConnections> {
        // No code panics while it holds the lock, and even then the state would be consistent.
        self.connections
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Timeouts of connections to endpoints.
pub(super) struct Timeouts {
    /// Time limit for establishing a connection.
    pub connect: Duration,
    /// A connection that has been idle for this long is not reused.
    pub idle: Duration,
}
