//! The load as it is measured: this node's own statistics, and in a large fleet those pooled with
//! its peers.

use super::outcomes::OVERLOAD_LATENCY;
use super::{
    DecisionPolicy, EndpointRecord, LoadStatistics, Seconds, MONITOR_INTERVAL, RATE_MEMORY,
};

/// Messages taken in lately from which on the pool speaks for more than one peer.
pub(crate) const LEAST_POOLED_MESSAGES: f64 = 1.0;
/// Requests per objective that a fully started endpoint completes at the least, where nothing is known.
const ASSUMED_THROUGHPUT: f64 = 6.0;
/// Outcomes that a history must hold to be judged without the pool.
const ENOUGH_OUTCOMES: f64 = 20.0;
/// Longest memory of rates, where few outcomes come.
const LONGEST_RATE_MEMORY: Seconds = 6.0;
/// Memory of pooled statistics: about as long as a history.
const POOL_MEMORY: Seconds = 1.0;
/// Intervals that one message may count for: more is no sane peer's.
const MOST_INTERVALS: f64 = 30.0;
/// Slow and fast responses over all outcomes beyond which a message is malformed; the encoding
/// rounds.
const ROUNDING: f64 = 1.1;
/// Most that a pool is scaled by to enough outcomes: what little traffic says is little.
const MOST_SCALING: f64 = 4.0;
/// Memory of the highest capacity: longer than a choke, shorter than a lasting loss.
const CAPACITY_MEMORY: Seconds = 20.0;

impl DecisionPolicy {
    /// Ends a monitor interval: ages the pool, follows the capacity and the memory of rates.
    pub(crate) fn measure_interval(&mut self, now: Seconds) {
        let in_flight = self.work_in_flight(now);
        let decay = (-MONITOR_INTERVAL / POOL_MEMORY).exp();
        self.load.outgoing = self.load.outgoing.scaled(decay);
        self.load.received = self.load.received.scaled(decay);
        self.load.outgoing.intervals += 1.0;
        self.load.outgoing.in_flight += in_flight;
        self.follow_capacity(now);
        let requests_per_second = self.arrivals.read(now, RATE_MEMORY);
        self.ladder.memory = (ENOUGH_OUTCOMES / requests_per_second.max(1e-9))
            .clamp(RATE_MEMORY, LONGEST_RATE_MEMORY);
    }

    /// What choked endpoints complete says too little of what they can: a fall is followed slowly.
    fn follow_capacity(&mut self, now: Seconds) {
        let effective = self
            .endpoints
            .ready()
            .map(|record| record.slow_start_fraction(&self.settings, now))
            .sum();
        let load = &mut self.load;
        load.effective_endpoints = effective;
        let per_interval = load.received.completed / load.received.intervals.max(1.0);
        let completed = per_interval / MONITOR_INTERVAL / load.effective_endpoints.max(1.0);
        let rise = RATE_MEMORY.min(now - self.started_at).max(MONITOR_INTERVAL);
        let is_rising = completed > load.capacity_per_endpoint;
        let memory = if is_rising { rise } else { CAPACITY_MEMORY };
        load.capacity_per_endpoint +=
            (completed - load.capacity_per_endpoint) * (MONITOR_INTERVAL / memory);
    }

    /// What the history says; what is missing to enough outcomes comes from the pool, which the bad
    /// luck of one node does not move. The pool lags by its memory, hence the longer sojourn; and
    /// it could hold a ladder closed by ratios of before, hence the bound on its scaling.
    pub(crate) fn load_seen(&self, now: Seconds) -> LoadStatistics {
        let own = self.ladder.history();
        if !self.is_large_fleet() {
            return own;
        }
        let received = &self.load.received;
        let messages = self.load.messages.read(now, RATE_MEMORY);
        if received.outcomes <= 0.0 || messages < LEAST_POOLED_MESSAGES {
            return LoadStatistics::default();
        }
        let missing = (ENOUGH_OUTCOMES - own.outcomes).max(0.0);
        let seen = own.plus(received, (missing / received.outcomes).min(MOST_SCALING));
        // Work in flight over capacity is the wait of what is sent now (Little's law). Where it is
        // short, slow responses and time-outs tell of a backlog that has gone: the ladder must not
        // tighten long after.
        if self.relative_queueing_time() < OVERLOAD_LATENCY {
            return LoadStatistics {
                slow: 0.0,
                timed_out: 0.0,
                fast: seen.outcomes,
                ..seen
            };
        }
        seen
    }

    /// Takes in a peer's statistics. One message may not outweigh by much what is here: wild ones
    /// are cut.
    pub(crate) fn receive_load_statistics(&mut self, now: Seconds, statistics: &LoadStatistics) {
        let weight = (MOST_INTERVALS / statistics.intervals.max(1e-9)).min(1.0);
        let is_sane = statistics.slow + statistics.fast <= statistics.outcomes * ROUNDING
            && statistics.intervals > 0.0;
        if is_sane {
            self.load.outgoing = self.load.outgoing.plus(statistics, weight);
            self.load.received = self.load.received.plus(statistics, weight);
            self.load.messages.add(now, 1.0, RATE_MEMORY);
        }
    }

    /// Work per second that this node sends a fully started endpoint of its subset: what its subset
    /// completes now, over as many as its subset amounts to. Where little was completed yet, a
    /// part of what any endpoint bears: otherwise a site in slow start as a whole would reject all,
    /// since it has completed nothing and so admits nothing.
    pub(crate) fn throughput_per_endpoint(&self, now: Seconds) -> f64 {
        let in_subset = |record: &&EndpointRecord| record.in_subset;
        let effective: f64 = self
            .endpoints
            .ready()
            .filter(in_subset)
            .map(|record| record.slow_start_fraction(&self.settings, now))
            .sum();
        let ready = self.endpoints.ready().count().max(1) as f64;
        let part = self.endpoints.ready().filter(in_subset).count() as f64 / ready;
        let completed = self.ladder.completed.read(now, self.ladder.memory) / effective.max(1e-9);
        let nodes = (f64::from(self.settings.node_count) * part).max(1.0);
        completed.max(ASSUMED_THROUGHPUT / self.shortest_objective() / nodes)
    }
}
