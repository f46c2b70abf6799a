//! Sending of the usage reports, aggregates, grants and load statistics that are due.

use applewall_node_types::TimeSpan;

use super::codec::{self, CustomerRecord, Record};
use super::Gossip;
use crate::api::{Action, NodeId};
use crate::decision::hashing::CustomerFingerprint;
use crate::decision::quota::{max_concurrency_rate, QuotaLedger};
use crate::decision::{Context, OverloadControl};

/// Interval of rounds. At this interval, load statistics reach hundreds of nodes within 2 s.
pub(super) const ROUND_INTERVAL: TimeSpan = TimeSpan::from_seconds(0.2);

impl Gossip {
    /// Sends the usage reports that are due.
    pub(crate) fn send_due_reports(
        &self,
        context: &Context<'_>,
        quotas: &mut QuotaLedger,
        actions: &mut Vec<Action>,
    ) {
        for due in quotas.take_due_reports(context) {
            let records: Vec<CustomerRecord> = due
                .reports
                .into_iter()
                .map(|(customer, report)| CustomerRecord {
                    customer,
                    record: Record::Usage(report),
                })
                .collect();
            self.send(due.to, &records, actions);
        }
    }

    /// Sends a customer's aggregate to its other nodes if this node is its aggregator and one is due.
    ///
    /// `latency`: expected latency of a request, including queueing.
    pub(crate) fn send_due_aggregate(
        &self,
        context: &Context<'_>,
        quotas: &mut QuotaLedger,
        customer: CustomerFingerprint,
        latency: TimeSpan,
        actions: &mut Vec<Action>,
    ) {
        let Some(plan) = quotas.plan_of(customer) else {
            return;
        };
        let max_rate = max_concurrency_rate(context.plan(plan), latency);
        let Some(due) = quotas.take_due_aggregate(context, customer, max_rate) else {
            return;
        };
        for peer in due.to {
            self.send_one(peer, customer, Record::Aggregate(due.update), actions);
        }
    }

    /// Once per [`ROUND_INTERVAL`], sends the grants of ceilings that are due and, in a large fleet, pooled load
    /// statistics to a random peer.
    pub(crate) fn send_due_round(
        &mut self,
        context: &mut Context<'_>,
        quotas: &mut QuotaLedger,
        overload: &mut OverloadControl,
        actions: &mut Vec<Action>,
    ) {
        let settings = context.settings();
        let has_peers = settings.gossip_enabled && settings.node_count > 1;
        if !has_peers || context.now() < self.next_round_at {
            return;
        }
        self.next_round_at = context.now() + ROUND_INTERVAL;
        if context.is_large_fleet() {
            let statistics = overload.take_outgoing_statistics();
            let peer = context.draw_peer();
            let customer = CustomerRecord::NO_CUSTOMER;
            self.send_one(peer, customer, Record::Statistics(statistics), actions);
        }
        for due in quotas.take_due_grants(context) {
            self.send_one(due.to, due.customer, Record::Grant(due.units), actions);
        }
    }

    /// Appends the action that sends one record to one peer.
    pub(super) fn send_one(
        &self,
        peer: NodeId,
        customer: CustomerFingerprint,
        record: Record,
        actions: &mut Vec<Action>,
    ) {
        self.send(peer, &[CustomerRecord { customer, record }], actions);
    }

    /// Appends the actions that send records of one kind to one peer, one for each message.
    fn send(&self, peer: NodeId, records: &[CustomerRecord], actions: &mut Vec<Action>) {
        let texts = codec::encode(self.incarnation, records);
        actions.extend(texts.into_iter().map(|text| Action::SendGossip {
            peer: Some(peer),
            text,
        }));
    }
}
