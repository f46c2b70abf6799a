//! TCP proxy: forwards streams from an ingress to a fake server and applies the condition of the link between them.
//!
//! Each pair of an ingress and a server has its own listener, so both ends of every stream are known. Bytes of a stream are
//! delayed, but never lost or reordered; a reset of the link aborts the stream.

use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::Instant;

use crate::network::{Link, RETRANSMIT_DELAY};

/// Bytes forwarded at once and buffered in each direction: more than most responses have, so that each of them is delayed only
/// once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Backlog of the listeners: more connections than all ingresses open at once.
const LISTEN_BACKLOG: u32 = 1024;
/// Upper bound of the probability that a chunk is lost again, so that every chunk arrives eventually.
const MAX_REPEATED_LOSS: f64 = 0.9;

/// Both directions of the link that a stream crosses.
#[derive(Clone)]
pub struct LinkPair {
    /// From the ingress to the server.
    pub to_server: Link,
    /// From the server to the ingress.
    pub to_ingress: Link,
}

/// Opens a listener on an ephemeral port of this loopback address.
///
/// # Errors
///
/// Errors of the socket.
pub async fn listen(at: IpAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(at, 0))?;
    socket.listen(LISTEN_BACKLOG)
}

/// Connects a stream of an ingress to a server inside the testbed; returns the server's end and the future that forwards.
pub fn forward(
    stream: TcpStream,
    links: LinkPair,
    seed: u64,
) -> (DuplexStream, impl Future<Output = ()> + Send) {
    let (proxy_end, server_end) = tokio::io::duplex(CHUNK_BYTES);
    (server_end, run(stream, proxy_end, links, seed))
}

/// Forwards in both directions until one of them ends or the link is reset.
async fn run(
    stream: TcpStream,
    server: impl AsyncRead + AsyncWrite + Send + 'static,
    links: LinkPair,
    seed: u64,
) {
    let _ = stream.set_nodelay(true);
    let mut watched = links.clone();
    let (mut from_ingress, mut to_ingress) = stream.into_split();
    let (from_server, to_server) = tokio::io::split(server);
    let upstream = copy(&mut from_ingress, to_server, links.to_server, seed);
    let downstream = copy(from_server, &mut to_ingress, links.to_ingress, seed ^ 1);
    let reset = tokio::select! {
        _ = upstream => false,
        _ = downstream => false,
        () = watched.wait_for_reset() => true,
    };
    if let (true, Ok(stream)) = (reset, from_ingress.reunite(to_ingress)) {
        abort(stream);
    }
}

impl LinkPair {
    async fn wait_for_reset(&mut self) {
        tokio::select! {
            () = self.to_server.wait_until(|condition| condition.reset) => {}
            () = self.to_ingress.wait_until(|condition| condition.reset) => {}
        }
    }
}

/// Closes a connection with a TCP reset.
pub fn abort(stream: TcpStream) {
    let Ok(stream) = stream.into_std() else {
        return;
    };
    // With a linger time of zero, close discards unsent bytes and sends a reset.
    let linger = libc::linger {
        l_onoff: 1,
        l_linger: 0,
    };
    let size = std::mem::size_of::<libc::linger>() as libc::socklen_t;
    let descriptor = std::os::fd::AsRawFd::as_raw_fd(&stream);
    // SAFETY: the descriptor stays open while `stream` exists, and `size` is the size of the option.
    unsafe {
        let option = std::ptr::from_ref(&linger).cast();
        libc::setsockopt(descriptor, libc::SOL_SOCKET, libc::SO_LINGER, option, size);
    }
}

/// Copies bytes in order under the condition of the link: delayed, at its bandwidth limit, or only once it is no longer silent.
async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut link: Link,
    seed: u64,
) -> io::Result<()> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut chunk).await?;
        let arrived = Instant::now();
        // Bytes that arrive while the link is silent are held back here, as TCP would retransmit them after the outage.
        link.wait_until(|condition| !condition.silent).await;
        let condition = link.condition();
        let mut delay = condition.delay + condition.jitter.mul_f64(rng.random());
        while rng.random_bool(condition.loss.min(MAX_REPEATED_LOSS)) {
            delay += RETRANSMIT_DELAY;
        }
        if let Some(rate) = condition.bytes_per_second {
            delay += Duration::from_secs_f64(length as f64 / rate.max(1) as f64);
        }
        if !delay.is_zero() {
            tokio::time::sleep_until(arrived + delay).await;
        }
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&chunk[..length]).await?;
    }
}

#[cfg(test)]
mod tests;
