//! Listening socket for clients that the process inherits from the platform (`GW_FD`).
//!
//! The process takes ownership of the descriptor only after checking that it is a listening socket.

use std::env;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, FromRawFd, OwnedFd, RawFd};

use socket2::SockRef;
use tokio::net::TcpListener;

/// Environment variable with the descriptor number of the listening socket.
const DESCRIPTOR_VARIABLE: &str = "GW_FD";
/// Standard error, the highest descriptor that every process has. The platform passes its socket on a higher one.
const LAST_STANDARD_DESCRIPTOR: RawFd = 2;

/// Why the inherited socket cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InheritedSocketError {
    /// The variable's value is not the number of a descriptor above the standard ones.
    #[error("{DESCRIPTOR_VARIABLE}: '{0}' is not the number of an inherited descriptor")]
    InvalidNumber(String),
    /// The descriptor is a socket that does not listen.
    #[error("{DESCRIPTOR_VARIABLE}: the socket of descriptor {0} does not listen")]
    NotListening(RawFd),
    /// The descriptor is not open, or is not a socket.
    #[error("{DESCRIPTOR_VARIABLE}: descriptor {descriptor} is not a socket: {source}")]
    NotSocket {
        /// The descriptor's number.
        descriptor: RawFd,
        /// The operating system's error.
        source: io::Error,
    },
    /// The runtime cannot poll the socket.
    #[error("{DESCRIPTOR_VARIABLE}: the inherited socket cannot be used: {0}")]
    Listener(#[source] io::Error),
}

/// Returns the descriptor given by `GW_FD`, if it is set.
///
/// # Errors
///
/// The variable's value is not the number of an open descriptor of a listening socket.
pub(crate) fn descriptor() -> Result<Option<OwnedFd>, InheritedSocketError> {
    let Some(text) = env::var_os(DESCRIPTOR_VARIABLE) else {
        return Ok(None);
    };
    let text = text.to_string_lossy();
    let number: Option<RawFd> = text.parse().ok();
    let descriptor = number
        .filter(|number| *number > LAST_STANDARD_DESCRIPTOR)
        .ok_or_else(|| InheritedSocketError::InvalidNumber(text.to_string()))?;
    // SAFETY: used only for a system call that fails if the number is not an open descriptor.
    let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    match SockRef::from(&borrowed).is_listener() {
        // SAFETY: the call above showed that the descriptor is open. It was inherited, so no other code in this program
        // owns it.
        Ok(true) => Ok(Some(unsafe { OwnedFd::from_raw_fd(descriptor) })),
        Ok(false) => Err(InheritedSocketError::NotListening(descriptor)),
        Err(source) => Err(InheritedSocketError::NotSocket { descriptor, source }),
    }
}

/// Returns the listener on an inherited descriptor, and sets `address` to its address.
///
/// # Errors
///
/// The socket cannot be made non-blocking, or cannot be polled.
pub(crate) fn listener(
    socket: OwnedFd,
    address: &mut SocketAddr,
) -> Result<TcpListener, InheritedSocketError> {
    let listener = std::net::TcpListener::from(socket);
    listener
        .set_nonblocking(true)
        .and_then(|()| {
            *address = listener.local_addr()?;
            TcpListener::from_std(listener)
        })
        .map_err(InheritedSocketError::Listener)
}
