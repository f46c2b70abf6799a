//! Actions: the outputs of the policy.

use std::fmt;

use super::{EndpointId, NodeId, RequestId};

/// What the node has to do after an event, in the order in which the policy returned the actions.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request. The caller numbers the attempts of a request from 0 in this order.
    StartAttempt {
        /// A request without an attempt in flight and without a final answer.
        request: RequestId,
        /// Where to send it: an endpoint that was ready in the last update of the list.
        endpoint: EndpointId,
        /// Timeout of the attempt; `None` if it may last until the client's deadline.
        timeout_ns: Option<u64>,
    },
    /// Stop waiting for an attempt, because the client has disconnected.
    CancelAttempt {
        /// A request that needs no answer any more.
        request: RequestId,
        /// Number of the attempt, from 0 in the order of sending.
        attempt: u32,
    },
    /// Reject the request, as its final answer. A retry by the client does no harm.
    Reject {
        /// A request that was not executed, or whose repetition does no harm.
        request: RequestId,
        /// Delay before a retry that the client is advised; `None` for no advice. Never 0.
        retry_after_ns: Option<u64>,
    },
    /// Fail the request, as its final answer. It may have been executed.
    Fail(RequestId),
    /// Set a timer.
    SetTimer {
        /// Time from the event that caused the action.
        after_ns: u64,
        /// Token passed back in [`Event::TimerExpired`](super::Event::TimerExpired).
        token: u64,
    },
    /// Send a gossip message to one node or to all.
    SendGossip {
        /// The receiver; `None` for all nodes.
        peer: Option<NodeId>,
        /// The message, at most 256 bytes.
        text: String,
    },
    /// Write a log event.
    Log(LogEvent),
    /// Start watching the endpoint list.
    WatchEndpoints,
}

/// A log event of the policy.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// The ladder's filter has changed.
    FilterChanged {
        /// The new filter in force; 0 admits all requests.
        filter: usize,
        /// Load index of the last interval.
        load_index: i32,
        /// Throughput, in cost per second, around which the filters are spread.
        focal_rate: f64,
    },
}

impl fmt::Display for LogEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::FilterChanged {
                filter,
                load_index,
                focal_rate,
            } => write!(
                formatter,
                "ladder F{filter} (index {load_index}, focal {focal_rate:.1}/s)"
            ),
        }
    }
}
