//! When the list service is called: the first time, after an answer and after a failure.
//!
//! The nodes of a cohort share one window, which is as long as the service's budget of calls needs for all of them, and each
//! has its own place in it. A node that keeps to its place calls once a window, so the fleet keeps to the budget whatever
//! became of earlier calls.

use rand::Rng;

use super::{CallFailure, ListState, Seconds, StartupScheduler};

/// Time after its start for which a node waits for replies before its first call: twice the slowest datagrams' delay.
const REPLY_COLLECTION_PERIOD: Seconds = 0.08;
/// A window this many times longer than the reply collection is counted from the cohort's start: in a shorter one, the
/// first places would come up while replies are still collected, and all of them would call when that ends.
const MIN_SHARED_WINDOW_PERIODS: f64 = 10.0;
/// Time in which gossip reaches the whole cohort.
const COHORT_CONVERGENCE_PERIOD: Seconds = 1.0;
/// The least window of the whole fleet that may begin as late as gossip has converged.
const MIN_FLEET_WINDOW_FOR_CONVERGENCE: Seconds = 4.0;
/// Least wait before a call is repeated.
const MIN_RETRY_DELAY: Seconds = 0.05;
/// Bounds what the service may ask to wait.
const MAX_RETRY_AFTER: Seconds = 60.0;
/// Fraction of the window within which a rejected node without a list retries; the second time, within twice that.
const QUICK_RETRY_WINDOW_FRACTION: f64 = 0.2;
/// Quick retries before a node waits for its place again.
const MAX_QUICK_RETRIES: u32 = 1;
/// The same where the window rests on an estimate of the cohort's size.
const MAX_QUICK_RETRIES_ESTIMATED: u32 = 2;
/// A call that took longer was held by the service: all held calls are rejected at the same moment.
const HELD_CALL_DURATION: Seconds = 0.1;
/// Windows of the fleet over which the retries of a node with a list are spread, at most; they begin with one and double.
const MAX_BACKOFF_WINDOWS: f64 = 4.0;
/// Bounds the count of failures, and with it the exponent of the backoff.
const MAX_COUNTED_FAILURES: u32 = 16;
/// The least and the longest time that a watch asks to wait: the platform allows a minute at most.
const MIN_WATCH: Seconds = 5.0;
const MAX_WATCH: Seconds = 60.0;
/// Fraction of the budget for watches that end without a change; the rest is for starting nodes and for changes.
const WATCH_BUDGET_FRACTION: f64 = 0.5;

impl StartupScheduler {
    /// Number of nodes that start together, estimated from the peers that were asked.
    fn estimated_cohort_size(&self) -> f64 {
        let fleet_size = f64::from(self.fleet_size);
        let asked = f64::from(self.peers_to_ask.min(self.fleet_size - 1));
        if asked == 0.0 {
            return 1.0;
        }
        // No reply: all peers are just starting, or all messages are lost. The worse is assumed.
        if self.replies.is_empty() && self.starting_peers.is_empty() {
            return fleet_size;
        }
        let replied = self.replies.len().max(1) as f64;
        let recent = self.replies.iter().filter(|reply| reply.started_recently);
        let recent = recent.count() as f64;
        // Each starting node asks `asked` peers, so a peer that heard of `h` of them stands for `h * fleet_size / asked`.
        // This node is one of those that it heard of.
        let heard_by_peers = self
            .replies
            .iter()
            .map(|reply| f64::from(reply.starting_peers.saturating_sub(1)))
            .sum::<f64>()
            / replied;
        let heard_here = self.starting_peers.len() as f64;
        let by_replies = if self.replies.is_empty() {
            fleet_size
        } else {
            recent / replied * fleet_size
        };
        // A silent peer may not be up yet: half of the silent ones count as starting.
        let silent = (asked - self.replies.len() as f64).max(0.0) / 2.0 / asked * fleet_size;
        by_replies
            .max(heard_by_peers.max(heard_here - asked) * fleet_size / asked)
            .max(silent)
            .clamp(1.0, fleet_size)
    }

    /// Number of nodes that start together: counted if the cohort is complete, and otherwise an upper estimate.
    fn cohort_size(&self) -> f64 {
        let known = f64::from(self.cohort.counts().started + 1);
        if self.cohort.is_complete() {
            known
        } else {
            known.max(self.estimated_cohort_size())
        }
    }

    /// True while replies of peers may still change the time of the first call.
    pub fn is_collecting_replies(&self, now: Seconds) -> bool {
        now - self.started_at < REPLY_COLLECTION_PERIOD
            && (self.replies.len() as u32) < self.peers_to_ask.min(self.fleet_size - 1)
    }

    /// Time of the first call by what is known now; to be asked again as messages arrive.
    pub fn first_call_at(&self, now: Seconds) -> Seconds {
        if self.is_collecting_replies(now) {
            return self.started_at + REPLY_COLLECTION_PERIOD;
        }
        let window = self.cohort_window();
        (self.first_window_at(window) + window * self.place_in_cohort_window(now)).max(now)
    }

    /// Length of the window of the nodes that start together.
    fn cohort_window(&self) -> Seconds {
        self.cohort_size() / self.calls_per_second
    }

    /// Length of the window of the whole fleet.
    fn fleet_window(&self) -> Seconds {
        f64::from(self.fleet_size) / self.calls_per_second
    }

    /// The node's place among the whole fleet, from 0 to 1 in even steps.
    fn place_in_fleet_window(&self) -> f64 {
        (self.cohort.place(self.node) as f64 + 0.5) / f64::from(self.fleet_size)
    }

    /// The node's place among those that start together, from 0 to 1, and later where a node with a list can wait. Nodes
    /// without a list come first; among its kind, a node has its place by the fleet's order.
    fn place_in_cohort_window(&self, now: Seconds) -> f64 {
        let known = f64::from(self.cohort.counts().started);
        let without_list = f64::from(self.cohort.counts().without_list);
        let is_complete = self.cohort.is_complete();
        // Of the first few nodes heard of, the fraction without a list says little.
        let uncertainty = if is_complete { 0.0 } else { 0.5 };
        let all = known + 1.0 + 2.0 * uncertainty;
        if self.started_without_list {
            let fraction_without_list = if without_list == known {
                1.0
            } else {
                (without_list + 1.0 + uncertainty) / all
            };
            return self.place_among_kind(without_list + 1.0) * fraction_without_list;
        }
        let fraction_without_list = if without_list == 0.0 {
            0.0
        } else {
            (without_list + uncertainty) / all
        };
        let list_is_restored = matches!(self.list, ListState::Restored(_));
        // A node that knows of a newer list goes before the others that have one.
        let list_is_outdated = matches!(
            self.list,
            ListState::Restored(revision)
                if self.newest_peer_revision.is_some_and(|newest| newest > revision)
        );
        // While calls are rejected, a node with a list leaves the service to the others for a window.
        let yields = without_list > 0.0 && list_is_restored && self.is_overloaded(now);
        let hurry = if list_is_outdated && without_list > 0.0 {
            0.5
        } else {
            1.0
        };
        let place = self.place_among_kind(known - without_list + 1.0) * hurry;
        fraction_without_list + place * (1.0 - fraction_without_list) + f64::from(u8::from(yields))
    }

    /// The node's place among the `kind_size` nodes that, like it, have or lack a list: even steps where the cohort is
    /// complete. Of an incomplete one, the rank says less than the place among the whole fleet.
    fn place_among_kind(&self, kind_size: f64) -> f64 {
        if self.cohort.is_complete() {
            (f64::from(self.cohort.earlier(self.started_without_list)) + 0.5) / kind_size
        } else {
            self.place_in_fleet_window()
        }
    }

    /// When the first window of this length begins.
    ///
    /// Windows are counted from the start of the cohort's last node, the same for all nodes: places are even only among
    /// windows with one beginning. Where only some nodes start, or some of them have a list, places depend on the cohort;
    /// windows then begin once gossip has converged, if the window of the whole fleet is long enough for that.
    fn first_window_at(&self, window: Seconds) -> Seconds {
        if window <= MIN_SHARED_WINDOW_PERIODS * REPLY_COLLECTION_PERIOD {
            return self.started_at;
        }
        let known = self.cohort.counts();
        let without_list = known.without_list + u32::from(self.started_without_list);
        let is_complete = self.cohort.is_complete();
        let any_running = self.replies.iter().any(|reply| !reply.started_recently);
        let only_some_start =
            any_running && !is_complete || is_complete && known.started + 1 < self.fleet_size;
        let places_need_cohort = only_some_start || (1..=known.started).contains(&without_list);
        let delay = if places_need_cohort && self.fleet_window() >= MIN_FLEET_WINDOW_FOR_CONVERGENCE
        {
            COHORT_CONVERGENCE_PERIOD
        } else {
            REPLY_COLLECTION_PERIOD
        };
        self.cohort_started_at + delay
    }

    /// The time of this place in the first window that puts it later than `after`.
    fn next_time_of_place(&self, window: Seconds, place: f64, after: Seconds) -> Seconds {
        let first = self.first_window_at(window) + window * place;
        first + window * (((after - first) / window).floor() + 1.0).max(0.0)
    }

    /// The service answered a call. Returns the time of the next one.
    pub(super) fn after_answer(&mut self, now: Seconds, revision: u64, changed: bool) -> Seconds {
        let is_first_answer = !matches!(self.list, ListState::Confirmed(_));
        // Computed before the list changes: the place depends on what the node started with.
        let place = self.place_in_cohort_window(now);
        self.failures = 0;
        self.list = ListState::Confirmed(revision);
        // The first watch is one more call of each node: nodes that have no list yet go before it.
        if is_first_answer {
            let window = self.cohort_window();
            let after = now.max(self.first_window_at(window) + window);
            return self.next_time_of_place(window, place, after);
        }
        // Watches without a change end as far apart as they began. All that end with a change end together and would
        // begin together.
        if !changed {
            return now;
        }
        now + self.fleet_window() * self.place_in_fleet_window()
    }

    /// A call failed. Returns the time of the next one.
    pub(super) fn after_failure(&mut self, now: Seconds, failure: CallFailure) -> Seconds {
        self.failures = (self.failures + 1).min(MAX_COUNTED_FAILURES);
        if failure.rejected {
            self.overloaded_at = now;
        }
        // What a node with a list loses, all of the fleet have lost.
        let (window, place) = match self.list {
            ListState::Missing => (self.cohort_window(), self.place_in_cohort_window(now)),
            _ => (self.fleet_window(), self.place_in_fleet_window()),
        };
        if let Some(retry_after) = failure.retry_after {
            let wait = retry_after.clamp(MIN_RETRY_DELAY, MAX_RETRY_AFTER);
            return self.next_time_of_place(window, place, now + wait);
        }
        if self.may_retry_quickly(window, failure) {
            let quick = window * QUICK_RETRY_WINDOW_FRACTION * f64::from(self.failures);
            return now + MIN_RETRY_DELAY + quick * self.rng.random::<f64>();
        }
        // Backoff: a node without a list calls at least once in the window of the whole fleet, since those with one leave
        // the service to it.
        let max_windows = if self.list == ListState::Missing {
            (self.fleet_window() / window).max(1.0)
        } else {
            MAX_BACKOFF_WINDOWS
        };
        let windows = f64::from(1u32 << (self.failures - 1))
            .min(max_windows)
            .floor();
        let skipped = self.rng.random_range(0..windows as u32);
        self.next_time_of_place(window, place, now + MIN_RETRY_DELAY) + window * f64::from(skipped)
    }

    /// True for the few that may retry soon, within the slack of the budget: nodes without a list that were rejected at
    /// once. Held calls are excluded: a service that comes back rejects all of them at the same moment.
    fn may_retry_quickly(&self, window: Seconds, failure: CallFailure) -> bool {
        let is_estimated = window < self.fleet_window() && !self.cohort.is_complete();
        let max_retries = if is_estimated {
            MAX_QUICK_RETRIES_ESTIMATED
        } else {
            MAX_QUICK_RETRIES
        };
        failure.rejected
            && self.list == ListState::Missing
            && self.failures <= max_retries
            && failure.duration < HELD_CALL_DURATION
    }

    /// How long a watch asks to wait: as long as the watches of the whole fleet keep to their part of the budget.
    pub fn watch_duration(&self) -> Seconds {
        let fleet_size = f64::from(self.fleet_size);
        (fleet_size / (self.calls_per_second * WATCH_BUDGET_FRACTION)).clamp(MIN_WATCH, MAX_WATCH)
    }
}
