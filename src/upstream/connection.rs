//! One connection to an instance, or to discovery, driven by hand; what is written on it is counted, and before it
//! is used again its socket is looked at.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::future::{poll_fn, Future};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit};

/// Drives a connection while some work goes on over it; `None` if it ended with the work undone, and `on` does not say
/// that what it brought until then is still being passed on.
pub(crate) async fn drive<I, B, F>(
    connection: &mut http1::Connection<I, B>,
    work: F,
    on: impl Fn() -> bool,
) -> Option<F::Output>
where
    I: Read + Write + Unpin,
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    F: Future,
{
    let mut work = pin!(work);
    let mut ended = false;
    poll_fn(|cx| {
        if let Poll::Ready(done) = work.as_mut().poll(cx) {
            return Poll::Ready(Some(done));
        }
        ended = ended || Pin::new(&mut *connection).poll(cx).is_ready();
        match work.as_mut().poll(cx) {
            Poll::Ready(done) => Poll::Ready(Some(done)),
            Poll::Pending if ended && !on() => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}

/// What an attempt shares with the stream under its connection.
#[derive(Default)]
pub(crate) struct Watch {
    /// Bytes written: the evidence on whether a request can have arrived.
    pub written: AtomicU64,
    /// Tell of the next read, and the one told: whether an answer has begun.
    pub armed: AtomicBool,
    pub began: Notify,
    /// Look at the socket itself with the next read.
    pub look: AtomicBool,
    /// An answer is passed on while it still comes: it may end after its connection.
    pub passing: AtomicBool,
}

/// A stream that is watched.
pub(crate) struct Watched {
    pub stream: TokioIo<TcpStream>,
    pub watch: Arc<Watch>,
}

impl Watched {
    fn count(&self, poll: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = poll {
            self.watch.written.fetch_add(n as u64, Ordering::Relaxed);
        }
        poll
    }
}

impl Read for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.watch.look.swap(false, Ordering::Relaxed) {
            // The reactor may not have told yet of what the kernel holds. On an idle connection, that is the
            // connection's end or nobody's answer, which would be taken for the next request's.
            match SockRef::from(self.stream.inner()).peek(&mut [MaybeUninit::uninit()]) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
                Ok(_) => return Poll::Ready(Err(io::ErrorKind::InvalidData.into())),
            }
        }
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let armed = self.watch.armed.load(Ordering::Relaxed);
        if armed && read.is_ready() && self.watch.armed.swap(false, Ordering::Relaxed) {
            self.watch.began.notify_one();
        }
        read
    }
}

impl Write for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(poll)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count(poll)
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A connection to an instance; its place in the budget comes back when it is dropped.
pub(crate) struct Connection {
    pub sender: http1::SendRequest<Full<Bytes>>,
    /// On the heap: it is large, and moves between the pool and its attempts.
    pub driver: Box<http1::Connection<Watched, Full<Bytes>>>,
    pub watch: Arc<Watch>,
    pub endpoint: SocketAddr,
    pub since: Instant,
    pub place: OwnedSemaphorePermit,
}

impl Connection {
    /// Lets the connection notice what has happened to it, by the socket itself; false if it can't take a request.
    pub(crate) async fn usable(&mut self) -> bool {
        self.watch.look.store(true, Ordering::Relaxed);
        let (sender, driver, watch) = (&mut self.sender, &mut self.driver, &self.watch);
        poll_fn(|cx| {
            let ended = Pin::new(&mut **driver).poll(cx).is_ready();
            let looked = !watch.look.load(Ordering::Relaxed);
            Poll::Ready(looked && !ended && matches!(sender.poll_ready(cx), Poll::Ready(Ok(()))))
        })
        .await
    }

    /// Closes it and gives its place on.
    pub(crate) fn close(self) -> OwnedSemaphorePermit {
        self.place
    }
}
