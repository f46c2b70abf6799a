//! Starts the attempts that the decision policy requests.
//!
//! The send rule is checked before the connection pool starts an attempt. Regardless of the policy's decisions, a
//! request has at most one attempt in flight, no more attempts than the settings allow, and no attempt after its
//! deadline. The policy is notified of an attempt that could not be started by a result with the outcome "not sent".

use applewall::api::{EndpointId, Event, Idempotency, Outcome, PolicySettings, RequestId};

use super::pending_request::PendingRequest;
use super::requests::CorrelationId;
use super::Engine;
use crate::clock::Clock;
use crate::lifecycle::command_relay::relay_executed_requests;
use crate::observability::event_counts;
use crate::send_rule::{self, StartFacts};
use crate::upstream::attempt::Attempt;
use crate::upstream::deadlines::AttemptDeadlines;

/// An attempt ends this long before the client's deadline, so that its response can still reach the client.
const ATTEMPT_MARGIN_NS: u64 = 20_000_000;
/// Numerator of the fraction of the endpoints' deduplication window within which the first byte of a retry of a
/// possibly executed attempt is written. The rest of the window allows for transmission to the endpoint.
const USABLE_WINDOW_NUMERATOR: u64 = 19;
/// Denominator of the fraction; see [`USABLE_WINDOW_NUMERATOR`].
const USABLE_WINDOW_DENOMINATOR: u64 = 20;

impl Engine {
    /// Starts an attempt. If the send rule refuses it or no connection is available, it is reported to the policy as
    /// not sent.
    pub(super) fn start_attempt(
        &mut self,
        request: RequestId,
        endpoint: EndpointId,
        timeout_ns: Option<u64>,
    ) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let number = pending.take_attempt_number();
        let policy = &self.settings.policy;
        let times = AttemptTimes::new(self.now, timeout_ns, pending, policy);
        let facts = start_facts(pending, number, policy, times.response_by_ns > self.now);
        if !may_start(request, &facts) {
            return self.report_not_sent(request, number, endpoint);
        }
        let attempt = Attempt {
            request,
            number,
            endpoint: endpoint.clone(),
            forwarded: pending.forwarded.clone(),
            deadlines: times.deadlines(&self.clock, &facts),
        };
        let Ok(cancel) = self.pool.start(attempt) else {
            return self.report_not_sent(request, number, endpoint);
        };
        if let Some(zones) = &mut self.zones {
            zones.attempt_started(self.now, request, pending.class, &endpoint);
        }
        self.statistics.attempts += 1;
        pending.attempt_started(number, self.now, cancel);
        let class = pending.class;
        if self.must_not_repeat(class) {
            relay_executed_requests(&self.other_process, vec![request]);
        }
    }

    /// Reports an attempt that was not started. The policy receives the event after the remaining actions of the
    /// current event have been performed.
    fn report_not_sent(&mut self, request: RequestId, attempt: u32, endpoint: EndpointId) {
        let result = self.attempt_result(request, attempt, endpoint, Outcome::NotSent);
        self.follow_up_events
            .push_back(Event::AttemptFinished(result));
    }

    /// Cancels an attempt in flight, which still reports its outcome.
    pub(super) fn cancel_attempt(&mut self, request: RequestId, attempt: u32) {
        if let Some(pending) = self.pending.get_mut(&request) {
            pending.cancel_attempt(attempt);
        }
    }
}

/// Deadlines of one attempt, on the engine's clock.
struct AttemptTimes {
    /// Deadline for the attempt's response.
    response_by_ns: u64,
    /// Deadline for the response of the last attempt of the request.
    last_response_by_ns: u64,
    /// Deadline for the first byte of the request, if an earlier attempt may have been executed.
    first_byte_by_ns: Option<u64>,
}

impl AttemptTimes {
    /// Computes the deadlines of an attempt that starts now. Without a timeout it may take until the client's deadline,
    /// less the margin.
    fn new(
        now: u64,
        timeout_ns: Option<u64>,
        pending: &PendingRequest,
        policy: &PolicySettings,
    ) -> Self {
        let last_response_by_ns = pending.deadline_ns.saturating_sub(ATTEMPT_MARGIN_NS);
        let response_by_ns = timeout_ns.map_or(last_response_by_ns, |timeout_ns| {
            last_response_by_ns.min(now + timeout_ns)
        });
        AttemptTimes {
            response_by_ns,
            last_response_by_ns,
            first_byte_by_ns: first_byte_by_ns(pending, policy.class(pending.class).idempotency),
        }
    }

    /// Converts the deadlines to the system's clock.
    fn deadlines(&self, clock: &Clock, facts: &StartFacts) -> AttemptDeadlines {
        AttemptDeadlines {
            response_by: clock.instant(self.response_by_ns),
            first_byte_by: self.first_byte_by_ns.map(|at| clock.instant(at)),
            last_response_by: clock.instant(self.last_response_by_ns),
            allows_retry: facts.allows_retry(),
        }
    }
}

/// Deadline for the first byte of the next attempt. A request that may have been executed is retried only while
/// endpoints still recognize its key. Establishing the connection may take long, so the deadline applies to the first
/// byte rather than to the start of the attempt.
fn first_byte_by_ns(pending: &PendingRequest, idempotency: Idempotency) -> Option<u64> {
    let first_possibly_executed_at_ns = pending.first_possibly_executed_at_ns?;
    let Idempotency::IdempotencyKey {
        deduplication_window_ns,
        ..
    } = idempotency
    else {
        return None;
    };
    let usable_window_ns =
        deduplication_window_ns / USABLE_WINDOW_DENOMINATOR * USABLE_WINDOW_NUMERATOR;
    Some(first_possibly_executed_at_ns + usable_window_ns)
}

/// Collects the input of the send rule.
fn start_facts(
    pending: &PendingRequest,
    number: u32,
    policy: &PolicySettings,
    has_time_left: bool,
) -> StartFacts {
    StartFacts {
        awaits_response: pending.awaits_response(),
        has_attempt_in_flight: pending.in_flight.is_some(),
        may_have_executed: pending.first_possibly_executed_at_ns.is_some(),
        idempotency: policy.class(pending.class).idempotency,
        number,
        max_attempts: policy.max_attempts,
        has_time_left,
    }
}

/// Checks whether an attempt may start, and counts and logs a refusal.
fn may_start(request: RequestId, facts: &StartFacts) -> bool {
    match send_rule::check_start(facts) {
        Ok(()) => true,
        Err(refusal) => {
            event_counts::count(refusal.counted_as());
            tracing::debug!(correlation_id = %CorrelationId(request), ?refusal, "attempt not started");
            false
        }
    }
}
