//! Socket options and state of TCP connections in the kernel (Linux).

use std::io;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd};
use std::time::Duration;

use socket2::SockRef;

/// Nanoseconds in the unit of `tcpi_rtt`, the microsecond.
const NANOS_PER_MICRO: u64 = 1_000;

/// The longest period of the clock by which the kernel dates received data.
pub const KERNEL_TICK: Duration = Duration::from_millis(10);

/// Limits the response bytes that the kernel buffers: `send_buffer_bytes` in all (the kernel doubles this for its own
/// bookkeeping), of which `max_unsent_bytes` may be not yet sent. If this is set on a listener, accepted connections inherit
/// both limits, without a system call for each.
///
/// # Errors
///
/// Returns the error of the system call.
pub fn limit_send_buffer(
    socket: &impl AsFd,
    send_buffer_bytes: usize,
    max_unsent_bytes: u32,
) -> io::Result<()> {
    let socket = SockRef::from(socket);
    socket.set_send_buffer_size(send_buffer_bytes)?;
    socket.set_tcp_notsent_lowat(max_unsent_bytes)
}

/// Returns the number of bytes that were written and that the peer has not acknowledged.
///
/// # Errors
///
/// Returns the error of the system call, for example if the socket is not a stream socket.
pub fn unacknowledged(socket: BorrowedFd<'_>) -> io::Result<u64> {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the descriptor is open while it is borrowed, and TIOCOUTQ (SIOCOUTQ) writes one int to `bytes`.
    let result = unsafe { libc::ioctl(socket.as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
    if result < 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(u64::try_from(bytes).unwrap_or(0))
}

/// Returns the kernel's estimate of the round-trip time to the peer, in nanoseconds, or `None` if it cannot be read.
pub fn round_trip_ns(socket: BorrowedFd<'_>) -> Option<u64> {
    Some(u64::from(tcp_info(socket)?.tcpi_rtt) * NANOS_PER_MICRO)
}

/// Returns the time since the kernel last received data on a connection, or since it was established if it has received
/// none; `None` if it cannot be read. A [`KERNEL_TICK`] is added, so that it is not too short.
pub fn since_last_data(socket: BorrowedFd<'_>) -> Option<Duration> {
    let since = Duration::from_millis(tcp_info(socket)?.tcpi_last_data_recv.into());
    Some(since + KERNEL_TICK)
}

fn tcp_info(socket: BorrowedFd<'_>) -> Option<libc::tcp_info> {
    // SAFETY: all fields are integers, for which zero is a valid value.
    let mut info: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut length = std::mem::size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open while it is borrowed; the kernel writes no more than `length` bytes into `info`.
    let result = unsafe {
        libc::getsockopt(
            socket.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &raw mut length,
        )
    };
    (result >= 0).then_some(info)
}

/// Makes the close of a connection send a reset and discard the bytes that the kernel still holds. With a client that does
/// not read, these would otherwise use memory for minutes after the close.
pub fn reset_at_close(socket: BorrowedFd<'_>) {
    // If this fails, the socket is closed gracefully.
    let _ = SockRef::from(&socket).set_linger(Some(Duration::ZERO));
}
