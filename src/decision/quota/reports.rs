//! Usage reports: which reports are due to which aggregators, and how a peer's report is applied.

use std::collections::BTreeMap;

use applewall_node_types::Timestamp;

use super::aggregate::TOLERATED_ERROR;
use super::ledger::QuotaLedger;
use super::message_interval;
use super::messages::{AggregateUpdate, UsageReport};
use crate::api::{NodeId, Plan};
use crate::decision::context::Context;
use crate::decision::fleet_size::{REPORT_FRACTION, REPORT_INTERVAL};
use crate::decision::hashing::CustomerFingerprint;

/// Reports due to one peer, which are sent in one or more messages.
pub(crate) struct DueReports {
    pub to: NodeId,
    /// At least one report.
    pub reports: Vec<(CustomerFingerprint, UsageReport)>,
}

/// Reply to a peer's report. Empty unless this node is the customer's first aggregator in a large set.
#[derive(Default)]
pub(crate) struct ReportAnswer {
    /// The aggregate, if the peer's estimate of the quota is inaccurate.
    pub correction: Option<AggregateUpdate>,
    /// Granted units of the ceiling.
    pub grant: Option<f64>,
}

impl QuotaLedger {
    /// Takes the reports that are due now to the aggregators of the customers in the queue. In a small fleet, all
    /// reports are sent together. In a large one, each is sent alone as soon as the receive limit allows it, to the
    /// first aggregator before the others.
    pub(crate) fn take_due_reports(&mut self, context: &Context<'_>) -> Vec<DueReports> {
        if self.unreported.is_empty() || context.now() < self.next_report_at {
            return Vec::new();
        }
        let unused_since = context.now() - REPORT_INTERVAL;
        self.next_report_at = self.next_report_at.max(unused_since);
        if context.is_large_fleet() {
            self.take_reports_one_by_one(context)
        } else {
            self.take_reports_together(context)
        }
    }

    fn take_reports_together(&mut self, context: &Context<'_>) -> Vec<DueReports> {
        let mut by_peer: BTreeMap<NodeId, Vec<(CustomerFingerprint, UsageReport)>> =
            BTreeMap::new();
        while let Some(customer) = self.unreported.pop_front() {
            let Some(report) = self.take_report(context, customer) else {
                continue;
            };
            for aggregator in self.existing_entry(customer).aggregators.ranked() {
                if *aggregator != context.node() {
                    by_peer
                        .entry(*aggregator)
                        .or_default()
                        .push((customer, report));
                }
            }
        }
        // The interval keeps the reports of all nodes within their fraction of the receive limit.
        self.next_report_at =
            context.now() + message_interval(context, REPORT_FRACTION) * by_peer.len() as f64;
        by_peer
            .into_iter()
            .map(|(to, reports)| DueReports { to, reports })
            .collect()
    }

    fn take_reports_one_by_one(&mut self, context: &Context<'_>) -> Vec<DueReports> {
        let mut due = Vec::new();
        // The other aggregators get a report only if the limit has been unused for half an interval.
        let has_spare_before = context.now() - REPORT_INTERVAL / 2.0;
        while self.next_report_at <= context.now() {
            let Some(customer) = self.unreported.pop_front() else {
                break;
            };
            let Some(report) = self.take_report(context, customer) else {
                continue;
            };
            let entry = &self.customers[&customer];
            let all_aggregate = !entry.ceiling.has_reserve();
            for (rank, aggregator) in entry.aggregators.ranked().iter().enumerate() {
                let is_due = rank == 0 || all_aggregate || self.next_report_at <= has_spare_before;
                if *aggregator != context.node() && is_due {
                    self.next_report_at += message_interval(context, REPORT_FRACTION);
                    due.push(DueReports {
                        to: *aggregator,
                        reports: vec![(customer, report)],
                    });
                }
            }
        }
        due
    }

    /// Returns the report of a customer that was taken from the queue, if its plan is known.
    fn take_report(
        &mut self,
        context: &Context<'_>,
        customer: CustomerFingerprint,
    ) -> Option<UsageReport> {
        let entry = self.customers.get_mut(&customer)?;
        entry.unreported = false;
        let plan_id = entry.plan?;
        let plan = context.plan(plan_id);
        entry.refill(context.now(), plan);
        let (forwarded, requested) = entry.reported_totals();
        Some(UsageReport {
            plan: plan_id,
            nodes: entry.nodes,
            forwarded,
            requested,
            quota_level: plan.quota_level(entry.quota_units),
        })
    }

    /// Applies a peer's report. A report that contradicts the settings or the customer's nodes changes nothing.
    pub(crate) fn receive_report(
        &mut self,
        context: &mut Context<'_>,
        from: NodeId,
        customer: CustomerFingerprint,
        report: UsageReport,
    ) -> ReportAnswer {
        if !self.may_track(customer) || !is_valid(context, report) {
            return ReportAnswer::default();
        }
        self.register_from_report(context, customer, report);
        if !self.accepts_from(context, customer, from) {
            return ReportAnswer::default();
        }
        let Some((_, plan)) = self.with_plan(context, customer) else {
            return ReportAnswer::default();
        };
        let now = context.now();
        let max_units = context.settings().max_request_units;
        let entry = self.entry(now, customer);
        entry.refill(now, plan);
        let forwarded_units = entry.add_peer_usage(now, from, report, plan, max_units);
        self.answer_report(context, customer, from, report.quota_level, forwarded_units)
    }

    /// Adds a customer that has had requests only at peers so far. Only the quota's level is taken from the report.
    fn register_from_report(
        &mut self,
        context: &mut Context<'_>,
        customer: CustomerFingerprint,
        report: UsageReport,
    ) {
        let entry = self.entry(context.now(), customer);
        if entry.plan.is_none() {
            entry.initial_level = report.quota_level;
            entry.register(context, customer, report.plan, report.nodes);
        }
    }

    /// As a customer's first aggregator in a large set, answers a peer's report. A peer whose estimate of the quota
    /// is inaccurate is corrected at once, since each peer rarely has requests of the customer; and the ceiling
    /// reserve grants what the peer may need soon.
    fn answer_report(
        &mut self,
        context: &Context<'_>,
        customer: CustomerFingerprint,
        peer: NodeId,
        reported_level: f64,
        forwarded_units: f64,
    ) -> ReportAnswer {
        let Some((entry, plan)) = self.with_plan(context, customer) else {
            return ReportAnswer::default();
        };
        let is_first = entry.aggregators.first() == Some(context.node());
        if !entry.ceiling.has_reserve() || !is_first {
            return ReportAnswer::default();
        }
        let now = context.now();
        let level = plan.quota_level(entry.quota_units);
        let is_inaccurate = (reported_level - level).abs() > TOLERATED_ERROR;
        let correction = entry.own_aggregate(now).to_update(plan);
        let max_units = context.settings().max_request_units;
        let grant = if plan.has_ceiling() {
            entry.grant_from_reserve(now, peer, forwarded_units, max_units)
        } else {
            None
        };
        ReportAnswer {
            correction: (is_inaccurate && plan.has_quota()).then_some(correction),
            grant,
        }
    }

    /// Returns true unless the customer's plan is known and `node` is not among its nodes.
    pub(super) fn accepts_from(
        &self,
        context: &Context<'_>,
        customer: CustomerFingerprint,
        node: NodeId,
    ) -> bool {
        let Some(entry) = self.customers.get(&customer) else {
            return true;
        };
        entry.plan.is_none() || entry.nodes.contains(node, context.node_count())
    }
}

/// Returns false if a report contradicts the settings.
fn is_valid(context: &Context<'_>, report: UsageReport) -> bool {
    let node_count = context.node_count();
    report.plan.0 < context.settings().plans.len()
        && report.nodes.first.0 < node_count
        && report.nodes.size <= node_count
}

impl super::customer::CustomerQuota {
    /// Adds a peer's usage since its last report to the demand and drains the quota by it, or refunds the quota if
    /// actual costs were below their estimates. Returns the units forwarded.
    fn add_peer_usage(
        &mut self,
        now: Timestamp,
        peer: NodeId,
        report: UsageReport,
        plan: &Plan,
        max_request_units: f64,
    ) -> f64 {
        self.last_seen_at = now;
        let is_first_report = !self.peers.contains_key(&peer);
        // The first totals of a peer may be of any age, so they count for at most one request.
        let limit = if is_first_report {
            max_request_units
        } else {
            f64::INFINITY
        };
        let usage = self.peers.entry(peer).or_default();
        let added = usage.replace_totals(now, report.forwarded, report.requested, limit);
        usage.add_demand(now, added.requested);
        self.demand
            .total
            .add(now, added.requested, super::RATE_TIME_CONSTANT);
        self.demand
            .peers_forwarded
            .add(now, added.forwarded.max(0.0), super::RATE_TIME_CONSTANT);
        if is_first_report && self.aggregators.includes_all_of(self.nodes) {
            let reported_units = report.quota_level * plan.quota_burst_units;
            self.quota_units = self.quota_units.min(reported_units);
        } else {
            self.drain(plan, added.forwarded, max_request_units);
        }
        added.forwarded.max(0.0)
    }
}
