//! Outlier detection: endpoints that fail or fall silent get little traffic or are ejected for a while.

use crate::api::Outcome;
use crate::decision_state::DecisionPolicy;
use crate::decision_state::{EndpointRecord, InFlightAttempt, Seconds};

/// Weight that the least healthy endpoint keeps: trials by chance, of all nodes together.
pub(super) const LEAST_HEALTH_WEIGHT: f64 = 0.02;
/// Overdue responses that make an endpoint suspect.
const OVERDUE_RESPONSES: f64 = 6.0;
/// Silence that makes an endpoint with overdue responses suspect.
const SUSPECT_SILENCE: Seconds = 0.25;
/// Least usual latency by which a response counts as overdue.
const LEAST_OVERDUE_LATENCY: Seconds = 0.02;
/// First ejection time after a time-out or a failed connection; doubles with each in a row.
const FIRST_EJECTION: Seconds = 0.5;
/// Longest ejection time.
const LONGEST_EJECTION: Seconds = 4.0;
/// Doublings of the ejection time at most.
const MOST_DOUBLINGS: u32 = 3;
/// Connection resets in a row, without a response, that eject no endpoint.
const TOLERATED_RESETS: u32 = 2;

impl DecisionPolicy {
    /// True where an endpoint gets hardly any traffic: silent, or ejected.
    pub(super) fn is_suspect(&self, record: &EndpointRecord, now: Seconds) -> bool {
        if now < record.ejected_until {
            return true;
        }
        // Many overdue at once tell as much as one for long. It could harm where a whole class slows down at
        // once.
        let overdue = |attempt: &InFlightAttempt| {
            let waited = now - attempt.sent_at.max(record.last_response_at);
            let usual = self.latency.usual(attempt.kind) * record.latency_factor;
            waited / usual.max(LEAST_OVERDUE_LATENCY)
        };
        record.silence(now) > SUSPECT_SILENCE
            && record.in_flight.iter().map(overdue).sum::<f64>() > OVERDUE_RESPONSES
    }
}

impl EndpointRecord {
    /// Ejects the endpoint after an outcome that speaks against it, and takes it back after a response.
    pub(super) fn eject_after(&mut self, now: Seconds, sent_at: Seconds, outcome: Outcome) {
        match outcome {
            // It has answered others since: the request was slow, not the endpoint.
            Outcome::TimedOut if self.last_response_at >= sent_at => {}
            // A reset or two are the connections' own, or malformed responses: one that is down rejects the
            // next connection.
            Outcome::ConnectionReset if self.consecutive_failures < TOLERATED_RESETS => {
                self.consecutive_failures += 1;
            }
            // Silent, down or restarting: what comes back may be in slow start, and the list says so seconds
            // later.
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionReset => {
                let doublings = self.consecutive_failures.min(MOST_DOUBLINGS);
                let span = (FIRST_EJECTION * f64::from(1u32 << doublings)).min(LONGEST_EJECTION);
                self.ejected_until = now + span;
                self.consecutive_failures += 1;
            }
            Outcome::Success | Outcome::Failure | Outcome::Overloaded => {
                self.last_response_at = now;
                self.consecutive_failures = 0;
                self.ejected_until = 0.0;
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }
}
