//! Admission: quota, ceiling, concurrency, the ladder and the limit on the backlog.

use rand::Rng;

use super::ladder::{TierRequest, LEAST_SOJOURN};
use crate::api::{Action, Plan, Request, RequestId};
use crate::decision_state::{
    nanoseconds, seconds, DecisionPolicy, LatencyEstimator, PendingRequest, Seconds, DEBT_HORIZON,
    LEAST_POOLED_MESSAGES, MONITOR_INTERVAL, RATE_MEMORY,
};
use crate::gossip::aggregation::record_request;
use crate::gossip::codec::fingerprint;
use crate::gossip::GossipContext;

/// Queueing time, in shortest objectives, below which the fleet has capacity for what earns a part of its
/// weight.
const IDLE_QUEUEING: f64 = 0.2;
/// Requested over forwarded units beyond which others' demand is clients that retry.
const RETRYING_CLIENTS: f64 = 3.0;
/// Square roots of the concurrency limit that are kept free: requests come by chance.
const FREE_CONCURRENCY: f64 = 1.1;
/// Wait that a rejection advises, as a part of the latency objective, where the quota or a failed attempt is
/// the reason.
const QUOTA_RETRY_AFTER: f64 = 0.125;
/// Wait that a rejection advises, as a part of the latency objective, where load is the reason.
const LOAD_RETRY_AFTER: f64 = 0.25;
/// Work in flight, in objectives of this node's throughput, that requests of mean weight may add to.
const OWN_BACKLOG: f64 = 0.33;
/// The same of the fleet's capacity.
const POOLED_BACKLOG: f64 = 0.22;
/// Least backlog limit, in requests per endpoint, by this node's throughput.
const LEAST_OWN_BACKLOG: f64 = 4.0;
/// Least backlog limit, in requests per endpoint, by the fleet's capacity.
const LEAST_POOLED_BACKLOG: f64 = 2.8;
/// Requests; a smaller limit of this node's own is passed by chance too often.
const LEAST_RELIABLE_BACKLOG: f64 = 4.0;
/// Requested over completed work that is chance.
const CHANCE_EXCESS: f64 = 1.3;
/// Power of what is beyond: 1 would just hold the backlog at the limit.
const EXCESS_POWER: f64 = 1.5;
/// Least factor by which priority weight moves the backlog limit: every class keeps a part.
const LEAST_WEIGHT_FACTOR: f64 = 0.4;
/// Largest factor by which priority weight moves the backlog limit.
const LARGEST_WEIGHT_FACTOR: f64 = 2.5;
/// Least part of a memory that a young process's throughput is scaled by.
const LEAST_MEMORY_SHARE: f64 = 0.1;

/// Why a request is rejected, which sets the wait that is advised.
#[derive(Clone, Copy)]
pub(super) enum Rejection {
    /// The customer's quota, ceiling or concurrency limit.
    Quota,
    /// The backlog, the ladder, or no endpoint that may have the request.
    Load,
    /// Attempts failed, and none is left.
    AttemptsFailed,
}

impl DecisionPolicy {
    /// Takes a request: rejects it, or sends its first attempt.
    pub(crate) fn request_received(
        &mut self,
        now: Seconds,
        request: &Request,
        actions: &mut Vec<Action>,
    ) {
        let customer = fingerprint(&request.customer);
        self.arrivals.add(now, 1.0, RATE_MEMORY);
        let requests_per_second = self.arrivals.read(now, RATE_MEMORY);
        self.retry_budget.earn(requests_per_second);
        let context = GossipContext::new(&self.settings, &self.peers, now);
        let (quotas, rng) = (&mut self.quotas, &mut self.rng);
        record_request(context, quotas, customer, request, self.started_at, rng);
        let pending = self.admit(now, customer, request);
        let pending = pending.and_then(|mut pending| {
            let sent = self.send_attempt(now, request.id, &mut pending, actions);
            sent.then_some(pending).ok_or(Rejection::Load)
        });
        match pending {
            Err(rejection) => actions.push(self.reject(request.id, request.class, rejection)),
            Ok(pending) => {
                let plan = &self.settings.plans[request.plan];
                let max_units = self.settings.max_request_units;
                let record = self.quotas.entry(now, customer);
                record.charge(now, plan, request.units, pending.within_quota, max_units);
                // Small parts admit their share of requests: whole ones held back in each node of a large set
                // would be many.
                record.ceiling_dither = if record.has_reserve() {
                    self.rng.random()
                } else {
                    1.0
                };
                self.pending.insert(request.id, pending);
                self.send_aggregate_if_due(now, customer, actions);
            }
        }
    }

    /// Decides whether a request may be sent.
    fn admit(
        &mut self,
        now: Seconds,
        customer: u32,
        request: &Request,
    ) -> Result<PendingRequest, Rejection> {
        let within_quota = self.is_within_quota(now, customer, request);
        let plan = &self.settings.plans[request.plan];
        // Beyond the quota only where the plan pays for it and nothing is short.
        let is_idle = !self.is_large_fleet() || self.relative_queueing_time() < IDLE_QUEUEING;
        let pays = plan.over_quota_weight_fraction > plan.over_quota_penalty_fraction;
        let is_paid_excess = pays && self.ladder.filter == 0 && is_idle;
        if !(within_quota || is_paid_excess) || !self.is_under_ceiling(customer, request) {
            return Err(Rejection::Quota);
        }
        let kind = LatencyEstimator::kind(request.class, request.units);
        let cost = self.latency.cost(kind);
        let class = &self.settings.classes[request.class];
        let weight = class.priority_weight * plan.weight_multiplier * request.units.max(1e-3);
        self.load.outgoing.requested += cost;
        let exceeds_backlog = self.exceeds_backlog(now, request.class, weight / cost);
        let tier_request = TierRequest {
            tier: request.plan * self.settings.classes.len() + request.class,
            cost,
            weight,
            draw: self.rng.random(),
        };
        if !self.ladder.admit(now, tier_request) || exceeds_backlog {
            return Err(Rejection::Load);
        }
        Ok(PendingRequest {
            class: request.class,
            kind,
            customer,
            plan: request.plan,
            units: request.units,
            within_quota,
            deadline: now + seconds(request.time_left_ns),
            sent_at: now,
            cost,
            ..PendingRequest::default()
        })
    }

    /// A rejection, with the wait that it advises: a part of the objective, while a response can still be
    /// worth something.
    pub(super) fn reject(&self, request: RequestId, class: usize, reason: Rejection) -> Action {
        let objective = seconds(self.settings.classes[class].latency_objective_ns);
        let wait = objective.min(seconds(self.settings.max_retry_after_ns));
        let part = match reason {
            Rejection::Quota | Rejection::AttemptsFailed => QUOTA_RETRY_AFTER,
            Rejection::Load => LOAD_RETRY_AFTER,
        };
        Action::Reject {
            request,
            retry_after_ns: nanoseconds(wait * part),
        }
    }

    /// The rule of the design: reject only while the estimated quota is empty, with probability 1 - quota /
    /// demand. Extended: what is left or owed counts over a horizon, so that a wrong estimate is made good.
    fn is_within_quota(&mut self, now: Seconds, fingerprint: u32, request: &Request) -> bool {
        let plan = &self.settings.plans[request.plan];
        let customer = &self.quotas.customers[&fingerprint];
        let aggregate = customer.aggregate_in_force(now);
        let demand = customer
            .total_demand
            .read(now, RATE_MEMORY)
            .max(aggregate.map_or(0.0, |aggregate| aggregate.demand));
        let pace = if customer.has_reserve() {
            self.concurrency_pace(plan)
        } else {
            f64::INFINITY
        };
        let rate = plan.quota_units_per_second;
        let is_known = customer.is_aggregator || aggregate.is_some();
        let is_empty = rate > 0.0 && customer.quota_units < request.units;
        if is_empty || is_known && pace < rate {
            let left = if is_empty {
                rate + customer.quota_units / DEBT_HORIZON
            } else {
                pace
            };
            if self.rng.random::<f64>() >= left.min(pace) / demand.max(1e-9) {
                return false;
            }
        }
        if plan.max_concurrency == 0 {
            return true;
        }
        // Where an aggregate is in force, all admit no more than the quota and what is left in it. Else what
        // others say they forward bounds it: a rejected client retries at once, and elsewhere.
        let limit = if aggregate.is_some() {
            (rate + customer.quota_units.max(0.0) / DEBT_HORIZON).min(pace)
        } else {
            customer.peers_forwarded.read(now, RATE_MEMORY) * RETRYING_CLIENTS
        };
        // Requests that other nodes have in flight: their demand, for as long as a request of this kind
        // takes. Rounded at random: a share of less than one each would reject those that have nothing in
        // flight.
        let requested = (demand - customer.own_demand.read(now, RATE_MEMORY)).max(0.0);
        let kind = LatencyEstimator::kind(request.class, request.units);
        let others = requested.min(limit) * self.latency.usual(kind);
        let in_flight = f64::from(customer.in_flight) + others + self.rng.random::<f64>();
        in_flight < f64::from(plan.max_concurrency)
    }

    /// Pace, in units per second, at which a customer with a concurrency limit gains most: beyond it, more is
    /// lost by requests that come while all are in flight than others earn. For a set of nodes that can't see
    /// what is in flight now.
    pub(crate) fn concurrency_pace(&self, plan: &Plan) -> f64 {
        let limit = f64::from(plan.max_concurrency);
        let queueing_time = self.relative_queueing_time() * self.shortest_objective();
        let latency = self.latency.mean().max(queueing_time);
        if plan.max_concurrency == 0 || latency <= 0.0 {
            return f64::INFINITY;
        }
        (limit - FREE_CONCURRENCY * limit.sqrt()) / latency
    }

    fn is_under_ceiling(&self, customer: u32, request: &Request) -> bool {
        let plan = &self.settings.plans[request.plan];
        let customer = &self.quotas.customers[&customer];
        let available = customer.ceiling_units + customer.ceiling_reserve.unwrap_or(0.0);
        plan.ceiling_units_per_second <= 0.0 || available >= request.units * customer.ceiling_dither
    }

    /// A limit on the backlog, for when it grows faster than the ladder moves (a surge, endpoints lost at
    /// once): work in flight beyond what is completed in a part of the objective would be late. While
    /// throughput is unknown it could reject too much, hence the least limit and the first moments left free.
    fn exceeds_backlog(&mut self, now: Seconds, class: usize, weight_per_cost: f64) -> bool {
        let objective = seconds(self.settings.classes[class].latency_objective_ns);
        let span = (objective * self.shortest_objective()).sqrt();
        let mean_weight = self.ladder.mean_weight(now);
        let weight =
            (weight_per_cost / mean_weight).clamp(LEAST_WEIGHT_FACTOR, LARGEST_WEIGHT_FACTOR);
        let ready = self.endpoints.ready().count() as f64;
        let endpoints = ready / f64::from(self.settings.node_count.max(1));
        let age = now - self.started_at;
        let memory = self.ladder.memory;
        let throughput = self.ladder.completed.read(now, memory)
            / (1.0 - (-age / memory).exp()).max(LEAST_MEMORY_SHARE);
        let limit = (throughput * span * OWN_BACKLOG * weight).max(LEAST_OWN_BACKLOG * endpoints);
        if limit >= LEAST_RELIABLE_BACKLOG || !self.is_large_fleet() {
            return age > LEAST_SOJOURN && self.work_in_flight(now) > limit;
        }
        let capacity = self.load.capacity();
        let limit =
            (capacity * span * POOLED_BACKLOG * weight).max(LEAST_POOLED_BACKLOG * endpoints);
        self.pooled_backlog(now) > limit
    }

    /// The fleet's backlog for each node, drawn: a limit of few requests is passed by chance alone, so the
    /// pool decides with it, and by a share.
    fn pooled_backlog(&mut self, now: Seconds) -> f64 {
        let received = &self.load.received;
        let messages = self.load.messages.read(now, RATE_MEMORY);
        let is_pooled = received.intervals > 0.0 && messages >= LEAST_POOLED_MESSAGES;
        let pooled = |sum: f64, own: f64| {
            if is_pooled {
                sum / received.intervals
            } else {
                own
            }
        };
        // A share of what is requested alone would hold the backlog at the limit times requested over
        // completed: where clients retry, a flood that chokes endpoints. This guards against any demand
        // beyond what is completed, and its retries; the more there is, the less backlog is needed to keep
        // endpoints busy. It could harm where endpoints have just gained capacity, until the pool shows it,
        // or lose much work of a class. A process that has just started knows too little of what is completed
        // to call anything excess.
        let is_young = now - self.started_at < seconds(self.settings.overload_window_ns);
        let requested = if is_young {
            0.0
        } else {
            pooled(received.requested, 0.0)
        };
        let capacity = CHANCE_EXCESS * self.load.capacity();
        let excess = requested / MONITOR_INTERVAL / capacity.max(1e-9);
        let in_flight = pooled(received.in_flight, self.work_in_flight(now));
        self.rng.random::<f64>() * excess.max(1.0).powf(EXCESS_POWER) * in_flight
    }
}
