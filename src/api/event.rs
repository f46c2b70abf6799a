//! Events: the inputs of the policy.

use std::sync::Arc;

use super::{AttemptResult, Endpoint, EndpointUpdateKind, NodeId, Request, RequestId};

/// An input of the policy.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointUpdate(EndpointUpdateKind, Arc<[Endpoint]>),
    /// An endpoint has been returned to service after maintenance, during which it was restarted.
    ReturnedToService(Endpoint),
    /// Share of its usual traffic that each zone gets, by zone number; 1 for zones beyond the end.
    ZoneTrafficShares(Vec<f64>),
    /// A request arrived.
    Request(Request),
    /// A streamed response has begun.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt has ended.
    AttemptFinished(AttemptResult),
    /// The client has disconnected; the request needs no answer.
    ClientDisconnected(RequestId),
    /// The timer with this token has expired.
    TimerExpired(u64),
    /// A gossip message from another node.
    PeerMessage {
        /// The sender.
        from: NodeId,
        /// The message.
        text: String,
    },
}
