//! Retries: the budget, which requests may have another attempt, and when an attempt is given up for one.

use applewall_node_types::{TimeSpan, Timestamp};

use super::context::Context;
use super::pending::PendingRequest;
use super::rejection::Rejection;
use crate::api::{Action, Idempotency, RequestId};

/// Retry tokens earned by each request.
const TOKENS_PER_REQUEST: f64 = 0.2;
/// Tokens saved at most, as seconds of requests.
const SAVED_TIME: TimeSpan = TimeSpan::from_seconds(0.4);
/// Tokens that may be saved however few requests come; a new process starts with them.
const MIN_CAPACITY: f64 = 3.0;
/// Tokens that may be saved however many requests come.
const MAX_CAPACITY: f64 = 20.0;
/// Fraction of the deduplication window that is used, since an attempt takes time to arrive.
const USED_WINDOW: f64 = 0.9;
/// Fraction of the latency objective after which an attempt is given up for another: its response would be late, and earn
/// a fraction of its weight.
const ATTEMPT_TIMEOUT: f64 = 1.2;
/// Usual latencies after which an attempt is given up at the earliest.
const MIN_TIMEOUT_LATENCIES: f64 = 4.0;
/// Time left to the client, in such timeouts, below which an attempt gets all of it: another would come too late.
const MIN_TIMEOUTS_LEFT: f64 = 1.5;
/// Usual latencies that must be left to the client for another attempt.
const MIN_LATENCIES_LEFT: f64 = 0.5;

/// Tokens that limit retries to a fraction of the requests.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// The budget of a new process.
    pub(super) fn new() -> Self {
        RetryBudget {
            tokens: MIN_CAPACITY,
        }
    }

    /// The budget of another process.
    pub(super) fn with_tokens(tokens: f64) -> Self {
        RetryBudget { tokens }
    }

    /// Retries that may be sent now, possibly with a fraction.
    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Earns the tokens of a request, at so many requests per second.
    pub(super) fn earn(&mut self, requests_per_second: f64) {
        let capacity = requests_per_second * SAVED_TIME.as_seconds();
        let capacity = capacity.clamp(MIN_CAPACITY, MAX_CAPACITY);
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(capacity);
    }

    /// True where there is a token for a retry.
    pub(super) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token of a retry that was sent.
    pub(super) fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

/// How long after a first attempt that may have executed a request another attempt does no harm.
#[derive(Clone, Copy)]
enum RetryWindow {
    /// Never.
    Closed,
    /// For so long.
    For(TimeSpan),
    /// Always.
    Unlimited,
}

impl RetryWindow {
    fn of(idempotency: Idempotency) -> Self {
        match idempotency {
            Idempotency::Idempotent => RetryWindow::Unlimited,
            Idempotency::IdempotencyKey {
                deduplication_window_ns,
                ..
            } => {
                RetryWindow::For(TimeSpan::from_nanoseconds(deduplication_window_ns) * USED_WINDOW)
            }
            Idempotency::NonIdempotent => RetryWindow::Closed,
        }
    }

    /// True where the window is longer than a span.
    fn exceeds(self, span: TimeSpan) -> bool {
        match self {
            RetryWindow::Closed => false,
            RetryWindow::For(window) => span < window,
            RetryWindow::Unlimited => true,
        }
    }

    /// True where an attempt that was sent at a moment can be repeated now.
    fn is_open(self, now: Timestamp, sent_at: Timestamp) -> bool {
        self.exceeds(now - sent_at)
    }
}

/// Timeout of a request's next attempt; `None`: all the time that is left to the client. `usual_latency`: of the request's
/// kind.
///
/// An attempt is given up early only where another is allowed and in time: after the latency objective, and not before a few
/// usual latencies.
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

/// True where a request may have another attempt, the budget apart: it does no harm, and is in time.
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

/// The final answer after the last attempt. A rejection promises that a retry by the client does no harm.
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
