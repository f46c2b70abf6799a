//! Requests, attempts and their outcomes.

use super::{ClassId, CustomerId, EndpointId, NodeSet, PlanId, RequestId};

/// A client's request as the policy sees it: identifiers, units and the time left, without method, headers or body.
#[derive(Clone, Debug)]
pub struct Request {
    /// Names the request in actions and events; unique among those that have no final answer yet.
    pub id: RequestId,
    /// Determines the latency objective, the priority weight and whether the request may be repeated.
    pub class: ClassId,
    /// The plan of the customer, whose limits apply to the request.
    pub plan: PlanId,
    /// The customer whose quota, ceiling and concurrency limit the request counts against.
    pub customer: CustomerId,
    /// Units that it draws from the quota and the ceiling, possibly an estimate; see
    /// [`PolicySettings::cost_settled_after_response`](super::PolicySettings::cost_settled_after_response).
    pub units: f64,
    /// Time from the arrival until the client gives up.
    pub time_left_ns: u64,
    /// Whether the client marked it as a retry, whose units are not counted as demand again.
    pub is_retry: bool,
    /// The nodes through which the customer's requests arrive.
    pub nodes: NodeSet,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint executed the request and responded.
    Success,
    /// Answered with an error; possibly executed.
    Failure,
    /// Rejected by the endpoint because of load; never executed.
    Overloaded,
    /// No response in time; possibly executed.
    TimedOut,
    /// No connection was established; never executed.
    ConnectFailed,
    /// The connection was reset or closed early; possibly executed.
    ConnectionReset,
    /// Cancelled by this node while it waited for the response; possibly executed.
    Cancelled,
    /// Not sent for a reason that applies to further attempts as well, such as an expired deadline; never executed. The
    /// policy sends no further attempt.
    NotSent,
    /// Not sent for a reason that need not affect another attempt, such as the endpoint starting to drain; never
    /// executed.
    NotSentRetryable,
}

impl Outcome {
    /// Returns true if the outcome proves that the request was not executed.
    pub fn never_executed(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded
                | Outcome::ConnectFailed
                | Outcome::NotSent
                | Outcome::NotSentRetryable
        )
    }

    /// Returns true if the outcome is evidence about the endpoint. An attempt that was cancelled or never sent is
    /// not.
    pub fn is_evidence(self) -> bool {
        !matches!(
            self,
            Outcome::NotSent | Outcome::NotSentRetryable | Outcome::Cancelled
        )
    }
}

/// How an attempt ended, and what its response says.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt, from 0 in the order of sending.
    pub attempt: u32,
    /// The endpoint to which it was sent, as in [`Action::StartAttempt`](super::Action::StartAttempt).
    pub endpoint: EndpointId,
    /// What the end of the attempt proves about the endpoint and about the request's execution.
    pub outcome: Outcome,
    /// Time since the attempt was sent.
    pub latency_ns: u64,
    /// Whether the request needs no further answer, because it has one or its client has disconnected.
    pub request_complete: bool,
    /// Actual units according to the response, if they replace an estimate.
    pub settled_units: Option<f64>,
    /// Load report, in the order of the settings' fields; empty if there is none. The policy does not use it.
    pub load_report: Vec<f64>,
}
