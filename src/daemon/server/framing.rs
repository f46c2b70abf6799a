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
use tokio::io::{AsyncRead, Interest, ReadBuf};
use tokio::net::TcpStream;

use crate::server::client_socket::ReadAheadEnd;
use crate::server::connection_table::ClientConnection;
use crate::server::head_scanner::HeadScanner;
use crate::system::observed_stream::{IoObserver, ObservedStream};

/// A client's stream whose input is checked by a [`RequestGuard`].
pub(crate) type GuardedStream = ObservedStream<RequestGuard>;

/// Observes the input and output of one client connection.
pub(crate) struct RequestGuard {
    /// The registration with slow-peer protection, which counts the bytes written. It refers to the stream's
    /// descriptor.
    registration: Option<MonitoredConnection>,
    scanner: HeadScanner,
    connection: Arc<ClientConnection>,
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
        }
    }

    /// True if input after the last request has been read and not served.
    pub(crate) fn has_pipelined_input(&self) -> bool {
        self.connection.socket.has_pipelined_input()
    }

    /// Reads input that arrives while a response is pending; ready only at the end of the connection. Once hyper holds
    /// a byte of the next request it stops checking for that end, so a client that has disconnected would still be
    /// served.
    fn poll_disconnect(
        &mut self,
        stream: &TcpStream,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(stream.poll_read_ready(context))?;
            let read = stream.try_io(Interest::READABLE, || self.connection.socket.read_ahead());
            if self.connection.socket.has_discarded_input() {
                // Bytes are missing from here on, so no later input can be read as a request, and the connection closes
                // after its response.
                self.connection.set_unread_input();
            }
            match read {
                Ok(ReadAheadEnd::Closed) => return Poll::Ready(Ok(())),
                Ok(ReadAheadEnd::LimitReached) => return Poll::Pending,
                // The readiness was outdated, and has been cleared.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
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
        let socket = &self.connection.socket;
        if socket.has_discarded_input() {
            // The stored bytes may end in the middle of a request, so they are not passed to hyper: it sees the end of
            // the connection instead.
            self.connection.set_unread_input();
            return Poll::Ready(Ok(()));
        }
        if socket.has_pipelined_input() {
            socket.take_pipelined(buffer);
        } else {
            ready!(Pin::new(stream).poll_read(context, buffer))?;
        }
        if self
            .scanner
            .finds_ambiguous_head(&buffer.filled()[before..])
        {
            self.connection.set_ambiguous_framing();
        }
        self.connection
            .set_heads_read(self.scanner.complete_heads());
        if self.scanner.has_begun_chunked_body() {
            self.connection.set_end_of_request_unknown();
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
