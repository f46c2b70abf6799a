//! Load statistics pooled by the nodes of a large fleet, since each of them has too few outcomes of its own.

use applewall_node_types::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};

use super::statistics::LoadStatistics;
use super::{MONITOR_INTERVAL, RATE_TIME_CONSTANT};
use crate::decision::decaying_rate::DecayingRate;

/// Minimum rate of recent messages, per second, at which the pool counts as representing more than one peer.
const MIN_POOLED_MESSAGES_PER_SECOND: f64 = 1.0;
/// Time constant of pooled statistics: about the length of the ladder's history.
const POOL_TIME_CONSTANT: TimeSpan = TimeSpan::from_seconds(1.0);
/// Time constant with which the known capacity falls: longer than endpoints take to recover from an overload, shorter
/// than a lasting loss of capacity.
const CAPACITY_TIME_CONSTANT: TimeSpan = TimeSpan::from_seconds(20.0);
/// Fraction of the outgoing statistics that is sent to a peer. Only the rest stays, so that nothing is counted twice.
const SENT_FRACTION: f64 = 0.5;
/// Maximum number of intervals that one message may count for. Larger messages are scaled down, so that no peer
/// outweighs the others.
const MAX_MESSAGE_INTERVALS: f64 = 30.0;
/// Maximum ratio of slow and fast responses to all outcomes in a well-formed message; above 1, because the encoding
/// rounds.
const MAX_RESPONSE_RATIO: f64 = 1.1;
/// Minimum divisor of ratios, so that nothing is divided by zero.
const MIN_DIVISOR: f64 = 1e-9;

/// The pool of one node.
///
/// Accessed only by the policy's task. Local outcomes and requests add to the outgoing statistics. Peers' messages add
/// to the outgoing statistics and to the received ones, by which the load is evaluated.
#[derive(Default)]
pub(super) struct LoadPool {
    /// Statistics that this node passes on with its next message: its own and those it received.
    outgoing: LoadStatistics,
    /// Statistics received from peers, with exponential decay.
    received: LoadStatistics,
    /// Rate of received messages.
    messages: DecayingRate,
    /// Work per second that one fully started endpoint is known to complete for this node.
    capacity_per_endpoint: f64,
    /// Number of fully started endpoints that the ready ones are equivalent to, by their slow-start fractions.
    effective_endpoints: f64,
}

impl LoadPool {
    /// Counts the cost of a request that its customer's limits admit.
    pub(super) fn record_requested(&mut self, cost: f64) {
        self.outgoing.requested += cost;
    }

    pub(super) fn record_completed(&mut self, cost: f64) {
        self.outgoing.completed += cost;
    }

    /// Adds the statistics of an outcome to those that are sent.
    pub(super) fn record(&mut self, statistics: &LoadStatistics) {
        self.outgoing = self.outgoing.plus(statistics, 1.0);
    }

    /// Ends a monitor interval: decays the pool, counts the work in flight and updates the capacity.
    pub(super) fn end_interval(&mut self, in_flight: f64, effective_endpoints: f64, age: TimeSpan) {
        let decay = MONITOR_INTERVAL.decay(POOL_TIME_CONSTANT);
        self.outgoing = self.outgoing.scaled(decay);
        self.received = self.received.scaled(decay);
        self.outgoing.intervals += 1.0;
        self.outgoing.in_flight += in_flight;
        self.effective_endpoints = effective_endpoints;
        self.update_capacity(age);
    }

    /// Updates the work that an endpoint is known to complete. A rise is followed quickly and a fall slowly, because
    /// overloaded endpoints complete less than their capacity.
    fn update_capacity(&mut self, age: TimeSpan) {
        let per_interval = self.received.completed / self.received.intervals.max(1.0);
        let completed =
            per_interval / MONITOR_INTERVAL.as_seconds() / self.effective_endpoints.max(1.0);
        let time_constant = if completed > self.capacity_per_endpoint {
            RATE_TIME_CONSTANT.min(age).max(MONITOR_INTERVAL)
        } else {
            CAPACITY_TIME_CONSTANT
        };
        self.capacity_per_endpoint +=
            (completed - self.capacity_per_endpoint) * (MONITOR_INTERVAL / time_constant);
    }

    /// Adds a peer's statistics, scaled down if they cover many intervals. Inconsistent ones are dropped.
    pub(super) fn receive(&mut self, now: Timestamp, statistics: &LoadStatistics) {
        let responses = statistics.slow + statistics.fast;
        let is_consistent =
            responses <= statistics.outcomes * MAX_RESPONSE_RATIO && statistics.intervals > 0.0;
        if !is_consistent {
            return;
        }
        let weight = (MAX_MESSAGE_INTERVALS / statistics.intervals.max(MIN_DIVISOR)).min(1.0);
        self.outgoing = self.outgoing.plus(statistics, weight);
        self.received = self.received.plus(statistics, weight);
        self.messages.add(now, 1.0, RATE_TIME_CONSTANT);
    }

    /// Removes [`SENT_FRACTION`] of the outgoing statistics and returns it.
    pub(super) fn take_outgoing(&mut self) -> LoadStatistics {
        self.outgoing = self.outgoing.scaled(SENT_FRACTION);
        self.outgoing
    }

    /// Statistics received from peers, with exponential decay.
    pub(super) fn received(&self) -> &LoadStatistics {
        &self.received
    }

    /// Returns true if messages arrive at a rate of at least [`MIN_POOLED_MESSAGES_PER_SECOND`].
    pub(super) fn has_recent_messages(&self, now: Timestamp) -> bool {
        self.messages.read(now, RATE_TIME_CONSTANT) >= MIN_POOLED_MESSAGES_PER_SECOND
    }

    /// Work per second that the endpoints complete for one node. Computed from the number of ready endpoints and the
    /// progress of their slow starts, since a measured total would show a loss of endpoints too late.
    pub(super) fn capacity(&self) -> f64 {
        self.capacity_per_endpoint * self.effective_endpoints
    }

    /// Time that the fleet's work in flight takes at the known capacity (Little's law).
    pub(super) fn queueing_time(&self) -> TimeSpan {
        let in_flight = self.received.in_flight_per_interval();
        TimeSpan::from_seconds(in_flight / self.capacity().max(MIN_DIVISOR))
    }

    /// Returns the pool to transfer.
    pub(super) fn to_snapshot(&self) -> PoolSnapshot {
        PoolSnapshot {
            messages: self.messages,
            outgoing: self.outgoing,
            received: self.received,
            capacity_per_endpoint: self.capacity_per_endpoint,
            effective_endpoints: self.effective_endpoints,
        }
    }

    /// Restores the pool of another process.
    pub(super) fn from_snapshot(snapshot: PoolSnapshot) -> Self {
        LoadPool {
            outgoing: snapshot.outgoing,
            received: snapshot.received,
            messages: snapshot.messages,
            capacity_per_endpoint: snapshot.capacity_per_endpoint,
            effective_endpoints: snapshot.effective_endpoints,
        }
    }
}

/// A [`LoadPool`] in the field order of the state snapshot.
#[derive(Serialize, Deserialize)]
pub(super) struct PoolSnapshot {
    messages: DecayingRate,
    outgoing: LoadStatistics,
    received: LoadStatistics,
    capacity_per_endpoint: f64,
    effective_endpoints: f64,
}
