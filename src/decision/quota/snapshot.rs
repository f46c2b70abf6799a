//! Encoding of the ledger's customers in the state snapshot, and the division of their units between two processes in
//! a hot restart.

use std::collections::BTreeMap;

use applewall_node_types::Timestamp;
use serde::{Deserialize, Serialize};

use super::aggregate::QuotaAggregate;
use super::aggregators::Aggregators;
use super::ceiling::Ceiling;
use super::customer::{CustomerQuota, Demand};
use super::ledger::QuotaLedger;
use super::messages::WrappingTotal;
use super::peer_usage::PeerUsage;
use crate::api::{NodeId, NodeSet, Plan, PlanId};
use crate::decision::decaying_rate::DecayingRate;
use crate::decision::hashing::CustomerFingerprint;

/// Fraction of the units of a ceiling that the new process gets; the rest is for the requests that this one still
/// handles.
const HANDED_OVER_FRACTION: f64 = 0.5;

/// A [`PeerUsage`] in the field order of the state snapshot.
#[derive(Serialize, Deserialize)]
struct PeerUsageSnapshot {
    forwarded: u32,
    requested: u32,
    demand: DecayingRate,
    granted: DecayingRate,
}

/// A [`QuotaAggregate`] in the field order of the state snapshot.
#[derive(Serialize, Deserialize)]
struct AggregateSnapshot {
    demand: f64,
    quota_units: f64,
    at: Timestamp,
}

/// A [`CustomerQuota`] in the field order of the state snapshot.
#[derive(Serialize, Deserialize)]
pub(in crate::decision) struct CustomerSnapshot {
    plan: Option<PlanId>,
    node_set_size: u32,
    first_node: NodeId,
    aggregators: Vec<NodeId>,
    is_aggregator: bool,
    quota_units: f64,
    ceiling_units: f64,
    base_allocation: f64,
    ceiling_reserve: Option<f64>,
    ceiling_dither: f64,
    unreported: bool,
    refilled_at: Timestamp,
    last_seen_at: Timestamp,
    known_since: Timestamp,
    own_demand: DecayingRate,
    total_demand: DecayingRate,
    peers_forwarded: DecayingRate,
    forwarded_units: f64,
    requested_units: f64,
    in_flight: u32,
    peers: BTreeMap<NodeId, PeerUsageSnapshot>,
    initial_level: f64,
    aggregate: Option<AggregateSnapshot>,
    aggregate_due_since: Option<Timestamp>,
}

impl CustomerSnapshot {
    /// Returns true if the set of nodes is not empty and the plan, if known, is in range and comes with aggregators.
    pub(in crate::decision) fn is_consistent(&self, plans: usize) -> bool {
        let plan_is_consistent = |plan: PlanId| plan.0 < plans && !self.aggregators.is_empty();
        self.node_set_size > 0 && self.plan.is_none_or(plan_is_consistent)
    }
}

impl From<PeerUsage> for PeerUsageSnapshot {
    fn from(usage: PeerUsage) -> Self {
        let (forwarded, requested, demand, granted) = usage.into_parts();
        PeerUsageSnapshot {
            forwarded: forwarded.code(),
            requested: requested.code(),
            demand,
            granted,
        }
    }
}

impl From<PeerUsageSnapshot> for PeerUsage {
    fn from(snapshot: PeerUsageSnapshot) -> Self {
        PeerUsage::restore(
            WrappingTotal::from_code(snapshot.forwarded),
            WrappingTotal::from_code(snapshot.requested),
            snapshot.demand,
            snapshot.granted,
        )
    }
}

impl From<QuotaAggregate> for AggregateSnapshot {
    fn from(aggregate: QuotaAggregate) -> Self {
        AggregateSnapshot {
            demand: aggregate.demand(),
            quota_units: aggregate.quota_units(),
            at: aggregate.at(),
        }
    }
}

impl From<AggregateSnapshot> for QuotaAggregate {
    fn from(snapshot: AggregateSnapshot) -> Self {
        QuotaAggregate::new(snapshot.demand, snapshot.quota_units, snapshot.at)
    }
}

impl From<&CustomerQuota> for CustomerSnapshot {
    fn from(customer: &CustomerQuota) -> Self {
        let peers = customer.peers.iter();
        CustomerSnapshot {
            plan: customer.plan,
            node_set_size: customer.nodes.size,
            first_node: customer.nodes.first,
            aggregators: customer.aggregators.ranked().to_vec(),
            is_aggregator: customer.aggregators.includes_this_node(),
            quota_units: customer.quota_units,
            ceiling_units: customer.ceiling.units(),
            base_allocation: customer.ceiling.base_allocation(),
            ceiling_reserve: customer.ceiling.reserve(),
            ceiling_dither: customer.ceiling.dither(),
            unreported: customer.unreported,
            refilled_at: customer.refilled_at,
            last_seen_at: customer.last_seen_at,
            known_since: customer.known_since,
            own_demand: customer.demand.own,
            total_demand: customer.demand.total,
            peers_forwarded: customer.demand.peers_forwarded,
            forwarded_units: customer.demand.forwarded_units,
            requested_units: customer.demand.requested_units,
            in_flight: customer.in_flight,
            peers: peers
                .map(|(peer, usage)| (*peer, (*usage).into()))
                .collect(),
            initial_level: customer.initial_level,
            aggregate: customer.aggregate.map(AggregateSnapshot::from),
            aggregate_due_since: customer.aggregate_due_since,
        }
    }
}

impl From<CustomerSnapshot> for CustomerQuota {
    /// Restores the customer in the new process. Requests in flight stay with the other process. The queue of reports
    /// is not transferred, so each customer is queued again with its next request.
    fn from(snapshot: CustomerSnapshot) -> Self {
        let peers = snapshot.peers.into_iter();
        CustomerQuota {
            plan: snapshot.plan,
            nodes: NodeSet {
                first: snapshot.first_node,
                size: snapshot.node_set_size,
            },
            aggregators: Aggregators::restore(snapshot.aggregators, snapshot.is_aggregator),
            quota_units: snapshot.quota_units,
            ceiling: Ceiling::restore(
                snapshot.ceiling_units,
                snapshot.base_allocation,
                snapshot.ceiling_reserve,
                snapshot.ceiling_dither,
            ),
            unreported: false,
            refilled_at: snapshot.refilled_at,
            last_seen_at: snapshot.last_seen_at,
            known_since: snapshot.known_since,
            demand: Demand {
                own: snapshot.own_demand,
                total: snapshot.total_demand,
                peers_forwarded: snapshot.peers_forwarded,
                forwarded_units: snapshot.forwarded_units,
                requested_units: snapshot.requested_units,
            },
            in_flight: 0,
            peers: peers.map(|(peer, usage)| (peer, usage.into())).collect(),
            initial_level: snapshot.initial_level,
            aggregate: snapshot.aggregate.map(QuotaAggregate::from),
            aggregate_due_since: snapshot.aggregate_due_since,
        }
    }
}

impl QuotaLedger {
    /// Returns all customers as the new process takes them over. This process keeps its fraction of each ceiling's
    /// units and no reserve.
    pub(in crate::decision) fn hand_over(
        &mut self,
        now: Timestamp,
        plans: &[Plan],
    ) -> BTreeMap<CustomerFingerprint, CustomerSnapshot> {
        self.refill_all(now, plans);
        self.customers
            .iter_mut()
            .map(|(customer, entry)| {
                let transferred = entry.ceiling.hand_over(HANDED_OVER_FRACTION);
                let snapshot = CustomerSnapshot {
                    ceiling_units: transferred.units(),
                    ceiling_reserve: transferred.reserve(),
                    ..CustomerSnapshot::from(&*entry)
                };
                (*customer, snapshot)
            })
            .collect()
    }

    /// Resumes after the process that was to take over has failed.
    pub(in crate::decision) fn resume(&mut self, now: Timestamp, plans: &[Plan]) {
        self.refill_all(now, plans);
    }

    /// Replaces all customers of this ledger by those of another process.
    pub(in crate::decision) fn take_over(
        &mut self,
        customers: BTreeMap<CustomerFingerprint, CustomerSnapshot>,
    ) {
        self.customers = customers
            .into_iter()
            .map(|(customer, snapshot)| (customer, snapshot.into()))
            .collect();
    }
}
