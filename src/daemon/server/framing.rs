//! Wraps a client's stream: detects request heads with ambiguous framing, and a client's disconnect behind pipelined
//! input.
//!
//! hyper removes the Content-Length of a head that also has a Transfer-Encoding before the request service sees it.
//! What one HTTP implementation takes for the body of such a request is a second request for another (request
//! smuggling), so the raw bytes are checked here.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use applewall_slow_peer::socket::MonitoredConnection;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

use crate::server::connection_table::ClientConnection;
use crate::server::head_scanner::HeadScanner;
use crate::system::observed_stream::{IoObserver, ObservedStream};

/// Maximum number of bytes received while a response is pending that are stored and later read as the next request.
const MAX_PIPELINED_BYTES: usize = 16 * 1024;
/// Maximum number of bytes received while a response is pending that are read and discarded. They have to be read to
/// detect the end of the connection after them; the limit stops reading from a client that floods the connection.
const MAX_DISCARDED_BYTES: usize = 512 * 1024;
/// Size of one read while a response is pending.
const READ_AHEAD_BYTES: usize = 2048;

/// A client's stream whose input is checked by a [`RequestGuard`].
pub(crate) type GuardedStream = ObservedStream<RequestGuard>;

/// Observes the input and output of one client connection.
pub(crate) struct RequestGuard {
    /// The registration with slow-peer protection, which counts the bytes written. It refers to the stream's
    /// descriptor.
    registration: Option<MonitoredConnection>,
    scanner: HeadScanner,
    connection: Arc<ClientConnection>,
    /// Input received while a response is pending: the beginning of the next request.
    pipelined: Vec<u8>,
    /// Number of bytes that were read after the stored ones and discarded.
    discarded_bytes: usize,
}

impl RequestGuard {
    /// Creates the guard of a new connection. `registration` is `None` if slow-peer protection is disabled.
    pub(crate) fn new(
        connection: Arc<ClientConnection>,
        registration: Option<MonitoredConnection>,
    ) -> Self {
        RequestGuard {
            registration,
            scanner: HeadScanner::default(),
            connection,
            pipelined: Vec::new(),
            discarded_bytes: 0,
        }
    }

    /// True if input after the last request has been read and not served.
    pub(crate) fn has_pipelined_input(&self) -> bool {
        !self.pipelined.is_empty()
    }

    /// Reads input that arrives while a response is pending; ready only at the end of the connection. Once hyper holds
    /// a byte of the next request it stops checking for that end, so a client that has disconnected would still be
    /// served.
    fn poll_disconnect(
        &mut self,
        stream: &mut TcpStream,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; READ_AHEAD_BYTES];
        while self.discarded_bytes < MAX_DISCARDED_BYTES {
            let mut buffer = ReadBuf::new(&mut chunk);
            ready!(Pin::new(&mut *stream).poll_read(context, &mut buffer))?;
            match buffer.filled() {
                [] => return Poll::Ready(Ok(())),
                bytes => self.store_or_discard(bytes),
            }
        }
        Poll::Pending
    }

    /// Stores bytes received while a response is pending, or discards them if they exceed the limit.
    fn store_or_discard(&mut self, bytes: &[u8]) {
        let fits = self.pipelined.len() + bytes.len() <= MAX_PIPELINED_BYTES;
        if fits && self.discarded_bytes == 0 {
            self.pipelined.extend_from_slice(bytes);
        } else {
            // Bytes are missing from here on, so no later input can be read as a request, and the connection closes
            // after its response.
            self.discarded_bytes += bytes.len();
            self.connection.set_unread_input();
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.connection.socket.detach();
    }
}

impl IoObserver for RequestGuard {
    fn poll_read(
        &mut self,
        stream: &mut TcpStream,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection.is_awaiting_response() {
            return self.poll_disconnect(stream, context);
        }
        let before = buffer.filled().len();
        if self.discarded_bytes > 0 {
            // The stored bytes may end in the middle of a request, so they are not passed to hyper: it sees the end of
            // the connection instead.
            return Poll::Ready(Ok(()));
        }
        if self.pipelined.is_empty() {
            ready!(Pin::new(stream).poll_read(context, buffer))?;
        } else {
            let taken = self.pipelined.len().min(buffer.remaining());
            buffer.put_slice(&self.pipelined[..taken]);
            self.pipelined.drain(..taken);
        }
        if self
            .scanner
            .finds_ambiguous_head(&buffer.filled()[before..])
        {
            self.connection.set_ambiguous_framing();
        }
        self.connection
            .set_reading_head(self.scanner.is_inside_head());
        Poll::Ready(Ok(()))
    }

    fn observe_write(&self, result: &Poll<io::Result<usize>>) {
        self.connection.set_write_blocked(result.is_pending());
        if let (Some(registration), Poll::Ready(Ok(bytes))) = (&self.registration, result) {
            registration.record_written(*bytes);
        }
    }
}

#[cfg(test)]
mod tests;
