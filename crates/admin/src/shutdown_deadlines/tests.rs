//! The deadlines of a shutdown, for short, typical and very long request deadlines.

use std::time::Duration;

use super::{ShutdownDeadlines, ShutdownMode, TERMINATION_ACCEPT_PERIOD};

const MILLIS: fn(u64) -> Duration = Duration::from_millis;
/// A process may be held up for this long between reading its clock and writing a response.
const MAX_STALL: Duration = Duration::from_millis(150);

#[test]
fn late_requests_are_answered_before_the_kill_and_others_have_their_whole_deadline() {
    for longest in [200, 480, 1_000, 3_000, 4_110, 30_000] {
        let deadlines = ShutdownDeadlines::new(MILLIS(longest));
        // A request that is accepted at the end of the accept period, with the longest deadline.
        assert!(
            deadlines.responses_due_after() > TERMINATION_ACCEPT_PERIOD + MILLIS(longest),
            "{longest} ms"
        );
        let kill = MILLIS(longest.min(3_000) + 700);
        assert!(deadlines.responses_due_after() > kill, "{longest} ms");
        for mode in [ShutdownMode::Standalone, ShutdownMode::Replaced] {
            let late = deadlines.late_requests(mode);
            assert!(
                late.begins_after <= MILLIS(700)
                    && late.begins_after < late.respond_within
                    && late.respond_within + MAX_STALL < kill,
                "{longest} ms, {mode:?}"
            );
        }
        assert!(
            deadlines.keep_alive_for(ShutdownMode::Replaced)
                < deadlines
                    .late_requests(ShutdownMode::Replaced)
                    .respond_within,
            "{longest} ms"
        );
    }
}
