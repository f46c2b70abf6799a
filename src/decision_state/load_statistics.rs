//! Counts of attempt outcomes: of one monitor interval, or pooled over peers.

use serde::{Deserialize, Serialize};

use super::{DecayingRate, Seconds};

/// Counts of outcomes and of work, for the load index and the backlog limit: of one interval, or
/// summed and aged.
///
/// The order of the fields is that of the gossip message and of the hot-restart snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadStatistics {
    /// Outcomes at healthy endpoints.
    pub outcomes: f64,
    /// Responses whose latency, as a part of the objective, is above the overload threshold.
    pub slow: f64,
    /// Responses whose latency, as a part of the objective, is below the underload threshold.
    pub fast: f64,
    /// Attempts rejected by the endpoint, or not connected.
    pub rejected: f64,
    /// Attempts timed out.
    pub timed_out: f64,
    /// Monitor intervals summed up.
    pub intervals: f64,
    /// Work in flight, summed over the intervals.
    pub in_flight: f64,
    /// Work completed, summed over the intervals.
    pub completed: f64,
    /// Work requested within quotas, summed over the intervals.
    pub requested: f64,
}

impl LoadStatistics {
    /// Number of fields.
    pub const FIELD_COUNT: usize = 9;

    /// The fields, in order.
    pub fn to_array(self) -> [f64; Self::FIELD_COUNT] {
        [
            self.outcomes,
            self.slow,
            self.fast,
            self.rejected,
            self.timed_out,
            self.intervals,
            self.in_flight,
            self.completed,
            self.requested,
        ]
    }

    /// Built from its fields, by their place in the order.
    pub fn from_fn(field: impl Fn(usize) -> f64) -> Self {
        LoadStatistics {
            outcomes: field(0),
            slow: field(1),
            fast: field(2),
            rejected: field(3),
            timed_out: field(4),
            intervals: field(5),
            in_flight: field(6),
            completed: field(7),
            requested: field(8),
        }
    }

    /// These with a weighted part of others added.
    #[must_use]
    pub fn plus(&self, other: &LoadStatistics, weight: f64) -> Self {
        let (own, added) = (self.to_array(), other.to_array());
        LoadStatistics::from_fn(|i| own[i] + added[i] * weight)
    }

    /// These, each multiplied by a weight.
    #[must_use]
    pub fn scaled(&self, weight: f64) -> Self {
        LoadStatistics::default().plus(self, weight)
    }

    /// Mean work in flight at an interval.
    pub(crate) fn in_flight_per_interval(&self) -> f64 {
        self.in_flight / self.intervals.max(1.0)
    }
}

/// Load statistics exchanged between the nodes of a large fleet, each of which sees too little by
/// itself.
#[derive(Default)]
pub(crate) struct PooledLoad {
    /// What this node passes on with its next gossip message: its own and what it was sent.
    pub(crate) outgoing: LoadStatistics,
    /// What peers sent, aged.
    pub(crate) received: LoadStatistics,
    /// Rate of messages taken in lately.
    pub(crate) messages: DecayingRate,
    /// Work per second that this node's part of one fully started endpoint is known to complete.
    pub(crate) capacity_per_endpoint: f64,
    /// How many fully started endpoints those that are ready amount to, by their slow-start fractions.
    pub(crate) effective_endpoints: f64,
    /// When the next part of the pool is sent to a peer.
    pub(crate) next_gossip_at: Seconds,
}

impl PooledLoad {
    /// Work per second that a node's part of the fleet's endpoints completes, by how many of them
    /// are there and fully started: what was completed before would show a loss of endpoints too late.
    pub(crate) fn capacity(&self) -> f64 {
        self.capacity_per_endpoint * self.effective_endpoints
    }

    /// Time that the work in flight in the fleet takes at the known capacity (Little's law).
    pub(crate) fn queueing_time(&self) -> Seconds {
        self.received.in_flight_per_interval() / self.capacity().max(1e-9)
    }
}
