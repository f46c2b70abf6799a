//! Decides whether a connection that the server closes gets a rejection first, and writes it.
//!
//! A used connection may be closed without a response only if no byte of a request has arrived on it, including bytes in
//! the kernel's buffer that the reactor has not noticed yet: a client that finds its used connection closed sends the
//! request once more. A connection that has never had a request always gets the rejection, since its first request may
//! arrive between the last look at the socket and the close, or after it, and its client would not send it again. In both
//! cases the connection lingers, so that the client can send the rest of its request and read the response.

use std::io;
use std::mem::MaybeUninit;

use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The response to a request that is not served, with the same Retry-After as the server's other rejections.
const REJECTION: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 0.200\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// What is known about a connection that the server closes.
pub(super) struct ClosingConnection<'a> {
    /// The client's socket.
    pub stream: &'a TcpStream,
    /// Whether any request has begun on the connection.
    pub has_begun_request: bool,
    /// Whether bytes of an unanswered request have already been read. Others may be in the kernel's buffer.
    pub has_buffered_input: bool,
}

impl ClosingConnection<'_> {
    /// True if the connection has to be closed with a rejection.
    pub(super) fn needs_rejection(&self) -> bool {
        !self.has_begun_request || self.has_buffered_input || kernel_has_input(self.stream)
    }
}

/// Writes a rejection. The caller discards the unread input and closes the connection.
pub(super) async fn reject(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(REJECTION).await
}

/// Peeks at the socket directly, since the reactor notices new input only when it runs next.
pub(super) fn kernel_has_input(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_ok_and(|bytes| bytes > 0)
}
