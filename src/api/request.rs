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
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// The nodes through which the customer's requests arrive.
    pub nodes: NodeSet,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was served.
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
    /// Cancelled; possibly executed.
    Cancelled,
    /// Not sent; never executed.
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

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0 in the order of sending.
    pub attempt: u32,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since the attempt was sent.
    pub latency_ns: u64,
    /// Whether the request needs no further answer.
    pub request_complete: bool,
    /// Actual units according to the response, if they replace an estimate.
    pub settled_units: Option<f64>,
    /// Load report, in the order of the settings' fields; may be empty.
    pub load_report: Vec<f64>,
}
