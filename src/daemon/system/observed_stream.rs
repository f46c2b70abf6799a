//! A TCP stream with an observer that performs its reads and is notified of its writes.
//!
//! The observer may delay reads or limit how much they return. It is dropped before the stream, so it may refer to the
//! stream's descriptor.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Observes each read and write of an [`ObservedStream`].
pub(crate) trait IoObserver: Unpin {
    /// Reads from the stream into `buffer`.
    fn poll_read(
        &mut self,
        stream: &mut TcpStream,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>>;

    /// Called with the result of each write: the number of bytes that the kernel accepted, or pending if its buffer is full.
    fn observe_write(&self, result: &Poll<io::Result<usize>>);
}

/// A TCP stream with an observer.
pub(crate) struct ObservedStream<O> {
    // Declared before the stream, so that it is dropped first.
    observer: O,
    stream: TcpStream,
}

impl<O: IoObserver> ObservedStream<O> {
    /// Combines a stream, from which nothing has been read yet, with its observer.
    pub(crate) fn new(stream: TcpStream, observer: O) -> Self {
        ObservedStream { observer, stream }
    }

    /// Drops the observer, then returns the stream.
    pub(crate) fn into_stream(self) -> TcpStream {
        self.stream
    }

    pub(crate) fn observer(&self) -> &O {
        &self.observer
    }
}

impl<O: IoObserver> AsyncRead for ObservedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        this.observer.poll_read(&mut this.stream, context, buffer)
    }
}

impl<O: IoObserver> AsyncWrite for ObservedStream<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.observer.observe_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.observer.observe_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
