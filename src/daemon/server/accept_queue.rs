//! The kernel's queue of established connections, and how long each has waited in it.
//!
//! While permits are short, connections wait in the queue with their first request. Clients count that time, so their
//! requests have less time left than they state.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};

/// A connection that was accepted.
pub(super) struct AcceptedConnection {
    pub stream: TcpStream,
    /// The client's address.
    pub address: SocketAddr,
    /// The longest time that the connection may have waited in the queue.
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
            waited: now.saturating_duration_since(self.empty_at),
        })
    }
}

#[cfg(test)]
mod tests;
