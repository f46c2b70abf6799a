//! Reads from a client's socket itself whether the client has disconnected: the reactor learns of that only when it runs
//! next, and a process that had stalled would first send attempts for clients that have disconnected.
//!
//! Owner: the client connection; requests that are pending share it. Input: the descriptor of the connection's stream.
//! Output: whether the kernel has the end of the connection. Invariant: the descriptor is that of an open stream, or none.

use std::mem::MaybeUninit;
use std::os::fd::{AsRawFd, BorrowedFd, RawFd};
use std::sync::{Mutex, MutexGuard, PoisonError};

use socket2::SockRef;
use tokio::net::TcpStream;

/// See the [module documentation](self).
#[derive(Debug, Default)]
pub(crate) struct ClientSocket {
    /// Protects the descriptor from being closed while it is peeked at; held for one system call.
    descriptor: Mutex<Option<RawFd>>,
}

impl ClientSocket {
    /// The stream is open from here on, until [`ClientSocket::detach`].
    pub(crate) fn attach(&self, stream: &TcpStream) {
        *self.lock() = Some(stream.as_raw_fd());
    }

    /// The stream is about to be closed, or to leave its guard.
    pub(crate) fn detach(&self) {
        *self.lock() = None;
    }

    /// True if the client closed or reset its connection; bytes that lie before its end hide that.
    pub(crate) fn is_closed(&self) -> bool {
        let descriptor = self.lock();
        let Some(descriptor) = *descriptor else {
            return false;
        };
        // SAFETY: the stream is open: `RequestGuard` detaches it when it is dropped, which is before the stream is.
        let descriptor = unsafe { BorrowedFd::borrow_raw(descriptor) };
        let peeked = SockRef::from(&descriptor).peek(&mut [MaybeUninit::uninit()]);
        match peeked {
            Ok(bytes) => bytes == 0,
            Err(error) => !matches!(
                error.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::Interrupted
            ),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<RawFd>> {
        // No code panics while it holds the lock; if it did, the descriptor would still be valid.
        self.descriptor
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
