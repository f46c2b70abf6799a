//! Detects a client's disconnect by reading its socket directly.
//!
//! The reactor learns of a disconnect only when it runs next, so a process that has stalled would first send attempts
//! for clients that have already disconnected. The client connection and its pending requests share this state; it
//! holds the descriptor of an open stream, or none.

use std::mem::MaybeUninit;
use std::os::fd::{AsRawFd, BorrowedFd, RawFd};
use std::sync::{Mutex, MutexGuard, PoisonError};

use socket2::SockRef;
use tokio::net::TcpStream;

/// The descriptor of a client's socket, for checks that do not depend on the reactor.
#[derive(Debug, Default)]
pub(crate) struct ClientSocket {
    /// The mutex prevents the descriptor from being closed during a peek; it is held for one system call.
    descriptor: Mutex<Option<RawFd>>,
}

impl ClientSocket {
    /// Sets the descriptor of an open stream, which has to stay open until [`ClientSocket::detach`].
    pub(crate) fn attach(&self, stream: &TcpStream) {
        *self.lock() = Some(stream.as_raw_fd());
    }

    /// Clears the descriptor, before the stream is closed or taken out of its guard.
    pub(crate) fn detach(&self) {
        *self.lock() = None;
    }

    /// True if the client has closed or reset the connection. Unread bytes before the end hide a close.
    pub(crate) fn is_closed(&self) -> bool {
        let descriptor = self.lock();
        let Some(descriptor) = *descriptor else {
            return false;
        };
        // SAFETY: the stream is open, since `RequestGuard` is dropped before the stream and detaches it.
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
        // No code panics while it holds the lock; if one did, the descriptor would still be valid.
        self.descriptor
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
