//! The policy's state, put together of its parts, and what is read from several of them.

use std::collections::BTreeMap;

use rand::rngs::SmallRng;

use super::fleet_size::is_large_fleet;
use super::{
    seconds, DecayingRate, EndpointRecord, EndpointTable, Ladder, LatencyEstimator, PeerState,
    PendingRequest, PooledLoad, QuotaTable, RetryBudget, Seconds,
};
use crate::api::{PolicySettings, RequestId};

/// The decision policy of one node.
pub struct DecisionPolicy {
    pub(crate) settings: PolicySettings,
    pub(crate) rng: SmallRng,
    /// When this process, or the one that it took over from, started.
    pub(crate) started_at: Seconds,
    /// When the last event came.
    pub(crate) last_event_at: Seconds,
    /// When the last event came that followed a stall.
    pub(crate) resumed_at: Seconds,
    pub(crate) ladder: Ladder,
    pub(crate) quotas: QuotaTable,
    pub(crate) endpoints: EndpointTable,
    pub(crate) pending: BTreeMap<RequestId, PendingRequest>,
    pub(crate) latency: LatencyEstimator,
    pub(crate) retry_budget: RetryBudget,
    /// Requests per second.
    pub(crate) arrivals: DecayingRate,
    pub(crate) load: PooledLoad,
    pub(crate) peers: PeerState,
    /// Wait before a failed watch is opened again.
    pub(crate) watch_backoff: Seconds,
    pub(crate) log_lines: u32,
}

impl DecisionPolicy {
    /// A request needs no further answer.
    pub(crate) fn release(&mut self, request: &PendingRequest) {
        if let Some(customer) = self.quotas.customers.get_mut(&request.customer) {
            customer.release();
        }
    }

    /// The shortest latency objective of all classes.
    pub(crate) fn shortest_objective(&self) -> Seconds {
        self.settings
            .classes
            .iter()
            .map(|class| seconds(class.latency_objective_ns))
            .fold(f64::INFINITY, f64::min)
    }

    /// Cost of the attempts that are not yet past their objective: beyond it they are lost, and
    /// must not fill the backlog.
    pub(crate) fn work_in_flight(&self, now: Seconds) -> f64 {
        let objective = |class: usize| seconds(self.settings.classes[class].latency_objective_ns);
        self.pending
            .values()
            .filter(|pending| now - pending.sent_at < objective(pending.class))
            .map(|pending| pending.cost)
            .sum()
    }

    /// Queueing time of what is sent now, as a part of the shortest objective.
    pub(crate) fn relative_queueing_time(&self) -> f64 {
        self.load.queueing_time() / self.shortest_objective()
    }

    /// Latency factor of an endpoint's machine type: in a large fleet too few responses come from
    /// each endpoint.
    pub(crate) fn machine_factor(&self, record: &EndpointRecord) -> f64 {
        if self.is_large_fleet() {
            self.latency.machine_factor(record.endpoint.machine_type)
        } else {
            1.0
        }
    }

    /// True where a fleet is too large for each node to report to all others.
    pub(crate) fn is_large_fleet(&self) -> bool {
        is_large_fleet(&self.settings)
    }

    /// Replaces the estimated units of a request by those that the response settled.
    pub(crate) fn settle_units(&mut self, request: &PendingRequest, settled_units: f64) {
        if settled_units <= 0.0 {
            return;
        }
        if let Some(customer) = self.quotas.customers.get_mut(&request.customer) {
            let difference = settled_units - request.units;
            let plan = &self.settings.plans[request.plan];
            customer.drain(plan, difference, self.settings.max_request_units);
            customer.forwarded_units = (customer.forwarded_units + difference).max(0.0);
        }
    }

    /// How much is kept, in entries of all kinds: it levels off however many come and go.
    pub fn entry_count(&self) -> usize {
        let records = &self.endpoints.records;
        let attempts: usize = records
            .iter()
            .map(|record| record.in_flight.len() + record.recent_attempts.len())
            .sum();
        let customers = &self.quotas.customers;
        let peers: usize = customers
            .values()
            .map(|customer| customer.peers.len())
            .sum();
        let endpoints = self.endpoints.indexes.len() + records.len();
        let quotas = customers.len() + self.quotas.unreported.len();
        let peer_incarnations = self.peers.peer_incarnations.len();
        endpoints + quotas + attempts + peers + self.pending.len() + peer_incarnations
    }
}
