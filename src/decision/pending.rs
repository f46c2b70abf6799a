//! Requests that have no final answer yet.

use std::collections::BTreeMap;

use applewall_node_types::{TimeSpan, Timestamp};

use super::context::Context;
use super::hashing::CustomerFingerprint;
use super::ids::EndpointIndex;
use super::latency::RequestKind;
use crate::api::{ClassId, PlanId, Request, RequestId};

/// An attempt that may have executed its request.
#[derive(Clone, Copy)]
pub(crate) struct PossibleExecution {
    endpoint: EndpointIndex,
    sent_at: Timestamp,
}

impl PossibleExecution {
    pub(crate) fn new(endpoint: EndpointIndex, sent_at: Timestamp) -> Self {
        PossibleExecution { endpoint, sent_at }
    }

    /// The endpoint that may have executed the request.
    pub(crate) fn endpoint(&self) -> EndpointIndex {
        self.endpoint
    }

    pub(crate) fn sent_at(&self) -> Timestamp {
        self.sent_at
    }
}

/// What admission has determined about a request.
pub(crate) struct AdmittedRequest {
    pub customer: CustomerFingerprint,
    pub kind: RequestKind,
    /// Cost of an attempt, relative to that of a mean request.
    pub cost: f64,
    /// Whether it counts against the quota; otherwise it was admitted beyond the quota, by the weight that the plan
    /// gives such requests.
    pub within_quota: bool,
}

/// A request that has no final answer yet.
pub(crate) struct PendingRequest {
    class: ClassId,
    plan: PlanId,
    units: f64,
    admitted: AdmittedRequest,
    /// When the client's deadline expires.
    deadline: Timestamp,
    /// Number of attempts sent.
    attempts: u32,
    /// When the last attempt was sent.
    sent_at: Timestamp,
    /// The first attempt that may have executed it.
    possible_execution: Option<PossibleExecution>,
    /// The endpoints of all attempts, in the order of sending.
    attempted_endpoints: Vec<EndpointIndex>,
}

impl PendingRequest {
    /// Creates the record of an admitted request that has no attempt yet.
    pub(crate) fn new(now: Timestamp, request: &Request, admitted: AdmittedRequest) -> Self {
        PendingRequest {
            class: request.class,
            plan: request.plan,
            units: request.units,
            admitted,
            deadline: now + TimeSpan::from_nanoseconds(request.time_left_ns),
            attempts: 0,
            sent_at: now,
            possible_execution: None,
            attempted_endpoints: Vec::new(),
        }
    }

    pub(crate) fn class(&self) -> ClassId {
        self.class
    }

    pub(crate) fn plan(&self) -> PlanId {
        self.plan
    }

    /// Units that it draws from the quota, possibly an estimate.
    pub(crate) fn units(&self) -> f64 {
        self.units
    }

    pub(crate) fn customer(&self) -> CustomerFingerprint {
        self.admitted.customer
    }

    pub(crate) fn kind(&self) -> RequestKind {
        self.admitted.kind
    }

    /// Cost of an attempt, relative to that of a mean request.
    pub(crate) fn cost(&self) -> f64 {
        self.admitted.cost
    }

    /// Returns true if it counts against the quota.
    pub(crate) fn is_within_quota(&self) -> bool {
        self.admitted.within_quota
    }

    /// Number of attempts sent.
    pub(crate) fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Time until the client's deadline.
    pub(crate) fn time_left(&self, now: Timestamp) -> TimeSpan {
        self.deadline - now
    }

    /// The first attempt that may have executed it, if any.
    pub(crate) fn possible_execution(&self) -> Option<PossibleExecution> {
        self.possible_execution
    }

    /// Returns true if the endpoint has had an attempt of it.
    pub(crate) fn was_attempted_at(&self, endpoint: EndpointIndex) -> bool {
        self.attempted_endpoints.contains(&endpoint)
    }

    /// The endpoints that have had an attempt of it, in the order of sending.
    pub(crate) fn attempted_endpoints(&self) -> &[EndpointIndex] {
        &self.attempted_endpoints
    }

    /// Records an attempt that is sent.
    pub(crate) fn record_attempt(&mut self, now: Timestamp, endpoint: EndpointIndex) {
        self.attempts += 1;
        self.sent_at = now;
        self.attempted_endpoints.push(endpoint);
    }

    /// Records an attempt that may have executed the request; only the first one is kept.
    pub(crate) fn record_possible_execution(&mut self, execution: PossibleExecution) {
        self.possible_execution.get_or_insert(execution);
    }
}

/// All pending requests of this node.
#[derive(Default)]
pub(crate) struct PendingRequests {
    requests: BTreeMap<RequestId, PendingRequest>,
}

impl PendingRequests {
    /// Adds a request whose attempt was sent.
    pub(crate) fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.requests.insert(id, request);
    }

    /// Removes and returns a request.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        self.requests.remove(&id)
    }

    /// Removes the deadline of a request whose streamed response has begun: the client waits until the stream ends.
    pub(crate) fn remove_deadline(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.deadline = Timestamp::DISTANT_FUTURE;
        }
    }

    /// Total cost of the attempts that are not past their latency objective. Later responses are useless to the client and
    /// must not count towards the backlog.
    pub(crate) fn work_in_flight(&self, context: &Context<'_>) -> f64 {
        self.requests
            .values()
            .filter(|request| {
                context.now() - request.sent_at < context.latency_objective(request.class)
            })
            .map(PendingRequest::cost)
            .sum()
    }

    /// Returns true if any request has had an attempt at the endpoint.
    pub(crate) fn refer_to(&self, endpoint: EndpointIndex) -> bool {
        self.requests
            .values()
            .any(|request| request.was_attempted_at(endpoint))
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }
}
