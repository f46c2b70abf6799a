//! The quota ledger: each customer's usage over all nodes, as far as this node knows it.

use std::collections::{BTreeMap, VecDeque};

use applewall_node_types::{TimeSpan, Timestamp};

use super::customer::CustomerQuota;
use crate::api::{NodeId, Plan, PlanId, Request};
use crate::decision::context::Context;
use crate::decision::hashing::CustomerFingerprint;

/// Maximum number of customers: requests and reports of others are not recorded. It bounds memory under floods of customers
/// that send one request each.
const MAX_CUSTOMERS: usize = 8192;
/// Number of customers from which on those with full quotas are evicted every monitor interval, however recently they were
/// seen.
const EVICTION_THRESHOLD: usize = MAX_CUSTOMERS / 2;
/// Idle time after which a customer is evicted once its quota and ceiling are full.
const MAX_IDLE_TIME: TimeSpan = TimeSpan::from_seconds(10.0);

/// All customers that this node tracks, and the queue of those whose usage has to be reported.
///
/// Accessed only by the policy's task. Requests charge it, gossip adds the peers' usage, and a hot restart transfers
/// all customers.
pub(crate) struct QuotaLedger {
    pub(super) customers: BTreeMap<CustomerFingerprint, CustomerQuota>,
    /// Customers whose usage has not been sent to the aggregators yet, in order.
    pub(super) unreported: VecDeque<CustomerFingerprint>,
    /// When the next report may be sent.
    pub(super) next_report_at: Timestamp,
    /// When the next aggregate may be sent.
    pub(super) next_aggregate_at: Timestamp,
    /// When idle customers are next evicted.
    next_sweep_at: Timestamp,
}

impl QuotaLedger {
    /// Creates a ledger without customers.
    pub(crate) fn new(now: Timestamp) -> Self {
        QuotaLedger {
            customers: BTreeMap::new(),
            unreported: VecDeque::new(),
            next_report_at: now,
            next_aggregate_at: now,
            next_sweep_at: now + MAX_IDLE_TIME,
        }
    }

    /// Returns a customer's entry, after creating it if it does not exist.
    pub(super) fn entry(
        &mut self,
        now: Timestamp,
        customer: CustomerFingerprint,
    ) -> &mut CustomerQuota {
        self.customers
            .entry(customer)
            .or_insert_with(|| CustomerQuota::new(now))
    }

    /// Returns the entry of a customer that is known to exist, such as that of a request being processed, whose entry
    /// [`Self::record_request`] has created.
    pub(super) fn existing_entry(&self, customer: CustomerFingerprint) -> &CustomerQuota {
        &self.customers[&customer]
    }

    /// Returns a customer with its plan, if both are known.
    pub(super) fn with_plan<'a>(
        &mut self,
        context: &Context<'a>,
        customer: CustomerFingerprint,
    ) -> Option<(&mut CustomerQuota, &'a Plan)> {
        let customer = self.customers.get_mut(&customer)?;
        let plan = context.plan(customer.plan?);
        Some((customer, plan))
    }

    /// Counts a request in its customer's demand, and queues a report of the customer's usage if it is busy.
    pub(crate) fn record_request(
        &mut self,
        context: &mut Context<'_>,
        customer: CustomerFingerprint,
        request: &Request,
    ) {
        let now = context.now();
        let plan = context.plan(request.plan);
        let entry = self.entry(now, customer);
        entry.register(context, customer, request.plan, request.nodes);
        entry.refill(now, plan);
        entry.record_demand(now, request.units, request.is_retry);
        let reports = context.settings().gossip_enabled && entry.needs_report(now, plan);
        if reports && !std::mem::replace(&mut entry.unreported, true) {
            self.unreported.push_back(customer);
        }
    }

    /// Charges the units of a request that was sent and counts it as in flight.
    pub(crate) fn charge(
        &mut self,
        context: &mut Context<'_>,
        customer: CustomerFingerprint,
        request: &Request,
        within_quota: bool,
    ) {
        let plan = context.plan(request.plan);
        let entry = self.entry(context.now(), customer);
        entry.charge(context, plan, request.units, within_quota);
    }

    /// Removes a finished request from those in flight.
    pub(crate) fn release(&mut self, customer: CustomerFingerprint) {
        if let Some(customer) = self.customers.get_mut(&customer) {
            customer.release();
        }
    }

    /// Replaces the estimated units of a request by those that the response reports. `difference`: actual less
    /// estimated units.
    pub(crate) fn settle(
        &mut self,
        context: &Context<'_>,
        customer: CustomerFingerprint,
        plan: PlanId,
        difference: f64,
    ) {
        if let Some(customer) = self.customers.get_mut(&customer) {
            customer.settle(context, context.plan(plan), difference);
        }
    }

    /// The plan of a customer, once a request or report has named it.
    pub(crate) fn plan_of(&self, customer: CustomerFingerprint) -> Option<PlanId> {
        self.customers.get(&customer)?.plan
    }

    /// Resets a peer's totals, which begin again after its restart.
    pub(crate) fn restart_totals_of(&mut self, peer: NodeId) {
        for customer in self.customers.values_mut() {
            if let Some(usage) = customer.peers.get_mut(&peer) {
                usage.restart_totals();
            }
        }
    }

    /// Returns true if the customer has an entry or may be added.
    pub(crate) fn may_track(&self, customer: CustomerFingerprint) -> bool {
        self.customers.len() < MAX_CUSTOMERS || self.customers.contains_key(&customer)
    }

    /// Evicts customers that have had no recent request or report and whose quotas and ceilings are full, every
    /// [`MAX_IDLE_TIME`]. If there are many customers, evicts all whose quotas and ceilings are full, immediately: nothing but
    /// the estimates of their demand is lost.
    pub(crate) fn evict_idle(&mut self, context: &Context<'_>) {
        let now = context.now();
        let has_many = self.customers.len() > EVICTION_THRESHOLD;
        if now < self.next_sweep_at && !has_many {
            return;
        }
        self.next_sweep_at = now + MAX_IDLE_TIME;
        let max_idle_time = if has_many {
            TimeSpan::ZERO
        } else {
            MAX_IDLE_TIME
        };
        self.customers.retain(|_, customer| {
            let plan = customer.plan.map(|plan| context.plan(plan));
            if let Some(plan) = plan {
                customer.refill(now, plan);
            }
            customer.in_flight > 0
                || now - customer.last_seen_at < max_idle_time
                || plan.is_some_and(|plan| !customer.is_full(plan))
        });
        let customers = &self.customers;
        self.unreported
            .retain(|customer| customers.contains_key(customer));
    }

    /// Refills all quotas and ceilings up to `now`.
    pub(super) fn refill_all(&mut self, now: Timestamp, plans: &[Plan]) {
        for customer in self.customers.values_mut() {
            if let Some(plan) = customer.plan {
                customer.refill(now, &plans[plan.0]);
            }
        }
    }

    /// Number of entries of all kinds, which bounds the ledger's memory.
    pub(crate) fn entry_count(&self) -> usize {
        let peers: usize = self
            .customers
            .values()
            .map(|customer| customer.peers.len())
            .sum();
        self.customers.len() + self.unreported.len() + peers
    }
}
