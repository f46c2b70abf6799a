//! Requests, attempts and their outcomes.

use super::{ClassId, CustomerId, EndpointId, NodeSet, PlanId, RequestId};

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its customer's plan.
    pub plan: PlanId,
    /// Its customer.
    pub customer: CustomerId,
    /// Units that it draws from the quota, possibly an estimate.
    pub units: f64,
    /// Time until the client gives up.
    pub time_left_ns: u64,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// The nodes that the customer's requests come in through.
    pub nodes: NodeSet,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Success,
    /// Answered with an error; possibly executed.
    Failure,
    /// Rejected by the endpoint, for load; never executed.
    Overloaded,
    /// No response in time; possibly executed.
    TimedOut,
    /// No connection was established; never executed.
    ConnectFailed,
    /// The connection was reset or closed early; possibly executed.
    ConnectionReset,
    /// Cancelled; possibly executed.
    Cancelled,
    /// Never sent; never executed.
    NotSent,
    /// Never sent, for a reason that a further attempt may not meet, as the endpoint began to drain; never executed.
    NotSentRetryable,
}

impl Outcome {
    /// True where the outcome proves that the attempt was never executed.
    pub fn never_executed(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded
                | Outcome::ConnectFailed
                | Outcome::NotSent
                | Outcome::NotSentRetryable
        )
    }

    /// True where the outcome is evidence about the endpoint. An attempt that was never sent, or was cancelled, is none.
    pub fn is_evidence(self) -> bool {
        !matches!(
            self,
            Outcome::NotSent | Outcome::NotSentRetryable | Outcome::Cancelled
        )
    }
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0 in the order sent.
    pub attempt: u32,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency_ns: u64,
    /// The request needs no further answer.
    pub request_complete: bool,
    /// Units that the response settled, where they replace an estimate.
    pub settled_units: Option<f64>,
    /// Load report, in the order of the settings' fields; may be empty.
    pub load_report: Vec<f64>,
}
