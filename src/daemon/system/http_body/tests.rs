use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use hyper::body::Frame;

use super::*;

/// A read buffer, of which each frame refers to a part.
struct ReadBuffer {
    _counted: Arc<()>,
}

impl AsRef<[u8]> for ReadBuffer {
    fn as_ref(&self) -> &[u8] {
        b"piece"
    }
}

/// A body of some pieces, each in a read buffer of its own.
struct Pieces {
    left: usize,
    buffers: Arc<()>,
    /// The largest number of read buffers that existed at one time.
    most_buffers: usize,
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.most_buffers = self.most_buffers.max(Arc::strong_count(&self.buffers) - 1);
        if self.left == 0 {
            return Poll::Ready(None);
        }
        self.left -= 1;
        let buffer = ReadBuffer {
            _counted: self.buffers.clone(),
        };
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_owner(buffer)))))
    }
}

fn pieces(left: usize) -> Pieces {
    Pieces {
        left,
        buffers: Arc::default(),
        most_buffers: 0,
    }
}

/// Guards against a body in small pieces that keeps the read buffer of each.
#[tokio::test]
async fn read_buffers_of_earlier_pieces_are_released_while_a_body_is_read() {
    let mut body = pieces(100);
    let read = read(&mut body, 1_000, 0).await.expect("a body");
    assert_eq!(read, "piece".repeat(100));
    assert_eq!(body.most_buffers, 0, "buffers kept when a piece is read");
}

#[tokio::test]
async fn body_beyond_the_limit_is_an_error() {
    assert!(read(&mut pieces(3), 14, 0).await.is_err());
    assert!(read(&mut pieces(3), 15, 0).await.is_ok());
}
