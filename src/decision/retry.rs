//! Retries: the budget, which requests may have another attempt, and when an attempt is given up for one.

use super::admission::Rejection;
use crate::api::{Action, AttemptResult, Idempotency, Outcome, RequestId};
use crate::decision_state::{
    seconds, DecisionPolicy, PendingRequest, PossibleExecution, RetryBudget, Seconds,
};

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
/// Part of the latency objective after which an attempt is given up for another: its response would then earn little.
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
    /// True where another attempt now does no harm, after a first one that may have executed.
    fn allows_retry(self, now: Seconds, first: Option<PossibleExecution>) -> bool {
        match (self, first) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (
                Idempotency::IdempotencyKey {
                    deduplication_window_ns,
                    ..
                },
                Some(first),
            ) => now - first.sent_at < seconds(deduplication_window_ns) * WINDOW_SHARE,
            (Idempotency::NonIdempotent, Some(_)) => false,
        }
    }

    /// True where an attempt may be given up for another after a latency objective.
    fn allows_early_timeout(self, latency_objective: Seconds) -> bool {
        match self {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey {
                deduplication_window_ns,
                ..
            } => latency_objective < seconds(deduplication_window_ns) * WINDOW_SHARE,
            Idempotency::NonIdempotent => false,
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
        let is_early = class.idempotency.allows_early_timeout(objective)
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
        if recorded.says_something {
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
        let idempotency = self.settings.classes[request.class].idempotency;
        let left = request.deadline - now;
        idempotency.allows_retry(now, request.possible_execution)
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
