//! Settings of the policy, which are fixed for the lifetime of the process.

use super::{ClassId, Endpoint, NodeId, PlanId, ZoneId};

/// Minimum divisor of a quota's level, so that a plan without a quota causes no division by zero.
const MIN_QUOTA_BURST_UNITS: f64 = 1e-9;

/// Endpoints that recognize the idempotency key of a request that another endpoint has executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every endpoint of the list recognizes it.
    All,
    /// Endpoints in the same zone.
    Zone,
    /// Endpoints in the same cell.
    Cell,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May be executed any number of times, at any endpoint.
    Idempotent,
    /// Carries an idempotency key, which the endpoints in the scope recognize for some time.
    IdempotencyKey {
        /// The endpoints that recognize a key.
        scope: KeyScope,
        /// Time for which they recognize it.
        deduplication_window_ns: u64,
    },
    /// Must not be sent again once it may have been executed.
    NonIdempotent,
}

impl Idempotency {
    /// Returns true if, while the key is recognized, an attempt at `next` does no harm after one at `first` that may
    /// have been executed.
    pub fn deduplicates_between(self, first: &Endpoint, next: &Endpoint) -> bool {
        match self {
            Idempotency::IdempotencyKey {
                scope: KeyScope::Zone,
                ..
            } => first.zone == next.zone,
            Idempotency::IdempotencyKey {
                scope: KeyScope::Cell,
                ..
            } => first.cell == next.cell,
            _ => true,
        }
    }

    /// Returns true if the client may safely retry after an attempt that may have been executed.
    pub fn client_may_retry(self) -> bool {
        matches!(
            self,
            Idempotency::Idempotent
                | Idempotency::IdempotencyKey {
                    scope: KeyScope::All,
                    ..
                }
        )
    }
}

/// A class of requests, which have the same latency objective, priority weight and idempotency.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency within which a response earns its full weight.
    pub latency_objective_ns: u64,
    /// Longest time that a client waits for a response. The policy does not use it: the caller limits
    /// [`Request::time_left_ns`](super::Request::time_left_ns) to it.
    pub deadline_ns: u64,
    /// Priority weight of a request per unit, before the plan's multiplier. Relative to the other classes.
    pub priority_weight: f64,
    /// Fraction of the weight that a response past the objective earns. The policy does not use it.
    pub late_weight_fraction: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// Whether the response is a stream. The policy learns that from
    /// [`Event::ResponseStarted`](super::Event::ResponseStarted) instead.
    pub streaming: bool,
}

/// A plan, whose limits apply to each customer over all nodes together.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Refill rate of the quota's token bucket; 0 for no quota.
    pub quota_units_per_second: f64,
    /// Capacity of the quota's token bucket.
    pub quota_burst_units: f64,
    /// Maximum number of a customer's requests in flight; `None` for no limit.
    pub max_concurrency: Option<u32>,
    /// Multiplier of the class's priority weight for the customers of this plan.
    pub weight_multiplier: f64,
    /// Fraction of the weight that a request beyond the quota earns.
    pub over_quota_weight_fraction: f64,
    /// Fraction of the weight that forwarding a request beyond the quota costs.
    pub over_quota_penalty_fraction: f64,
    /// Refill rate of the ceiling's token bucket, which must never be exceeded; 0 for no ceiling.
    pub ceiling_units_per_second: f64,
    /// Capacity of the ceiling's token bucket.
    pub ceiling_burst_units: f64,
    /// Units by which the ceiling's token bucket may fall below 0.
    pub ceiling_slack_units: f64,
}

impl Plan {
    /// Returns true if the plan has a quota.
    pub fn has_quota(&self) -> bool {
        self.quota_units_per_second > 0.0
    }

    /// Returns true if the plan has a ceiling.
    pub fn has_ceiling(&self) -> bool {
        self.ceiling_units_per_second > 0.0
    }

    /// `units` as a fraction of the quota's burst.
    pub(crate) fn quota_level(&self, units: f64) -> f64 {
        units / self.quota_burst_units.max(MIN_QUOTA_BURST_UNITS)
    }
}

/// A value in an endpoint's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Processor utilization of the endpoint.
    Utilization,
    /// Requests in flight at the endpoint.
    InFlight,
    /// A value that this version does not use.
    Other,
}

/// Settings of the policy of one node.
#[derive(Clone, Debug, Default)]
pub struct PolicySettings {
    /// Number of this node, from 0 to below [`node_count`](Self::node_count).
    pub node: NodeId,
    /// Number of nodes in the fleet, this one included.
    pub node_count: u32,
    /// The zone that this node runs in, whose endpoints it prefers.
    pub zone: ZoneId,
    /// Classes, referred to by [`Request::class`](super::Request::class).
    pub classes: Vec<Class>,
    /// Plans, referred to by [`Request::plan`](super::Request::plan).
    pub plans: Vec<Plan>,
    /// Whether the endpoint list has to be watched; otherwise it is pushed.
    pub watch_endpoints: bool,
    /// Number of machine types of which latencies are learned; 0 counts as 1.
    pub machine_type_count: u32,
    /// Whether [`Endpoint::weight`] is the size of an endpoint; otherwise all endpoints count as equally large.
    pub weighted_endpoints: bool,
    /// Meaning of each value in [`AttemptResult::load_report`](super::AttemptResult::load_report).
    pub load_report_fields: Vec<LoadField>,
    /// Fraction of its capacity that an endpoint has when it starts.
    pub slow_start_fraction: f64,
    /// Duration of slow start, after which an endpoint has its full capacity.
    pub slow_start_ns: u64,
    /// Multiple of its current capacity at which an endpoint in slow start fails.
    pub overload_multiple: f64,
    /// Window over which the load is counted that [`overload_multiple`](Self::overload_multiple) applies to.
    pub overload_window_ns: u64,
    /// Maximum number of attempts of a request, the first one included.
    pub max_attempts: u32,
    /// Longest advised retry delay that a client obeys; `None` if clients are advised none.
    pub max_retry_after_ns: Option<u64>,
    /// Whether nodes may send each other messages.
    pub gossip_enabled: bool,
    /// Whether a request may have two attempts in flight (hedging). The policy never sends hedged requests.
    pub hedging_allowed: bool,
    /// Whether attempts may be cancelled when their client has disconnected.
    pub cancellation_allowed: bool,
    /// Maximum number of messages per second that a node receives.
    pub gossip_messages_per_second: f64,
    /// Whether a request's units are an estimate that the units reported by its response replace.
    pub cost_settled_after_response: bool,
    /// Units of the largest request that clients may send.
    pub max_request_units: f64,
}

impl PolicySettings {
    /// Returns the class of an id.
    ///
    /// # Panics
    ///
    /// Panics if the id does not belong to these settings.
    pub fn class(&self, id: ClassId) -> &Class {
        &self.classes[id.0]
    }

    /// Returns the plan of an id.
    ///
    /// # Panics
    ///
    /// Panics if the id does not belong to these settings.
    pub fn plan(&self, id: PlanId) -> &Plan {
        &self.plans[id.0]
    }
}
