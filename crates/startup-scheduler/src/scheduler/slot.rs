//! Slots: the position of each node within a call window.
//!
//! The order of the nodes is the same everywhere, and each node computes its own rank in it, so that no coordinator has to
//! assign slots.

use applewall_node_types::{TimeSpan, Timestamp};

use super::StartupScheduler;
use crate::event::ListState;

/// Additive smoothing of the counts of nodes with and without a list while the cohort is incomplete: the first few known
/// nodes may all happen to be in the same group.
const GROUP_SMOOTHING: f64 = 0.5;
/// Factor that moves a node with an outdated list to the first half of its group's slots: the node can serve, but its list
/// is known to be out of date.
const OUTDATED_LIST_SLOT_FACTOR: f64 = 0.5;

/// A node's position in a window, as a fraction of the window's length from 0 to 1. Above 1 for a node that skips the
/// window and calls in the next one.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct Slot(f64);

impl Slot {
    /// The slot's offset from the beginning of a window of this length.
    pub(super) fn offset(self, window: TimeSpan) -> TimeSpan {
        window * self.0
    }
}

impl StartupScheduler {
    /// The node's slot within the whole fleet. With ranks `0..n`, the slots `(rank + 0.5) / n` are evenly spaced over a
    /// window. The offset of one half puts the last slot of a window one step before the first slot of the next.
    ///
    /// Test: `slots_of_all_nodes_are_evenly_spaced`.
    pub(super) fn fleet_slot(&self) -> Slot {
        Slot((self.cohort.fleet_rank(self.node) as f64 + 0.5) / f64::from(self.fleet_size))
    }

    /// The node's slot within the start cohort. Nodes without a list cannot serve, so their group comes first: if they are a
    /// fraction `f` of the cohort, they have the slots from 0 to `f`, and the nodes with a list have those from `f` to 1.
    ///
    /// Test: `nodes_without_a_list_go_before_those_with_a_restored_one`.
    pub(super) fn cohort_slot(&self, now: Timestamp) -> Slot {
        if self.started_without_list {
            self.slot_without_list()
        } else {
            self.slot_with_list(now)
        }
    }

    /// `f * s`, where `f` is the fraction of nodes without a list, including this one, and `s` the slot within the group. If
    /// no known node has a list, `f` is 1 without smoothing, because a fleet usually loses all of its stored lists together.
    fn slot_without_list(&self) -> Slot {
        let known = self.cohort.counts();
        let group = f64::from(known.without_list) + 1.0;
        let group_fraction = if known.without_list == known.started {
            1.0
        } else {
            (group + self.group_smoothing()) / self.smoothed_cohort_count()
        };
        Slot(self.slot_in_group(group) * group_fraction)
    }

    /// `f + s * (1 - f)`, where `f` is the fraction of nodes without a list and `s` the slot within the group. If all known
    /// nodes have a list, `f` is 0 without smoothing.
    fn slot_with_list(&self, now: Timestamp) -> Slot {
        let known = self.cohort.counts();
        let without_list = f64::from(known.without_list);
        let fraction_without_list = if known.without_list == 0 {
            0.0
        } else {
            (without_list + self.group_smoothing()) / self.smoothed_cohort_count()
        };
        let list_is_outdated = matches!(
            self.list,
            ListState::Restored(revision)
                if self.newest_peer_revision.is_some_and(|newest| newest > revision)
        );
        let factor = if list_is_outdated && known.without_list > 0 {
            OUTDATED_LIST_SLOT_FACTOR
        } else {
            1.0
        };
        let group = f64::from(known.started) - without_list + 1.0;
        let slot = self.slot_in_group(group) * factor;
        // While the service rejects calls, nodes with a list skip the current window in favor of the nodes without one.
        let list_is_restored = matches!(self.list, ListState::Restored(_));
        let skips_window = known.without_list > 0 && list_is_restored && self.is_overloaded(now);
        let skipped_windows = f64::from(u8::from(skips_window));
        Slot(fraction_without_list + slot * (1.0 - fraction_without_list) + skipped_windows)
    }

    /// The node's slot within its group, the `group_size` nodes that also have, or also lack, a list. In a complete cohort
    /// the slots of a group are evenly spaced, as in [`fleet_slot`](Self::fleet_slot). In an incomplete cohort the node's
    /// rank would change with each newly known node, so its fleet slot is used instead, which is stable.
    ///
    /// Tests: `fleet_without_lists_calls_within_its_budget_and_finishes_soon`,
    /// `slots_are_evenly_spaced_among_nodes_with_and_among_nodes_without_a_list`.
    fn slot_in_group(&self, group_size: f64) -> f64 {
        if self.cohort.is_complete() {
            (f64::from(self.cohort.lower_ranked(self.started_without_list)) + 0.5) / group_size
        } else {
            self.fleet_slot().0
        }
    }

    /// The value to add to the count of each of the two groups.
    fn group_smoothing(&self) -> f64 {
        if self.cohort.is_complete() {
            0.0
        } else {
            GROUP_SMOOTHING
        }
    }

    /// Number of known nodes, including this one, plus the smoothing of both groups.
    fn smoothed_cohort_count(&self) -> f64 {
        f64::from(self.cohort.counts().started) + 1.0 + 2.0 * self.group_smoothing()
    }
}
