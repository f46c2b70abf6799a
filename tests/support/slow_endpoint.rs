//! An endpoint that reads requests slowly, with a small receive buffer, and never responds.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};

/// Bytes of each read.
const READ_BYTES: usize = 512;
/// Pause after each read.
const READ_INTERVAL: Duration = Duration::from_millis(20);
/// Size of the receive buffer; the kernel doubles it.
const RECEIVE_BUFFER_BYTES: u32 = 2_048;

/// An endpoint that runs until the runtime shuts down.
pub(crate) struct SlowEndpoint {
    pub(crate) address: SocketAddr,
    /// The most bytes that it has read from one connection.
    pub(crate) most_read: Arc<AtomicU64>,
    /// Connections that have begun and not ended.
    pub(crate) open: Arc<AtomicU64>,
}

impl SlowEndpoint {
    /// Starts an endpoint on a free loopback port.
    pub(crate) fn start() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .expect("a small buffer");
        socket
            .bind("127.0.0.1:0".parse().expect("an address"))
            .expect("bound");
        let listener = socket.listen(64).expect("listening");
        let endpoint = SlowEndpoint {
            address: listener.local_addr().expect("an address"),
            most_read: Arc::default(),
            open: Arc::default(),
        };
        let (most_read, open) = (endpoint.most_read.clone(), endpoint.open.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                open.fetch_add(1, Ordering::Relaxed);
                let (most_read, open) = (most_read.clone(), open.clone());
                tokio::spawn(async move {
                    read_slowly(stream, &most_read).await;
                    open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        endpoint
    }
}

/// Reads until the connection ends.
async fn read_slowly(mut stream: TcpStream, most_read: &AtomicU64) {
    let mut total = 0;
    let mut buffer = [0; READ_BYTES];
    while let Ok(read @ 1..) = stream.read(&mut buffer).await {
        total += read as u64;
        most_read.fetch_max(total, Ordering::Relaxed);
        tokio::time::sleep(READ_INTERVAL).await;
    }
}
