//! What crosses the engine's queue. Knows none of those that send or take it, so imports run one way.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use applewall::api::{self, Endpoint, EndpointId, EndpointUpdateKind, Outcome, RequestId};
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use tokio::sync::{oneshot, OwnedSemaphorePermit};

use crate::server::response::{Answer, Content};

/// What reaches the engine.
pub(crate) enum Message {
    /// A command was taken.
    Command(Command),
    /// The service client of the command with this serial left.
    Left(RequestId, u64),
    /// An attempt ended.
    Ended(Ended),
    /// News of the name table.
    Table(EndpointUpdateKind, Vec<EndpointEntry>),
    /// A peer's datagram.
    Peer { from: u32, text: String },
}

/// What passes on to an instance unchanged.
pub(crate) struct Passed {
    pub method: Method,
    pub target: Uri,
    pub host: Option<HeaderValue>,
    pub id: HeaderValue,
    pub content_type: Option<HeaderValue>,
    /// The Idempotency-Key, where there is one.
    pub key: Option<HeaderValue>,
    pub body: Bytes,
    /// The body's share of what all may hold; none where it is empty.
    pub _held: Option<OwnedSemaphorePermit>,
    /// Held by whoever waits for the answer, for as long as that is awaited.
    pub asker: Weak<()>,
}

impl Passed {
    /// True once the service client has gone, or has its answer. State and no message, so that it can't be late or lost:
    /// whoever is about to send the command on looks here.
    pub(crate) fn gone(&self) -> bool {
        self.asker.strong_count() == 0
    }
}

/// A command on its way to the engine.
pub(crate) struct Command {
    pub request: api::Request,
    /// Tells this command from another that a service client gave the same id.
    pub serial: u64,
    /// When the service client gives it up.
    pub deadline: Instant,
    pub passed: Arc<Passed>,
    pub reply: oneshot::Sender<Answer>,
}

/// How an attempt ended; its connection is idle or closed by now.
#[derive(Debug)]
pub(crate) struct Ended {
    pub request: RequestId,
    pub number: u32,
    pub backend: EndpointId,
    pub outcome: Outcome,
    pub latency: Duration,
    pub load: Vec<f64>,
    /// The answer, where it was served.
    pub served: Option<(Content, Option<HeaderValue>)>,
}

/// One instance as the name table has it.
#[derive(Clone, Debug)]
pub(crate) struct EndpointEntry {
    pub endpoint: Endpoint,
    pub address: SocketAddr,
}
