//! Call windows: time spans in which each node of a set calls the list service once.

use applewall_node_types::{TimeSpan, Timestamp};

use super::slot::Slot;
use super::StartupScheduler;

/// Time after its start during which a node waits for replies before its first call: twice the delay of the slowest
/// datagrams.
pub(super) const REPLY_COLLECTION_PERIOD: TimeSpan = TimeSpan::from_seconds(0.08);
/// Minimum length, in reply collection periods, of a window that is counted from the cohort's start. In a shorter window,
/// many of the first slots would fall into the collection period, and all of these nodes would call when it ends.
const MIN_SHARED_WINDOW_PERIODS: f64 = 10.0;
/// Time in which gossip reaches all nodes of the cohort: ten messages from each node.
const COHORT_CONVERGENCE_PERIOD: TimeSpan = TimeSpan::from_seconds(1.0);
/// Minimum length of the fleet window for which the window begins only after gossip has converged. With a shorter fleet
/// window, waiting for convergence costs more time than it gains.
const MIN_FLEET_WINDOW_FOR_CONVERGENCE: TimeSpan = TimeSpan::from_seconds(4.0);

/// The first of a sequence of consecutive windows of equal length.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallWindow {
    pub(super) begins_at: Timestamp,
    pub(super) length: TimeSpan,
}

impl CallWindow {
    /// The end of the window, which is the beginning of the next one.
    pub(super) fn ends_at(self) -> Timestamp {
        self.begins_at + self.length
    }

    /// The time of a slot in this window.
    pub(super) fn time_of(self, slot: Slot) -> Timestamp {
        self.begins_at + slot.offset(self.length)
    }

    /// The first time of a slot later than `after`, in this window or a subsequent one. With the slot at `t` in this window,
    /// the number of windows from there is `floor((after - t) / length) + 1`, or 0 if `t` itself is later than `after`.
    ///
    /// Tests: `call_after_a_failure_is_at_the_next_time_of_the_slot`,
    /// `service_that_recovers_from_silence_is_not_flooded_even_if_it_answers_all_queued_calls_at_once`.
    pub(super) fn next_time_of(self, slot: Slot, after: Timestamp) -> Timestamp {
        let first = self.time_of(slot);
        let windows = (((after - first) / self.length).floor() + 1.0).max(0.0);
        first + self.length * windows
    }
}

impl StartupScheduler {
    /// The window of the start cohort. Its length is `cohort_size / calls_per_second` seconds, the time that `cohort_size`
    /// calls take at the configured rate.
    ///
    /// Tests: `fleet_without_lists_calls_within_its_budget_and_finishes_soon`,
    /// `first_call_window_follows_the_estimated_and_then_the_known_cohort_size`.
    pub(super) fn cohort_window(&self) -> CallWindow {
        self.first_window(TimeSpan::from_seconds(
            self.cohort_size() / self.calls_per_second,
        ))
    }

    /// The window of the whole fleet, for calls that all nodes make.
    pub(super) fn fleet_window(&self) -> CallWindow {
        self.first_window(self.fleet_window_length())
    }

    /// Length of the fleet window: `fleet_size / calls_per_second` seconds.
    pub(super) fn fleet_window_length(&self) -> TimeSpan {
        TimeSpan::from_seconds(f64::from(self.fleet_size) / self.calls_per_second)
    }

    /// The first window of this length.
    ///
    /// Windows are counted from the start of the cohort's last node, which is the same for all nodes: slots are evenly
    /// spaced only if the windows of all nodes begin together. A window that is too short for that begins at this node's own
    /// start.
    ///
    /// Test: `nodes_that_start_one_after_the_other_use_one_window`.
    fn first_window(&self, length: TimeSpan) -> CallWindow {
        let begins_at = if length <= REPLY_COLLECTION_PERIOD * MIN_SHARED_WINDOW_PERIODS {
            self.started_at
        } else if self.slots_depend_on_cohort()
            && self.fleet_window_length() >= MIN_FLEET_WINDOW_FOR_CONVERGENCE
        {
            self.cohort_started_at + COHORT_CONVERGENCE_PERIOD
        } else {
            self.cohort_started_at + REPLY_COLLECTION_PERIOD
        };
        CallWindow { begins_at, length }
    }

    /// Whether the slots depend on the members of the cohort: only part of the fleet starts, or only some of the starting
    /// nodes have a list.
    fn slots_depend_on_cohort(&self) -> bool {
        let known = self.cohort.counts();
        let only_some_start = if self.cohort.is_complete() {
            known.started + 1 < self.fleet_size
        } else {
            self.replies.iter().any(|reply| !reply.started_recently)
        };
        let without_list = known.without_list + u32::from(self.started_without_list);
        only_some_start || (1..=known.started).contains(&without_list)
    }
}
