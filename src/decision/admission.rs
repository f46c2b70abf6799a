//! Admission: the checks that a request has to pass before its first attempt, in order.

use applewall_node_types::TimeSpan;

use super::context::Context;
use super::endpoints::EndpointTable;
use super::hashing::CustomerFingerprint;
use super::latency::{LatencyEstimator, RequestKind};
use super::overload::{Backlog, OverloadControl, TierId, WeightedRequest};
use super::pending::{AdmittedRequest, PendingRequest, PendingRequests};
use super::quota::{QuotaLedger, RequestLatency};
use super::rejection::Rejection;
use crate::api::Request;

/// Queueing time, in shortest objectives, below which the fleet has spare capacity for requests beyond a quota.
const MAX_SPARE_QUEUEING: f64 = 0.2;
/// Minimum number of units that a priority weight is computed with.
const MIN_WEIGHTED_UNITS: f64 = 1e-3;

/// The components of the policy that admission uses.
pub(super) struct Admission<'a> {
    /// Decides by quota, ceiling and concurrency limit. The request has already been recorded there.
    pub(super) quotas: &'a QuotaLedger,
    /// Decides by backlog limit and ladder, which count the request.
    pub(super) overload: &'a mut OverloadControl,
    /// Estimates the cost of the request.
    pub(super) latency: &'a LatencyEstimator,
    /// Determines the work in flight, which the backlog limit compares.
    pub(super) pending: &'a PendingRequests,
    /// Determines the number of ready endpoints, on which the backlog limit depends.
    pub(super) endpoints: &'a EndpointTable,
}

impl Admission<'_> {
    /// Decides whether a request may be sent. Checks the quota and concurrency limit, the ceiling, the backlog limit
    /// and the ladder, in this order.
    pub(super) fn decide(
        &mut self,
        context: &mut Context<'_>,
        customer: CustomerFingerprint,
        request: &Request,
    ) -> Result<PendingRequest, Rejection> {
        let within_quota = self.decide_quota(context, customer, request)?;
        self.check_ceiling(context, customer, request)?;
        let kind = RequestKind::new(request.class, request.units);
        let cost = self.latency.cost(kind);
        self.charge_load(context, request, cost)?;
        let admitted = AdmittedRequest {
            customer,
            kind,
            cost,
            within_quota,
        };
        Ok(PendingRequest::new(context.now(), request, admitted))
    }

    /// Decides whether the request counts as within the quota. Beyond the quota it is rejected, unless
    /// [`admits_over_quota`](Self::admits_over_quota) applies.
    fn decide_quota(
        &self,
        context: &mut Context<'_>,
        customer: CustomerFingerprint,
        request: &Request,
    ) -> Result<bool, Rejection> {
        let kind = RequestKind::new(request.class, request.units);
        let latency = RequestLatency {
            with_queueing: expected_latency(context, self.overload, self.latency),
            usual: self.latency.usual(kind),
        };
        let within_quota = self
            .quotas
            .decide_within_quota(context, customer, request, latency);
        if within_quota || self.admits_over_quota(context, request) {
            Ok(within_quota)
        } else {
            Err(Rejection::CustomerLimit)
        }
    }

    /// Returns true if the plan gives requests beyond the quota more weight than they cost and there is capacity to
    /// spare: F0 is in force and, in a large fleet, queues are short.
    fn admits_over_quota(&self, context: &Context<'_>, request: &Request) -> bool {
        let plan = context.plan(request.plan);
        let earns_more_than_it_costs =
            plan.over_quota_weight_fraction > plan.over_quota_penalty_fraction;
        let has_spare_capacity = !context.is_large_fleet()
            || self.overload.relative_queueing_time(context) < MAX_SPARE_QUEUEING;
        earns_more_than_it_costs && self.overload.admits_all() && has_spare_capacity
    }

    fn check_ceiling(
        &self,
        context: &Context<'_>,
        customer: CustomerFingerprint,
        request: &Request,
    ) -> Result<(), Rejection> {
        if self.quotas.is_under_ceiling(context, customer, request) {
            Ok(())
        } else {
            Err(Rejection::CustomerLimit)
        }
    }

    /// Counts the request in the load, and rejects it if it exceeds the backlog limit or if the filter in force does
    /// not admit it.
    fn charge_load(
        &mut self,
        context: &mut Context<'_>,
        request: &Request,
        cost: f64,
    ) -> Result<(), Rejection> {
        let weighted = WeightedRequest::new(
            TierId::new(context, request.plan, request.class),
            cost,
            priority_weight(context, request),
        );
        let work_in_flight = self.pending.work_in_flight(context);
        let backlog = Backlog::new(work_in_flight, self.endpoints.ready_count());
        let overload = &mut *self.overload;
        overload.record_requested(cost);
        let is_shed = overload.decide_backlog_shedding(context, request.class, weighted, &backlog);
        // The ladder counts every request within the quotas, including those that the backlog limit sheds.
        let passes_ladder = overload.take_tier_tokens(context, weighted);
        if is_shed {
            return Err(Rejection::Backlog);
        }
        if !passes_ladder {
            return Err(Rejection::Ladder);
        }
        Ok(())
    }
}

/// Priority weight of a request: its class's weight times its plan's multiplier and its units.
fn priority_weight(context: &Context<'_>, request: &Request) -> f64 {
    let class = context.class(request.class);
    let plan = context.plan(request.plan);
    class.priority_weight * plan.weight_multiplier * request.units.max(MIN_WEIGHTED_UNITS)
}

/// Expected latency of a request that is sent now: the learned mean, or the queueing time if it is longer.
pub(super) fn expected_latency(
    context: &Context<'_>,
    overload: &OverloadControl,
    latency: &LatencyEstimator,
) -> TimeSpan {
    let queueing_time = context.shortest_objective() * overload.relative_queueing_time(context);
    latency.mean().max(queueing_time)
}
