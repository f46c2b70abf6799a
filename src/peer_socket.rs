//! Datagrams between ingresses: small, late or lost, and only of senders that the configuration names.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

use crate::config::platform::PlatformConfig;
use crate::engine::message::{Message, PeerDatagram};
use crate::lifecycle::process_role::ProcessRole;

/// Bytes of a datagram at most; a longer one breaks the protocol.
const MOST: usize = 256;
/// Wait after an error of the socket, so that a lasting one does not spin.
const PAUSE: Duration = Duration::from_millis(10);
/// Without a stranger's datagram for so long, the next one begins a spell that is told of.
const SPELL: Duration = Duration::from_secs(60);

/// The socket for datagrams and the addresses at its other end.
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    peers: Vec<SocketAddr>,
    all: Option<SocketAddr>,
    me: usize,
}

/// Takes datagrams before the engine does. What implements it knows the socket; the socket knows this trait alone.
pub(crate) trait DatagramHandler: Send + Sync {
    /// A datagram of a peer; true where it is handled, and so no message for the engine.
    fn handle(&self, peers: &PeerSocket, from: u32, text: &str, sender: SocketAddr) -> bool;
}

impl AsFd for PeerSocket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }
}

impl PeerSocket {
    /// Binds the socket, where the configuration names one and the settings allow messages; where the port was
    /// left open, the address is put right.
    ///
    /// `handed`: a socket that listens there already.
    pub(crate) async fn bind(
        config: &mut PlatformConfig,
        handed: Option<OwnedFd>,
    ) -> Result<Option<Self>, String> {
        let settings = config.settings.clone();
        let settings = &settings.policy;
        let Some(address) = config.peer_listen.filter(|_| settings.gossip_enabled) else {
            return Ok(None);
        };
        let told = |e: std::io::Error| format!("peer_listen {address}: {e}");
        let socket = match handed {
            None => UdpSocket::bind(address).await.map_err(told)?,
            Some(socket) => {
                let socket = std::net::UdpSocket::from(socket);
                socket
                    .set_nonblocking(true)
                    .and_then(|()| UdpSocket::from_std(socket))
                    .map_err(told)?
            }
        };
        config.peer_listen = socket.local_addr().ok();
        let (peers, me) = (config.peers.clone(), settings.node as usize);
        Ok(Some(PeerSocket {
            socket,
            peers,
            all: config.peer_broadcast,
            me,
        }))
    }

    /// Waits until the socket is known to take datagrams. Until the runtime has looked at it once, it is taken for full,
    /// and what is told at the very start is lost.
    pub(crate) async fn writable(&self) {
        let _ = self.socket.writable().await;
    }

    /// Sends text to one peer, or to all; what the socket has no room for is lost, as datagrams may be.
    pub(crate) fn send(&self, peer: Option<u32>, text: &str) {
        if text.len() > MOST {
            return;
        }
        let send = |to: &SocketAddr| {
            let _ = self.socket.try_send_to(text.as_bytes(), *to);
        };
        match (peer, &self.all) {
            (Some(number), _) => self.peers.get(number as usize).into_iter().for_each(send),
            (None, Some(all)) => send(all),
            (None, None) => {
                let others = self.peers.iter().enumerate().filter(|(i, _)| *i != self.me);
                others.for_each(|(_, to)| send(to));
            }
        }
    }

    /// Takes datagrams in; garbage, strangers and what the queue has no room for are dropped.
    /// While another process has the socket, they are that one's.
    pub(crate) async fn listen(
        self: Arc<Self>,
        queue: mpsc::Sender<Message>,
        mut role: watch::Receiver<ProcessRole>,
        handler: Option<Arc<dyn DatagramHandler>>,
    ) {
        let mut buffer = [0; MOST + 1];
        let mut stranger: Option<tokio::time::Instant> = None;
        loop {
            let ours = role
                .wait_for(|r| *r == ProcessRole::Active)
                .await
                .map(|_| ());
            if ours.is_err() {
                return;
            }
            let received = tokio::select! {
                biased;
                Ok(()) = role.changed() => continue,
                received = self.socket.recv_from(&mut buffer) => received,
            };
            let Ok((length, sender)) = received else {
                tokio::time::sleep(PAUSE).await;
                continue;
            };
            let from = self
                .peers
                .iter()
                .position(|p| *p == sender)
                .filter(|p| *p != self.me);
            if from.is_none() {
                let now = tokio::time::Instant::now();
                // Once a spell: anybody may send any number.
                if stranger.replace(now).is_none_or(|last| now - last > SPELL) {
                    tracing::warn!("peers: datagrams of {sender}, which is no peer, are dropped");
                }
            }
            let text = std::str::from_utf8(&buffer[..length])
                .ok()
                .filter(|_| length <= MOST);
            if let (Some(from), Some(text)) = (from, text) {
                if handler
                    .as_ref()
                    .is_some_and(|handler| handler.handle(&self, from as u32, text, sender))
                {
                    continue;
                }
                let _ = queue.try_send(Message::PeerDatagram(PeerDatagram {
                    from: from as u32,
                    text: text.to_string(),
                }));
            }
        }
    }
}
