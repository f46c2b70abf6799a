//! What goes into a policy.

use std::sync::Arc;

use super::{AttemptResult, Endpoint, EndpointId, EndpointUpdateKind, Request, RequestId};

/// What a policy is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointUpdate(EndpointUpdateKind, Arc<[Endpoint]>),
    /// An endpoint was in maintenance and is returned to service: it starts anew.
    ReturnedToService(Endpoint),
    /// Share of its usual traffic that each zone gets, by its number; zones beyond get all.
    ZoneTrafficShares(Vec<f64>),
    /// A request came in.
    Request(Request),
    /// A streamed response began.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptFinished(AttemptResult),
    /// The client disconnected; the request needs no answer.
    ClientDisconnected(RequestId),
    /// A timer expired.
    TimerExpired(u64),
    /// A health check was answered, or failed.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointId,
        /// It answered.
        healthy: bool,
        /// Load report, may be empty.
        load_report: Vec<f64>,
    },
    /// A message from another node.
    PeerMessage {
        /// The node's number.
        from: u32,
        /// The message.
        text: String,
    },
    /// The counter service answered.
    CounterRead {
        /// Name of the counter.
        name: String,
        /// Its total, where the call succeeded.
        total: Option<f64>,
    },
}
