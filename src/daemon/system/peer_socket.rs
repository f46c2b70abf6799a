//! The UDP socket for messages between the nodes of a fleet.
//!
//! Owner: the node; the engine and the startup schedule send through it, one task receives. Input: datagrams. Output:
//! messages to the engine. Invariants: sending never waits; a datagram is dropped if it is malformed, if its sender is not
//! a configured peer, or if the engine's queue is full. The protocols over it tolerate loss.

use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::sync::Arc;
use std::time::Duration;

use applewall::api::NodeId;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::config::platform::PlatformConfig;
use crate::engine::message::{Message, PeerDatagram};
use crate::lifecycle::process_role::ProcessRole;
use crate::observability::event_counts::{self, CountedEvent};
use crate::system::socket_retry::open_with_retries;

/// Maximum length of a datagram, as the platform's protocol has it.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Wait after an error of the socket, so that a lasting error does not use up the CPU.
const RECEIVE_BACKOFF: Duration = Duration::from_millis(10);
/// A datagram of an unknown sender is logged only if none was received for this long before it.
const UNKNOWN_SENDER_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// The UDP socket could not be bound.
#[derive(Debug, thiserror::Error)]
#[error("peer_listen {address}: {source}")]
pub(crate) struct PeerSocketError {
    address: SocketAddr,
    source: std::io::Error,
}

/// The UDP socket, and the addresses of the peers.
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    peers: Vec<SocketAddr>,
    /// An address at which one datagram reaches all peers, if the platform has one.
    broadcast: Option<SocketAddr>,
    /// This node's index among the peers.
    own_index: usize,
}

/// Receives datagrams before the engine does. Keeps this module independent of those that handle datagrams.
pub(crate) trait DatagramHandler: Send + Sync {
    /// Handles a datagram of a peer; false if it is to be passed on to the engine.
    fn handle(&self, peers: &PeerSocket, from: NodeId, text: &str, sender: SocketAddr) -> bool;
}

impl AsFd for PeerSocket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }
}

impl PeerSocket {
    /// Binds the socket, if the configuration has an address for it and gossip is enabled; a port 0 in the configuration is
    /// replaced by the port that was bound. `inherited` is the old process's socket, which is bound already.
    ///
    /// # Errors
    ///
    /// The address can't be bound, or the inherited socket can't be used.
    pub(crate) async fn bind(
        config: &mut PlatformConfig,
        inherited: Option<OwnedFd>,
    ) -> Result<Option<Self>, PeerSocketError> {
        let policy = &config.settings.policy;
        let Some(address) = config.peer_listen.filter(|_| policy.gossip_enabled) else {
            return Ok(None);
        };
        let own_index = policy.node.0 as usize;
        let socket = match inherited {
            None => open_with_retries(|| UdpSocket::bind(address)).await,
            Some(socket) => {
                let socket = std::net::UdpSocket::from(socket);
                socket
                    .set_nonblocking(true)
                    .and_then(|()| UdpSocket::from_std(socket))
            }
        };
        let socket = socket.map_err(|source| PeerSocketError { address, source })?;
        config.peer_listen = socket.local_addr().ok();
        Ok(Some(PeerSocket {
            socket,
            peers: config.peers.clone(),
            broadcast: config.peer_broadcast,
            own_index,
        }))
    }

    /// Waits until the socket is known to be writable. Before the runtime has polled the socket for the first time,
    /// `try_send_to` fails, and a datagram sent by then is lost.
    pub(crate) async fn writable(&self) {
        // `send` meets the same error.
        let _ = self.socket.writable().await;
    }

    /// Sends a datagram to one peer, or to all. It is dropped if the socket's buffer is full.
    pub(crate) fn send(&self, peer: Option<NodeId>, text: &str) {
        if text.len() > MAX_DATAGRAM_BYTES {
            return;
        }
        let send_to = |address: &SocketAddr| {
            // The protocols tolerate loss.
            if self.socket.try_send_to(text.as_bytes(), *address).is_err() {
                event_counts::count(CountedEvent::GossipNotSent);
            }
        };
        match (peer, &self.broadcast) {
            (Some(node), _) => self
                .peers
                .get(node.0 as usize)
                .into_iter()
                .for_each(send_to),
            (None, Some(broadcast)) => send_to(broadcast),
            (None, None) => {
                let peers = self.peers.iter().enumerate();
                let others = peers.filter(|(index, _)| *index != self.own_index);
                others.for_each(|(_, address)| send_to(address));
            }
        }
    }

    /// Receives datagrams until the role's owner is dropped; only while this process is active, since otherwise the new
    /// process reads the shared socket.
    pub(crate) async fn receive(
        self: Arc<Self>,
        queue: mpsc::Sender<Message>,
        mut role: watch::Receiver<ProcessRole>,
        handler: Option<Arc<dyn DatagramHandler>>,
    ) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let mut unknown_senders = UnknownSenders::default();
        loop {
            let is_active = |role: &ProcessRole| *role == ProcessRole::Active;
            if role.wait_for(is_active).await.is_err() {
                return;
            }
            let received = tokio::select! {
                biased;
                Ok(()) = role.changed() => continue,
                received = self.socket.recv_from(&mut buffer) => received,
            };
            let Ok((length, sender)) = received else {
                tokio::time::sleep(RECEIVE_BACKOFF).await;
                continue;
            };
            let Some(from) = self.peer_index(sender) else {
                unknown_senders.dropped_datagram(sender);
                continue;
            };
            let Some(text) = datagram_text(&buffer[..length]) else {
                continue;
            };
            let handled = handler
                .as_ref()
                .is_some_and(|handler| handler.handle(&self, from, text, sender));
            if !handled {
                let message = Message::PeerDatagram(PeerDatagram {
                    from,
                    text: text.to_string(),
                });
                // The protocols tolerate loss.
                if queue.try_send(message).is_err() {
                    event_counts::count(CountedEvent::GossipDropped);
                }
            }
        }
    }

    /// The index of the peer at an address; `None` for this node and for unknown senders.
    fn peer_index(&self, sender: SocketAddr) -> Option<NodeId> {
        let index = self.peers.iter().position(|peer| *peer == sender);
        index
            .filter(|index| *index != self.own_index)
            .map(|index| NodeId(index as u32))
    }
}

/// The text of a datagram; `None` where it is too long or no UTF-8.
fn datagram_text(bytes: &[u8]) -> Option<&str> {
    std::str::from_utf8(bytes)
        .ok()
        .filter(|text| text.len() <= MAX_DATAGRAM_BYTES)
}

/// Limits the log of datagrams from unknown senders, of which anyone may send any number.
#[derive(Default)]
struct UnknownSenders {
    last_received: Option<Instant>,
}

impl UnknownSenders {
    /// Logs a dropped datagram, unless another was dropped within [`UNKNOWN_SENDER_LOG_INTERVAL`] before.
    fn dropped_datagram(&mut self, sender: SocketAddr) {
        let now = Instant::now();
        let last = self.last_received.replace(now);
        if last.is_none_or(|last| now - last > UNKNOWN_SENDER_LOG_INTERVAL) {
            tracing::warn!(%sender, "datagram of an unknown sender dropped");
        }
    }
}
