//! Which nodes sum a customer's use, and what a node knows of a customer at first.

use rand::rngs::SmallRng;
use rand::Rng;

use super::{codec, GossipContext};
use crate::api::{Plan, Request};
use crate::decision_state::{
    all_can_report_to_all, CustomerQuota, QuotaTable, Seconds, RATE_MEMORY,
};

/// Aggregators of a large set of nodes: one may be down or cut off.
const AGGREGATORS: usize = 2;
/// Share of a ceiling that is allocated evenly in a large set; the first aggregator grants the
/// rest.
const BASE_ALLOCATION: f64 = 0.5;
/// Part of what a quota that was kept leaves of a ceiling which a new process starts with.
const INITIAL_CEILING: f64 = 0.75;

/// Level of the quota, as a share of the burst, below which a customer is busy: its use is
/// reported.
const BUSY_LEVEL: f64 = 0.8;
/// Demand, as a share of the quota's rate, above which a customer is busy.
const BUSY_DEMAND: f64 = 0.4;

/// The plan and the nodes of a customer, as a request or a report names them.
#[derive(Clone, Copy)]
pub(crate) struct CustomerScope {
    /// Index of the plan.
    pub(crate) plan: usize,
    /// The first of the nodes that its requests come in through.
    pub(crate) first_node: u32,
    /// Their number.
    pub(crate) node_set_size: u32,
}

/// Enters a customer with its plan, its nodes and the aggregators among them: all of a set in which
/// each can report to all others within the receive limit, else a few. `started_at`: when this
/// process started.
pub(crate) fn register(
    context: GossipContext<'_>,
    quotas: &mut QuotaTable,
    fingerprint: u32,
    scope: CustomerScope,
    started_at: Seconds,
    rng: &mut SmallRng,
) {
    let node_count = context.settings.node_count.max(1);
    let nodes = scope.node_set_size.clamp(1, node_count);
    let customer = quotas.entry(context.now, fingerprint);
    let known = (customer.node_set_size, customer.first_node);
    if customer.aggregators.is_empty() || known != (nodes, scope.first_node) {
        customer.node_set_size = nodes;
        customer.first_node = scope.first_node;
        assign_aggregators(context, customer, fingerprint);
    }
    if customer.plan.is_none() {
        customer.plan = Some(scope.plan);
        let plan = &context.settings.plans[scope.plan];
        initialize(context.now, started_at, customer, plan);
        customer.ceiling_dither = if customer.has_reserve() {
            rng.random()
        } else {
            1.0
        };
    }
}

/// Counts a request in its customer's demand, and has the customer's use reported if it is busy.
pub(crate) fn record_request(
    context: GossipContext<'_>,
    quotas: &mut QuotaTable,
    fingerprint: u32,
    request: &Request,
    started_at: Seconds,
    rng: &mut SmallRng,
) {
    let GossipContext { settings, now, .. } = context;
    let scope = CustomerScope {
        plan: request.plan,
        first_node: request.first_node,
        node_set_size: request.node_set_size,
    };
    register(context, quotas, fingerprint, scope, started_at, rng);
    let plan = &settings.plans[request.plan];
    let customer = quotas.entry(now, fingerprint);
    customer.fill(now, plan);
    customer.last_seen_at = now;
    if !request.is_retry {
        customer.own_demand.add(now, request.units, RATE_MEMORY);
        customer.total_demand.add(now, request.units, RATE_MEMORY);
        customer.requested_units += request.units;
    }
    let demand = customer.total_demand.read(now, RATE_MEMORY);
    let is_busy = customer.quota_units < BUSY_LEVEL * plan.quota_burst_units
        || demand > BUSY_DEMAND * plan.quota_units_per_second
        || !customer.is_aggregator;
    let is_shared = customer.node_set_size > 1 && settings.gossip_enabled;
    let reports = is_busy && is_shared && plan.quota_units_per_second > 0.0;
    if reports && !std::mem::replace(&mut customer.unreported, true) {
        quotas.unreported.push_back(fingerprint);
    }
}

/// Ranks the customer's nodes by rendezvous hashing, so that each of them finds the same
/// aggregators by itself.
fn assign_aggregators(context: GossipContext<'_>, customer: &mut CustomerQuota, fingerprint: u32) {
    let node = context.settings.node;
    let nodes = customer.node_set_size;
    let mut ranked: Vec<u32> = customer.nodes(context.settings.node_count.max(1)).collect();
    ranked.sort_by_cached_key(|peer| codec::rendezvous_rank(fingerprint, *peer));
    let all = all_can_report_to_all(context.settings, nodes);
    ranked.truncate(if all { nodes as usize } else { AGGREGATORS });
    customer.is_aggregator = ranked.contains(&node);
    let is_sum_of_few = ranked.len() < nodes as usize;
    customer.base_allocation = if is_sum_of_few { BASE_ALLOCATION } else { 1.0 };
    let holds_reserve = is_sum_of_few && ranked[0] == node;
    customer.ceiling_reserve = holds_reserve.then(|| customer.ceiling_reserve.unwrap_or(0.0));
    customer.aggregators = ranked;
}

/// Sets what is there at first: the quota as a peer reported it, and the ceiling as filled since
/// this process started, since an earlier process may have spent what was there.
fn initialize(now: Seconds, started_at: Seconds, customer: &mut CustomerQuota, plan: &Plan) {
    customer.filled_at = now;
    customer.quota_units = plan.quota_burst_units * customer.initial_level;
    let burst = plan.ceiling_burst_units;
    let filled = ((now - started_at) * plan.ceiling_units_per_second).min(burst);
    // An earlier process that kept the quota, where that fills no faster, left what its burst does
    // not take.
    let quota_bounds_use = plan.quota_units_per_second > 0.0
        && plan.quota_units_per_second <= plan.ceiling_units_per_second;
    let left = if quota_bounds_use && customer.has_reserve() {
        INITIAL_CEILING * (burst - plan.quota_burst_units).max(0.0)
    } else {
        0.0
    };
    let allocation = customer.base_allocation;
    customer.ceiling_units =
        (filled * allocation + left).min(burst * allocation) / f64::from(customer.node_set_size);
    customer.ceiling_reserve = customer
        .ceiling_reserve
        .map(|_| filled * (1.0 - allocation));
}
