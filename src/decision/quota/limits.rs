//! Decisions by a customer's quota, ceiling and concurrency limit.

use applewall_node_types::TimeSpan;

use super::customer::CustomerQuota;
use super::ledger::QuotaLedger;
use super::{DEBT_HORIZON, RATE_TIME_CONSTANT};
use crate::api::{Plan, Request};
use crate::decision::context::Context;
use crate::decision::hashing::CustomerFingerprint;

/// Ratio of requested to forwarded units beyond which the demand through other nodes is attributed to clients' retries.
const MAX_RETRY_RATIO: f64 = 3.0;
/// Part of the concurrency limit that the rate leaves free for random arrivals, as a multiple of the limit's square
/// root.
const CONCURRENCY_HEADROOM: f64 = 1.1;
/// Minimum demand, in units per second, as the divisor of a probability.
const MIN_DEMAND: f64 = 1e-9;

/// Latencies used to estimate the requests in flight.
#[derive(Clone, Copy)]
pub(crate) struct RequestLatency {
    /// Expected latency of any request that is sent now, including queueing.
    pub with_queueing: TimeSpan,
    /// Usual latency of this kind of request.
    pub usual: TimeSpan,
}

/// Rate of admitted units per second that makes the best use of a concurrency limit; infinite without a limit or before
/// a latency is known. Beyond it, the additional requests cause more rejections by endpoints, because the limit is
/// reached, than responses. It is for sets of nodes that cannot know how many requests are in flight now.
///
/// `latency`: latency of a request, including queueing.
pub(crate) fn max_concurrency_rate(plan: &Plan, latency: TimeSpan) -> f64 {
    match plan.max_concurrency {
        Some(limit) if latency > TimeSpan::ZERO => {
            let limit = f64::from(limit);
            (limit - CONCURRENCY_HEADROOM * limit.sqrt()) / latency.as_seconds()
        }
        _ => f64::INFINITY,
    }
}

impl QuotaLedger {
    /// Decides whether a request counts as within its customer's quota and concurrency limit. May draw up to two
    /// random numbers.
    pub(crate) fn decide_within_quota(
        &self,
        context: &mut Context<'_>,
        customer: CustomerFingerprint,
        request: &Request,
        latency: RequestLatency,
    ) -> bool {
        let customer = self.existing_entry(customer);
        let plan = context.plan(request.plan);
        let max_rate = if customer.ceiling.has_reserve() {
            max_concurrency_rate(plan, latency.with_queueing)
        } else {
            f64::INFINITY
        };
        if let Some(probability) = admission_probability(context, customer, request, max_rate) {
            if context.draw() >= probability {
                return false;
            }
        }
        let Some(limit) = plan.max_concurrency else {
            return true;
        };
        let at_peers =
            estimated_in_flight_at_peers(context, customer, plan, max_rate, latency.usual);
        // Rounded randomly: otherwise a fraction of a request in flight at peers would reject a customer that has
        // none in flight.
        let in_flight = f64::from(customer.in_flight) + at_peers + context.draw();
        in_flight < f64::from(limit)
    }

    /// Returns true if the ceiling of the request's customer has enough units for it here.
    pub(crate) fn is_under_ceiling(
        &self,
        context: &Context<'_>,
        customer: CustomerFingerprint,
        request: &Request,
    ) -> bool {
        let plan = context.plan(request.plan);
        self.existing_entry(customer)
            .ceiling
            .admits(request.units, plan)
    }
}

/// Demand over all nodes: that of the aggregate, if it is higher than the demand known here.
fn demand_over_all_nodes(context: &Context<'_>, customer: &CustomerQuota) -> f64 {
    let aggregate = customer.aggregate_in_force(context.now());
    let aggregated = aggregate.map_or(0.0, |aggregate| aggregate.demand());
    customer.total_demand(context.now()).max(aggregated)
}

/// Probability with which a customer's request is admitted; `None` if it is admitted unconditionally.
///
/// While the estimated quota is empty, a request is rejected with probability 1 - rate / demand, so that all nodes
/// together admit the rate. There are two extensions. A debt is spread over [`DEBT_HORIZON`], so that a wrong
/// estimate is compensated: `(rate + quota / horizon) / demand`. And `max_rate` limits the rate even while the quota
/// is not empty, if this node knows the demand over all nodes.
fn admission_probability(
    context: &Context<'_>,
    customer: &CustomerQuota,
    request: &Request,
    max_rate: f64,
) -> Option<f64> {
    let rate = context.plan(request.plan).quota_units_per_second;
    let is_empty = rate > 0.0 && customer.quota_units < request.units;
    let knows_demand = customer.aggregators.includes_this_node()
        || customer.aggregate_in_force(context.now()).is_some();
    let admitted_rate = if is_empty {
        (rate + customer.quota_units / DEBT_HORIZON.as_seconds()).min(max_rate)
    } else if knows_demand && max_rate < rate {
        max_rate
    } else {
        return None;
    };
    Some(admitted_rate / demand_over_all_nodes(context, customer).max(MIN_DEMAND))
}

/// Number of a customer's requests in flight at other nodes, estimated by Little's law: the demand through them times
/// the usual latency of a request.
///
/// The demand is limited to what the other nodes can admit. If an aggregate is in force, all nodes together admit no
/// more than the quota's rate and its remaining units. Otherwise the limit is derived from what the other nodes
/// report as forwarded, since a rejected client retries at once through another node.
fn estimated_in_flight_at_peers(
    context: &Context<'_>,
    customer: &CustomerQuota,
    plan: &Plan,
    max_rate: f64,
    usual_latency: TimeSpan,
) -> f64 {
    let now = context.now();
    let limit = if customer.aggregate_in_force(now).is_some() {
        let left = customer.quota_units.max(0.0) / DEBT_HORIZON.as_seconds();
        (plan.quota_units_per_second + left).min(max_rate)
    } else {
        customer
            .demand
            .peers_forwarded
            .read(now, RATE_TIME_CONSTANT)
            * MAX_RETRY_RATIO
    };
    let demand = demand_over_all_nodes(context, customer);
    let requested_at_peers = (demand - customer.own_demand(now)).max(0.0);
    requested_at_peers.min(limit) * usual_latency.as_seconds()
}
