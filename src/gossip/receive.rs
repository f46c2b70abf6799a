//! Receiving: what a peer reports of a customer's use, of its ceiling, or, as an aggregator, of its
//! sum.

use rand::rngs::SmallRng;

use super::aggregation::{register, CustomerScope};
use super::codec::{units_between, CustomerRecord, Record, Usage};
use super::dissemination::{answer_report, ReportedUse};
use super::GossipContext;
use crate::api::{Action, Plan};
use crate::decision_state::{
    CustomerQuota, QuotaAggregate, QuotaTable, Seconds, AGGREGATE_REPEAT, MAX_CUSTOMERS,
    RATE_MEMORY,
};

/// Applies a peer's record of a customer; one that contradicts the settings or the customer's nodes
/// changes nothing.
pub(crate) fn receive_customer_record(
    context: GossipContext<'_>,
    quotas: &mut QuotaTable,
    peer: u32,
    received: CustomerRecord,
    started_at: Seconds,
    rng: &mut SmallRng,
    actions: &mut Vec<Action>,
) {
    let CustomerRecord {
        customer: fingerprint,
        record,
    } = received;
    if quotas.customers.len() >= MAX_CUSTOMERS && !quotas.customers.contains_key(&fingerprint) {
        return;
    }
    if let Record::Usage(usage) = record {
        if !register_from_report(context, quotas, fingerprint, usage, started_at, rng) {
            return;
        }
    }
    let now = context.now;
    let customer = quotas.entry(now, fingerprint);
    let plan = customer.plan.map(|plan| &context.settings.plans[plan]);
    let node_count = context.settings.node_count.max(1);
    let place = (peer + node_count - customer.first_node) % node_count;
    if plan.is_some() && place >= customer.node_set_size {
        return;
    }
    if let Some(plan) = plan {
        customer.fill(now, plan);
    }
    match (record, plan) {
        (Record::Grant(units), Some(plan)) => accept_grant(customer, units, plan),
        (
            Record::Aggregate {
                demand,
                quota_level,
            },
            _,
        ) => accept_aggregate(customer, peer, now, demand, quota_level, plan),
        (Record::Usage(usage), Some(plan)) => {
            let max_units = context.settings.max_request_units;
            let reported = accept_usage(customer, peer, now, usage, plan, max_units);
            answer_report(context, quotas, fingerprint, reported, actions);
        }
        _ => {}
    }
}

/// Enters a customer that only a peer has seen so far: only the quota's level is another's to tell.
/// False where the report contradicts the settings.
fn register_from_report(
    context: GossipContext<'_>,
    quotas: &mut QuotaTable,
    fingerprint: u32,
    usage: Usage,
    started_at: Seconds,
    rng: &mut SmallRng,
) -> bool {
    let Usage {
        plan,
        first_node,
        node_set_size,
        quota_level,
        ..
    } = usage;
    let node_count = context.settings.node_count.max(1);
    let known_plan = plan < context.settings.plans.len();
    if !known_plan || first_node >= node_count || node_set_size > node_count {
        return false;
    }
    let known = quotas.customers.get(&fingerprint);
    if known.is_none_or(|customer| customer.plan.is_none()) {
        quotas.entry(context.now, fingerprint).initial_level = quota_level;
        let scope = CustomerScope {
            plan,
            first_node,
            node_set_size,
        };
        register(context, quotas, fingerprint, scope, started_at, rng);
    }
    true
}

fn accept_grant(customer: &mut CustomerQuota, units: f64, plan: &Plan) {
    let share = if customer.has_reserve() {
        1.0 - customer.base_allocation
    } else {
        1.0 / f64::from(customer.node_set_size)
    };
    customer.ceiling_units = (customer.ceiling_units + units).min(plan.ceiling_burst_units * share);
}

fn accept_aggregate(
    customer: &mut CustomerQuota,
    peer: u32,
    now: Seconds,
    demand: f64,
    quota_level: f64,
    plan: Option<&Plan>,
) {
    if plan.is_some() && !customer.aggregators.contains(&peer) {
        return;
    }
    customer.aggregate = Some(QuotaAggregate {
        demand,
        quota_units: 0.0,
        at: now,
    });
    customer.aggregate_due_since = None;
    // An aggregator that has summed for long goes by its own sums.
    let has_own_sums = customer.is_aggregator && now - customer.known_since > AGGREGATE_REPEAT;
    match plan {
        Some(_) if has_own_sums => {}
        Some(plan) => customer.quota_units = quota_level * plan.quota_burst_units,
        None => customer.initial_level = quota_level,
    }
}

fn accept_usage(
    customer: &mut CustomerQuota,
    peer: u32,
    now: Seconds,
    usage: Usage,
    plan: &Plan,
    max_request_units: f64,
) -> ReportedUse {
    let Usage {
        forwarded,
        requested,
        quota_level,
        ..
    } = usage;
    customer.last_seen_at = now;
    let is_first = !customer.peers.contains_key(&peer);
    let before = customer.peers.entry(peer).or_default();
    // Totals of a peer not heard before may be of any age: they count for one request at most.
    let limit = if is_first {
        max_request_units
    } else {
        f64::INFINITY
    };
    let requested_units = units_between(before.requested, requested).min(limit);
    let forwarded_units = units_between(before.forwarded, forwarded).min(limit);
    before.forwarded = forwarded;
    before.requested = requested;
    before.demand.add(now, requested_units, RATE_MEMORY);
    customer.total_demand.add(now, requested_units, RATE_MEMORY);
    customer
        .peers_forwarded
        .add(now, forwarded_units, RATE_MEMORY);
    if is_first && customer.aggregators.len() == customer.node_set_size as usize {
        customer.quota_units = customer
            .quota_units
            .min(quota_level * plan.quota_burst_units);
    } else {
        customer.drain(plan, forwarded_units, max_request_units);
    }
    ReportedUse {
        peer,
        quota_level,
        forwarded_units,
    }
}
