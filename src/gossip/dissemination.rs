//! Sending: usage reports, aggregates and grants.

use std::collections::BTreeMap;

use super::codec::{encode_units, CustomerRecord, Record, Usage};
use super::GossipContext;
use crate::api::{Action, Plan};
use crate::decision_state::{
    CustomerQuota, DecayingRate, QuotaAggregate, QuotaTable, Seconds, AGGREGATE_LIFETIME,
    AGGREGATE_REPEAT, GRANTS_PER_UNIT, RATE_MEMORY, REPORT_INTERVAL, REPORT_SHARE,
};

/// Time by which each further aggregator waits for those before it to send.
const AGGREGATOR_DELAY: Seconds = 0.5;
/// Share of the receive limit that aggregates to whole sets may use, all aggregators sending.
const AGGREGATE_SHARE: f64 = 0.5;
/// Seconds of that share that may be saved up: an aggregate goes to many nodes at once.
const AGGREGATE_SAVINGS: Seconds = 10.0;
/// Share of the burst by which a peer's quota estimate may be off before the aggregator corrects
/// it.
const TOLERATED_ERROR: f64 = 0.3;
/// Change of a sent demand that is sent at once, in square roots of counts: beyond chance.
const SIGNIFICANT_CHANGE: f64 = 1.5;
/// Share of the burst below which a customer is short of quota.
pub(crate) const SHORT_LEVEL: f64 = 0.2;
/// Part of a ceiling's slack that a round of grants may have in flight.
const GRANT_SLACK_SHARE: f64 = 0.5;
/// Share of a node's fair part of the ceiling above which its demand is in need of a grant.
const NEEDY_SHARE: f64 = 0.7;
/// Least receive limit that spacings are computed with.
const LEAST_MESSAGES_PER_SECOND: f64 = 0.1;

/// Spacing of messages that use a share of what a node may receive.
fn spacing(context: GossipContext<'_>, share: f64) -> Seconds {
    1.0 / (share * context.settings.gossip_messages_per_second).max(LEAST_MESSAGES_PER_SECOND)
}

/// Reports to the aggregators of each unreported customer what came in for it and was forwarded: in
/// a small fleet to all together, in a large one to each at once, to the first aggregator before
/// the others.
pub(crate) fn report_usage(
    context: GossipContext<'_>,
    quotas: &mut QuotaTable,
    actions: &mut Vec<Action>,
) {
    quotas.next_report_at = quotas.next_report_at.max(context.now - REPORT_INTERVAL);
    if context.is_large_fleet() {
        report_one_by_one(context, quotas, actions);
    } else {
        report_together(context, quotas, actions);
    }
}

/// The next unreported customer and its report.
fn next_report(
    context: GossipContext<'_>,
    quotas: &mut QuotaTable,
) -> Option<(u32, Option<CustomerRecord>)> {
    let fingerprint = quotas.unreported.pop_front()?;
    let Some(customer) = quotas.customers.get_mut(&fingerprint) else {
        return Some((fingerprint, None));
    };
    customer.unreported = false;
    let Some(plan) = customer.plan else {
        return Some((fingerprint, None));
    };
    customer.fill(context.now, &context.settings.plans[plan]);
    let burst = context.settings.plans[plan].quota_burst_units;
    let record = Record::Usage(Usage {
        plan,
        first_node: customer.first_node,
        node_set_size: customer.node_set_size,
        forwarded: encode_units(customer.forwarded_units),
        requested: encode_units(customer.requested_units),
        quota_level: customer.quota_units / burst.max(1e-9),
    });
    Some((
        fingerprint,
        Some(CustomerRecord {
            customer: fingerprint,
            record,
        }),
    ))
}

fn report_together(context: GossipContext<'_>, quotas: &mut QuotaTable, actions: &mut Vec<Action>) {
    let mut by_peer: BTreeMap<u32, Vec<CustomerRecord>> = BTreeMap::new();
    while let Some((fingerprint, record)) = next_report(context, quotas) {
        let Some(record) = record else { continue };
        for aggregator in &quotas.customers[&fingerprint].aggregators {
            if *aggregator != context.settings.node {
                by_peer.entry(*aggregator).or_default().push(record);
            }
        }
    }
    // Spaced so that what all send is within their part of what all may receive.
    quotas.next_report_at = context.now + by_peer.len() as f64 * spacing(context, REPORT_SHARE);
    for (peer, records) in by_peer {
        context.send(Some(peer), &records, actions);
    }
}

fn report_one_by_one(
    context: GossipContext<'_>,
    quotas: &mut QuotaTable,
    actions: &mut Vec<Action>,
) {
    let spare_before = context.now - REPORT_INTERVAL / 2.0;
    while quotas.next_report_at <= context.now {
        let Some((fingerprint, record)) = next_report(context, quotas) else {
            break;
        };
        let Some(record) = record else { continue };
        let customer = &quotas.customers[&fingerprint];
        for (rank, aggregator) in customer.aggregators.iter().enumerate() {
            if *aggregator == context.settings.node {
                continue;
            }
            let all_aggregate = !customer.has_reserve();
            if rank == 0 || all_aggregate || quotas.next_report_at <= spare_before {
                quotas.next_report_at += spacing(context, REPORT_SHARE);
                context.send_one(*aggregator, record, actions);
            }
        }
    }
}

/// True where what a customer's nodes were sent last no longer holds. `pace`: units per second that
/// may pass where few requests may be in flight at once.
fn aggregate_is_outdated(customer: &CustomerQuota, now: Seconds, plan: &Plan, pace: f64) -> bool {
    let demand = customer.total_demand.read(now, RATE_MEMORY);
    let rate = plan.quota_units_per_second;
    let burst = plan.quota_burst_units;
    let relied_on = |aggregate: &QuotaAggregate| {
        now - aggregate.at < AGGREGATE_LIFETIME && aggregate.demand > pace.min(rate)
    };
    let Some(aggregate) = customer.aggregate.filter(relied_on) else {
        let short = demand > rate && customer.quota_units < SHORT_LEVEL * burst;
        return short || demand > pace && pace < rate;
    };
    // What those who received it estimate the quota to be by now.
    let age = now - aggregate.at;
    let estimate = (aggregate.drain(aggregate.quota_units, age, plan) + age * rate).min(burst);
    let is_off = (customer.quota_units - estimate).abs() > TOLERATED_ERROR * burst;
    // A fall is sent once it is over: until then it shows in the quota.
    let change = (demand * RATE_MEMORY).sqrt() - (aggregate.demand * RATE_MEMORY).sqrt();
    let changed =
        change > SIGNIFICANT_CHANGE || -change > SIGNIFICANT_CHANGE && demand < pace.min(rate);
    age > AGGREGATOR_DELAY && (is_off || changed || demand > rate && age > AGGREGATE_REPEAT)
}

/// As a customer's aggregator, sends its nodes that it is short and how far its demand goes, and
/// when it no longer is. Each aggregator waits for those before it, so one that is down or was
/// restarted is passed over.
pub(crate) fn send_aggregate(
    context: GossipContext<'_>,
    quotas: &mut QuotaTable,
    fingerprint: u32,
    pace: f64,
    actions: &mut Vec<Action>,
) {
    let QuotaTable {
        customers,
        next_aggregate_at,
        ..
    } = quotas;
    let Some(customer) = customers.get_mut(&fingerprint) else {
        return;
    };
    let Some(plan) = customer.plan.map(|plan| &context.settings.plans[plan]) else {
        return;
    };
    if !aggregate_is_due(context, customer, plan, pace) || *next_aggregate_at > context.now {
        return;
    }
    // What all aggregators send, all nodes of a set receive: no more than their part of what all
    // may receive.
    *next_aggregate_at = next_aggregate_at.max(context.now - AGGREGATE_SAVINGS)
        + f64::from(customer.node_set_size - 1) * spacing(context, AGGREGATE_SHARE);
    let aggregate = QuotaAggregate {
        demand: customer.total_demand.read(context.now, RATE_MEMORY),
        quota_units: customer.quota_units,
        at: context.now,
    };
    customer.aggregate = Some(aggregate);
    customer.aggregate_due_since = None;
    let record = aggregate_record(fingerprint, &aggregate, plan);
    for peer in customer.nodes(context.settings.node_count.max(1)) {
        if peer != context.settings.node {
            context.send_one(peer, record, actions);
        }
    }
}

/// True where this node is to send an aggregate, and those before it did not.
fn aggregate_is_due(
    context: GossipContext<'_>,
    customer: &mut CustomerQuota,
    plan: &Plan,
    pace: f64,
) -> bool {
    let all_aggregate = customer.aggregators.len() >= customer.node_set_size as usize;
    if !customer.is_aggregator || all_aggregate || plan.quota_units_per_second <= 0.0 {
        return false;
    }
    let now = context.now;
    customer.fill(now, plan);
    if !aggregate_is_outdated(customer, now, plan, pace) {
        customer.aggregate_due_since = None;
        return false;
    }
    let is_own = |aggregator: &u32| *aggregator == context.settings.node;
    let rank = customer.aggregators.iter().position(is_own).unwrap_or(0);
    let due_since = *customer.aggregate_due_since.get_or_insert(now);
    now - due_since >= rank as f64 * AGGREGATOR_DELAY
}

fn aggregate_record(customer: u32, aggregate: &QuotaAggregate, plan: &Plan) -> CustomerRecord {
    CustomerRecord {
        customer,
        record: Record::Aggregate {
            demand: aggregate.demand,
            quota_level: aggregate.quota_units / plan.quota_burst_units.max(1e-9),
        },
    }
}

/// In a small set, moves units under the ceiling to the peer that needs them most. They are
/// deducted here at once, so a grant that is lost only wastes them.
pub(crate) fn grant_ceiling(
    context: GossipContext<'_>,
    quotas: &mut QuotaTable,
    actions: &mut Vec<Action>,
) {
    let mut grants = Vec::new();
    for (fingerprint, customer) in &mut quotas.customers {
        let Some(plan) = customer.plan.map(|plan| &context.settings.plans[plan]) else {
            continue;
        };
        let is_shared = customer.node_set_size >= 2 && !customer.has_reserve();
        if plan.ceiling_units_per_second <= 0.0 || !is_shared {
            continue;
        }
        customer.fill(context.now, plan);
        let Some((peer, amount)) = choose_grant(context, customer, plan) else {
            continue;
        };
        customer.ceiling_units -= amount;
        let record = CustomerRecord {
            customer: *fingerprint,
            record: Record::Grant(amount),
        };
        grants.push((peer, record));
    }
    for (peer, record) in grants {
        context.send_one(peer, record, actions);
    }
}

/// The peer with the highest demand beyond its part, and the units that this node can spare for it.
fn choose_grant(
    context: GossipContext<'_>,
    customer: &CustomerQuota,
    plan: &Plan,
) -> Option<(u32, f64)> {
    let now = context.now;
    let nodes = f64::from(customer.node_set_size);
    let fair_rate = plan.ceiling_units_per_second / nodes;
    let reserved = customer.own_demand.read(now, RATE_MEMORY) + context.settings.max_request_units;
    let demand = |demand: &DecayingRate| demand.read(now, RATE_MEMORY);
    let (peer, _) = customer
        .peers
        .iter()
        .map(|(peer, usage)| (*peer, demand(&usage.demand)))
        .filter(|(_, rate)| *rate > NEEDY_SHARE * fair_rate)
        .max_by(|left, right| left.1.total_cmp(&right.1))?;
    let amount = (GRANT_SLACK_SHARE * plan.ceiling_slack_units / nodes)
        .min(customer.ceiling_units - reserved);
    let amount = (amount * GRANTS_PER_UNIT).floor() / GRANTS_PER_UNIT;
    (amount > 0.0).then_some((peer, amount))
}

/// What a peer's report tells of it.
#[derive(Clone, Copy)]
pub(crate) struct ReportedUse {
    /// The peer.
    pub(crate) peer: u32,
    /// The level of the quota as the peer estimates it, as a share of the burst.
    pub(crate) quota_level: f64,
    /// Units that it forwarded since its last report.
    pub(crate) forwarded_units: f64,
}

/// As a customer's first aggregator in a large set, answers a peer's report: a peer that is wrong
/// about the quota is corrected at once, as each sees the customer seldom; and the ceiling reserve
/// grants what the peer may soon need.
pub(crate) fn answer_report(
    context: GossipContext<'_>,
    quotas: &mut QuotaTable,
    fingerprint: u32,
    reported: ReportedUse,
    actions: &mut Vec<Action>,
) {
    let Some(customer) = quotas.customers.get_mut(&fingerprint) else {
        return;
    };
    let Some(plan) = customer.plan.map(|plan| &context.settings.plans[plan]) else {
        return;
    };
    if !customer.has_reserve() || customer.aggregators[0] != context.settings.node {
        return;
    }
    let now = context.now;
    let aggregate = QuotaAggregate {
        demand: customer.total_demand.read(now, RATE_MEMORY),
        quota_units: customer.quota_units,
        at: now,
    };
    let level = customer.quota_units / plan.quota_burst_units.max(1e-9);
    let is_wrong = (reported.quota_level - level).abs() > TOLERATED_ERROR;
    let granted = if plan.ceiling_units_per_second > 0.0 {
        let max_units = context.settings.max_request_units;
        customer.grant_from_reserve(now, reported.peer, reported.forwarded_units, max_units)
    } else {
        None
    };
    if is_wrong && plan.quota_units_per_second > 0.0 {
        let record = aggregate_record(fingerprint, &aggregate, plan);
        context.send_one(reported.peer, record, actions);
    }
    if let Some(units) = granted {
        let record = CustomerRecord {
            customer: fingerprint,
            record: Record::Grant(units),
        };
        context.send_one(reported.peer, record, actions);
    }
}
