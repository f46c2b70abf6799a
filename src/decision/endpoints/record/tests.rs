//! Detection of endpoint restarts from the start times in the endpoint list.

use super::*;
use crate::decision::endpoints::outcome_history::OutcomeHistory;

/// Guards against taking a slightly later start time for a restart. The Unix time of the same start shifts when it is
/// converted again after a hot restart or with a drifting clock; all state of the endpoint would be lost.
#[test]
fn slightly_later_start_time_is_no_restart_but_a_clearly_later_one_is() {
    let started_at = Timestamp::from_seconds(900.0);
    for (later_seconds, is_restart) in [(-1.0, false), (0.001, false), (0.09, false), (0.2, true)] {
        let entry = Endpoint::default();
        let mut record = EndpointRecord::new(entry.clone(), started_at, OutcomeHistory::new(1, 1));
        record.consecutive_failures = 2;
        record.latency_factor = 3.0;
        record.update(&entry, started_at + TimeSpan::from_seconds(later_seconds));
        let is_reset = record.consecutive_failures == 0 && record.latency_factor == 1.0;
        assert_eq!(is_reset, is_restart, "{later_seconds} s later");
        let begins_slow_start = record.slow_start_from > started_at;
        assert_eq!(begins_slow_start, is_restart, "{later_seconds} s later");
    }
}
