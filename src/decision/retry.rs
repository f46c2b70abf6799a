//! Retries: the retry budget, the requests that may be retried, and the timeout of each attempt.

use applewall_node_types::{TimeSpan, Timestamp};

use super::context::Context;
use super::pending::PendingRequest;
use super::rejection::Rejection;
use crate::api::{Action, Idempotency, RequestId};

/// Retry tokens deposited by each request.
const TOKENS_PER_REQUEST: f64 = 0.2;
/// Maximum number of saved tokens, as a duration of request arrivals.
const MAX_SAVED_TIME: TimeSpan = TimeSpan::from_seconds(0.4);
/// Minimum capacity of the budget, however few requests arrive; a new process starts with this many tokens.
const MIN_CAPACITY: f64 = 3.0;
/// Maximum capacity of the budget, however many requests arrive.
const MAX_CAPACITY: f64 = 20.0;
/// Fraction of the deduplication window that is used, because an attempt takes time to reach the endpoint.
const USED_WINDOW_FRACTION: f64 = 0.9;
/// Timeout of an attempt that can be retried, in latency objectives: beyond it the response would be late and earn
/// only a fraction of its weight.
const ATTEMPT_TIMEOUT: f64 = 1.2;
/// Minimum timeout of an attempt that can be retried, in usual latencies.
const MIN_TIMEOUT_LATENCIES: f64 = 4.0;
/// Remaining time, in timeouts of an attempt that can be retried, below which an attempt gets all of it, because another
/// one would be too late.
const MIN_TIMEOUTS_LEFT: f64 = 1.5;
/// Remaining time, in usual latencies, that another attempt needs.
const MIN_LATENCIES_LEFT: f64 = 0.5;

/// A token bucket that limits retries to a fraction of the requests.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates the budget of a new process.
    pub(super) fn new() -> Self {
        RetryBudget {
            tokens: MIN_CAPACITY,
        }
    }

    /// Restores the budget of another process.
    pub(super) fn with_tokens(tokens: f64) -> Self {
        RetryBudget { tokens }
    }

    /// Number of retries that may be sent now. Not necessarily an integer: a request deposits a fraction of a token.
    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Deposits the tokens of one request. `requests_per_second`: the current rate of requests, which bounds the
    /// capacity.
    pub(super) fn deposit(&mut self, requests_per_second: f64) {
        let capacity = requests_per_second * MAX_SAVED_TIME.as_seconds();
        let capacity = capacity.clamp(MIN_CAPACITY, MAX_CAPACITY);
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(capacity);
    }

    /// Returns true if there is a token for a retry.
    pub(super) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Withdraws the token of a retry that was sent.
    pub(super) fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }
}

/// How long after the first attempt that may have executed a request another attempt is safe.
#[derive(Clone, Copy)]
enum RetryWindow {
    /// No further attempt is safe: the request is not idempotent.
    Closed,
    /// Another attempt is safe as long as the endpoints certainly recognize the idempotency key.
    For(TimeSpan),
    /// Every further attempt is safe: the request is idempotent.
    Unlimited,
}

impl RetryWindow {
    fn of(idempotency: Idempotency) -> Self {
        match idempotency {
            Idempotency::Idempotent => RetryWindow::Unlimited,
            Idempotency::IdempotencyKey {
                deduplication_window_ns,
                ..
            } => RetryWindow::For(
                TimeSpan::from_nanoseconds(deduplication_window_ns) * USED_WINDOW_FRACTION,
            ),
            Idempotency::NonIdempotent => RetryWindow::Closed,
        }
    }

    fn exceeds(self, span: TimeSpan) -> bool {
        match self {
            RetryWindow::Closed => false,
            RetryWindow::For(window) => span < window,
            RetryWindow::Unlimited => true,
        }
    }

    /// Returns true if an attempt sent at `sent_at` can safely be repeated now.
    fn is_open(self, now: Timestamp, sent_at: Timestamp) -> bool {
        self.exceeds(now - sent_at)
    }
}

/// Timeout of a request's next attempt, or `None` if it may take all of the client's remaining time. `usual_latency`:
/// usual latency of the request's kind.
///
/// An attempt is given up early only if another one is allowed and can still be in time, and then not before the
/// latency objective and a few usual latencies have passed.
pub(super) fn attempt_timeout(
    context: &Context<'_>,
    request: &PendingRequest,
    usual_latency: TimeSpan,
) -> Option<TimeSpan> {
    let objective = context.latency_objective(request.class());
    let timeout = (objective * ATTEMPT_TIMEOUT).max(usual_latency * MIN_TIMEOUT_LATENCIES);
    let window = RetryWindow::of(context.class(request.class()).idempotency);
    let is_early = window.exceeds(objective)
        && request.attempts() + 1 < context.settings().max_attempts
        && timeout * MIN_TIMEOUTS_LEFT <= request.time_left(context.now());
    is_early.then_some(timeout)
}

/// Returns true if another attempt of the request is allowed, safe and can be in time. Does not check the retry budget.
pub(super) fn may_retry(
    context: &Context<'_>,
    request: &PendingRequest,
    usual_latency: TimeSpan,
) -> bool {
    let now = context.now();
    let window = RetryWindow::of(context.class(request.class()).idempotency);
    let is_harmless = request
        .possible_execution()
        .is_none_or(|first| window.is_open(now, first.sent_at()));
    is_harmless
        && request.attempts() < context.settings().max_attempts
        && request.time_left(now) > usual_latency * MIN_LATENCIES_LEFT
}

/// The final answer after the last attempt. The request is rejected only if a retry by the client does no harm.
pub(super) fn final_failure(
    context: &Context<'_>,
    id: RequestId,
    request: &PendingRequest,
) -> Action {
    let idempotency = context.class(request.class()).idempotency;
    if request.possible_execution().is_none() || idempotency.client_may_retry() {
        Rejection::AttemptsFailed.to_action(context, id, request.class())
    } else {
        Action::Fail(id)
    }
}
