//! A monitored connection: the progress of its socket, and its abort.

use std::os::fd::{AsFd, AsRawFd, BorrowedFd};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use super::kernel;
use crate::TransferProgress;

/// Calls a function with the borrowed socket.
pub(super) type WithSocket = Box<dyn Fn(&mut dyn FnMut(BorrowedFd<'_>)) + Send>;

/// The monitor's part of a connection.
pub(super) struct Connection {
    /// Borrows the socket. It is called only under the monitor's lock and while the
    /// [`MonitoredConnection`](super::MonitoredConnection) exists.
    pub(super) with_socket: WithSocket,
    /// Bytes written so far, counted by the owner of the connection.
    pub(super) written_bytes: Arc<AtomicU64>,
    /// Notifies the owner of the connection, which then closes it.
    pub(super) notify_abort: Box<dyn Fn() + Send>,
}

impl Connection {
    /// Reads the progress of the connection. If the kernel does not report the unacknowledged bytes, all bytes count as
    /// acknowledged, so that no connection is aborted for lack of information.
    pub(super) fn progress(&self) -> TransferProgress {
        let written_bytes = self.written_bytes.load(Ordering::Relaxed);
        let mut unacknowledged = 0;
        (self.with_socket)(&mut |socket| {
            unacknowledged = kernel::unacknowledged(socket).unwrap_or(0);
        });
        TransferProgress {
            written_bytes,
            acknowledged_bytes: written_bytes.saturating_sub(unacknowledged),
            round_trip_ns: None,
        }
    }

    /// Reads the progress and the round-trip time, which takes a second system call.
    pub(super) fn progress_with_round_trip(&self) -> TransferProgress {
        let mut progress = self.progress();
        (self.with_socket)(&mut |socket| progress.round_trip_ns = kernel::round_trip_ns(socket));
        progress
    }

    /// Aborts the connection: the owner is notified and closes the socket, and the kernel then sends a reset.
    pub(super) fn abort(&self) {
        (self.with_socket)(&mut |socket| kernel::reset_at_close(socket));
        (self.notify_abort)();
    }
}

/// Returns a function that borrows the socket by its descriptor number.
///
/// # Safety
///
/// The descriptor has to stay open and refer to the same socket until the
/// [`MonitoredConnection`](super::MonitoredConnection) that it is registered for is dropped.
pub unsafe fn borrow_descriptor(
    socket: &impl AsFd,
) -> impl Fn(&mut dyn FnMut(BorrowedFd<'_>)) + Send + 'static {
    let number = socket.as_fd().as_raw_fd();
    move |use_socket| {
        // SAFETY: the caller guarantees that the descriptor is open and refers to the same socket.
        use_socket(unsafe { BorrowedFd::borrow_raw(number) });
    }
}
