//! An aggregator's sum of a customer's demand over all its nodes, and the criterion for sending it.

use applewall_node_types::{TimeSpan, Timestamp};

use super::messages::AggregateUpdate;
use super::{DEBT_HORIZON, RATE_TIME_CONSTANT};
use crate::api::Plan;

/// How long a receiver relies on an aggregate. The sender repeats one that is still valid every [`REPEAT_INTERVAL`],
/// three times within this period.
pub(super) const LIFETIME: TimeSpan = TimeSpan::from_seconds(20.0);
/// Interval at which an aggregate that is still valid is repeated.
pub(super) const REPEAT_INTERVAL: TimeSpan = TimeSpan::from_seconds(6.0);
/// Time that an aggregator waits for each of those ranked before it to send. Also the minimum age at which an aggregate
/// in force is replaced.
pub(super) const AGGREGATOR_DELAY: TimeSpan = TimeSpan::from_seconds(0.5);
/// Deviation of a peer's estimate of the quota, as a fraction of the burst, beyond which the aggregator corrects it.
pub(super) const TOLERATED_ERROR: f64 = 0.3;
/// Change of the demand that is sent at once, as a difference of the square roots of counts (an approximately
/// constant standard deviation for a Poisson process).
const SIGNIFICANT_CHANGE: f64 = 1.5;
/// Level of the quota, as a fraction of the burst, below which it is running short if the demand exceeds its rate.
const SHORT_LEVEL: f64 = 0.2;

/// The sum of a customer's demand over all its nodes, as sent or received.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaAggregate {
    /// Units requested per second through all nodes of the customer.
    demand: f64,
    /// Units in the quota when this node sent it; 0 in a received aggregate, whose level was applied on receipt.
    quota_units: f64,
    /// When it was sent or received.
    at: Timestamp,
}

/// A customer's current usage, as an aggregator knows it.
#[derive(Clone, Copy)]
pub(super) struct CurrentUsage<'a> {
    pub(super) now: Timestamp,
    pub(super) plan: &'a Plan,
    /// Units requested per second through all nodes of the customer.
    pub(super) demand: f64,
    /// Units in the quota; negative for a debt.
    pub(super) quota_units: f64,
    /// See [`super::max_concurrency_rate`].
    pub(super) max_rate: f64,
}

impl QuotaAggregate {
    /// Creates an aggregate that is sent or received at this time.
    pub(super) fn new(demand: f64, quota_units: f64, at: Timestamp) -> Self {
        QuotaAggregate {
            demand,
            quota_units,
            at,
        }
    }

    pub(super) fn demand(&self) -> f64 {
        self.demand
    }

    pub(super) fn quota_units(&self) -> f64 {
        self.quota_units
    }

    pub(super) fn at(&self) -> Timestamp {
        self.at
    }

    /// When receivers stop relying on it.
    pub(super) fn expires_at(&self) -> Timestamp {
        self.at + LIFETIME
    }

    /// Returns true while receivers rely on it.
    pub(super) fn is_in_force(&self, now: Timestamp) -> bool {
        now - self.at < LIFETIME
    }

    pub(super) fn to_update(self, plan: &Plan) -> AggregateUpdate {
        AggregateUpdate {
            demand: self.demand,
            quota_level: plan.quota_level(self.quota_units),
        }
    }

    /// Units that remain after `span` in a quota, before its refill over `span` is added. The demand drains it, but
    /// at most until the refill brings it back to 0. A debt decays with [`DEBT_HORIZON`], and the demand is then
    /// counted up to the quota's rate.
    pub(super) fn drain(&self, quota_units: f64, span: TimeSpan, plan: &Plan) -> f64 {
        let rate = plan.quota_units_per_second;
        let seconds = span.as_seconds();
        if quota_units > 0.0 {
            (quota_units - seconds * self.demand)
                .max(-seconds * rate)
                .min(quota_units)
        } else {
            quota_units * span.decay(DEBT_HORIZON) - seconds * rate.min(self.demand)
        }
    }
}

/// Returns true if a customer's nodes need a new aggregate. `last_sent`: the last one sent or received.
///
/// If none is in force, one is needed when the customer is running short of its quota or its demand exceeds the rate
/// that makes the best use of its concurrency limit. If one is in force, a new one is needed when the receivers'
/// estimate of the quota is inaccurate, when the demand has changed by more than chance, or when the aggregate is
/// due to be repeated because the demand still exceeds the quota's rate.
pub(super) fn is_outdated(last_sent: Option<QuotaAggregate>, current: CurrentUsage<'_>) -> bool {
    let CurrentUsage {
        now,
        plan,
        demand,
        quota_units,
        max_rate,
    } = current;
    let rate = plan.quota_units_per_second;
    let burst = plan.quota_burst_units;
    let relied_on =
        |sent: &QuotaAggregate| sent.is_in_force(now) && sent.demand > max_rate.min(rate);
    let Some(sent) = last_sent.filter(relied_on) else {
        let is_short = demand > rate && quota_units < SHORT_LEVEL * burst;
        return is_short || demand > max_rate && max_rate < rate;
    };
    let age = now - sent.at;
    let refilled = sent.drain(sent.quota_units, age, plan) + age.as_seconds() * rate;
    let receivers_estimate = refilled.min(burst);
    let is_inaccurate = (quota_units - receivers_estimate).abs() > TOLERATED_ERROR * burst;
    let has_changed = demand_has_changed(sent.demand, demand, max_rate.min(rate));
    let is_due_again = demand > rate && age > REPEAT_INTERVAL;
    age > AGGREGATOR_DELAY && (is_inaccurate || has_changed || is_due_again)
}

/// Returns true if the demand has risen by more than chance, or has fallen by more than chance to below the limiting
/// rate. A fall to a value above it shows in the quota.
fn demand_has_changed(sent: f64, current: f64, limiting_rate: f64) -> bool {
    let time_constant = RATE_TIME_CONSTANT.as_seconds();
    let change = (current * time_constant).sqrt() - (sent * time_constant).sqrt();
    change > SIGNIFICANT_CHANGE || -change > SIGNIFICANT_CHANGE && current < limiting_rate
}
