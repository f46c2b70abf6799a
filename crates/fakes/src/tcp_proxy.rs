//! A wire that can be cut or fall silent: stands between a client and a server, passes bytes on, and does what a
//! network does when it fails.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

#[derive(Clone, Copy, PartialEq, Eq)]
struct State {
    /// Connections of an earlier round are cut.
    round: u64,
    /// Nothing is passed on, either way, and nobody is told.
    silent: bool,
    /// New connections are refused at once.
    refused: bool,
}

/// A wire, for as long as the runtime lives.
pub struct TcpProxy {
    /// Where clients connect.
    pub address: SocketAddr,
    state: watch::Sender<State>,
    /// Connections that came up in all, and those that are up.
    pub connections: Arc<(AtomicU64, AtomicUsize)>,
}

impl TcpProxy {
    /// A wire to a server, from a free port of loopback.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub async fn start(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (state, follower) = watch::channel(State {
            round: 0,
            silent: false,
            refused: false,
        });
        let connections = Arc::new((AtomicU64::new(0), AtomicUsize::new(0)));
        let counts = connections.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let (follower, counts) = (follower.clone(), counts.clone());
                if follower.borrow().refused {
                    continue;
                }
                counts.0.fetch_add(1, Ordering::Relaxed);
                counts.1.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(async move {
                    let _ = pass(client, server, follower).await;
                    counts.1.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Ok(TcpProxy {
            address,
            state,
            connections,
        })
    }

    /// Cuts all connections that are up.
    pub fn disconnect(&self) {
        self.state.send_modify(|state| state.round += 1);
    }

    /// From now on nothing is passed on, or all is again: open connections stay open.
    pub fn set_silent(&self, silent: bool) {
        self.state.send_modify(|state| state.silent = silent);
    }

    /// From now on new connections end at once, or are taken again.
    pub fn set_refusing(&self, refused: bool) {
        self.state.send_modify(|state| state.refused = refused);
    }
}

async fn pass(
    client: TcpStream,
    server: SocketAddr,
    mut state: watch::Receiver<State>,
) -> io::Result<()> {
    let round = state.borrow().round;
    let server = TcpStream::connect(server).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    let up = pump(client_in, server_out, state.clone());
    let down = pump(server_in, client_out, state.clone());
    tokio::select! {
        result = up => result,
        result = down => result,
        _ = state.wait_for(|s| s.round != round) => Ok(()),
    }
}

async fn pump(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut state: watch::Receiver<State>,
) -> io::Result<()> {
    let mut piece = vec![0; 64 * 1024];
    loop {
        let read = from.read(&mut piece).await?;
        // What was read while it is silent waits here: nothing is lost, as in a network that comes back.
        let _ = state.wait_for(|s| !s.silent).await;
        if read == 0 {
            return Ok(());
        }
        to.write_all(&piece[..read]).await?;
    }
}
