//! The ladder of filters: admission under load, after the QGuard paper (see `docs/design.md`).
//!
//! Filter F0 admits all, the last one rejects all; those between admit a rate of cost that is split over the
//! tiers. The filter in force changes by one step at most each sojourn, by the load index of the last
//! intervals.

use crate::decision_state::{
    FilterChange, Ladder, LoadStatistics, Seconds, LAST_FILTER, MONITOR_INTERVAL,
};

/// Intervals in the history (paper: 5 to 15).
const HISTORY_INTERVALS: usize = 10;
/// Overloaded intervals per underloaded one before tightening (paper: 3 to 6).
const OVERLOAD_MAJORITY: usize = 3;
/// Overloaded intervals in the history before tightening: one alone is chance.
const LEAST_OVERLOADED_INTERVALS: usize = 2;
/// Least sojourn between changes of the filter: a third of a history, so that a change can show.
pub(super) const LEAST_SOJOURN: Seconds = 0.3;
/// The longest memory of rates that stretches the least sojourn.
const LONGEST_SOJOURN_MEMORY: Seconds = 5.0;
/// Time after which a change of the filter shows in the pool: by its memory and what is in flight.
const POOL_LAG: Seconds = 2.0;
/// Rate of the first filter, in focal points.
const HIGHEST_RATE: f64 = 1.15;
/// Rate of the last filter that admits anything, in focal points.
const LOWEST_RATE: f64 = 0.35;
/// Rate, in focal points, that a new ladder starts below: the backlog has to drain too.
const STARTING_RATE: f64 = 0.95;
/// Share of a tier's demand that every filter but the last leaves it.
const MINIMUM_SHARE: f64 = 0.1;
/// Capacity of a tier's bucket, in time at its rate: lets clumps that come by chance pass.
const BUCKET_DEPTH: Seconds = 0.3;
/// Share of outcomes rejected, unconnected or timed out above which an interval is overloaded.
const FAILURE_SHARE: f64 = 0.05;
/// Weight of one request in the mean priority weight of its tier.
const WEIGHT_SMOOTHING: f64 = 0.05;
/// Part of a tier's demand from which on it counts as satisfied in the split: rounding leaves it a little
/// short.
const SATISFIED: f64 = 0.999;
/// Least rate worth splitting.
const LEAST_RATE: f64 = 1e-6;

/// One request as the ladder sees it.
#[derive(Clone, Copy)]
pub(super) struct TierRequest {
    pub(super) tier: usize,
    pub(super) cost: f64,
    pub(super) weight: f64,
    /// A draw from 0 to 1, which rounds the bucket: in buckets smaller than a request, a share of requests
    /// pass.
    pub(super) draw: f64,
}

impl Ladder {
    /// True where the filter in force admits a request.
    pub(super) fn admit(&mut self, now: Seconds, request: TierRequest) -> bool {
        let TierRequest {
            tier,
            cost,
            weight,
            draw,
        } = request;
        let tier = &mut self.tiers[tier];
        tier.demand.add(now, cost, self.memory);
        let is_first = tier.requested_cost == 0.0;
        tier.weight_per_cost = if is_first {
            weight / cost
        } else {
            tier.weight_per_cost + (weight / cost - tier.weight_per_cost) * WEIGHT_SMOOTHING
        };
        tier.requested_cost += cost;
        if self.filter == 0 {
            // Not full: hundreds of buckets full at the same moment would be a wave.
            tier.tokens = draw * cost;
            return true;
        }
        if self.filter == LAST_FILTER || tier.tokens < cost * draw {
            return false;
        }
        tier.tokens -= cost;
        true
    }

    /// Splits the filter's rate over the tiers, max-min: the minimums, then by priority weight; what one
    /// doesn't need goes to the others.
    fn split_rate(&mut self, now: Seconds) {
        let rate = self.filter_rates[self.filter];
        let demand: Vec<f64> = self
            .tiers
            .iter()
            .map(|tier| tier.demand.read(now, self.memory))
            .collect();
        let total: f64 = demand.iter().sum();
        let minimum = MINIMUM_SHARE.min(rate / total.max(1e-9));
        let mut shares: Vec<f64> = demand.iter().map(|demand| demand * minimum).collect();
        for _ in 0..self.tiers.len() {
            self.share_out_rest(rate, &demand, &mut shares);
        }
        let tiers = self.tiers.len().max(1) as f64;
        let spare = (rate - shares.iter().sum::<f64>()).max(0.0) / tiers;
        for (tier, share) in self.tiers.iter_mut().zip(shares) {
            tier.tokens_per_second = share + spare;
        }
    }

    /// One round: what is left goes to the tiers that need more, by their weight and demand.
    fn share_out_rest(&self, rate: f64, demand: &[f64], shares: &mut [f64]) {
        let left = rate - shares.iter().sum::<f64>();
        let is_unsatisfied = |i: &usize| shares[*i] < demand[*i] * SATISFIED;
        let unsatisfied: Vec<usize> = (0..shares.len()).filter(is_unsatisfied).collect();
        let weight_of = |i: usize| self.tiers[i].weight_per_cost * demand[i];
        let total_weight: f64 = unsatisfied.iter().map(|i| weight_of(*i)).sum();
        let is_divisible = left > LEAST_RATE && total_weight > 0.0;
        if !is_divisible {
            return;
        }
        for i in unsatisfied {
            let more = left * self.tiers[i].weight_per_cost * demand[i] / total_weight;
            shares[i] = (shares[i] + more).min(demand[i]);
        }
    }

    /// Ends a monitor interval, judged by the statistics seen. `is_pooled`: peers' are among them, which lag.
    pub(crate) fn end_interval(
        &mut self,
        now: Seconds,
        seen: &LoadStatistics,
        is_pooled: bool,
    ) -> Option<FilterChange> {
        for tier in &mut self.tiers {
            let capacity = (tier.tokens_per_second * BUCKET_DEPTH).max(1.0);
            tier.refill(MONITOR_INTERVAL, capacity);
        }
        let index = load_index(seen);
        self.interval_statistics
            .push_back(LoadStatistics::default());
        self.load_indexes.push_back(index);
        if self.load_indexes.len() > HISTORY_INTERVALS {
            self.load_indexes.pop_front();
            self.interval_statistics.pop_front();
        }
        self.learn_lag(now, index);
        let before = self.filter;
        self.change_filter(now, index, is_pooled);
        self.split_rate(now);
        if self.filter == before {
            return None;
        }
        self.switched_at = now;
        Some(FilterChange {
            filter: self.filter,
            index,
            focal_rate: self.focal_rate,
        })
    }

    fn change_filter(&mut self, now: Seconds, index: i32, is_pooled: bool) {
        let least = LEAST_SOJOURN * self.memory.min(LONGEST_SOJOURN_MEMORY);
        let since_switch = now - self.switched_at;
        if since_switch < least {
            return;
        }
        let recent = &self.load_indexes;
        let overloaded = recent.iter().filter(|index| **index > 0).count();
        let underloaded = recent.iter().filter(|index| **index < 0).count();
        let half = recent.len() / 2;
        let older: i32 = recent.iter().take(half).sum();
        let newer: i32 = recent.iter().skip(half).sum();
        // The lag stretches only what tightens, as in the paper: going too far is what it guards against. And
        // what few outcomes say comes from the pool, late: the effect of a change has to show first.
        let stretched = if 2.0 * self.lag > least {
            least.max(self.lag / 2.0)
        } else {
            least
        };
        let pool_lag = if is_pooled { POOL_LAG } else { 0.0 };
        let settled = since_switch >= stretched.max(pool_lag);
        let is_overloaded = index > 0
            && overloaded >= LEAST_OVERLOADED_INTERVALS
            && overloaded >= OVERLOAD_MAJORITY * underloaded;
        if is_overloaded && settled && self.filter < LAST_FILTER {
            self.filter += 1;
            if self.filter == 1 {
                self.refocus(now);
            }
        } else if self.filter > 0 && (newer < older || newer < 0) && index <= 0 {
            self.filter -= 1;
        }
    }

    /// A new ladder around the throughput at a first overload: even steps through the range.
    fn refocus(&mut self, now: Seconds) {
        self.focal_rate = self.completed.read(now, self.memory);
        let step = (HIGHEST_RATE - LOWEST_RATE) / (LAST_FILTER - 2) as f64;
        for filter in 1..LAST_FILTER {
            self.filter_rates[filter] =
                self.focal_rate * (HIGHEST_RATE - step * (filter - 1) as f64);
        }
        let starting_rate = STARTING_RATE * self.focal_rate;
        self.filter = (1..LAST_FILTER)
            .find(|filter| self.filter_rates[*filter] <= starting_rate)
            .unwrap_or(1);
    }
}

/// The load index of an interval: +1 for each overloaded signal (slow, rejected, timed out), -1 for each
/// underloaded one.
fn load_index(seen: &LoadStatistics) -> i32 {
    // Of the responses proper: what some endpoints reject or lose says nothing of the others.
    let responses = seen.outcomes - seen.rejected - seen.timed_out;
    let mostly_fast = seen.fast * 2.0 >= responses;
    // A share of nothing is underload only while queues are short: it would cancel the latency.
    let signal =
        |over: bool, under: bool| i32::from(over) - i32::from(mostly_fast && under && !over);
    let failures = |count: f64| {
        signal(
            count > (FAILURE_SHARE * seen.outcomes).max(1.0),
            count <= FAILURE_SHARE / 2.0 * seen.outcomes,
        )
    };
    let latency = signal(seen.slow * 2.0 > responses, true);
    failures(seen.rejected) + failures(seen.timed_out) + latency
}
