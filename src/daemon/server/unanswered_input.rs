//! Decides whether a client connection may be closed without a response: only where no byte of a request has arrived on it.
//! Otherwise the request gets its final response, a rejection, and the client has time to read it.
//!
//! Owner: the connection's task, once hyper no longer serves the connection. Input: the stream, and what hyper had read of
//! it. Output: nothing, or a rejection on the stream. Invariant: bytes in the kernel's buffer count as arrived, whether or
//! not the reactor knows of them.

use std::io;
use std::mem::MaybeUninit;

use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The response to a request that is not read any longer, with the Retry-After of the server's other rejections.
const REJECTION: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 0.200\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// True if bytes of a request arrived that has no response: `is_buffered` ones were read already, others are in the
/// kernel's buffer.
pub(super) fn has_arrived(stream: &TcpStream, is_buffered: bool) -> bool {
    is_buffered || kernel_has_input(stream)
}

/// Writes a rejection; the caller discards what is still unread, and closes the connection.
pub(super) async fn reject(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(REJECTION).await
}

/// Peeks at the socket itself: the reactor learns of what arrived only when it runs next.
fn kernel_has_input(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_ok_and(|bytes| bytes > 0)
}
