//! The quota ledger: what this node knows of each customer's use over all nodes.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::{DecayingRate, Seconds};
use crate::api::Plan;

/// Time constant of customers' rates: a few requests of a busy customer.
pub(crate) const RATE_MEMORY: Seconds = 1.0;
/// How long an aggregate is relied on: its sender repeats one that still holds after
/// [`AGGREGATE_REPEAT`].
pub(crate) const AGGREGATE_LIFETIME: Seconds = 20.0;
/// Interval at which an aggregate that still holds is sent again.
pub(crate) const AGGREGATE_REPEAT: Seconds = 6.0;
/// Time over which what is left in an empty quota, or owed to it, weighs in the rejection
/// probability.
pub(crate) const DEBT_HORIZON: Seconds = 1.0;
/// How far below zero the estimate of a quota may go, in seconds of its rate: bounds what a wrong
/// report can cost.
const DEBT_LIMIT: Seconds = 1.0;
/// Seconds of a peer's demand that the ceiling reserve grants it in advance.
const GRANT_HORIZON: Seconds = 1.0;
/// Time after which units granted and not used are taken as lost.
const GRANT_MEMORY: Seconds = 3.0;
/// Customers kept at most: bounds memory under floods of customers that are seen once.
pub(crate) const MAX_CUSTOMERS: usize = 8192;
/// Grants are made in quarters of a unit, as the message encodes them.
pub(crate) const GRANTS_PER_UNIT: f64 = 4.0;

/// What a peer last reported of a customer: totals (encoded, wrapping), and the demand that came in
/// through it.
///
/// The order of the fields of this and the following types is that of the hot-restart snapshot.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct PeerUsage {
    /// Encoded total of units forwarded.
    pub(crate) forwarded: u32,
    /// Encoded total of units requested.
    pub(crate) requested: u32,
    /// Units requested per second.
    pub(crate) demand: DecayingRate,
    /// What the ceiling reserve granted it and it has not used yet, as a rate.
    pub(crate) granted: DecayingRate,
}

/// An aggregator's sum of a customer's demand over all its nodes.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(crate) struct QuotaAggregate {
    /// Units requested per second.
    pub(crate) demand: f64,
    /// Units in the quota when it was sent.
    pub(crate) quota_units: f64,
    /// When it was sent or received.
    pub(crate) at: Seconds,
}

impl QuotaAggregate {
    /// What this demand leaves, after a span, of a quota that nothing refills: it drains it, and a
    /// debt fades.
    pub(crate) fn drain(&self, quota_units: f64, span: Seconds, plan: &Plan) -> f64 {
        let rate = plan.quota_units_per_second;
        if quota_units > 0.0 {
            (quota_units - span * self.demand)
                .max(-span * rate)
                .min(quota_units)
        } else {
            quota_units * (-span / DEBT_HORIZON).exp() - span * rate.min(self.demand)
        }
    }
}

/// A customer's quota and ceiling as far as this node knows them.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct CustomerQuota {
    /// Index of its plan, once a request or a report named it.
    pub(crate) plan: Option<usize>,
    /// Number of nodes that its requests come in through.
    pub(crate) node_set_size: u32,
    /// The first of them.
    pub(crate) first_node: u32,
    /// The nodes that sum its use, by rank.
    pub(crate) aggregators: Vec<u32>,
    /// This node is one of them.
    pub(crate) is_aggregator: bool,
    /// Estimate of the units in the quota over all nodes; negative where units are owed.
    pub(crate) quota_units: f64,
    /// This node's part of the units under the ceiling.
    pub(crate) ceiling_units: f64,
    /// Share of the ceiling that is allocated evenly; the rest is in the first aggregator's
    /// reserve.
    pub(crate) base_allocation: f64,
    /// Units in the ceiling reserve, where this node holds it.
    pub(crate) ceiling_reserve: Option<f64>,
    /// Least part of a request's units that lets it pass the ceiling, drawn again with each that
    /// passes.
    pub(crate) ceiling_dither: f64,
    /// Waits in the line of those whose use is still to be reported.
    pub(crate) unreported: bool,
    /// As of when the quota and the ceiling were filled.
    pub(crate) filled_at: Seconds,
    /// When a request or report of it came last.
    pub(crate) last_seen_at: Seconds,
    /// When it became known.
    pub(crate) known_since: Seconds,
    /// Demand that came in through this node.
    pub(crate) own_demand: DecayingRate,
    /// All demand known here.
    pub(crate) total_demand: DecayingRate,
    /// Units that peers forwarded, as far as they report.
    pub(crate) peers_forwarded: DecayingRate,
    /// Units forwarded since this process started.
    pub(crate) forwarded_units: f64,
    /// Units requested since this process started.
    pub(crate) requested_units: f64,
    /// Requests in flight.
    pub(crate) in_flight: u32,
    /// What each peer reported last.
    pub(crate) peers: BTreeMap<u32, PeerUsage>,
    /// Level that a peer reported before this node knew the plan, as a share of the burst.
    pub(crate) initial_level: f64,
    /// The last aggregate sent or received.
    pub(crate) aggregate: Option<QuotaAggregate>,
    /// Since when an aggregate is due.
    pub(crate) aggregate_due_since: Option<Seconds>,
}

impl CustomerQuota {
    /// One that nothing is known of.
    pub(crate) fn new(now: Seconds) -> Self {
        CustomerQuota {
            filled_at: now,
            last_seen_at: now,
            known_since: now,
            initial_level: 1.0,
            node_set_size: 1,
            base_allocation: 1.0,
            ceiling_dither: 1.0,
            ..CustomerQuota::default()
        }
    }

    /// True where a part of the ceiling is in a reserve: the customer's nodes are too many to
    /// report to each other.
    pub(crate) fn has_reserve(&self) -> bool {
        self.base_allocation < 1.0
    }

    /// An aggregator's sum while it is relied on; an aggregator goes by its own sums.
    pub(crate) fn aggregate_in_force(&self, now: Seconds) -> Option<QuotaAggregate> {
        self.aggregate
            .filter(|aggregate| !self.is_aggregator && now - aggregate.at < AGGREGATE_LIFETIME)
    }

    /// Brings quota and ceiling up to now.
    pub(crate) fn fill(&mut self, now: Seconds, plan: &Plan) {
        // Peers' use, for as long as the aggregate is relied on, drains the quota before it is
        // refilled.
        let relied_on_from = self.filled_at;
        let aggregate = self.aggregate.filter(|aggregate| {
            !self.is_aggregator && aggregate.at + AGGREGATE_LIFETIME > relied_on_from
        });
        if let Some(aggregate) = aggregate {
            let span = (aggregate.at + AGGREGATE_LIFETIME).min(now) - self.filled_at;
            self.quota_units = aggregate.drain(self.quota_units, span, plan);
        }
        let span = (now - self.filled_at).max(0.0);
        self.filled_at = now;
        self.quota_units =
            (self.quota_units + span * plan.quota_units_per_second).min(plan.quota_burst_units);
        self.fill_ceiling(now, span, plan);
    }

    /// Takes units from the quota; the debt is bounded.
    pub(crate) fn drain(&mut self, plan: &Plan, units: f64, max_request_units: f64) {
        let debt_limit = (plan.quota_units_per_second * DEBT_LIMIT).max(max_request_units);
        self.quota_units = (self.quota_units - units).max(-debt_limit);
    }

    /// Fills this node's part of the ceiling, and the reserve where it is here.
    pub(crate) fn fill_ceiling(&mut self, now: Seconds, span: Seconds, plan: &Plan) {
        let part = self.base_allocation / f64::from(self.node_set_size);
        // What was granted beyond the part stays, from a reserve only for as long as that counts it
        // as granted: kept for ever, what a reserve grants one peer after another would come to far
        // more than the ceiling.
        let decay = if self.has_reserve() {
            (-span / GRANT_MEMORY).exp()
        } else {
            1.0
        };
        let capacity = plan.ceiling_burst_units * part;
        let excess = (self.ceiling_units - capacity).max(0.0) * decay;
        let filled = self.ceiling_units + span * plan.ceiling_units_per_second * part;
        self.ceiling_units = filled.min(capacity + excess);
        self.fill_reserve(now, span, plan);
    }

    fn fill_reserve(&mut self, now: Seconds, span: Seconds, plan: &Plan) {
        let Some(reserve) = &mut self.ceiling_reserve else {
            return;
        };
        let nodes = f64::from(self.node_set_size);
        // A part not used for as long as the ceiling takes to fill is full: the reserve has what
        // would run over.
        let time_to_fill = plan.ceiling_burst_units / plan.ceiling_units_per_second.max(1e-9);
        let recently_used = |peer: &&PeerUsage| now - peer.demand.updated_at < time_to_fill;
        let active = self.peers.values().filter(recently_used).count();
        let share = 1.0 - self.base_allocation * (active as f64 + 1.0).min(nodes) / nodes;
        let granted: f64 = self
            .peers
            .values()
            .map(|peer| peer.granted.read(now, GRANT_MEMORY) * GRANT_MEMORY)
            .sum();
        let capacity = (plan.ceiling_burst_units * (1.0 - self.base_allocation) - granted).max(0.0);
        *reserve = (*reserve + span * plan.ceiling_units_per_second * share).min(capacity);
    }

    /// Takes from the reserve what a peer that used so many units may soon need. A grant that is
    /// lost only wastes units.
    pub(crate) fn grant_from_reserve(
        &mut self,
        now: Seconds,
        peer: u32,
        used_units: f64,
        max_request_units: f64,
    ) -> Option<f64> {
        let reserve = self.ceiling_reserve.as_mut()?;
        let peer = self.peers.get_mut(&peer)?;
        let outstanding =
            (peer.granted.read(now, GRANT_MEMORY) * GRANT_MEMORY - used_units).max(0.0);
        let wanted = peer.demand.read(now, RATE_MEMORY) * GRANT_HORIZON + max_request_units;
        let amount = (wanted - outstanding).min(*reserve / 2.0);
        let amount = (amount * GRANTS_PER_UNIT).floor().max(0.0) / GRANTS_PER_UNIT;
        *reserve -= amount;
        peer.granted = DecayingRate {
            per_second: (outstanding + amount) / GRANT_MEMORY,
            updated_at: now,
        };
        Some(amount).filter(|amount| *amount > 0.0)
    }

    /// Takes the units of a request that was sent from the quota and the ceiling.
    pub(crate) fn charge(
        &mut self,
        now: Seconds,
        plan: &Plan,
        units: f64,
        within_quota: bool,
        max_request_units: f64,
    ) {
        if within_quota {
            if self.aggregate_in_force(now).is_none() {
                self.drain(plan, units, max_request_units);
            }
            self.forwarded_units += units;
        }
        self.ceiling_units -= units;
        if let Some(reserve) = &mut self.ceiling_reserve {
            if self.ceiling_units < 0.0 {
                *reserve += self.ceiling_units;
                self.ceiling_units = 0.0;
            }
        }
        self.in_flight += 1;
    }

    /// Counts a request that ended.
    pub(crate) fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// True where nothing would be lost by forgetting it: quota and ceiling are full.
    pub(crate) fn is_full(&self, plan: &Plan) -> bool {
        // A plan without a rate or a ceiling never fills what its requests take from it.
        let most = 1.0 - 1e-9;
        let reserve_full = self.ceiling_reserve.is_none_or(|reserve| {
            reserve >= plan.ceiling_burst_units * (1.0 - self.base_allocation) * most
        });
        let part = plan.ceiling_burst_units * self.base_allocation * most;
        let ceiling_full =
            reserve_full && self.ceiling_units * f64::from(self.node_set_size) >= part;
        (plan.quota_units_per_second <= 0.0 || self.quota_units >= plan.quota_burst_units)
            && (plan.ceiling_units_per_second <= 0.0 || ceiling_full)
    }

    /// The nodes that its requests come in through, of so many in the fleet.
    pub(crate) fn nodes(&self, node_count: u32) -> impl Iterator<Item = u32> {
        let first = self.first_node;
        (0..self.node_set_size).map(move |i| (first + i) % node_count)
    }
}

/// All customers known here, and whose use is still to be reported.
#[derive(Default)]
pub(crate) struct QuotaTable {
    /// By the fingerprint of the customer's name.
    pub(crate) customers: BTreeMap<u32, CustomerQuota>,
    /// Customers whose use the aggregators have not been sent yet, in order.
    pub(crate) unreported: VecDeque<u32>,
    /// When the next report may be sent.
    pub(crate) next_report_at: Seconds,
    /// When the next aggregate may be sent.
    pub(crate) next_aggregate_at: Seconds,
    /// When customers are next forgotten.
    pub(crate) next_sweep_at: Seconds,
}

impl QuotaTable {
    /// A customer, entered now if it is not known yet.
    pub(crate) fn entry(&mut self, now: Seconds, customer: u32) -> &mut CustomerQuota {
        self.customers
            .entry(customer)
            .or_insert_with(|| CustomerQuota::new(now))
    }

    /// Brings all quotas up to now.
    pub(crate) fn fill_all(&mut self, now: Seconds, plans: &[Plan]) {
        for customer in self.customers.values_mut() {
            if let Some(plan) = customer.plan {
                customer.fill(now, &plans[plan]);
            }
        }
    }

    /// A peer began anew, and its totals with it.
    pub(crate) fn restart_totals_of(&mut self, peer: u32) {
        for customer in self.customers.values_mut() {
            if let Some(usage) = customer.peers.get_mut(&peer) {
                usage.forwarded = 0;
                usage.requested = 0;
            }
        }
    }

    /// Forgets customers not seen for a span whose quota and ceiling are full.
    pub(crate) fn forget_idle(&mut self, now: Seconds, idle_span: Seconds, plans: &[Plan]) {
        self.customers.retain(|_, customer| {
            let plan = customer.plan.map(|plan| &plans[plan]);
            if let Some(plan) = plan {
                customer.fill(now, plan);
            }
            customer.in_flight > 0
                || now - customer.last_seen_at < idle_span
                || plan.is_some_and(|plan| !customer.is_full(plan))
        });
    }
}

#[cfg(test)]
mod tests;
