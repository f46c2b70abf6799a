//! The tiers of the ladder: a token bucket per plan and class, and the split of a filter's rate over them.

use applewall_node_types::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};

use crate::api::{ClassId, PlanId};
use crate::decision::context::Context;
use crate::decision::decaying_rate::DecayingRate;

/// Fraction of its demand that each filter but the last guarantees a tier.
const MIN_TIER_FRACTION: f64 = 0.1;
/// Capacity of a tier's bucket, as a duration at its rate, so that random bursts pass.
const BUCKET_DEPTH: TimeSpan = TimeSpan::from_seconds(0.3);
/// Minimum capacity of a tier's bucket, in cost: one mean request.
const MIN_BUCKET_CAPACITY: f64 = 1.0;
/// Smoothing factor of a tier's mean priority weight, per request.
const WEIGHT_SMOOTHING: f64 = 0.05;
/// Fraction of its demand at which a tier counts as satisfied in the split, to allow for rounding.
const SATISFIED_FRACTION: f64 = 0.999;
/// Minimum rate, in cost per second, that is split further; anything less is a rounding error.
const MIN_DIVISIBLE_RATE: f64 = 1e-6;
/// Minimum demand, in cost per second, as a divisor.
const MIN_DEMAND: f64 = 1e-9;

/// Index of a tier, which is a pair of a plan and a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TierId(usize);

impl TierId {
    /// The tier of a plan and a class.
    pub(crate) fn new(context: &Context<'_>, plan: PlanId, class: ClassId) -> Self {
        TierId(plan.0 * context.settings().classes.len() + class.0)
    }
}

/// A request with the quantities that the ladder and the backlog limit use.
#[derive(Clone, Copy)]
pub(crate) struct WeightedRequest {
    tier: TierId,
    cost: f64,
    weight: f64,
}

impl WeightedRequest {
    /// `cost`: relative to a mean request. `weight`: the priority weight.
    pub(crate) fn new(tier: TierId, cost: f64, weight: f64) -> Self {
        WeightedRequest { tier, cost, weight }
    }

    pub(super) fn weight_per_cost(&self) -> f64 {
        self.weight / self.cost
    }
}

/// The token bucket of one plan and class. The order of the fields is part of the state snapshot's encoding.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Tier {
    /// Cost requested per second.
    demand: DecayingRate,
    /// Mean priority weight per unit of cost.
    weight_per_cost: f64,
    /// Cost that can be admitted now.
    tokens: f64,
    /// Refill rate, in cost per second.
    tokens_per_second: f64,
    /// Total cost requested since the start.
    requested_cost: f64,
}

impl Tier {
    fn record_request(
        &mut self,
        now: Timestamp,
        time_constant: TimeSpan,
        request: WeightedRequest,
    ) {
        self.demand.add(now, request.cost, time_constant);
        let weight_per_cost = request.weight_per_cost();
        let is_first = self.requested_cost == 0.0;
        self.weight_per_cost = if is_first {
            weight_per_cost
        } else {
            self.weight_per_cost + (weight_per_cost - self.weight_per_cost) * WEIGHT_SMOOTHING
        };
        self.requested_cost += request.cost;
    }

    fn refill(&mut self, span: TimeSpan) {
        let capacity =
            (self.tokens_per_second * BUCKET_DEPTH.as_seconds()).max(MIN_BUCKET_CAPACITY);
        self.tokens = (self.tokens + self.tokens_per_second * span.as_seconds()).min(capacity);
    }
}

/// What the filter in force lets pass.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum FilterMode {
    /// Admits every request (F0).
    AdmitAll,
    /// Admits requests as far as the buckets have tokens.
    Limit,
    /// Rejects every request (the last filter).
    RejectAll,
}

/// The buckets of all tiers, ordered by plan, then class.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct Tiers(Vec<Tier>);

impl Tiers {
    /// Creates empty buckets that are not refilled yet.
    pub(super) fn new(count: usize) -> Self {
        Tiers(vec![Tier::default(); count])
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Counts a request and, if the filter limits the rate, takes its cost from its tier's bucket. Returns false if
    /// the request is rejected.
    ///
    /// `draw`, in [0, 1), dithers the comparison, so that a bucket smaller than a request still admits a fraction of
    /// the requests. While all requests are admitted, it sets the bucket's level: if the buckets of hundreds of nodes
    /// were all full when the first filter comes into force, they would admit a burst together.
    pub(super) fn take_tokens(
        &mut self,
        now: Timestamp,
        time_constant: TimeSpan,
        request: WeightedRequest,
        mode: FilterMode,
        draw: f64,
    ) -> bool {
        let tier = &mut self.0[request.tier.0];
        tier.record_request(now, time_constant, request);
        match mode {
            FilterMode::AdmitAll => {
                tier.tokens = draw * request.cost;
                true
            }
            FilterMode::Limit if tier.tokens >= request.cost * draw => {
                tier.tokens -= request.cost;
                true
            }
            FilterMode::Limit | FilterMode::RejectAll => false,
        }
    }

    /// Adds the tokens of a duration to all buckets, up to their capacity.
    pub(super) fn refill(&mut self, span: TimeSpan) {
        for tier in &mut self.0 {
            tier.refill(span);
        }
    }

    /// Splits a rate over the tiers by weighted max-min fairness: first the guaranteed minimums, then in proportion to
    /// priority weight and demand. What one tier does not need goes to the others, and what none needs is divided
    /// equally.
    pub(super) fn split_rate(&mut self, now: Timestamp, time_constant: TimeSpan, rate: f64) {
        let demand: Vec<f64> = self
            .0
            .iter()
            .map(|tier| tier.demand.read(now, time_constant))
            .collect();
        let total: f64 = demand.iter().sum();
        let minimum = MIN_TIER_FRACTION.min(rate / total.max(MIN_DEMAND));
        let mut rates: Vec<f64> = demand.iter().map(|demand| demand * minimum).collect();
        for _ in 0..self.0.len() {
            self.distribute_remainder(rate, &demand, &mut rates);
        }
        let tiers = self.0.len().max(1) as f64;
        let spare = (rate - rates.iter().sum::<f64>()).max(0.0) / tiers;
        for (tier, tier_rate) in self.0.iter_mut().zip(rates) {
            tier.tokens_per_second = tier_rate + spare;
        }
    }

    /// One round of the split: distributes the remaining rate to the tiers whose demand is not met.
    fn distribute_remainder(&self, rate: f64, demand: &[f64], rates: &mut [f64]) {
        let remainder = rate - rates.iter().sum::<f64>();
        let is_unsatisfied = |i: &usize| rates[*i] < demand[*i] * SATISFIED_FRACTION;
        let unsatisfied: Vec<usize> = (0..rates.len()).filter(is_unsatisfied).collect();
        let weight_of = |i: usize| self.0[i].weight_per_cost * demand[i];
        let total_weight: f64 = unsatisfied.iter().map(|i| weight_of(*i)).sum();
        let is_divisible = remainder > MIN_DIVISIBLE_RATE && total_weight > 0.0;
        if !is_divisible {
            return;
        }
        for i in unsatisfied {
            let more = remainder * self.0[i].weight_per_cost * demand[i] / total_weight;
            rates[i] = (rates[i] + more).min(demand[i]);
        }
    }

    /// Mean priority weight per unit of requested cost, over all tiers.
    pub(super) fn mean_weight(&self, now: Timestamp, time_constant: TimeSpan) -> f64 {
        let mut total_demand = 0.0;
        let mut total_weight = 0.0;
        for tier in &self.0 {
            let demand = tier.demand.read(now, time_constant);
            total_demand += demand;
            total_weight += demand * tier.weight_per_cost;
        }
        total_weight / total_demand.max(MIN_DEMAND)
    }
}
