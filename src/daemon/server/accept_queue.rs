//! The kernel's queue of established connections, and how long each has waited in it.
//!
//! While permits are short, connections wait in the queue with their first request. Clients count that time, so their
//! requests have less time left than they state.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};

/// Longest wait that is assumed: that until a new connection may be evicted for the next one, and a margin. While the queue is
/// never empty, how long a connection has waited is not known, and requests that have just come must not count as expired.
const MAX_ASSUMED_WAIT: Duration = Duration::from_millis(300);

/// A connection that was accepted.
pub(super) struct AcceptedConnection {
    pub stream: TcpStream,
    /// The client's address.
    pub address: SocketAddr,
    /// How long the connection may have waited in the queue, [`MAX_ASSUMED_WAIT`] at most.
    pub waited: Duration,
}

/// Accepts from one listener.
pub(super) struct AcceptQueue<'a> {
    listener: &'a TcpListener,
    /// When the queue was last known to be empty.
    empty_at: Instant,
}

impl<'a> AcceptQueue<'a> {
    pub(super) fn new(listener: &'a TcpListener) -> Self {
        AcceptQueue {
            listener,
            empty_at: Instant::now(),
        }
    }

    /// Accepts the next connection.
    ///
    /// # Errors
    ///
    /// Those of `accept`.
    pub(super) async fn accept(&mut self) -> io::Result<AcceptedConnection> {
        let mut was_empty = false;
        let accepted = poll_fn(|context| {
            let accepted = self.listener.poll_accept(context);
            was_empty |= accepted.is_pending();
            accepted
        });
        let (stream, address) = accepted.await?;
        let now = Instant::now();
        if was_empty {
            self.empty_at = now;
        }
        Ok(AcceptedConnection {
            stream,
            address,
            waited: assumed_wait(now.saturating_duration_since(self.empty_at)),
        })
    }
}

/// The wait that is assumed for a connection that has arrived within this time.
pub(super) fn assumed_wait(since_empty: Duration) -> Duration {
    since_empty.min(MAX_ASSUMED_WAIT)
}

#[cfg(test)]
mod tests;
