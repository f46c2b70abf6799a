//! A guard on the framing of what service clients send: a head with both a length and a transfer coding.
//!
//! hyper drops the length of such a head before the service sees it. What is the body for one reader is a second
//! request for another, so the raw lines are looked at as they are read.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::{io, str};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use applewall_slow_peer::socket::MonitoredConnection;

use crate::server::connection_table::Seat;

/// Bytes of a line that are kept: enough for either name and any length.
const KEPT: usize = 48;

/// Of what comes behind a command that has no answer yet, so much is kept for later, and so much is read at all. Read it
/// has to be: the end of a connection lies behind it.
const AHEAD: (usize, usize) = (16 * 1024, 512 * 1024);

/// Follows the lines of heads, and passes over bodies of a given length.
#[derive(Default)]
pub(crate) struct Heads {
    line: Vec<u8>,
    /// Bytes of a body yet to come.
    body: u64,
    length: Option<u64>,
    coding: bool,
    /// A chunked body has begun: the connection closes with its answer, so no head is served after it.
    over: bool,
    /// Some of a head has been read, and not its end.
    inside: bool,
}

impl Heads {
    /// True where part of a head has been read, and not its end.
    pub(crate) fn halfway(&self) -> bool {
        self.inside
    }

    /// Takes in what was read; true where a head in it has both a length and a transfer coding.
    pub(crate) fn ambiguous(&mut self, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() && !self.over {
            if self.body > 0 {
                let passed = bytes
                    .len()
                    .min(usize::try_from(self.body).unwrap_or(usize::MAX));
                self.body -= passed as u64;
                bytes = &bytes[passed..];
                continue;
            }
            let end = bytes.iter().position(|b| *b == b'\n');
            let part = &bytes[..end.unwrap_or(bytes.len())];
            self.inside = true;
            self.line
                .extend_from_slice(&part[..part.len().min(KEPT - self.line.len())]);
            bytes = &bytes[part.len() + usize::from(end.is_some())..];
            if end.is_some() && self.line_ends() {
                return true;
            }
        }
        false
    }

    fn line_ends(&mut self) -> bool {
        let line = self.line.trim_ascii();
        if line.is_empty() {
            self.line.clear();
            self.inside = false;
            self.over = self.coding;
            self.body = self.length.take().unwrap_or(0);
            return false;
        }
        let colon = line.iter().position(|b| *b == b':').unwrap_or(line.len());
        let (name, value) = line.split_at(colon);
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.coding = true;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            // What is no number is hyper's to turn away.
            let value = str::from_utf8(&value[1..]).unwrap_or_default();
            self.length = Some(value.trim().parse().unwrap_or(0));
        }
        self.line.clear();
        self.coding && self.length.is_some()
    }
}

/// A service client's stream, with the guard on what is read.
pub(crate) struct Guarded {
    /// Before the stream, so that it goes first: it looks at the stream's descriptor.
    ticket: Option<MonitoredConnection>,
    pub stream: TcpStream,
    heads: Heads,
    seat: Arc<Seat>,
    /// Read behind a command that had no answer yet, and how much of that was not kept.
    ahead: Vec<u8>,
    dropped: usize,
}

impl Guarded {
    /// A stream of which nothing has been read.
    pub(crate) fn new(
        stream: TcpStream,
        seat: Arc<Seat>,
        ticket: Option<MonitoredConnection>,
    ) -> Self {
        Guarded {
            ticket,
            stream,
            heads: Heads::default(),
            seat,
            ahead: Vec::new(),
            dropped: 0,
        }
    }

    /// Reads on behind a command that has no answer yet; ready at the end of the connection only. hyper stops looking
    /// for that end once it holds a byte of a next command, and a service client that went would be served on.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut piece = [0; 2048];
        while self.dropped < AHEAD.1 {
            let mut buf = ReadBuf::new(&mut piece);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf))?;
            match buf.filled() {
                [] => return Poll::Ready(Ok(())),
                more if self.dropped == 0 && self.ahead.len() + more.len() <= AHEAD.0 => {
                    self.ahead.extend_from_slice(more);
                }
                more => {
                    // Not to be read as commands: the connection closes with its answer.
                    self.dropped += more.len();
                    self.seat.leave_unread();
                }
            }
        }
        Poll::Pending
    }

    fn count(&self, poll: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.seat.writing(poll.is_pending());
        if let (Some(ticket), Poll::Ready(Ok(bytes))) = (&self.ticket, &poll) {
            ticket.record_written(*bytes);
        }
        poll
    }
}

impl AsyncRead for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.seat.is_answering() {
            return self.poll_end(cx);
        }
        let before = buf.filled().len();
        if self.dropped > 0 {
            // What was kept ends in the middle of something: for whoever reads, the connection ends before it.
            return Poll::Ready(Ok(()));
        }
        if self.ahead.is_empty() {
            ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        } else {
            let taken = self.ahead.len().min(buf.remaining());
            buf.put_slice(&self.ahead[..taken]);
            self.ahead.drain(..taken);
        }
        if self.heads.ambiguous(&buf.filled()[before..]) {
            self.seat.distrust();
        }
        self.seat.reading(self.heads.halfway());
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Guarded {
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

#[cfg(test)]
mod tests;
