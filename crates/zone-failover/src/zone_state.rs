//! The state of one zone on one node: its phase, and the timing of ejections and returns.

#[cfg(test)]
mod tests;

use applewall_node_types::{TimeSpan, Timestamp};

use crate::observation::OutcomeSums;

/// Minimum ejection time before any failed return: one second, within which all nodes observe the zone's canary traffic.
/// Doubles with each failed return, up to [`MAX_EJECTION_TIME`].
const BASE_EJECTION_TIME: TimeSpan = TimeSpan::from_seconds(1.0);
/// Upper bound of the ejection time. After repeated failed returns, a recovered zone may stay unused for up to a minute.
const MAX_EJECTION_TIME: TimeSpan = TimeSpan::from_seconds(60.0);
/// Time in full use after which the ejection time is reset to [`BASE_EJECTION_TIME`]. As long as [`MAX_EJECTION_TIME`].
const EJECTION_TIME_RESET_PERIOD: TimeSpan = TimeSpan::from_seconds(60.0);

/// How a node currently uses a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZonePhase {
    /// Receives all of its usual traffic.
    InUse,
    /// Receives canary traffic only.
    Ejected,
    /// Receives a growing share of its usual traffic after an ejection.
    Returning,
}

/// The period during which the fleet observes a zone failing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailurePeriod {
    /// When the failure began: the time of the first evaluation that showed it, or the send time of an earlier failed
    /// attempt.
    pub(crate) began_at: Timestamp,
    /// Time of the latest evaluation that showed the zone failing.
    pub(crate) last_shown_at: Timestamp,
}

/// The state of one zone on this node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneState {
    pub(crate) phase: ZonePhase,
    /// Share of its usual traffic that the zone receives, canary traffic excluded.
    pub(crate) traffic_share: f64,
    phase_began_at: Timestamp,
    /// Minimum time for which the zone stays ejected.
    ejection_time: TimeSpan,
    /// Number of consecutive evaluations that found the zone failing.
    pub(crate) failing_evaluations: u32,
    /// Whether this node's own attempts show that another zone is healthy while this one fails.
    pub(crate) has_own_alternative: bool,
    /// The ongoing failure of the zone as observed by the fleet, if any.
    pub(crate) failure: Option<FailurePeriod>,
    /// The fleet's outcomes since the phase began, each weighted by the time for which it was counted.
    pub(crate) canary_outcomes: OutcomeSums,
}

impl ZoneState {
    /// Creates the state of a zone that has never failed and is in full use.
    pub(crate) fn new(now: Timestamp) -> Self {
        ZoneState {
            phase: ZonePhase::InUse,
            traffic_share: 1.0,
            phase_began_at: now,
            ejection_time: BASE_EJECTION_TIME,
            failing_evaluations: 0,
            has_own_alternative: false,
            failure: None,
            canary_outcomes: OutcomeSums::default(),
        }
    }

    pub(crate) fn is_in_use(&self) -> bool {
        self.phase == ZonePhase::InUse
    }

    /// Time spent in the current phase.
    pub(crate) fn phase_duration(&self, now: Timestamp) -> TimeSpan {
        now - self.phase_began_at
    }

    pub(crate) fn ejection_time(&self) -> TimeSpan {
        self.ejection_time
    }

    /// Ejects the zone, which then receives canary traffic only.
    pub(crate) fn eject(&mut self, now: Timestamp) {
        self.enter(now, ZonePhase::Ejected, 0.0);
    }

    /// Ejects the zone after a failed return, with twice the ejection time.
    pub(crate) fn eject_again(&mut self, now: Timestamp) {
        self.ejection_time = (self.ejection_time * 2.0).min(MAX_EJECTION_TIME);
        self.eject(now);
    }

    /// Begins the return with this share of the zone's usual traffic.
    pub(crate) fn begin_return(&mut self, now: Timestamp, traffic_share: f64) {
        self.enter(now, ZonePhase::Returning, traffic_share);
    }

    /// Completes the return and puts the zone in full use.
    pub(crate) fn restore(&mut self, now: Timestamp) {
        self.enter(now, ZonePhase::InUse, 1.0);
    }

    /// Resets the ejection time once the zone has been in full use for long enough.
    pub(crate) fn reset_ejection_time_if_stable(&mut self, now: Timestamp) {
        if self.phase_duration(now) > EJECTION_TIME_RESET_PERIOD {
            self.ejection_time = BASE_EJECTION_TIME;
        }
    }

    fn enter(&mut self, now: Timestamp, phase: ZonePhase, traffic_share: f64) {
        self.phase = phase;
        self.traffic_share = traffic_share;
        self.phase_began_at = now;
        self.canary_outcomes = OutcomeSums::default();
    }
}
