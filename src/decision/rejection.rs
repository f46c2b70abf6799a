//! Reasons for rejecting a request, and the retry delay that the client is advised.

use applewall_node_types::TimeSpan;

use super::context::Context;
use crate::api::{Action, ClassId, RequestId};

/// Advised retry delay, as a fraction of the latency objective, after a rejection for a quota or for failed attempts.
const QUOTA_RETRY_AFTER: f64 = 0.125;
/// Advised retry delay, as a fraction of the latency objective, after a rejection for load.
const LOAD_RETRY_AFTER: f64 = 0.25;

/// The reason why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rejection {
    /// The customer exceeds its quota, ceiling or concurrency limit.
    CustomerLimit,
    /// The customer is unknown, and no further one can be tracked.
    TooManyCustomers,
    /// The work in flight exceeds the backlog limit for the request's class and weight.
    Backlog,
    /// The ladder's filter in force does not admit the request.
    Ladder,
    /// No endpoint can take the request.
    NoEndpoint,
    /// Attempts failed, and no further one is allowed.
    AttemptsFailed,
}

/// Numbers of requests rejected before any attempt, by reason, since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectionCounts {
    /// Rejected by the customer's quota, ceiling or concurrency limit.
    pub customer_limit: u64,
    /// Rejected because the customer is unknown and no further one can be tracked.
    pub too_many_customers: u64,
    /// Rejected by the backlog limit.
    pub backlog: u64,
    /// Rejected by the ladder's filter in force.
    pub ladder: u64,
    /// Rejected because no endpoint could take the request.
    pub no_endpoint: u64,
}

impl RejectionCounts {
    /// Counts a rejection. Rejections after failed attempts are not counted.
    pub(super) fn count(&mut self, rejection: Rejection) {
        let count = match rejection {
            Rejection::CustomerLimit => &mut self.customer_limit,
            Rejection::TooManyCustomers => &mut self.too_many_customers,
            Rejection::Backlog => &mut self.backlog,
            Rejection::Ladder => &mut self.ladder,
            Rejection::NoEndpoint => &mut self.no_endpoint,
            Rejection::AttemptsFailed => return,
        };
        *count += 1;
    }
}

impl Rejection {
    /// The action that rejects the request. The advised delay is a fraction of the objective, so that a retry can
    /// still meet it.
    pub(super) fn to_action(
        self,
        context: &Context<'_>,
        request: RequestId,
        class: ClassId,
    ) -> Action {
        let fraction = match self {
            Rejection::CustomerLimit | Rejection::AttemptsFailed => QUOTA_RETRY_AFTER,
            Rejection::TooManyCustomers
            | Rejection::Backlog
            | Rejection::Ladder
            | Rejection::NoEndpoint => LOAD_RETRY_AFTER,
        };
        let objective = context.latency_objective(class);
        let max_wait = context.settings().max_retry_after_ns;
        let wait_ns = max_wait
            .map(|max_wait| objective.min(TimeSpan::from_nanoseconds(max_wait)) * fraction)
            .map(TimeSpan::as_nanoseconds);
        Action::Reject {
            request,
            retry_after_ns: wait_ns.filter(|wait_ns| *wait_ns > 0),
        }
    }
}
