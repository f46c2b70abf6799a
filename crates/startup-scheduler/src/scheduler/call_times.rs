//! Times of calls to the list service: the first call, and the calls after an answer or a failure.
//!
//! The nodes of a cohort call within one window, which is long enough to keep the calls of all of them within the configured
//! budget. Each node has its own slot in the window. A node that calls only in its slot calls once per window, so that the
//! calls of the fleet stay within the budget whatever the results of earlier calls were.

use applewall_node_types::{TimeSpan, Timestamp};
use rand::Rng;

use super::call_window::{CallWindow, REPLY_COLLECTION_PERIOD};
use super::StartupScheduler;
use crate::event::{CallFailure, ListState};

/// Minimum delay before a call is repeated. Limits one node to 20 calls per second, whatever the settings are.
const MIN_RETRY_DELAY: TimeSpan = TimeSpan::from_seconds(0.05);
/// Maximum delay that the service may request, equal to the longest watch: an incorrect value must not leave the node
/// without a list.
const MAX_RETRY_AFTER: TimeSpan = TimeSpan::from_seconds(60.0);
/// Fraction of the window within which a rejected node without a list makes its first quick retry; the second one is made
/// within twice that fraction. If few nodes are rejected, their retries stay within the slack of the budget
/// (`docs/cold-start-design.md`).
const QUICK_RETRY_WINDOW_FRACTION: f64 = 0.2;
/// Maximum number of consecutive quick retries before a node waits for its slot again.
const MAX_QUICK_RETRIES: u32 = 1;
/// Maximum number of consecutive quick retries in a window that is based on an estimate of the cohort's size: the window may
/// be too short, so that more calls are rejected.
const MAX_QUICK_RETRIES_ESTIMATED: u32 = 2;
/// Minimum duration of a call that counts as queued by the service. A recovering service rejects all queued calls at the
/// same time, so their nodes must not retry quickly.
const MIN_QUEUED_CALL_DURATION: TimeSpan = TimeSpan::from_seconds(0.1);
/// Maximum number of fleet windows over which a node with a list spreads its retry. The number starts at one and doubles
/// with each failure. The maximum bounds the age of the list that the node serves from.
const MAX_BACKOFF_WINDOWS: f64 = 4.0;
/// Maximum number of consecutive failures that are counted. Limits the backoff exponent, which shifts a 32-bit number.
const MAX_COUNTED_FAILURES: u32 = 16;
/// Minimum wait that a watch requests: a small fleet does not need more than one call per node in five seconds.
const MIN_WATCH_DURATION: TimeSpan = TimeSpan::from_seconds(5.0);
/// Maximum wait that a watch requests: the platform allows one minute.
const MAX_WATCH_DURATION: TimeSpan = TimeSpan::from_seconds(60.0);
/// Fraction of the budget for watches that end without a change. The rest is reserved for starting nodes and for changes.
const WATCH_BUDGET_FRACTION: f64 = 0.5;

impl StartupScheduler {
    /// Whether replies of peers may still change the time of the first call.
    pub fn is_collecting_replies(&self, now: Timestamp) -> bool {
        now - self.started_at < REPLY_COLLECTION_PERIOD
            && (self.replies.len() as u32) < self.queried_peers()
    }

    /// Time of the first call, given the messages received so far. To be recomputed when messages arrive.
    ///
    /// Test: `node_that_starts_alone_calls_at_once_however_large_the_fleet`.
    pub fn first_call_at(&self, now: Timestamp) -> Timestamp {
        if self.is_collecting_replies(now) {
            return self.started_at + REPLY_COLLECTION_PERIOD;
        }
        self.cohort_window().time_of(self.cohort_slot(now)).max(now)
    }

    /// Processes an answer of the service and returns the time of the next call.
    pub(super) fn next_call_after_answer(
        &mut self,
        now: Timestamp,
        revision: u64,
        changed: bool,
    ) -> Timestamp {
        let is_first_answer = !matches!(self.list, ListState::Confirmed(_));
        // Computed before the list changes, because the slot depends on the list that the node started with.
        let slot = self.cohort_slot(now);
        self.failures = 0;
        self.list = ListState::Confirmed(revision);
        // The first watch is an additional call of each node. It waits for the end of the first window, when all nodes have
        // called once.
        if is_first_answer {
            let window = self.cohort_window();
            return window.next_time_of(slot, now.max(window.ends_at()));
        }
        // Watches without a change end as far apart as they began. All watches that end with a change end at the same time,
        // so the next calls are spread over a fleet window.
        if !changed {
            return now;
        }
        now + self.fleet_slot().offset(self.fleet_window_length())
    }

    /// Processes a failed call and returns the time of the next call.
    pub(super) fn next_call_after_failure(
        &mut self,
        now: Timestamp,
        failure: CallFailure,
    ) -> Timestamp {
        self.failures = (self.failures + 1).min(MAX_COUNTED_FAILURES);
        if failure.rejected {
            self.overloaded_at = Some(now);
        }
        // If a call of a node with a list fails, the calls of all watching nodes fail, not only those of starting nodes.
        let (window, slot) = match self.list {
            ListState::Missing => (self.cohort_window(), self.cohort_slot(now)),
            _ => (self.fleet_window(), self.fleet_slot()),
        };
        if let Some(retry_after) = failure.retry_after {
            let wait = retry_after.clamp(MIN_RETRY_DELAY, MAX_RETRY_AFTER);
            return window.next_time_of(slot, now + wait);
        }
        if self.may_retry_quickly(window, failure) {
            return self.quick_retry_at(now, window);
        }
        let skipped = f64::from(self.random_skipped_windows(window));
        window.next_time_of(slot, now + MIN_RETRY_DELAY) + window.length * skipped
    }

    /// Whether the node may retry before its next slot, within the slack of the budget. Only nodes without a list whose call
    /// was rejected immediately may.
    fn may_retry_quickly(&self, window: CallWindow, failure: CallFailure) -> bool {
        let is_estimated = window.length < self.fleet_window_length() && !self.cohort.is_complete();
        let max_retries = if is_estimated {
            MAX_QUICK_RETRIES_ESTIMATED
        } else {
            MAX_QUICK_RETRIES
        };
        failure.rejected
            && self.list == ListState::Missing
            && self.failures <= max_retries
            && failure.duration < MIN_QUEUED_CALL_DURATION
    }

    /// The time of a quick retry, uniformly distributed over a fraction of the window that grows with each failure. If `r`
    /// rejected nodes retry within a fraction `p` of a window, they add `r / (p * length)` calls per second.
    ///
    /// Tests: `rejected_node_without_a_list_retries_within_a_fifth_of_its_window`,
    /// `service_with_half_of_the_configured_capacity_is_not_overrun`.
    fn quick_retry_at(&mut self, now: Timestamp, window: CallWindow) -> Timestamp {
        let max_delay = window.length * QUICK_RETRY_WINDOW_FRACTION * f64::from(self.failures);
        now + MIN_RETRY_DELAY + max_delay * self.rng.random::<f64>()
    }

    /// Number of windows that a node skips before its next call, chosen at random from `0..2^(failures - 1)`, so that each
    /// failure halves the call rate of nodes that fail together.
    ///
    /// A node without a list skips at most as many windows as fit into a fleet window, since nodes with a list leave the
    /// service to it.
    ///
    /// Test: `node_with_a_list_backs_off_by_at_most_four_fleet_windows`.
    fn random_skipped_windows(&mut self, window: CallWindow) -> u32 {
        let max_windows = if self.list == ListState::Missing {
            (self.fleet_window_length() / window.length).max(1.0)
        } else {
            MAX_BACKOFF_WINDOWS
        };
        let windows = f64::from(1u32 << (self.failures - 1))
            .min(max_windows)
            .floor();
        self.rng.random_range(0..windows as u32)
    }

    /// The wait that a watch requests. `fleet_size` watches that last `d` seconds each cause `fleet_size / d` calls per
    /// second. If they may use `WATCH_BUDGET_FRACTION` of the budget, `d = fleet_size / (calls_per_second * fraction)`.
    ///
    /// Test: `watches_of_all_nodes_use_half_of_the_budget`.
    pub fn watch_duration(&self) -> TimeSpan {
        let watches_per_second = self.calls_per_second * WATCH_BUDGET_FRACTION;
        TimeSpan::from_seconds(f64::from(self.fleet_size) / watches_per_second)
            .clamp(MIN_WATCH_DURATION, MAX_WATCH_DURATION)
    }
}
