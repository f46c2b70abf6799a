//! Counts of attempt outcomes in one monitor interval, or pooled over peers.

use serde::{Deserialize, Serialize};

/// Counts of outcomes and of work, used by the load index and the backlog limit. They cover one interval, or are sums
/// with exponential decay.
///
/// The order of the fields is part of the state snapshot's encoding.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadStatistics {
    /// Outcomes at healthy endpoints.
    pub outcomes: f64,
    /// Responses whose latency, as a fraction of the objective, is above the overload threshold.
    pub slow: f64,
    /// Responses whose latency, as a fraction of the objective, is below the underload threshold.
    pub fast: f64,
    /// Attempts rejected by the endpoint, or that could not connect.
    pub rejected: f64,
    /// Attempts that timed out.
    pub timed_out: f64,
    /// Number of monitor intervals in the sums.
    pub intervals: f64,
    /// Work in flight, summed over the intervals.
    pub in_flight: f64,
    /// Work completed, summed over the intervals.
    pub completed: f64,
    /// Work requested within quotas, summed over the intervals.
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

    /// Returns the counts scaled by `weight`.
    #[must_use]
    pub fn scaled(&self, weight: f64) -> Self {
        LoadStatistics::default().plus(self, weight)
    }

    /// Mean work in flight per interval.
    pub(super) fn in_flight_per_interval(&self) -> f64 {
        self.in_flight / self.intervals.max(1.0)
    }
}
