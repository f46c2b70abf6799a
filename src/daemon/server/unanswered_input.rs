//! Rejects requests that have arrived at least in part on a connection that is being closed.
//!
//! A connection may be closed without a response only if no byte of a request has arrived on it, including bytes in the
//! kernel's buffer that the reactor has not noticed yet. Otherwise the request gets a rejection as its final response,
//! and the connection lingers so that its client has time to read it.

use std::io;
use std::mem::MaybeUninit;

use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The response to a request that is no longer read, with the same Retry-After as the server's other rejections.
const REJECTION: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 0.200\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// True if bytes of an unanswered request have arrived. `is_buffered` is true if some have already been read;
/// others may be in the kernel's buffer.
pub(super) fn has_arrived(stream: &TcpStream, is_buffered: bool) -> bool {
    is_buffered || kernel_has_input(stream)
}

/// Writes a rejection. The caller discards the unread input and closes the connection.
pub(super) async fn reject(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(REJECTION).await
}

/// Peeks at the socket directly, since the reactor notices new input only when it runs next.
fn kernel_has_input(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_ok_and(|bytes| bytes > 0)
}
