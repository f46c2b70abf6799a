//! Overload control: the ladder of filters, the load statistics it is driven by, and the backlog limit.
//!
//! [`OverloadControl`] owns the ladder (`ladder`, `tiers`), the statistics that the nodes of a large fleet pool
//! (`pool`) and the rate of arriving requests. Outcomes of attempts are passed in as [`LoadStatistics`]. Once per
//! monitor interval, a load index is computed from them (`load_index`), which may change the filter in force by one
//! step. The backlog limit (`backlog`) is checked for each request that its customer's limits admit.

mod backlog;
mod ladder;
mod load_index;
mod pool;
mod snapshot;
mod statistics;
mod tiers;

pub(crate) use backlog::Backlog;
pub(crate) use load_index::outcome_statistics;
pub(super) use snapshot::{LadderSnapshot, LoadSnapshot};
pub use statistics::LoadStatistics;
pub(crate) use tiers::{TierId, WeightedRequest};

use applewall_node_types::{TimeSpan, Timestamp};

use super::context::Context;
use super::decaying_rate::DecayingRate;
use crate::api::{ClassId, LogEvent, Outcome};
use ladder::Ladder;
use load_index::OVERLOAD_LATENCY;
use pool::LoadPool;

/// Interval at which the load is evaluated. At tens of requests per second, a few outcomes fall into it.
pub(crate) const MONITOR_INTERVAL: TimeSpan = TimeSpan::from_seconds(0.1);
/// Minimum time constant of rates, at a high rate of outcomes.
const RATE_TIME_CONSTANT: TimeSpan = TimeSpan::from_seconds(1.0);
/// Maximum time constant of rates, at a low rate of outcomes.
const MAX_RATE_TIME_CONSTANT: TimeSpan = TimeSpan::from_seconds(6.0);
/// Number of outcomes that a history needs to be evaluated without the pool.
const ENOUGH_OUTCOMES: f64 = 20.0;
/// Maximum factor by which the pool is scaled up to enough outcomes, so that a few outcomes do not decide.
const MAX_POOL_SCALING: f64 = 4.0;
/// Fraction of timed-out work that counts as completed: it may have been executed or lost.
const TIMED_OUT_FRACTION: f64 = 0.5;
/// Minimum arrival rate, in requests per second, as the divisor of a time constant.
const MIN_ARRIVAL_RATE: f64 = 1e-9;

/// The ladder, the pooled load and the rate of arriving requests.
pub(crate) struct OverloadControl {
    ladder: Ladder,
    pool: LoadPool,
    /// Requests per second.
    arrivals: DecayingRate,
}

impl OverloadControl {
    /// Creates overload control for `tiers` pairs of plan and class, with F0 in force.
    pub(crate) fn new(tiers: usize) -> Self {
        OverloadControl {
            ladder: Ladder::new(tiers, RATE_TIME_CONSTANT),
            pool: LoadPool::default(),
            arrivals: DecayingRate::default(),
        }
    }

    /// Counts an arriving request and returns the current number of requests per second.
    pub(crate) fn record_arrival(&mut self, now: Timestamp) -> f64 {
        self.arrivals.add(now, 1.0, RATE_TIME_CONSTANT);
        self.arrivals.read(now, RATE_TIME_CONSTANT)
    }

    /// Counts the cost of a request that its customer's limits admit.
    pub(crate) fn record_requested(&mut self, cost: f64) {
        self.pool.record_requested(cost);
    }

    /// Counts work that an attempt completed. A timeout counts for a fraction, because its cause is unknown: a failed
    /// endpoint has lost the work, which does not indicate a lack of capacity, while an overloaded one may still
    /// execute it, which does.
    pub(crate) fn record_completed(&mut self, now: Timestamp, outcome: Outcome, cost: f64) {
        match outcome {
            Outcome::Success => {
                self.ladder.record_completed(now, cost);
                self.pool.record_completed(cost);
            }
            Outcome::TimedOut => self.pool.record_completed(cost * TIMED_OUT_FRACTION),
            _ => {}
        }
    }

    /// Counts an outcome at a healthy endpoint, in this node's history and in the pool.
    pub(crate) fn record_outcome(&mut self, statistics: &LoadStatistics) {
        self.ladder.record(statistics);
        self.pool.record(statistics);
    }

    /// Decides whether the backlog limit sheds a request. May use the random generator.
    pub(crate) fn decide_backlog_shedding(
        &self,
        context: &mut Context<'_>,
        class: ClassId,
        request: WeightedRequest,
        backlog: &Backlog,
    ) -> bool {
        backlog::decide_shedding(context, &self.ladder, &self.pool, class, request, backlog)
    }

    /// Counts a request in its tier and takes its cost from the tier's bucket; returns false if the filter in force
    /// rejects it. Uses the random generator.
    pub(crate) fn take_tier_tokens(
        &mut self,
        context: &mut Context<'_>,
        request: WeightedRequest,
    ) -> bool {
        let draw = context.draw();
        self.ladder.take_tokens(context.now(), request, draw)
    }

    /// Returns true while F0 is in force, which limits nothing.
    pub(crate) fn admits_all(&self) -> bool {
        self.ladder.admits_all()
    }

    /// Time constant of rates: short at a high rate of requests, long at a low one.
    pub(crate) fn rate_time_constant(&self) -> TimeSpan {
        self.ladder.time_constant()
    }

    /// Total cost of this node's attempts that complete per second.
    pub(crate) fn completed_per_second(&self, now: Timestamp) -> f64 {
        self.ladder.completed_per_second(now)
    }

    /// Queueing time of a request sent now, as a fraction of the shortest objective; 0 until peers' statistics arrive.
    pub(crate) fn relative_queueing_time(&self, context: &Context<'_>) -> f64 {
        self.pool.queueing_time() / context.shortest_objective()
    }

    /// Ends a monitor interval: evaluates its load and changes the filter in force by at most one step. Returns the
    /// change, if any.
    ///
    /// `effective_endpoints`: number of fully started endpoints that the ready ones are equivalent to.
    pub(crate) fn end_interval(
        &mut self,
        context: &Context<'_>,
        work_in_flight: f64,
        effective_endpoints: f64,
    ) -> Option<LogEvent> {
        let now = context.now();
        self.pool
            .end_interval(work_in_flight, effective_endpoints, context.age());
        let requests_per_second = self.arrivals.read(now, RATE_TIME_CONSTANT);
        let enough =
            TimeSpan::from_seconds(ENOUGH_OUTCOMES / requests_per_second.max(MIN_ARRIVAL_RATE));
        self.ladder
            .set_time_constant(enough.clamp(RATE_TIME_CONSTANT, MAX_RATE_TIME_CONSTANT));
        let statistics = self.effective_statistics(context);
        self.ladder
            .end_interval(now, &statistics, context.is_large_fleet())
    }

    /// The statistics that drive the ladder: this node's history and, in a large fleet, the pool, scaled to the number
    /// of outcomes that the history lacks to reach [`ENOUGH_OUTCOMES`], since the few outcomes of one node are mostly
    /// chance. In a large fleet without recent messages of peers, they are empty.
    ///
    /// A change shows late in the pool, which is why the sojourn before a tightening is longer with it. The pool's
    /// ratios from before a change could keep a filter in force for too long, which is why its scaling is bounded by
    /// [`MAX_POOL_SCALING`].
    fn effective_statistics(&self, context: &Context<'_>) -> LoadStatistics {
        let own = self.ladder.history();
        if !context.is_large_fleet() {
            return own;
        }
        let received = self.pool.received();
        if received.outcomes <= 0.0 || !self.pool.has_recent_messages(context.now()) {
            return LoadStatistics::default();
        }
        let missing = (ENOUGH_OUTCOMES - own.outcomes).max(0.0);
        let combined = own.plus(
            received,
            (missing / received.outcomes).min(MAX_POOL_SCALING),
        );
        // Work in flight divided by capacity is the wait of a request sent now (Little's law). While it is short,
        // slow responses and timeouts stem from an earlier backlog, and the ladder must not tighten because of them.
        if self.relative_queueing_time(context) < OVERLOAD_LATENCY {
            return LoadStatistics {
                slow: 0.0,
                timed_out: 0.0,
                fast: combined.outcomes,
                ..combined
            };
        }
        combined
    }

    /// Adds a peer's statistics.
    pub(crate) fn receive_statistics(&mut self, now: Timestamp, statistics: &LoadStatistics) {
        self.pool.receive(now, statistics);
    }

    /// Removes half of the pooled statistics, to be sent to a peer.
    pub(crate) fn take_outgoing_statistics(&mut self) -> LoadStatistics {
        self.pool.take_outgoing()
    }
}
