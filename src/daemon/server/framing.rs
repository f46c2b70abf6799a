//! Guards the bytes read from a client: quarantines a connection with an ambiguous head, and finds the client's end behind a
//! request that has no response yet.
//!
//! Owner: a client connection's stream. Input: the raw bytes as they are read. Output: the bytes for hyper, and flags of the
//! connection. hyper drops the length of an ambiguous head before the request service sees it. What is the body for one
//! reader is a second request for another, so the raw lines are checked here.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use applewall_slow_peer::socket::MonitoredConnection;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

use crate::server::connection_table::ClientConnection;
use crate::server::head_scanner::HeadScanner;
use crate::system::counting_io::{CountingIo, IoObserver};

/// Bounds the bytes behind a request without a response that are stored and read as the next request afterwards.
const MAX_PIPELINED_BYTES: usize = 16 * 1024;
/// Bounds the bytes behind a request without a response that are read and discarded. They have to be read, since the end of
/// the connection lies behind them; the bound ends the reading of a flood.
const MAX_DISCARDED_BYTES: usize = 512 * 1024;
/// Bytes that one read takes from behind a request without a response.
const READ_AHEAD_BYTES: usize = 2048;

/// A client's stream with the check on what is read.
pub(crate) type GuardedStream = CountingIo<RequestGuard>;

/// See the [module documentation](self).
pub(crate) struct RequestGuard {
    /// Where slow-peer protection counts what is written; it refers to the stream's descriptor.
    ticket: Option<MonitoredConnection>,
    scanner: HeadScanner,
    connection: Arc<ClientConnection>,
    /// Read behind a request that had no response yet: the beginning of the next request.
    pipelined: Vec<u8>,
    /// How many bytes were read after those and not stored.
    discarded_bytes: usize,
}

impl RequestGuard {
    /// The guard of a stream of which nothing was read.
    pub(crate) fn new(
        connection: Arc<ClientConnection>,
        ticket: Option<MonitoredConnection>,
    ) -> Self {
        RequestGuard {
            ticket,
            scanner: HeadScanner::default(),
            connection,
            pipelined: Vec::new(),
            discarded_bytes: 0,
        }
    }

    /// True if something was read behind the last request and is not served.
    pub(crate) fn has_pipelined_input(&self) -> bool {
        !self.pipelined.is_empty()
    }

    /// Reads on behind a request that has no response yet; ready at the end of the connection only. hyper stops looking
    /// for that end once it holds a byte of a next request, and a client that disconnected would still be served.
    fn poll_end(
        &mut self,
        stream: &mut TcpStream,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        let mut piece = [0; READ_AHEAD_BYTES];
        while self.discarded_bytes < MAX_DISCARDED_BYTES {
            let mut buffer = ReadBuf::new(&mut piece);
            ready!(Pin::new(&mut *stream).poll_read(context, &mut buffer))?;
            match buffer.filled() {
                [] => return Poll::Ready(Ok(())),
                bytes => self.store_or_discard(bytes),
            }
        }
        Poll::Pending
    }

    /// Takes bytes from behind a request without a response: stores them within the bound, and discards them beyond it.
    fn store_or_discard(&mut self, bytes: &[u8]) {
        let fits = self.pipelined.len() + bytes.len() <= MAX_PIPELINED_BYTES;
        if fits && self.discarded_bytes == 0 {
            self.pipelined.extend_from_slice(bytes);
        } else {
            // Bytes are missing from here on, so nothing that follows is read as a request: the connection closes with its
            // response.
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
            return self.poll_end(stream, context);
        }
        let before = buffer.filled().len();
        if self.discarded_bytes > 0 {
            // What was stored ends in the middle of a request: for hyper, the connection ends before it.
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
            self.connection.quarantine();
        }
        self.connection
            .set_reading_head(self.scanner.is_inside_head());
        Poll::Ready(Ok(()))
    }

    fn observe_write(&self, result: &Poll<io::Result<usize>>) {
        self.connection.set_write_blocked(result.is_pending());
        if let (Some(ticket), Poll::Ready(Ok(bytes))) = (&self.ticket, result) {
            ticket.record_written(*bytes);
        }
    }
}

#[cfg(test)]
mod tests;
