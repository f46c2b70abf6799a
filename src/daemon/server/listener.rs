//! Opens listening sockets and classifies the errors of `accept`.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

use crate::system::socket_retry::open_with_retries;

/// Length of the kernel's accept queue. It holds the burst of connections from all clients after a restart.
const BACKLOG: u32 = 1024;

/// The address for client connections could not be bound.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address}: {source}")]
pub(crate) struct BindError {
    address: SocketAddr,
    source: io::Error,
}

/// Listens for client connections. Port 0 in `address` is replaced by the port that the system chose.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(crate) async fn bind(address: &mut SocketAddr) -> Result<TcpListener, BindError> {
    listen(address, BACKLOG).await.map_err(|source| BindError {
        address: *address,
        source,
    })
}

/// Listens with an accept queue of length `backlog`. Port 0 in `address` is replaced by the port that the system chose.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(crate) async fn listen(address: &mut SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let wanted = *address;
    let listener = open_with_retries(|| std::future::ready(listen_once(wanted, backlog))).await?;
    *address = listener.local_addr()?;
    Ok(listener)
}

fn listen_once(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    // Allows the address to be bound again right after a restart.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// The kind of an error of `accept`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AcceptErrorKind {
    /// The kernel's accept queue is empty.
    QueueEmpty,
    /// The first connection in the queue failed, or the call was interrupted: the next one may be accepted immediately.
    Connection,
    /// The system is short of a resource, temporarily or permanently: connections remain in the queue.
    System,
}

/// Classifies an error of `accept`.
pub(super) fn classify_accept_error(error: &io::Error) -> AcceptErrorKind {
    use io::ErrorKind::{
        ConnectionAborted, ConnectionReset, HostUnreachable, Interrupted, NetworkDown,
        NetworkUnreachable, PermissionDenied, TimedOut, WouldBlock,
    };
    match error.kind() {
        WouldBlock => AcceptErrorKind::QueueEmpty,
        // accept(2) reports network errors that are pending on the new socket.
        ConnectionAborted | ConnectionReset | HostUnreachable | Interrupted | NetworkDown
        | NetworkUnreachable | PermissionDenied | TimedOut => AcceptErrorKind::Connection,
        _ => AcceptErrorKind::System,
    }
}
