//! A client's socket, read ahead while a response is pending to detect the client's disconnect.
//!
//! The end of a connection lies behind all bytes that the client has sent, so it is found only by reading them. They are
//! read from the socket itself: hyper does not read while it holds a byte of the next request, and the reactor learns of
//! new input only when it runs next, so that a process that has stalled would first send attempts for clients that have
//! already disconnected. The client connection and its pending requests share this state.

use std::io;
use std::mem::MaybeUninit;
use std::os::fd::{AsRawFd, BorrowedFd, RawFd};
use std::sync::{Mutex, MutexGuard, PoisonError};

use socket2::SockRef;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Maximum number of bytes received while a response is pending that are stored and later read as the next request.
pub(super) const MAX_PIPELINED_BYTES: usize = 16 * 1024;
/// Maximum number of bytes received while a response is pending that are read and discarded. The limit stops reading from a
/// client that floods the connection.
pub(super) const MAX_DISCARDED_BYTES: usize = 512 * 1024;
/// Size of one read while a response is pending.
pub(super) const READ_AHEAD_BYTES: usize = 2048;

/// Why reading ahead has ended for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadAheadEnd {
    /// The client has closed the connection, or its direction of it.
    Closed,
    /// The client has sent more than is read ahead, so its disconnect can no longer be detected.
    LimitReached,
}

/// The descriptor of an open stream, and the input that was read ahead from it.
#[derive(Debug, Default)]
struct SocketState {
    /// `None` before the stream is attached and after it is detached.
    descriptor: Option<RawFd>,
    /// Input received while a response is pending: the beginning of the next request.
    pipelined: Vec<u8>,
    /// Number of bytes that were read after the stored ones and discarded.
    discarded_bytes: usize,
}

impl SocketState {
    /// Reads and stores input until none is left.
    fn read_ahead(&mut self, descriptor: RawFd) -> io::Result<ReadAheadEnd> {
        // SAFETY: the stream is open, since `RequestGuard` is dropped before the stream and detaches it.
        let descriptor = unsafe { BorrowedFd::borrow_raw(descriptor) };
        let socket = SockRef::from(&descriptor);
        while self.discarded_bytes < MAX_DISCARDED_BYTES {
            let mut chunk = [MaybeUninit::uninit(); READ_AHEAD_BYTES];
            let read = match socket.recv(&mut chunk) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                read => read?,
            };
            if read == 0 {
                return Ok(ReadAheadEnd::Closed);
            }
            // SAFETY: `recv` has initialized this many bytes.
            let bytes = unsafe { chunk[..read].assume_init_ref() };
            self.store_or_discard(bytes);
        }
        Ok(ReadAheadEnd::LimitReached)
    }

    /// Stores bytes, or discards them if they exceed the limit. Once some are missing, no later ones are stored.
    fn store_or_discard(&mut self, bytes: &[u8]) {
        let fits = self.pipelined.len() + bytes.len() <= MAX_PIPELINED_BYTES;
        if fits && self.discarded_bytes == 0 {
            self.pipelined.extend_from_slice(bytes);
        } else {
            self.discarded_bytes += bytes.len();
        }
    }
}

/// See the [module documentation](self).
#[derive(Debug, Default)]
pub(crate) struct ClientSocket {
    /// The mutex also prevents the descriptor from being closed during a read. It is not held across an await point.
    state: Mutex<SocketState>,
}

impl ClientSocket {
    /// Sets the descriptor of an open stream, which has to stay open until [`ClientSocket::detach`].
    pub(crate) fn attach(&self, stream: &TcpStream) {
        self.lock().descriptor = Some(stream.as_raw_fd());
    }

    /// Clears the descriptor, before the stream is closed or taken out of its guard.
    pub(crate) fn detach(&self) {
        self.lock().descriptor = None;
    }

    /// Reads input that belongs to the next request, up to the limits.
    ///
    /// # Errors
    ///
    /// `WouldBlock` if there is no input left, or the error that ended the connection.
    pub(super) fn read_ahead(&self) -> io::Result<ReadAheadEnd> {
        let mut state = self.lock();
        let descriptor = state.descriptor.ok_or(io::ErrorKind::WouldBlock)?;
        state.read_ahead(descriptor)
    }

    /// True if the client has closed or reset the connection, or if that can no longer be detected. Only for a connection
    /// whose request has been read completely and has no response yet, since all input is read ahead.
    pub(crate) fn is_closed(&self) -> bool {
        match self.read_ahead() {
            Ok(ReadAheadEnd::Closed | ReadAheadEnd::LimitReached) => true,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// True if the client has certainly closed or reset the connection. For the same connections as
    /// [`ClientSocket::is_closed`].
    pub(super) fn is_certainly_closed(&self) -> bool {
        match self.read_ahead() {
            Ok(end) => end == ReadAheadEnd::Closed,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// True if input was read ahead and not taken yet.
    pub(super) fn has_pipelined_input(&self) -> bool {
        !self.lock().pipelined.is_empty()
    }

    /// Moves input that was read ahead to `buffer`, as much as fits.
    pub(super) fn take_pipelined(&self, buffer: &mut ReadBuf<'_>) {
        let pipelined = &mut self.lock().pipelined;
        let taken = pipelined.len().min(buffer.remaining());
        buffer.put_slice(&pipelined[..taken]);
        pipelined.drain(..taken);
        if pipelined.is_empty() {
            *pipelined = Vec::new();
        }
    }

    /// True if input was discarded: what was stored may end in the middle of a request.
    pub(super) fn has_discarded_input(&self) -> bool {
        self.lock().discarded_bytes > 0
    }

    /// Number of bytes that were read and discarded.
    #[cfg(test)]
    pub(super) fn discarded_bytes(&self) -> usize {
        self.lock().discarded_bytes
    }

    /// Memory that is allocated for input that was read ahead.
    #[cfg(test)]
    pub(super) fn stored_capacity(&self) -> usize {
        self.lock().pipelined.capacity()
    }

    fn lock(&self) -> MutexGuard<'_, SocketState> {
        // No code panics while it holds the lock; if one did, the descriptor would still be valid.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
