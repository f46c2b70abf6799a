//! What comes out of a policy.

use super::{EndpointId, RequestId};

/// What a policy has the node do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Time-out of the attempt; 0: until the client gives up.
        timeout_ns: u64,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: rejected; a retry does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// Wait that the client is advised; 0: none.
        retry_after_ns: u64,
    },
    /// Final answer: failed; possibly executed.
    Fail(RequestId),
    /// Set a timer.
    SetTimer {
        /// Time from now.
        after_ns: u64,
        /// Comes back with the event.
        token: u64,
    },
    /// Check an endpoint's health.
    HealthCheck(EndpointId),
    /// Close idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Send a message to one node, or to all.
    SendGossip {
        /// The node's number; `None`: all.
        peer: Option<u32>,
        /// The message, at most 256 bytes.
        text: String,
    },
    /// Write a log line.
    Log(String),
    /// Open the watch of the endpoint list, or close it.
    WatchEndpoints(bool),
    /// Fetch the whole endpoint list once.
    FetchEndpoints,
    /// Add to a counter of the counter service.
    AddToCounter {
        /// Name of the counter.
        name: String,
        /// Amount to add.
        amount: f64,
        /// How long a new counter is kept.
        ttl_ns: u64,
    },
}
