//! How one node uses a zone, and since when.

#[cfg(test)]
mod tests;

use applewall_node_types::{TimeSpan, Timestamp};

use crate::observation::OutcomeSums;

/// Shortest time for which a zone stays ejected: a second, in which its canaries are observed at all nodes. It doubles with
/// each return that fails, up to [`MAX_HOLD`].
const MIN_HOLD: TimeSpan = TimeSpan::from_seconds(1.0);
/// Longest time for which a zone stays ejected whatever its canaries do: a minute without a recovered zone is the price of
/// a zone that failed again and again.
const MAX_HOLD: TimeSpan = TimeSpan::from_seconds(60.0);
/// Time in full use after which the hold time is [`MIN_HOLD`] again: as long as the longest hold.
const HOLD_RESET_PERIOD: TimeSpan = TimeSpan::from_seconds(60.0);

/// How one node uses a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZonePhase {
    /// In full use.
    InUse,
    /// It gets canary requests only.
    Ejected,
    /// Returning, with a growing share of its usual traffic.
    Returning,
}

/// The time in which the fleet observes that a zone fails.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailurePeriod {
    /// The first evaluation that showed the failure.
    pub(crate) began_at: Timestamp,
    /// The last one.
    pub(crate) last_shown_at: Timestamp,
}

/// The state of one zone at this node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneState {
    /// How it is used.
    pub(crate) phase: ZonePhase,
    /// Share of its usual traffic that it gets, without canaries.
    pub(crate) traffic_share: f64,
    /// When the phase began.
    since: Timestamp,
    /// Shortest time for which it stays ejected.
    hold: TimeSpan,
    /// Consecutive evaluations that found it failing.
    pub(crate) failing_evaluations: u32,
    /// This node's own attempts show that another zone is healthy while this one fails.
    pub(crate) has_own_alternative: bool,
    /// The present failure of the zone, as the fleet observes it.
    pub(crate) failure: Option<FailurePeriod>,
    /// Outcomes since the phase began, weighted by time.
    pub(crate) canary_outcomes: OutcomeSums,
}

impl ZoneState {
    /// In full use.
    pub(crate) fn new(now: Timestamp) -> Self {
        ZoneState {
            phase: ZonePhase::InUse,
            traffic_share: 1.0,
            since: now,
            hold: MIN_HOLD,
            failing_evaluations: 0,
            has_own_alternative: false,
            failure: None,
            canary_outcomes: OutcomeSums::default(),
        }
    }

    /// True in full use.
    pub(crate) fn is_in_use(&self) -> bool {
        self.phase == ZonePhase::InUse
    }

    /// Time since the phase began.
    pub(crate) fn phase_duration(&self, now: Timestamp) -> TimeSpan {
        now - self.since
    }

    /// Shortest time for which the zone stays ejected.
    pub(crate) fn hold(&self) -> TimeSpan {
        self.hold
    }

    /// Ejects the zone: it gets canaries.
    pub(crate) fn eject(&mut self, now: Timestamp) {
        self.enter(now, ZonePhase::Ejected, 0.0);
    }

    /// Ejects the zone because its return failed: it stays ejected for longer than before.
    pub(crate) fn eject_again(&mut self, now: Timestamp) {
        self.hold = (self.hold * 2.0).min(MAX_HOLD);
        self.eject(now);
    }

    /// Begins to return with this share of the zone's usual traffic.
    pub(crate) fn begin_return(&mut self, now: Timestamp, traffic_share: f64) {
        self.enter(now, ZonePhase::Returning, traffic_share);
    }

    /// Ends the return: the zone is in full use.
    pub(crate) fn restore(&mut self, now: Timestamp) {
        self.enter(now, ZonePhase::InUse, 1.0);
    }

    /// Forgets earlier failures once the zone has been in full use for long enough.
    pub(crate) fn reset_hold_if_stable(&mut self, now: Timestamp) {
        if self.phase_duration(now) > HOLD_RESET_PERIOD {
            self.hold = MIN_HOLD;
        }
    }

    fn enter(&mut self, now: Timestamp, phase: ZonePhase, traffic_share: f64) {
        self.phase = phase;
        self.traffic_share = traffic_share;
        self.since = now;
        self.canary_outcomes = OutcomeSums::default();
    }
}
