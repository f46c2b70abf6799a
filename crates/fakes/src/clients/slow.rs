//! Slow clients: they read responses slowly or not at all, and reconnect when they are disconnected.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{connect, request};

/// Remaining time that each request states.
const TIME_LEFT: Duration = Duration::from_secs(3);
/// Customer id of the first client; those of the others follow.
const FIRST_CUSTOMER: u64 = 1_000_000;
/// Number of clients with addresses in one /24 network; below the limit on the connections of one network.
const CLIENTS_PER_SUBNET: usize = 50;
/// High bits by which the request ids of slow clients differ from those of healthy ones.
const ID_PREFIX: u64 = 0xf000_0000_0000_0000;

/// Load of slow clients.
#[derive(Clone, Debug)]
pub struct SlowClients {
    /// Address of the daemon.
    pub address: SocketAddr,
    /// Number of clients.
    pub count: usize,
    /// Time over which their first connections are spread.
    pub arrival_window: Duration,
    /// Interval between the bytes that each one reads; `None`: it stops reading after the first byte.
    pub byte_interval: Option<Duration>,
    /// Time that a disconnected or rejected client waits before it reconnects.
    pub reconnect_delay: Duration,
    /// Time after which they disconnect.
    pub duration: Duration,
    /// Size of each socket's receive buffer; small, as on a phone or as a malicious client sets it.
    pub receive_buffer_bytes: u32,
    /// Size of the request body, which is sent at the same interval; 0: no body.
    pub upload_bytes: usize,
}

/// Counts of what slow clients observed.
#[derive(Debug, Default)]
pub struct SlowClientCounts {
    /// Connections that were established.
    pub connections: AtomicU64,
    /// Responses whose first byte arrived.
    pub responses_begun: AtomicU64,
    /// Connections that the daemon closed.
    pub closed_by_daemon: AtomicU64,
}

impl SlowClients {
    /// Runs the clients for their duration.
    pub async fn run(self, counts: Arc<SlowClientCounts>) {
        let end = Instant::now() + self.duration;
        let clients = Arc::new(self);
        let mut tasks = JoinSet::new();
        for number in 0..clients.count {
            let (clients, counts) = (clients.clone(), counts.clone());
            let arrival = number as f64 / clients.count as f64;
            tasks.spawn(async move {
                tokio::time::sleep(clients.arrival_window.mul_f64(arrival)).await;
                let _ = tokio::time::timeout_at(end, clients.run_one(number, &counts)).await;
            });
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Runs one client, with a source address and a customer of its own.
    async fn run_one(&self, number: usize, counts: &SlowClientCounts) {
        let subnet = (number / CLIENTS_PER_SUBNET) as u8;
        let host = (number % CLIENTS_PER_SUBNET + 1) as u8;
        let source = IpAddr::from([127, 9, subnet, host]);
        let customer = FIRST_CUSTOMER + number as u64;
        for connection in 0u64.. {
            let id = ID_PREFIX | (number as u64) << 32 | connection;
            let head = request(id, customer, TIME_LEFT, self.upload_bytes);
            let _ = self.run_connection(&head, source, counts).await;
            tokio::time::sleep(self.reconnect_delay).await;
        }
    }

    async fn run_connection(
        &self,
        head: &str,
        source: IpAddr,
        counts: &SlowClientCounts,
    ) -> io::Result<()> {
        let mut stream = connect(self.address, source, Some(self.receive_buffer_bytes)).await?;
        counts.connections.fetch_add(1, Ordering::Relaxed);
        stream.write_all(head.as_bytes()).await?;
        for _ in 0..self.upload_bytes {
            stream.write_all(b".").await?;
            tokio::time::sleep(self.byte_interval.unwrap_or(self.duration)).await;
        }
        self.read_slowly(&mut stream, counts).await?;
        counts.closed_by_daemon.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    /// Reads until the daemon closes the connection.
    async fn read_slowly(
        &self,
        stream: &mut TcpStream,
        counts: &SlowClientCounts,
    ) -> io::Result<()> {
        let mut byte = [0];
        let mut first = true;
        loop {
            if self.byte_interval.is_none() && !first {
                // Stops reading, and waits only for the end of the connection.
                stream.ready(Interest::ERROR).await?;
            }
            if !matches!(stream.read(&mut byte).await, Ok(1)) {
                return Ok(());
            }
            if std::mem::take(&mut first) {
                counts.responses_begun.fetch_add(1, Ordering::Relaxed);
            }
            // Bytes received before a reset can still be read, so the reset is watched for separately: the client notices it
            // at once, as a browser does.
            tokio::select! {
                _ = stream.ready(Interest::ERROR) => return Ok(()),
                () = tokio::time::sleep(self.byte_interval.unwrap_or_default()) => {}
            }
        }
    }
}
