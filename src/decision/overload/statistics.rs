//! Counts of attempt outcomes and of work, of one node or pooled over peers.

use serde::{Deserialize, Serialize};

/// Counts of outcomes and of work, used by the load index and the backlog limit. They cover one monitor interval, or
/// are sums over intervals with exponential decay. Work is measured in the cost of a mean request.
///
/// The order of the fields is part of the state snapshot's encoding.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadStatistics {
    /// Outcomes of all kinds at healthy endpoints.
    pub outcomes: f64,
    /// Successes whose latency, as a fraction of the objective, is above the overload threshold.
    pub slow: f64,
    /// Successes whose latency, as a fraction of the objective, is below the underload threshold.
    pub fast: f64,
    /// Attempts rejected by the endpoint, or that could not connect.
    pub rejected: f64,
    /// Attempts that timed out no earlier than the latency objective.
    pub timed_out: f64,
    /// Number of monitor intervals that the sums of work cover; of all contributing nodes together.
    pub intervals: f64,
    /// Work in flight at the end of each interval, summed over the intervals.
    pub in_flight: f64,
    /// Work completed in the intervals; a timed-out attempt counts for a fraction.
    pub completed: f64,
    /// Work of the requests that arrived in the intervals and were admitted by their customers' limits.
    pub requested: f64,
}

impl LoadStatistics {
    /// Returns the sum of these counts and of `other` scaled by `weight`.
    #[must_use]
    pub fn plus(&self, other: &LoadStatistics, weight: f64) -> Self {
        LoadStatistics {
            outcomes: self.outcomes + other.outcomes * weight,
            slow: self.slow + other.slow * weight,
            fast: self.fast + other.fast * weight,
            rejected: self.rejected + other.rejected * weight,
            timed_out: self.timed_out + other.timed_out * weight,
            intervals: self.intervals + other.intervals * weight,
            in_flight: self.in_flight + other.in_flight * weight,
            completed: self.completed + other.completed * weight,
            requested: self.requested + other.requested * weight,
        }
    }

    /// Returns all counts multiplied by `weight`.
    #[must_use]
    pub fn scaled(&self, weight: f64) -> Self {
        LoadStatistics::default().plus(self, weight)
    }

    /// Mean work in flight per interval.
    pub(super) fn in_flight_per_interval(&self) -> f64 {
        self.in_flight / self.intervals.max(1.0)
    }
}
