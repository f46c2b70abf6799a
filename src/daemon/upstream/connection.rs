//! A connection to an endpoint or to discovery, whose hyper connection is polled by the task that uses it.
//!
//! A connection belongs to the pool while it is idle and to an attempt while it is in use. Bytes written are counted,
//! and the socket itself is checked before the connection is reused. Since no background task polls it, dropping a
//! connection closes it immediately.

use std::future::{poll_fn, Future};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd, RawFd};
use std::pin::{pin, Pin};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use applewall::api::Outcome;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper::rt::{Read, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit};

use crate::observability::event_counts::{self, CountedEvent};
use crate::system::observed_stream::{IoObserver, ObservedStream};
use crate::system::socket_retry::is_transient;

/// Size limit of a connection's read buffer, which bounds a response head and the part of a body that hyper buffers. A
/// response that is streamed takes several of these buffers for as long as its client reads slowly.
pub(super) const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Polls a connection together with the work that uses it. Returns `None` if the connection ends before the work,
/// unless `is_streaming` returns true: the received part of the response is then still being forwarded.
pub(crate) async fn drive<I, B, F>(
    connection: &mut http1::Connection<I, B>,
    work: F,
    is_streaming: impl Fn() -> bool,
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
    poll_fn(|context| {
        if let Poll::Ready(output) = work.as_mut().poll(context) {
            return Poll::Ready(Some(output));
        }
        ended = ended || Pin::new(&mut *connection).poll(context).is_ready();
        match work.as_mut().poll(context) {
            Poll::Ready(output) => Poll::Ready(Some(output)),
            Poll::Pending if ended && !is_streaming() => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}

/// State shared by an attempt and the stream of its connection. One task polls both, so relaxed ordering is sufficient.
#[derive(Default)]
pub(crate) struct ConnectionWatch {
    /// Number of bytes written, which shows whether a request may have reached the endpoint.
    pub written: AtomicU64,
    /// Makes the next read notify `response_began`.
    pub notify_on_read: AtomicBool,
    /// Notified when the first byte of a response has been read.
    pub response_began: Notify,
    /// Makes the next read check the socket itself first.
    pub check_socket: AtomicBool,
    /// Set while a response is streamed to the client, which may take longer than the connection lasts.
    pub streaming: AtomicBool,
    /// Set while an exchange is incomplete. If the connection is closed then, it is reset.
    pub exchange_open: AtomicBool,
}

/// Updates the [`ConnectionWatch`] on reads and writes of a connection's stream.
pub(crate) struct ConnectionObserver {
    watch: Arc<ConnectionWatch>,
    /// The descriptor of the stream, which is dropped after the observer.
    descriptor: RawFd,
}

impl Drop for ConnectionObserver {
    /// Resets the connection if its exchange is incomplete: closed in the usual way, the kernel would still deliver a
    /// request that was given up.
    fn drop(&mut self) {
        if !self.watch.exchange_open.load(Ordering::Relaxed) {
            return;
        }
        // SAFETY: the stream is open, since `ObservedStream` drops the observer first.
        let descriptor = unsafe { BorrowedFd::borrow_raw(self.descriptor) };
        // Ignored: without the option the endpoint may receive the request, but its connection ends all the same.
        let _ = SockRef::from(&descriptor).set_linger(Some(Duration::ZERO));
    }
}

impl IoObserver for ConnectionObserver {
    fn poll_read(
        &mut self,
        stream: &mut TcpStream,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let watch = &*self.watch;
        if watch.check_socket.swap(false, Ordering::Relaxed) {
            // The kernel may have received data that the reactor has not noticed yet. On an idle connection that is
            // either the end of the connection, or bytes that belong to no request and would be read as the response to
            // the next one.
            match SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(_) => return Poll::Ready(Err(io::ErrorKind::InvalidData.into())),
            }
        }
        let read = Pin::new(stream).poll_read(context, buffer);
        let notify = watch.notify_on_read.load(Ordering::Relaxed);
        if notify && read.is_ready() && watch.notify_on_read.swap(false, Ordering::Relaxed) {
            watch.response_began.notify_one();
        }
        read
    }

    fn observe_write(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = result {
            self.watch
                .written
                .fetch_add(*bytes as u64, Ordering::Relaxed);
        }
    }
}

type Driver = http1::Connection<TokioIo<ObservedStream<ConnectionObserver>>, Full<Bytes>>;

/// A connection to an endpoint. Dropping it releases its permit.
pub(crate) struct UpstreamConnection {
    /// Sends requests over the connection.
    pub sender: http1::SendRequest<Full<Bytes>>,
    /// Boxed because it is large and moves between the pool and attempts.
    pub driver: Box<Driver>,
    /// State shared with the stream.
    pub watch: Arc<ConnectionWatch>,
    /// The endpoint's address at the time of the dial. The connection is not reused after the address has changed.
    pub address: SocketAddr,
    /// Start of the current idle period.
    pub idle_since: Instant,
    /// Counts the connection against the pool's limit.
    pub permit: OwnedSemaphorePermit,
}

/// Classifies a connect error. A shortage of sockets, ports or memory on this node is no evidence about the endpoint.
pub(super) fn connect_failure(error: &io::Error) -> Outcome {
    let is_local = is_transient(error) || error.kind() == io::ErrorKind::AddrNotAvailable;
    if !is_local {
        return Outcome::ConnectFailed;
    }
    event_counts::count(CountedEvent::NotSentLocalShortage);
    Outcome::NotSentRetryable
}

impl UpstreamConnection {
    /// Opens a connection within `timeout`.
    pub(super) async fn dial(
        address: SocketAddr,
        timeout: Duration,
        permit: OwnedSemaphorePermit,
    ) -> Result<Self, Outcome> {
        let connected = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(connect_failure(&error)),
            // The timeout has expired.
            Err(_) => return Err(Outcome::ConnectFailed),
        };
        // Ignored: without TCP_NODELAY requests are slower, but not wrong.
        let _ = stream.set_nodelay(true);
        let watch = Arc::new(ConnectionWatch::default());
        let observer = ConnectionObserver {
            watch: watch.clone(),
            descriptor: stream.as_raw_fd(),
        };
        let stream = ObservedStream::new(stream, observer);
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, driver) = handshake.map_err(|_| Outcome::ConnectFailed)?;
        let mut connection = UpstreamConnection {
            sender,
            driver: Box::new(driver),
            watch,
            address,
            idle_since: Instant::now(),
            permit,
        };
        if connection.is_usable().await {
            Ok(connection)
        } else {
            Err(Outcome::ConnectFailed)
        }
    }

    /// Polls the connection once and checks the socket itself; false if the connection cannot take a request.
    pub(crate) async fn is_usable(&mut self) -> bool {
        self.watch.check_socket.store(true, Ordering::Relaxed);
        let (sender, driver, watch) = (&mut self.sender, &mut self.driver, &self.watch);
        poll_fn(|context| {
            let ended = Pin::new(&mut **driver).poll(context).is_ready();
            let checked = !watch.check_socket.load(Ordering::Relaxed);
            let open = checked && !ended;
            Poll::Ready(open && matches!(sender.poll_ready(context), Poll::Ready(Ok(()))))
        })
        .await
    }

    /// Closes the connection and hands its permit to the caller.
    pub(crate) fn close(self) -> OwnedSemaphorePermit {
        self.permit
    }
}

#[cfg(test)]
mod tests;
