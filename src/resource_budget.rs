//! How the descriptors of the process are dealt out.

use std::sync::Arc;

use tokio::sync::Semaphore;

/// Descriptors for all that is not a connection of a service client or to an instance.
const RESERVE: usize = 32;

/// Descriptors that connections may hold, of all that the process may.
pub(crate) struct ConnectionBudget {
    /// Service clients that are served: a third of all is what they hold at most for their requests.
    pub clients: usize,
    /// Further ones: for saying no, while the silent ones go.
    pub spare: usize,
    pub upstream: usize,
}

impl ConnectionBudget {
    /// Each open command has one attempt out at most, so instances get no less than service clients.
    pub(crate) fn new(sockets: usize) -> Self {
        let (clients, spare) = (sockets.div_ceil(3), sockets / 16);
        ConnectionBudget {
            clients,
            spare,
            upstream: sockets.saturating_sub(RESERVE + clients + spare).max(1),
        }
    }

    /// The places of service clients, those for saying no among them.
    pub(crate) fn permits(&self) -> Arc<Semaphore> {
        Arc::new(Semaphore::new(self.clients + self.spare))
    }
}
