//! Which starts that the endpoint list tells are a restart.

use super::*;
use crate::decision::endpoints::outcome_history::OutcomeHistory;

/// Guards against a start that passes for a restart since its Unix time was converted again, as after a hot restart or by a
/// drifting clock: all that is known of the endpoint would be forgotten.
#[test]
fn start_that_is_told_a_little_later_is_no_restart_and_a_later_one_is() {
    let started_at = Timestamp::from_seconds(900.0);
    for (later_seconds, is_restart) in [(-1.0, false), (0.001, false), (0.09, false), (0.2, true)] {
        let entry = Endpoint::default();
        let mut record = EndpointRecord::new(entry.clone(), started_at, OutcomeHistory::new(1, 1));
        record.consecutive_failures = 2;
        record.latency_factor = 3.0;
        record.update(&entry, started_at + TimeSpan::from_seconds(later_seconds));
        let is_forgotten = record.consecutive_failures == 0 && record.latency_factor == 1.0;
        assert_eq!(is_forgotten, is_restart, "{later_seconds} s later");
        let begins_slow_start = record.slow_start_from > started_at;
        assert_eq!(begins_slow_start, is_restart, "{later_seconds} s later");
    }
}
