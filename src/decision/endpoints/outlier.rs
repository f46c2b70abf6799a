//! Outlier ejection: an endpoint that cannot be reached or does not respond in time temporarily gets only a minimum of
//! requests.

use applewall_node_types::{TimeSpan, Timestamp};

use super::record::EndpointRecord;
use crate::api::Outcome;

/// Ejection time after the first consecutive failure. It doubles with each further one, including tolerated resets:
/// the third consecutive reset ejects for four times as long.
const FIRST_EJECTION: TimeSpan = TimeSpan::from_seconds(0.5);
/// Maximum ejection time, after which an endpoint that has recovered gets traffic again.
const MAX_EJECTION: TimeSpan = TimeSpan::from_seconds(4.0);
/// Maximum number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 3;
/// Number of consecutive connection resets that do not eject an endpoint: single connections break, and a malformed
/// response counts as a reset. An endpoint that is down is ejected nevertheless, as soon as it refuses a connection.
const TOLERATED_RESETS: u32 = 2;

impl EndpointRecord {
    /// Returns true while the ejection lasts; a response ends it early.
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Ejects the endpoint after an outcome that counts against it, and ends its ejection after a response.
    pub(super) fn apply_outcome(&mut self, now: Timestamp, sent_at: Timestamp, outcome: Outcome) {
        match outcome {
            // The endpoint has answered another attempt since, so the request was slow, not the endpoint.
            Outcome::TimedOut if self.has_answered_since(sent_at) => {}
            Outcome::ConnectionReset if self.consecutive_failures < TOLERATED_RESETS => {
                self.consecutive_failures += 1;
            }
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionReset => {
                self.eject(now);
            }
            Outcome::Success | Outcome::Failure | Outcome::Overloaded => {
                self.last_response_at = Some(now);
                self.consecutive_failures = 0;
                self.ejected_until = None;
            }
            Outcome::Cancelled | Outcome::NotSent | Outcome::NotSentRetryable => {}
        }
    }

    fn has_answered_since(&self, sent_at: Timestamp) -> bool {
        self.last_response_at
            .is_some_and(|response| response >= sent_at)
    }

    /// Ejects the endpoint, which does not respond, is down or is restarting. After a restart it is in slow start,
    /// which the endpoint list shows only seconds later.
    fn eject(&mut self, now: Timestamp) {
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let span = (FIRST_EJECTION * f64::from(1u32 << doublings)).min(MAX_EJECTION);
        self.ejected_until = Some(now + span);
        self.consecutive_failures += 1;
    }
}
