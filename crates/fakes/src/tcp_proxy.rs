//! A TCP proxy that injects faults between clients and a server: it closes connections, stops forwarding, or refuses new
//! connections.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Maximum number of bytes forwarded at once.
const CHUNK_BYTES: usize = 64 * 1024;

#[derive(Clone, Copy, PartialEq, Eq)]
struct State {
    /// Connections of an earlier generation are closed.
    generation: u64,
    /// Nothing is forwarded in either direction; connections stay open.
    silent: bool,
    /// New connections are closed at once.
    refusing: bool,
}

/// Counts of connections.
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    accepted: AtomicU64,
    open: AtomicUsize,
}

impl ConnectionCounts {
    /// Connections accepted so far, without refused ones.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Connections that are currently open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

/// A proxy that runs until the runtime shuts down.
pub struct TcpProxy {
    /// Address for clients.
    pub address: SocketAddr,
    state: watch::Sender<State>,
    /// Counts of its connections.
    pub connections: Arc<ConnectionCounts>,
}

impl TcpProxy {
    /// Starts a proxy for `server` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Socket errors.
    pub async fn start(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(State {
            generation: 0,
            silent: false,
            refusing: false,
        });
        let connections = Arc::new(ConnectionCounts::default());
        tokio::spawn(accept(
            listener,
            server,
            state.subscribe(),
            connections.clone(),
        ));
        Ok(TcpProxy {
            address,
            state,
            connections,
        })
    }

    /// Closes all open connections.
    pub fn disconnect(&self) {
        self.state.send_modify(|state| state.generation += 1);
    }

    /// Stops or resumes forwarding; open connections stay open.
    pub fn set_silent(&self, silent: bool) {
        self.state.send_modify(|state| state.silent = silent);
    }

    /// Sets whether new connections are closed at once.
    pub fn set_refusing(&self, refusing: bool) {
        self.state.send_modify(|state| state.refusing = refusing);
    }
}

async fn accept(
    listener: TcpListener,
    server: SocketAddr,
    state: watch::Receiver<State>,
    counts: Arc<ConnectionCounts>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let (state, counts) = (state.clone(), counts.clone());
        if state.borrow().refusing {
            continue;
        }
        counts.accepted.fetch_add(1, Ordering::Relaxed);
        counts.open.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            let _ = forward(client, server, state).await;
            counts.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Forwards one connection until either side closes it, or [`TcpProxy::disconnect`].
async fn forward(
    client: TcpStream,
    server: SocketAddr,
    mut state: watch::Receiver<State>,
) -> io::Result<()> {
    let generation = state.borrow().generation;
    let server = TcpStream::connect(server).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let upstream = copy(from_client, to_server, state.clone());
    let downstream = copy(from_server, to_client, state.clone());
    tokio::select! {
        result = upstream => result,
        result = downstream => result,
        _ = state.wait_for(|state| state.generation != generation) => Ok(()),
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut chunk).await?;
        // Bytes read while the proxy is silent are held back and forwarded later, as TCP retransmits them after an outage.
        let _ = state.wait_for(|state| !state.silent).await;
        if length == 0 {
            return Ok(());
        }
        to.write_all(&chunk[..length]).await?;
    }
}
