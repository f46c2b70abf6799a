//! Aggregates: when an aggregator has to send a customer's aggregate, and how a received one is applied.

use applewall_node_types::TimeSpan;

use super::aggregate::{self, QuotaAggregate, AGGREGATOR_DELAY, REPEAT_INTERVAL};
use super::customer::CustomerQuota;
use super::ledger::QuotaLedger;
use super::message_interval;
use super::messages::AggregateUpdate;
use crate::api::{NodeId, Plan};
use crate::decision::context::Context;
use crate::decision::hashing::CustomerFingerprint;

/// Fraction of the receive limit that aggregates to sets of nodes may use if all aggregators send.
const AGGREGATE_FRACTION: f64 = 0.5;
/// Maximum time for which that fraction is saved up while it is unused, since an aggregate is sent to many nodes at
/// once.
const MAX_SAVED_TIME: TimeSpan = TimeSpan::from_seconds(10.0);

/// An aggregate that is due to all other nodes of a customer's set.
pub(crate) struct DueAggregate {
    pub to: Vec<NodeId>,
    pub update: AggregateUpdate,
}

impl QuotaLedger {
    /// As a customer's aggregator, takes the aggregate to send, if the one sent last is outdated. `max_rate`: see
    /// [`super::max_concurrency_rate`].
    pub(crate) fn take_due_aggregate(
        &mut self,
        context: &Context<'_>,
        customer: CustomerFingerprint,
        max_rate: f64,
    ) -> Option<DueAggregate> {
        let now = context.now();
        let next_aggregate_at = self.next_aggregate_at;
        let (entry, plan) = self.with_plan(context, customer)?;
        if !entry.aggregate_is_due(context, plan, max_rate) || next_aggregate_at > now {
            return None;
        }
        let aggregate = entry.own_aggregate(now);
        entry.aggregate = Some(aggregate);
        entry.aggregate_due_since = None;
        let nodes = entry.nodes;
        // All nodes of a set receive what all its aggregators send, so the interval grows with the number of
        // receivers.
        self.next_aggregate_at = next_aggregate_at.max(now - MAX_SAVED_TIME)
            + message_interval(context, AGGREGATE_FRACTION) * f64::from(nodes.size - 1);
        let is_other = |node: &NodeId| *node != context.node();
        Some(DueAggregate {
            to: nodes.nodes(context.node_count()).filter(is_other).collect(),
            update: aggregate.to_update(plan),
        })
    }

    /// Applies an aggregate that a peer sent. Ignored if the peer is not one of the customer's aggregators, as far as
    /// this node knows them.
    pub(crate) fn receive_aggregate(
        &mut self,
        context: &Context<'_>,
        from: NodeId,
        customer: CustomerFingerprint,
        update: AggregateUpdate,
    ) {
        if !self.may_track(customer) || !self.accepts_from(context, customer, from) {
            return;
        }
        let now = context.now();
        let entry = self.entry(now, customer);
        let plan = entry.plan.map(|plan| context.plan(plan));
        if let Some(plan) = plan {
            entry.refill(now, plan);
        }
        entry.accept_aggregate(context, from, update, plan);
    }
}

impl CustomerQuota {
    /// Returns true if this node has to send an aggregate: it is an aggregator of a large set, the last aggregate is
    /// outdated, and none of the aggregators ranked before it has sent one within [`AGGREGATOR_DELAY`] each. If an
    /// aggregator is down, the next one sends instead.
    fn aggregate_is_due(&mut self, context: &Context<'_>, plan: &Plan, max_rate: f64) -> bool {
        let all_aggregate = self.aggregators.includes_all_of(self.nodes);
        if !self.aggregators.includes_this_node() || all_aggregate || !plan.has_quota() {
            return false;
        }
        let now = context.now();
        self.refill(now, plan);
        let current = self.current_usage(now, plan, max_rate);
        if !aggregate::is_outdated(self.aggregate, current) {
            self.aggregate_due_since = None;
            return false;
        }
        let rank = self.aggregators.rank_of(context.node()).unwrap_or_default();
        let due_since = *self.aggregate_due_since.get_or_insert(now);
        now - due_since >= AGGREGATOR_DELAY * rank as f64
    }

    fn accept_aggregate(
        &mut self,
        context: &Context<'_>,
        from: NodeId,
        update: AggregateUpdate,
        plan: Option<&Plan>,
    ) {
        if plan.is_some() && !self.aggregators.contains(from) {
            return;
        }
        let now = context.now();
        self.aggregate = Some(QuotaAggregate::new(update.demand, 0.0, now));
        self.aggregate_due_since = None;
        // An aggregator that has summed for longer than the repeat interval relies on its own sums.
        let has_own_sums =
            self.aggregators.includes_this_node() && now - self.known_since > REPEAT_INTERVAL;
        match plan {
            Some(_) if has_own_sums => {}
            Some(plan) => self.quota_units = update.quota_level * plan.quota_burst_units,
            None => self.initial_level = update.quota_level,
        }
    }
}
