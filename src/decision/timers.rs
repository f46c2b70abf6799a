//! Tokens of the timers that the policy sets.

use applewall_node_types::TimeSpan;

use crate::api::Action;

/// Timer of the monitor interval.
pub(super) const MONITOR_TIMER: u64 = 1;
/// Timer for reopening a failed watch.
pub(super) const WATCH_TIMER: u64 = 2;

pub(super) fn set_timer(after: TimeSpan, token: u64) -> Action {
    Action::SetTimer {
        after_ns: after.as_nanoseconds(),
        token,
    }
}
