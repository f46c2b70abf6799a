//! A response body that is forwarded to the client while it is being received, with backpressure.
//!
//! The attempt holds the sender, the client's response holds the body. If the sender is dropped before
//! [`BodySender::finish`], the body ends with an error, so that the client can tell that it is incomplete.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::{fmt, io};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::{mpsc, OwnedSemaphorePermit};

use crate::server::connection_table::ClientConnection;

/// Capacity of the channel between the two sides, which bounds the memory of one body to a few reads.
const CHANNEL_CAPACITY: usize = 1;
/// A chunk shorter than this is copied: it refers to a whole read buffer of 8 KiB.
const MIN_SHARED_BYTES: usize = 4 * 1024;

/// A message from the sender to the body.
enum BodyMessage {
    Data(Bytes),
    End,
}

/// The client's side of a body has been dropped.
#[derive(Debug, thiserror::Error)]
#[error("the client stopped receiving the response body")]
pub(crate) struct BodyDropped;

/// The attempt's side of a body.
pub(crate) struct BodySender(mpsc::Sender<BodyMessage>);

impl BodySender {
    /// Waits until the next chunk can be sent without waiting, so that no more than the channel holds is received.
    ///
    /// # Errors
    ///
    /// Fails if the body has been dropped: the client no longer reads it.
    pub(crate) async fn ready(&self) -> Result<(), BodyDropped> {
        self.0.reserve().await.map(drop).map_err(|_| BodyDropped)
    }

    /// Sends a chunk, waiting for capacity in the channel.
    ///
    /// # Errors
    ///
    /// Fails if the body has been dropped: the client no longer reads it.
    pub(crate) async fn send(&self, data: Bytes) -> Result<(), BodyDropped> {
        let sent = self.0.send(BodyMessage::Data(without_spare(data))).await;
        sent.map_err(|_| BodyDropped)
    }

    /// Marks the body as complete.
    pub(crate) async fn finish(self) {
        // Fails if the body has been dropped; nothing reads the end then.
        let _ = self.0.send(BodyMessage::End).await;
    }
}

/// The same bytes, without the rest of the buffer that they were read into.
pub(crate) fn without_spare(data: Bytes) -> Bytes {
    if data.len() < MIN_SHARED_BYTES {
        Bytes::copy_from_slice(&data)
    } else {
        data
    }
}

/// The client's side of a body.
pub(crate) struct StreamingBody {
    chunks: mpsc::Receiver<BodyMessage>,
    /// Number of bytes still to be received, if the length is known.
    bytes_left: Option<u64>,
    /// Set once the sender has been dropped without finishing the body.
    is_broken: bool,
    /// The connection to which the body is written. It awaits its next request once the body is dropped.
    connection: Option<Arc<ClientConnection>>,
    /// Memory permits for the prefetched bytes, released when the body is dropped.
    _prefetch_permit: Option<OwnedSemaphorePermit>,
}

/// Creates both sides of a body whose length is `length`, if known.
pub(crate) fn channel(
    length: Option<u64>,
    prefetch_permit: Option<OwnedSemaphorePermit>,
) -> (BodySender, StreamingBody) {
    let (sender, chunks) = mpsc::channel(CHANNEL_CAPACITY);
    let body = StreamingBody {
        chunks,
        bytes_left: length,
        is_broken: false,
        connection: None,
        _prefetch_permit: prefetch_permit,
    };
    (BodySender(sender), body)
}

impl StreamingBody {
    /// Delays the connection's next request until the body is dropped.
    pub(crate) fn hold_connection(&mut self, connection: Arc<ClientConnection>) {
        self.connection = Some(connection);
    }
}

impl fmt::Debug for StreamingBody {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("StreamingBody")
            .field("bytes_left", &self.bytes_left)
            .finish_non_exhaustive()
    }
}

impl Drop for StreamingBody {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.await_request();
        }
    }
}

impl Body for StreamingBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Poll::Ready(match ready!(self.chunks.poll_recv(context)) {
            Some(BodyMessage::Data(data)) => {
                let sent = data.len() as u64;
                self.bytes_left = self.bytes_left.map(|left| left.saturating_sub(sent));
                Some(Ok(Frame::data(data)))
            }
            Some(BodyMessage::End) => None,
            // Yields once so that hyper writes the chunks received so far: if the connection closed before the first
            // byte, the request would get no response at all.
            None if !std::mem::replace(&mut self.is_broken, true) => {
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            // The error shows the client that the body is incomplete.
            None => Some(Err(io::ErrorKind::ConnectionAborted.into())),
        })
    }

    fn size_hint(&self) -> SizeHint {
        self.bytes_left
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
