//! Grants: units of a ceiling that the nodes of a small set transfer to the peer that needs them most.

use super::ceiling::round_down_to_grant;
use super::customer::CustomerQuota;
use super::ledger::QuotaLedger;
use crate::api::{NodeId, Plan};
use crate::decision::context::Context;
use crate::decision::hashing::CustomerFingerprint;

/// Fraction of a ceiling's slack that one round of grants may have in flight.
const SLACK_FRACTION: f64 = 0.5;
/// Fraction of a node's equal allocation of the ceiling above which its demand qualifies for a grant.
const GRANT_DEMAND_FRACTION: f64 = 0.7;

/// Units of a customer's ceiling for a peer. They are deducted here at once, so a lost grant only wastes them.
pub(crate) struct DueGrant {
    pub to: NodeId,
    pub customer: CustomerFingerprint,
    /// A multiple of 1/4 unit.
    pub units: f64,
}

impl QuotaLedger {
    /// Takes the grants of this round: at most one for each customer with a ceiling and a small set of nodes.
    pub(crate) fn take_due_grants(&mut self, context: &Context<'_>) -> Vec<DueGrant> {
        let mut due = Vec::new();
        for (customer, entry) in &mut self.customers {
            let Some(plan) = entry.plan.map(|plan| context.plan(plan)) else {
                continue;
            };
            let is_small_set = entry.nodes.size >= 2 && !entry.ceiling.has_reserve();
            if !plan.has_ceiling() || !is_small_set {
                continue;
            }
            entry.refill(context.now(), plan);
            if let Some((to, units)) = entry.choose_grant(context, plan) {
                entry.ceiling.take(units);
                due.push(DueGrant {
                    to,
                    customer: *customer,
                    units,
                });
            }
        }
        due
    }

    /// Applies a grant of a peer. Ignored if the customer's plan is not known or the peer is not among its nodes.
    pub(crate) fn receive_grant(
        &mut self,
        context: &Context<'_>,
        from: NodeId,
        customer: CustomerFingerprint,
        units: f64,
    ) {
        if !self.may_track(customer) || !self.accepts_from(context, customer, from) {
            return;
        }
        let now = context.now();
        let entry = self.entry(now, customer);
        let Some(plan) = entry.plan.map(|plan| context.plan(plan)) else {
            return;
        };
        entry.refill(now, plan);
        entry.ceiling.add_grant(units, plan, entry.nodes.size);
    }
}

impl CustomerQuota {
    /// Chooses the peer with the highest demand among those whose demand is near or above their allocation, and the
    /// units that this node can spare for it.
    fn choose_grant(&self, context: &Context<'_>, plan: &Plan) -> Option<(NodeId, f64)> {
        let now = context.now();
        let nodes = f64::from(self.nodes.size);
        let equal_rate = plan.ceiling_units_per_second / nodes;
        let reserved = self.own_demand(now) + context.settings().max_request_units;
        let (peer, _) = self
            .peers
            .iter()
            .map(|(peer, usage)| (*peer, usage.demand(now)))
            .filter(|(_, demand)| *demand > GRANT_DEMAND_FRACTION * equal_rate)
            .max_by(|left, right| left.1.total_cmp(&right.1))?;
        let max_in_flight = SLACK_FRACTION * plan.ceiling_slack_units / nodes;
        let units = round_down_to_grant(max_in_flight.min(self.ceiling.units() - reserved));
        (units > 0.0).then_some((peer, units))
    }
}
