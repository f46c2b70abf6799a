//! What the kernel holds of a connection, bounded and looked at (Linux).

use std::io;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd};
use std::time::Duration;

use socket2::SockRef;

/// Bounds what the kernel takes of answers: `send_buffer` bytes (the kernel doubles it, for its own accounts), and no
/// more than `not_sent` that it could not send yet. On a listener, all connections accepted from it inherit both, so
/// a connection costs no call.
///
/// # Errors
///
/// What the kernel says.
pub fn bound(socket: &impl AsFd, send_buffer: usize, not_sent: u32) -> io::Result<()> {
    let socket = SockRef::from(socket);
    socket.set_send_buffer_size(send_buffer)?;
    socket.set_tcp_notsent_lowat(not_sent)
}

/// Bytes that were written and that the other end has not acknowledged.
///
/// # Errors
///
/// What the kernel says, as for a socket that is no stream.
pub fn unacknowledged(socket: BorrowedFd<'_>) -> io::Result<u64> {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the descriptor is open while it is borrowed, and SIOCOUTQ (TIOCOUTQ) writes one int, which `bytes` is.
    let done = unsafe { libc::ioctl(socket.as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
    if done < 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(u64::try_from(bytes).unwrap_or(0))
}

/// The round trip to the other end as the kernel reckons it, in nanoseconds; 0 where it does not tell.
pub fn round_trip(socket: BorrowedFd<'_>) -> u64 {
    // SAFETY: all fields are numbers, for which zeroes are a value.
    let mut info: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut length = std::mem::size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open while it is borrowed; the kernel writes no more than `length` bytes into `info`.
    let done = unsafe {
        let (level, name) = (libc::IPPROTO_TCP, libc::TCP_INFO);
        libc::getsockopt(
            socket.as_raw_fd(),
            level,
            name,
            (&raw mut info).cast(),
            &raw mut length,
        )
    };
    // Told in microseconds.
    if done < 0 {
        0
    } else {
        u64::from(info.tcpi_rtt) * 1_000
    }
}

/// Makes the connection end with a reset when it is closed, and what the kernel still holds go at once: a reader that
/// takes nothing would keep it there for minutes after the close.
pub fn reset_at_close(socket: BorrowedFd<'_>) {
    // A socket that can't is closed as usual.
    let _ = SockRef::from(&socket).set_linger(Some(Duration::ZERO));
}
