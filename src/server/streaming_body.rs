//! An answer that is passed on while it still comes: the slower side holds the other back.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::{fmt, io};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::{mpsc, OwnedSemaphorePermit};

use crate::server::connection_table::Seat;

/// Pieces between the two sides at most.
const PIECES: usize = 4;

/// What an attempt passes on: pieces, then the end. Gone without its end, the answer is not whole.
pub(crate) struct Source(mpsc::Sender<Option<Bytes>>);

impl Source {
    /// Passes a piece on, once there is room for it.
    ///
    /// # Errors
    ///
    /// Nobody takes it any more.
    pub(crate) async fn pass(&self, piece: Bytes) -> Result<(), ()> {
        self.0.send(Some(piece)).await.map_err(|_| ())
    }

    /// All of it has been passed on.
    pub(crate) async fn end(self) {
        // Whoever no longer takes it needs no end.
        let _ = self.0.send(None).await;
    }
}

/// The body of an answer that still comes.
pub struct StreamingBody {
    pieces: mpsc::Receiver<Option<Bytes>>,
    /// What is still to come, where that is known.
    left: Option<u64>,
    /// It ended without its end.
    broken: bool,
    /// The connection that it goes out on: it waits for its next command once this is through.
    seat: Option<Arc<Seat>>,
    /// Its share of what all bodies may hold.
    _held: Option<OwnedSemaphorePermit>,
}

/// Both ends of an answer, and its length where it is known.
pub(crate) fn flow(
    length: Option<u64>,
    held: Option<OwnedSemaphorePermit>,
) -> (Source, StreamingBody) {
    let (source, pieces) = mpsc::channel(PIECES);
    (
        Source(source),
        StreamingBody {
            pieces,
            left: length,
            broken: false,
            seat: None,
            _held: held,
        },
    )
}

impl StreamingBody {
    /// Keeps a connection's seat until it is through.
    pub fn keep(&mut self, seat: Arc<Seat>) {
        self.seat = Some(seat);
    }
}

impl fmt::Debug for StreamingBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamingBody")
            .field("left", &self.left)
            .finish_non_exhaustive()
    }
}

impl Drop for StreamingBody {
    fn drop(&mut self) {
        self.seat.iter().for_each(Seat::wait);
    }
}

impl Body for StreamingBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Poll::Ready(match ready!(self.pieces.poll_recv(cx)) {
            Some(Some(piece)) => {
                self.left = self
                    .left
                    .map(|left| left.saturating_sub(piece.len() as u64));
                Some(Ok(Frame::data(piece)))
            }
            Some(None) => None,
            // What came before goes out first: a connection that ended without a byte of it would be a command lost.
            None if !std::mem::replace(&mut self.broken, true) => {
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            // The service client has to see that it is not whole.
            None => Some(Err(io::ErrorKind::ConnectionAborted.into())),
        })
    }

    fn size_hint(&self) -> SizeHint {
        self.left
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
