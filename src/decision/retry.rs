//! Retries: the budget, which requests may have another attempt, and when an attempt is given up for one.

use super::admission::Rejection;
use crate::api::{Action, AttemptResult, Idempotency, Outcome, RequestId};
use crate::decision_state::{seconds, DecisionPolicy, PendingRequest, RetryBudget, Seconds};

/// Retry tokens earned by each request.
const TOKENS_PER_REQUEST: f64 = 0.2;
/// Tokens saved at most, as seconds of requests.
const SAVED_REQUESTS: Seconds = 0.4;
/// Tokens that may be saved however few requests come; a new process starts with them.
const LEAST_SAVED_TOKENS: f64 = 3.0;
/// Tokens that may be saved however many requests come.
const MOST_SAVED_TOKENS: f64 = 20.0;
/// Part of the deduplication window that is used: an attempt takes time to arrive.
const WINDOW_SHARE: f64 = 0.9;
/// Part of the latency objective after which an attempt is given up for another: its response would then earn
/// little.
const RETRY_TIMEOUT: f64 = 1.2;
/// Usual latencies after which an attempt is given up at the earliest.
const RETRY_TIMEOUT_LATENCIES: f64 = 4.0;
/// Time left, in such time-outs, below which an attempt keeps all of it: another would come too late.
const RETRY_TIME_LEFT: f64 = 1.5;
/// Part of a usual latency that must be left for another attempt.
const LEAST_LATENCY_LEFT: f64 = 0.5;

impl RetryBudget {
    pub(crate) fn new() -> Self {
        RetryBudget {
            tokens: LEAST_SAVED_TOKENS,
        }
    }

    /// Earns the tokens of a request, at so many requests per second.
    pub(super) fn earn(&mut self, requests_per_second: f64) {
        let capacity = requests_per_second * SAVED_REQUESTS;
        let capacity = capacity.clamp(LEAST_SAVED_TOKENS, MOST_SAVED_TOKENS);
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(capacity);
    }
}

impl Idempotency {
    /// Time after a first attempt that may have executed in which another one does no harm.
    fn retry_window(self) -> Seconds {
        match self {
            Idempotency::Idempotent => f64::INFINITY,
            Idempotency::IdempotencyKey {
                deduplication_window_ns,
                ..
            } => seconds(deduplication_window_ns) * WINDOW_SHARE,
            Idempotency::NonIdempotent => f64::NEG_INFINITY,
        }
    }
}

impl DecisionPolicy {
    /// Time-out of the next attempt of a request; `None`: all the time that is left to the client.
    pub(super) fn attempt_timeout(
        &self,
        now: Seconds,
        request: &PendingRequest,
    ) -> Option<Seconds> {
        let class = &self.settings.classes[request.class];
        let objective = seconds(class.latency_objective_ns);
        let left = request.deadline - now;
        let usual = self.latency.usual(request.kind);
        let timeout = (RETRY_TIMEOUT * objective).max(RETRY_TIMEOUT_LATENCIES * usual);
        let is_early = objective < class.idempotency.retry_window()
            && request.attempts + 1 < self.settings.max_attempts
            && timeout * RETRY_TIME_LEFT <= left;
        is_early.then_some(timeout)
    }

    /// What follows from the end of an attempt: the final answer, or another attempt.
    pub(crate) fn attempt_finished(
        &mut self,
        now: Seconds,
        result: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(recorded) = self.record_outcome(now, result) else {
            return;
        };
        if recorded.is_informative {
            let record = &mut self.endpoints.records[recorded.execution.endpoint];
            record.eject_after(now, recorded.execution.sent_at, result.outcome);
        }
        let Some(mut request) = self.pending.remove(&result.request) else {
            return;
        };
        if self.settings.cost_settled_after_response && request.within_quota {
            self.settle_units(&request, result.settled_units);
        }
        if result.request_complete || result.outcome == Outcome::Success {
            return self.release(&request);
        }
        if !result.outcome.never_executed() {
            request.possible_execution.get_or_insert(recorded.execution);
        }
        if result.outcome != Outcome::NotSent && self.may_retry(now, &request) {
            self.retry_budget.tokens -= 1.0;
            if self.send_attempt(now, result.request, &mut request, actions) {
                self.pending.insert(result.request, request);
                return;
            }
        }
        self.release(&request);
        actions.push(self.final_failure(result.request, &request));
    }

    fn may_retry(&self, now: Seconds, request: &PendingRequest) -> bool {
        let window = self.settings.classes[request.class]
            .idempotency
            .retry_window();
        let left = request.deadline - now;
        request
            .possible_execution
            .is_none_or(|first| now - first.sent_at < window)
            && request.attempts < self.settings.max_attempts
            && left > self.latency.usual(request.kind) * LEAST_LATENCY_LEFT
            && self.retry_budget.tokens >= 1.0
    }

    /// The final answer after the last attempt: a rejection promises that a retry by the client does no harm.
    fn final_failure(&self, id: RequestId, request: &PendingRequest) -> Action {
        let idempotency = self.settings.classes[request.class].idempotency;
        if request.possible_execution.is_none() || idempotency.client_may_retry() {
            self.reject(id, request.class, Rejection::AttemptsFailed)
        } else {
            Action::Fail(id)
        }
    }
}
