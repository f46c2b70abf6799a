//! Fake clients: healthy ones with an open-loop load, and slow ones.
//!
//! Input: the daemon's address and a description of the clients. Output: counts of what they observed. Invariant: the send
//! times of healthy clients do not depend on responses, so that a late response delays no other request.

mod healthy;
mod slow;

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::net::{TcpSocket, TcpStream};

pub use healthy::{HealthyClients, Outcomes};
pub use slow::{SlowClientCounts, SlowClients};

/// Head of a request, to be followed by a body of `body_bytes`.
pub fn request(id: u64, customer: u64, time_left: Duration, body_bytes: usize) -> String {
    let (method, length) = match body_bytes {
        0 => ("GET", String::new()),
        bytes => ("POST", format!("Content-Length: {bytes}\r\n")),
    };
    format!(
        "{method} /api HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id:016x}\r\n\
         X-Service-Class: limit-check\r\nX-Contract: shop\r\nX-Client-Id: {customer:016x}\r\n\
         X-Time-Left-Ms: {}\r\nX-Metering: units=1,spread=1,first=0\r\n{length}\r\n",
        time_left.as_millis()
    )
}

/// Connects from the address `from`, with a receive buffer of this size if one is given.
///
/// # Errors
///
/// Socket errors.
pub async fn connect(
    to: SocketAddr,
    from: IpAddr,
    receive_buffer_bytes: Option<u32>,
) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    // Without it, many connections to one port exhaust the ephemeral ports of the source address.
    socket.set_reuseaddr(true)?;
    if let Some(bytes) = receive_buffer_bytes {
        socket.set_recv_buffer_size(bytes)?;
    }
    socket.bind(SocketAddr::new(from, 0))?;
    let stream = socket.connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
