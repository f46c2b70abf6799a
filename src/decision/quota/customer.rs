//! A customer's quota and ceiling, as far as this node knows them.

use std::collections::BTreeMap;

use applewall_node_types::{TimeSpan, Timestamp};

use super::aggregate::{CurrentUsage, QuotaAggregate};
use super::aggregators::Aggregators;
use super::ceiling::{self, Ceiling, ReserveUsage};
use super::messages::WrappingTotal;
use super::peer_usage::PeerUsage;
use super::RATE_TIME_CONSTANT;
use crate::api::{NodeId, NodeSet, Plan, PlanId};
use crate::decision::context::Context;
use crate::decision::decaying_rate::DecayingRate;
use crate::decision::hashing::CustomerFingerprint;

/// Maximum debt of the estimated quota, as a duration at its rate. It bounds the effect of a wrong report.
const MAX_DEBT: TimeSpan = TimeSpan::from_seconds(1.0);
/// Level of the quota, as a fraction of the burst, below which a customer is busy, so that its usage is reported.
const BUSY_LEVEL: f64 = 0.8;
/// Demand, as a fraction of the quota's rate, above which a customer is busy.
const BUSY_DEMAND: f64 = 0.4;

/// Demand for a customer's units, at this node and at all nodes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    /// Units requested per second through this node.
    pub(super) own: DecayingRate,
    /// Units requested per second through all nodes, as far as known here.
    pub(super) total: DecayingRate,
    /// Units per second that peers report as forwarded.
    pub(super) peers_forwarded: DecayingRate,
    /// Total units of requests that this process has sent within the quota.
    pub(super) forwarded_units: f64,
    /// Total units of requests that arrived at this process, clients' retries excluded.
    pub(super) requested_units: f64,
}

/// One customer's entry in the ledger.
///
/// `quota_units` estimates the token bucket over all nodes together. It is drained by this node's own requests and
/// the peers' reports or, while an aggregate is in force, by the demand of the aggregate.
#[derive(Clone, Debug)]
pub(super) struct CustomerQuota {
    /// Its plan, once a request or report has named it.
    pub(super) plan: Option<PlanId>,
    /// The nodes through which its requests arrive.
    pub(super) nodes: NodeSet,
    pub(super) aggregators: Aggregators,
    /// Estimated units in the quota over all nodes; negative for a debt.
    pub(super) quota_units: f64,
    pub(super) ceiling: Ceiling,
    /// Whether it is queued in [`QuotaLedger::unreported`](super::ledger::QuotaLedger::unreported), to be reported.
    pub(super) unreported: bool,
    /// When the quota and the ceiling were last refilled.
    pub(super) refilled_at: Timestamp,
    /// When its last request or report arrived.
    pub(super) last_seen_at: Timestamp,
    /// When its entry was created.
    pub(super) known_since: Timestamp,
    pub(super) demand: Demand,
    /// Requests in flight from this node.
    pub(super) in_flight: u32,
    /// The last report of each peer.
    pub(super) peers: BTreeMap<NodeId, PeerUsage>,
    /// Level at which the quota starts when the plan becomes known, as a fraction of the burst: 1, or as a peer has
    /// reported it.
    pub(super) initial_level: f64,
    /// The last aggregate sent or received.
    pub(super) aggregate: Option<QuotaAggregate>,
    /// Since when the last aggregate has been outdated, if this node is an aggregator.
    pub(super) aggregate_due_since: Option<Timestamp>,
}

impl CustomerQuota {
    /// Creates the entry of a customer whose plan and nodes are not known yet.
    pub(super) fn new(now: Timestamp) -> Self {
        CustomerQuota {
            plan: None,
            nodes: NodeSet::first_nodes(1),
            aggregators: Aggregators::default(),
            quota_units: 0.0,
            ceiling: Ceiling::empty(),
            unreported: false,
            refilled_at: now,
            last_seen_at: now,
            known_since: now,
            demand: Demand::default(),
            in_flight: 0,
            peers: BTreeMap::new(),
            initial_level: 1.0,
            aggregate: None,
            aggregate_due_since: None,
        }
    }

    /// Sets the plan and the nodes that a request or report names, and determines the aggregators among the nodes.
    pub(super) fn register(
        &mut self,
        context: &mut Context<'_>,
        customer: CustomerFingerprint,
        plan: PlanId,
        nodes: NodeSet,
    ) {
        let nodes = nodes.clamped(context.node_count());
        if self.aggregators.is_empty() || self.nodes != nodes {
            self.nodes = nodes;
            self.aggregators = Aggregators::assign(context, nodes, customer);
            let is_large_set = !self.aggregators.includes_all_of(nodes);
            let is_first = self.aggregators.first() == Some(context.node());
            self.ceiling.split(is_large_set, is_large_set && is_first);
        }
        if self.plan.is_none() {
            self.plan = Some(plan);
            let plan = context.plan(plan);
            self.refilled_at = context.now();
            self.quota_units = plan.quota_burst_units * self.initial_level;
            self.ceiling.initialize(context.age(), plan, nodes.size);
            self.ceiling.draw_dither(context);
        }
    }

    /// Counts a request's units in the demand. A client's retry adds no demand to that of its first attempt.
    pub(super) fn record_demand(&mut self, now: Timestamp, units: f64, is_retry: bool) {
        self.last_seen_at = now;
        if !is_retry {
            self.demand.own.add(now, units, RATE_TIME_CONSTANT);
            self.demand.total.add(now, units, RATE_TIME_CONSTANT);
            self.demand.requested_units += units;
        }
    }

    /// Returns true if peers have to know this node's usage, because the quota may run short or because another node
    /// is an aggregator.
    pub(super) fn needs_report(&self, now: Timestamp, plan: &Plan) -> bool {
        let is_busy = self.quota_units < BUSY_LEVEL * plan.quota_burst_units
            || self.total_demand(now) > BUSY_DEMAND * plan.quota_units_per_second
            || !self.aggregators.includes_this_node();
        is_busy && self.nodes.size > 1 && plan.has_quota()
    }

    /// Units requested per second through all nodes, as far as requests here and peers' reports show.
    pub(super) fn total_demand(&self, now: Timestamp) -> f64 {
        self.demand.total.read(now, RATE_TIME_CONSTANT)
    }

    pub(super) fn own_demand(&self, now: Timestamp) -> f64 {
        self.demand.own.read(now, RATE_TIME_CONSTANT)
    }

    /// The aggregate that this node relies on, if one is in force. An aggregator relies on its own sums instead.
    pub(super) fn aggregate_in_force(&self, now: Timestamp) -> Option<QuotaAggregate> {
        self.aggregate.filter(|aggregate| {
            !self.aggregators.includes_this_node() && aggregate.is_in_force(now)
        })
    }

    /// An aggregate of this node's own sums.
    pub(super) fn own_aggregate(&self, now: Timestamp) -> QuotaAggregate {
        QuotaAggregate::new(self.total_demand(now), self.quota_units, now)
    }

    /// This node's own sums, for comparison with the aggregate sent last.
    pub(super) fn current_usage<'a>(
        &self,
        now: Timestamp,
        plan: &'a Plan,
        max_rate: f64,
    ) -> CurrentUsage<'a> {
        CurrentUsage {
            now,
            plan,
            demand: self.total_demand(now),
            quota_units: self.quota_units,
            max_rate,
        }
    }

    /// Refills the quota and the ceiling up to `now`. While an aggregate is relied on, the peers' usage drains the
    /// quota before the refill.
    pub(super) fn refill(&mut self, now: Timestamp, plan: &Plan) {
        let relied_on_from = self.refilled_at;
        let aggregate = self.aggregate.filter(|aggregate| {
            !self.aggregators.includes_this_node() && aggregate.expires_at() > relied_on_from
        });
        if let Some(aggregate) = aggregate {
            let span = aggregate.expires_at().min(now) - self.refilled_at;
            self.quota_units = aggregate.drain(self.quota_units, span, plan);
        }
        let span = (now - self.refilled_at).max(TimeSpan::ZERO);
        self.refilled_at = now;
        self.quota_units = (self.quota_units + span.as_seconds() * plan.quota_units_per_second)
            .min(plan.quota_burst_units);
        self.refill_ceiling(now, span, plan);
    }

    /// Refills the ceiling's allocation and, if this node holds it, the reserve.
    pub(super) fn refill_ceiling(&mut self, now: Timestamp, span: TimeSpan, plan: &Plan) {
        let nodes = self.nodes.size;
        self.ceiling.refill_allocation(span, plan, nodes);
        let peers = &self.peers;
        self.ceiling
            .refill_reserve(span, plan, nodes, || reserve_usage(peers, now, plan));
    }

    /// Takes units from the quota. The debt is bounded, but not to less than the largest request.
    pub(super) fn drain(&mut self, plan: &Plan, units: f64, max_request_units: f64) {
        let max_debt = (plan.quota_units_per_second * MAX_DEBT.as_seconds()).max(max_request_units);
        self.quota_units = (self.quota_units - units).max(-max_debt);
    }

    /// Takes the units of a request that was sent from the quota and the ceiling, and counts it as in flight.
    pub(super) fn charge(
        &mut self,
        context: &mut Context<'_>,
        plan: &Plan,
        units: f64,
        within_quota: bool,
    ) {
        if within_quota {
            if self.aggregate_in_force(context.now()).is_none() {
                self.drain(plan, units, context.settings().max_request_units);
            }
            self.demand.forwarded_units += units;
        }
        self.ceiling.charge(units);
        self.ceiling.draw_dither(context);
        self.in_flight += 1;
    }

    /// Removes a finished request from those in flight.
    pub(super) fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Corrects the quota by the difference of a request's actual units from the estimate.
    pub(super) fn settle(&mut self, context: &Context<'_>, plan: &Plan, difference: f64) {
        self.drain(plan, difference, context.settings().max_request_units);
        self.demand.forwarded_units = (self.demand.forwarded_units + difference).max(0.0);
    }

    /// As the holder of the ceiling reserve, grants a peer what it may need soon. `None` if it needs nothing or nothing
    /// is left. A lost grant only wastes units.
    ///
    /// `used_units`: what the peer has forwarded since its previous report.
    pub(super) fn grant_from_reserve(
        &mut self,
        now: Timestamp,
        peer: NodeId,
        used_units: f64,
        max_request_units: f64,
    ) -> Option<f64> {
        let usage = self.peers.get_mut(&peer)?;
        let outstanding = (usage.granted_units(now) - used_units).max(0.0);
        let wanted = usage.wanted_grant(now, outstanding, max_request_units);
        let amount = self.ceiling.take_from_reserve(wanted)?;
        usage.set_granted(now, outstanding + amount);
        Some(amount).filter(|amount| *amount > 0.0)
    }

    /// Returns true if nothing is lost by evicting the customer, because quota and ceiling are full. A quota or
    /// ceiling whose rate is 0 never refills, so it counts as full.
    pub(super) fn is_full(&self, plan: &Plan) -> bool {
        let quota_is_full = !plan.has_quota() || self.quota_units >= plan.quota_burst_units;
        quota_is_full && self.ceiling.is_full(plan, self.nodes.size)
    }

    /// Total units forwarded and requested by this process, as reports carry them.
    pub(super) fn reported_totals(&self) -> (WrappingTotal, WrappingTotal) {
        (
            WrappingTotal::from_units(self.demand.forwarded_units),
            WrappingTotal::from_units(self.demand.requested_units),
        )
    }
}

/// Usage of the ceiling reserve by peers: those that used their allocation within the time that it takes to fill, and
/// the granted units.
fn reserve_usage(peers: &BTreeMap<NodeId, PeerUsage>, now: Timestamp, plan: &Plan) -> ReserveUsage {
    let time_to_fill = ceiling::time_to_fill(plan);
    let is_active = |peer: &&PeerUsage| now - peer.last_reported_at() < time_to_fill;
    ReserveUsage {
        active_peers: peers.values().filter(is_active).count(),
        granted_units: peers.values().map(|peer| peer.granted_units(now)).sum(),
    }
}

#[cfg(test)]
mod tests;
