//! Why a request is rejected, and the wait that the client is advised.

use applewall_node_types::TimeSpan;

use super::context::Context;
use crate::api::{Action, ClassId, RequestId};

/// Wait that a rejection advises, as a fraction of the latency objective, where the quota or a failed attempt is the reason.
const QUOTA_RETRY_AFTER: f64 = 0.125;
/// Wait that a rejection advises, as a fraction of the latency objective, where load is the reason.
const LOAD_RETRY_AFTER: f64 = 0.25;

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rejection {
    /// The customer's quota, ceiling or concurrency limit.
    CustomerLimit,
    /// The backlog limit.
    Backlog,
    /// The ladder's filter in force.
    Ladder,
    /// No endpoint may have the request.
    NoEndpoint,
    /// Attempts failed, and none is left.
    AttemptsFailed,
}

/// How many requests were rejected before any attempt, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectionCounts {
    /// By the customer's quota, ceiling or concurrency limit.
    pub customer_limit: u64,
    /// By the backlog limit.
    pub backlog: u64,
    /// By the ladder's filter in force.
    pub ladder: u64,
    /// For lack of an endpoint that may have the request.
    pub no_endpoint: u64,
}

impl RejectionCounts {
    /// Counts a rejection; one after failed attempts is not counted here.
    pub(super) fn count(&mut self, rejection: Rejection) {
        let count = match rejection {
            Rejection::CustomerLimit => &mut self.customer_limit,
            Rejection::Backlog => &mut self.backlog,
            Rejection::Ladder => &mut self.ladder,
            Rejection::NoEndpoint => &mut self.no_endpoint,
            Rejection::AttemptsFailed => return,
        };
        *count += 1;
    }
}

impl Rejection {
    /// The final answer. The wait that it advises is a fraction of the objective, so that a retry can still be in time.
    pub(super) fn to_action(
        self,
        context: &Context<'_>,
        request: RequestId,
        class: ClassId,
    ) -> Action {
        let fraction = match self {
            Rejection::CustomerLimit | Rejection::AttemptsFailed => QUOTA_RETRY_AFTER,
            Rejection::Backlog | Rejection::Ladder | Rejection::NoEndpoint => LOAD_RETRY_AFTER,
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
