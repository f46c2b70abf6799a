//! Events: the inputs of the policy.

use std::sync::Arc;

use super::{AttemptResult, Endpoint, EndpointUpdateKind, NodeId, Request, RequestId};

/// What happened, for [`DecisionPolicy::handle`](crate::decision::DecisionPolicy::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointUpdate(EndpointUpdateKind, Arc<[Endpoint]>),
    /// An endpoint has been returned to service after maintenance, during which it was restarted.
    ReturnedToService(Endpoint),
    /// Share of its usual traffic that each zone gets, from 0 to 1, by zone number; 1 for zones beyond the end.
    ZoneTrafficShares(Vec<f64>),
    /// A client's request arrived. The policy answers it at once, or sends its first attempt.
    Request(Request),
    /// A streamed response has begun. From then on, the client waits without a deadline until the stream ends.
    ResponseStarted {
        /// The request that the stream answers.
        request: RequestId,
        /// Number of the attempt, from 0 in the order of sending.
        attempt: u32,
    },
    /// An attempt has ended, with or without a response. Ignored if the policy did not start it.
    AttemptFinished(AttemptResult),
    /// The client has disconnected; the request needs no answer.
    ClientDisconnected(RequestId),
    /// The timer with this token, set by [`Action::SetTimer`](super::Action::SetTimer), has expired.
    TimerExpired(u64),
    /// A gossip message from another node. Ignored if any part of it is malformed.
    PeerMessage {
        /// The sender. The message is ignored if it is this node or outside the fleet.
        from: NodeId,
        /// The message as it was received, not decoded.
        text: String,
    },
}
