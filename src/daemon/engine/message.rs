//! Messages in the engine's queue, from the server, the connection pool, discovery and the peer socket.
//!
//! This module depends neither on the senders nor on the engine, which avoids import cycles.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use applewall::api::{self, Endpoint, EndpointId, EndpointUpdateKind, NodeId, Outcome, RequestId};
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use tokio::sync::{oneshot, OwnedSemaphorePermit};

use crate::server::client_socket::ClientSocket;
use crate::server::response::{ClientResponse, ServedResponse};

/// A message to the engine. If the queue is full, requests are rejected, disconnects and datagrams are dropped, and the
/// senders of the other messages wait.
pub(crate) enum Message {
    /// A client's request has been received completely.
    Request(ClientRequest),
    /// A client has disconnected before its response.
    ClientDisconnected(ClientDisconnected),
    /// An attempt has ended, or its response has begun to stream.
    AttemptEnded(AttemptEnded),
    /// Discovery or a registry has reported a list or changes.
    EndpointUpdate(EndpointUpdate),
    /// A datagram from a peer has arrived.
    PeerDatagram(PeerDatagram),
}

/// A completely received request of a client, and the channel for its response.
pub(crate) struct ClientRequest {
    /// The request as passed to the decision policy.
    pub request: api::Request,
    /// Distinguishes this request from others with the same client-supplied id.
    pub serial: u64,
    /// Deadline for the response: the client's, or an earlier one during a shutdown.
    pub deadline: Instant,
    /// The part forwarded to endpoints, shared by all attempts of the request.
    pub forwarded: Arc<ForwardedRequest>,
    /// Receives the final response.
    pub responder: oneshot::Sender<ClientResponse>,
}

/// The parts of a request's head that are forwarded to an endpoint unchanged. None of them refers to the buffer that the
/// head was read into.
pub(crate) struct ForwardedHead {
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The Host header, if any.
    pub host: Option<HeaderValue>,
    /// The X-Correlation-Id header.
    pub correlation_id: HeaderValue,
    /// The Content-Type header, if any.
    pub content_type: Option<HeaderValue>,
    /// The Idempotency-Key header, if any.
    pub idempotency_key: Option<HeaderValue>,
}

/// The parts of a request that are forwarded to an endpoint unchanged.
pub(crate) struct ForwardedRequest {
    pub head: ForwardedHead,
    /// The complete body; empty if the request has none.
    pub body: Bytes,
    /// Semaphore permits for the body's memory, released when the request is dropped; `None` for an empty body.
    pub _body_permit: Option<OwnedSemaphorePermit>,
    /// Shows whether the client still waits for the response.
    pub client: ClientPresence,
}

impl ForwardedRequest {
    /// True once the client has disconnected or has its response. Checked right before the request is forwarded: unlike
    /// [`Message::ClientDisconnected`], this shared state is never delayed or lost in a full queue.
    pub(crate) fn client_disconnected(&self) -> bool {
        !self.client.is_waiting()
    }
}

/// Whether a client still waits for its response.
pub(crate) struct ClientPresence {
    /// Can be upgraded for as long as the request service awaits the response.
    pub waiting: Weak<()>,
    /// The client's socket: the kernel may report a disconnect before the service notices it.
    pub socket: Arc<ClientSocket>,
}

impl ClientPresence {
    /// Tracks a client by its request service alone, without a socket.
    #[cfg(test)]
    pub(crate) fn from_service(waiting: Weak<()>) -> Self {
        ClientPresence {
            waiting,
            socket: Arc::default(),
        }
    }

    fn is_waiting(&self) -> bool {
        self.waiting.strong_count() > 0 && !self.socket.is_closed()
    }
}

/// Notifies the engine that a client has disconnected before its response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClientDisconnected {
    /// The client-supplied request id.
    pub request: RequestId,
    /// See [`ClientRequest::serial`].
    pub serial: u64,
}

/// The result of an attempt, whose connection has been closed or returned to the pool, unless the response is
/// streaming.
#[derive(Debug)]
pub(crate) struct AttemptEnded {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The attempt's number within its request, from 0.
    pub attempt: u32,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// The outcome, which shows whether the request may have been executed.
    pub outcome: Outcome,
    /// Time from the attempt's start to its outcome.
    pub latency: Duration,
    /// The values of the endpoint's load report, in the order of the settings; empty if there is none.
    pub load_report: Vec<f64>,
    /// The response, if the request was served.
    pub response: Option<ServedResponse>,
}

/// A change of the endpoint list.
pub(crate) struct EndpointUpdate {
    /// Whether the entries are a complete list or a delta.
    pub kind: EndpointUpdateKind,
    /// All endpoints of a complete list; for a delta, the added, changed and removed ones.
    pub entries: Vec<EndpointEntry>,
}

/// An entry of the endpoint list, from discovery, a registry or the configuration.
#[derive(Clone, Debug)]
pub(crate) struct EndpointEntry {
    /// The endpoint as passed to the decision policy.
    pub endpoint: Endpoint,
    /// The address on which it accepts connections.
    pub address: SocketAddr,
}

/// A datagram from a configured peer.
pub(crate) struct PeerDatagram {
    /// The peer whose configured address the datagram came from.
    pub from: NodeId,
    pub text: String,
}
