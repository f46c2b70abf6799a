//! The UDP socket for messages between the nodes of a fleet.
//!
//! The engine and the startup schedule send through it; one task receives datagrams for the engine. Sending never blocks.
//! A received datagram is dropped if it is malformed, if its sender is not a configured peer, or if the engine's queue is
//! full. The protocols on top of it tolerate loss.

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

/// Maximum length of a datagram in the platform's protocol.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Delay after an error of the socket, so that a persistent error does not cause a busy loop.
const RECEIVE_BACKOFF: Duration = Duration::from_millis(10);
/// A datagram from an unknown sender is logged only if no other one was received for this long before.
const UNKNOWN_SENDER_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// The UDP socket could not be bound.
#[derive(Debug, thiserror::Error)]
#[error("cannot open the UDP socket of peer_listen {address}: {source}")]
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

/// Handles datagrams before the engine does. Keeps this module independent of the modules that handle them.
pub(crate) trait DatagramHandler: Send + Sync {
    /// Handles a datagram from a peer. Returns false if it has to be forwarded to the engine.
    fn handle(&self, peers: &PeerSocket, from: NodeId, text: &str, sender: SocketAddr) -> bool;
}

impl AsFd for PeerSocket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }
}

impl PeerSocket {
    /// Binds the socket, if the configuration has an address for it and gossip is enabled. A port 0 in the configuration is
    /// replaced by the port that was bound. `inherited` is the old process's socket, which is already bound.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or the inherited socket cannot be used.
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

    /// Waits until the socket is known to be writable. Until the runtime has polled the socket for the first time,
    /// `try_send_to` fails, and datagrams are lost.
    pub(crate) async fn writable(&self) {
        // An error is ignored, because `send` fails with the same one and counts it.
        let _ = self.socket.writable().await;
    }

    /// Sends a datagram to one peer, or to all peers. The datagram is dropped if the socket's buffer is full.
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

    /// Receives datagrams until the role's owner is dropped. Reads only while this process is active, since otherwise the
    /// new process reads the shared socket.
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
                unknown_senders.record_dropped(sender);
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

/// The text of a datagram; `None` if it is too long or not UTF-8.
fn datagram_text(bytes: &[u8]) -> Option<&str> {
    std::str::from_utf8(bytes)
        .ok()
        .filter(|text| text.len() <= MAX_DATAGRAM_BYTES)
}

/// Limits the log of datagrams from unknown senders, since anyone can send any number of them.
#[derive(Default)]
struct UnknownSenders {
    last_received: Option<Instant>,
}

impl UnknownSenders {
    /// Logs a dropped datagram, unless another was dropped within [`UNKNOWN_SENDER_LOG_INTERVAL`] before.
    fn record_dropped(&mut self, sender: SocketAddr) {
        let now = Instant::now();
        let last = self.last_received.replace(now);
        if last.is_none_or(|last| now - last > UNKNOWN_SENDER_LOG_INTERVAL) {
            tracing::warn!(%sender, "datagram from unknown sender dropped");
        }
    }
}
