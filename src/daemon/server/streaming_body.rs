//! A response body that is forwarded while it is still received, with backpressure from the slower side.
//!
//! Owner: the attempt owns the sender, the client's response the body. Input: pieces of an endpoint's body. Output:
//! frames of the client's response. Invariant: a body whose sender is dropped before [`BodySender::finish`] ends in an
//! error, so that the client sees that it is incomplete.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::{fmt, io};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::{mpsc, OwnedSemaphorePermit};

use crate::server::connection_table::ClientConnection;

/// Bounds the pieces that wait between the two sides, and with them the memory of one body to a few reads.
const MAX_WAITING_PIECES: usize = 4;

/// What the sender puts into the channel.
enum Piece {
    Data(Bytes),
    End,
}

/// The client's side of a body no longer takes anything.
#[derive(Debug, thiserror::Error)]
#[error("the client's response no longer takes its body")]
pub(crate) struct BodyAbandoned;

/// The attempt's side of a body.
pub(crate) struct BodySender(mpsc::Sender<Piece>);

impl BodySender {
    /// Sends a piece, once the channel has capacity for it.
    ///
    /// # Errors
    ///
    /// The body was dropped: the client no longer reads it.
    pub(crate) async fn send(&self, data: Bytes) -> Result<(), BodyAbandoned> {
        let sent = self.0.send(Piece::Data(data)).await;
        sent.map_err(|_| BodyAbandoned)
    }

    /// Marks the body as complete.
    pub(crate) async fn finish(self) {
        // Fails if the body was dropped, which then needs no end.
        let _ = self.0.send(Piece::End).await;
    }
}

/// The client's side of a body.
pub(crate) struct StreamingBody {
    pieces: mpsc::Receiver<Piece>,
    /// How many bytes are still to come, if the length is known.
    bytes_left: Option<u64>,
    /// The sender was dropped without an end.
    is_broken: bool,
    /// The connection that the body is written to: it awaits its next request once the body is dropped.
    connection: Option<Arc<ClientConnection>>,
    /// Permits for the bytes that were read ahead; returned when the body is dropped.
    _prefetch_permit: Option<OwnedSemaphorePermit>,
}

/// Both sides of a body, with its length where that is known.
pub(crate) fn channel(
    length: Option<u64>,
    prefetch_permit: Option<OwnedSemaphorePermit>,
) -> (BodySender, StreamingBody) {
    let (sender, pieces) = mpsc::channel(MAX_WAITING_PIECES);
    let body = StreamingBody {
        pieces,
        bytes_left: length,
        is_broken: false,
        connection: None,
        _prefetch_permit: prefetch_permit,
    };
    (BodySender(sender), body)
}

impl StreamingBody {
    /// Has the connection await its next request only once the body is dropped.
    pub(crate) fn occupy(&mut self, connection: Arc<ClientConnection>) {
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
        Poll::Ready(match ready!(self.pieces.poll_recv(context)) {
            Some(Piece::Data(data)) => {
                let sent = data.len() as u64;
                self.bytes_left = self.bytes_left.map(|left| left.saturating_sub(sent));
                Some(Ok(Frame::data(data)))
            }
            Some(Piece::End) => None,
            // The pieces before the break are written first: a connection that closed before the first byte would leave
            // its request without any response.
            None if !std::mem::replace(&mut self.is_broken, true) => {
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            // The client has to see that the body is incomplete.
            None => Some(Err(io::ErrorKind::ConnectionAborted.into())),
        })
    }

    fn size_hint(&self) -> SizeHint {
        self.bytes_left
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
