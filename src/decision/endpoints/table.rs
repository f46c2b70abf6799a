//! The endpoint table: the endpoint list from discovery, and the records by index.

use std::collections::BTreeMap;

use applewall_node_types::Timestamp;

use super::outcome_history::OutcomeHistory;
use super::record::{EndpointRecord, InFlightAttempt};
use crate::api::{AttemptResult, Endpoint, EndpointId, EndpointUpdateKind, RequestId, ZoneId};
use crate::decision::context::Context;
use crate::decision::ids::EndpointIndex;
use crate::decision::pending::{PendingRequest, PendingRequests, PossibleExecution};

/// An attempt that has ended and the endpoint it was sent to.
pub(crate) struct FinishedAttempt {
    pub attempt: InFlightAttempt,
    pub endpoint: EndpointIndex,
}

impl FinishedAttempt {
    /// The attempt as one that may have executed the request.
    pub(crate) fn possible_execution(&self) -> PossibleExecution {
        PossibleExecution::new(self.endpoint, self.attempt.sent_at())
    }
}

/// All endpoints of the list, and removed ones whose index is still referred to or not reused yet.
///
/// Accessed only by the policy's task. Discovery updates change the list; starting and finishing attempts change the
/// records.
#[derive(Default)]
pub(crate) struct EndpointTable {
    pub(super) records: Vec<EndpointRecord>,
    indexes: BTreeMap<EndpointId, EndpointIndex>,
    /// Whether this process, or the one it took over from, has received a list.
    list_received: bool,
    /// Share of its usual traffic that each zone gets; 1 for zones beyond the end.
    zone_shares: Vec<f64>,
}

impl EndpointTable {
    /// Applies an update of the endpoint list and assigns this node's subset anew.
    pub(crate) fn update(
        &mut self,
        context: &Context<'_>,
        pending: &PendingRequests,
        kind: EndpointUpdateKind,
        entries: &[Endpoint],
    ) {
        if kind != EndpointUpdateKind::Delta {
            for record in &mut self.records {
                record.is_ready = false;
                record.is_removed = true;
            }
        }
        // Known endpoints first: a new one must not reuse the index of an endpoint that appears later in the list.
        let is_known = |entry: &&Endpoint| self.indexes.contains_key(&entry.id);
        let (known, new): (Vec<_>, Vec<_>) = entries.iter().partition(is_known);
        for entry in known.into_iter().chain(new) {
            self.update_entry(context, pending, entry);
        }
        // An empty cached list does not count as received: otherwise the endpoints of the first list from discovery
        // would count as just started.
        self.list_received |= kind == EndpointUpdateKind::Snapshot || !entries.is_empty();
        self.assign_subset(context);
    }

    fn update_entry(&mut self, context: &Context<'_>, pending: &PendingRequests, entry: &Endpoint) {
        let started_at = entry
            .started_at_ns
            .map_or(Timestamp::DISTANT_PAST, Timestamp::from_nanoseconds);
        let index = match self.indexes.get(&entry.id) {
            Some(index) => *index,
            None => self.insert(context, pending, entry, started_at),
        };
        self.records[index.0].update(entry, started_at);
    }

    /// Adds a new endpoint. One that appears after the first list is assumed to have just started.
    fn insert(
        &mut self,
        context: &Context<'_>,
        pending: &PendingRequests,
        entry: &Endpoint,
        started_at: Timestamp,
    ) -> EndpointIndex {
        let is_late = self.list_received && entry.started_at_ns.is_none();
        let slow_start_from = if is_late { context.now() } else { started_at };
        let settings = context.settings();
        let outcomes = OutcomeHistory::new(settings.classes.len(), settings.plans.len());
        let record = EndpointRecord::new(entry.clone(), slow_start_from, outcomes);
        let index = self.free_index(pending);
        self.indexes.retain(|_, other| *other != index);
        self.indexes.insert(entry.id.clone(), index);
        match self.records.get_mut(index.0) {
            Some(old) => *old = record,
            None => self.records.push(record),
        }
        index
    }

    /// The index of a removed endpoint that nothing refers to, or else a new one. Without reuse, the table would
    /// keep every endpoint that ever existed, and each selection would scan them all.
    fn free_index(&self, pending: &PendingRequests) -> EndpointIndex {
        let is_free = |index: &EndpointIndex| {
            let record = &self.records[index.0];
            record.is_removed && record.in_flight.is_empty() && !pending.refer_to(*index)
        };
        (0..self.records.len())
            .map(EndpointIndex)
            .find(is_free)
            .unwrap_or(EndpointIndex(self.records.len()))
    }

    /// Returns an endpoint from maintenance to service. It was restarted, so it is in slow start. If it has ever
    /// responded, it gets the next attempt that its slow-start budget allows.
    pub(crate) fn return_to_service(
        &mut self,
        context: &Context<'_>,
        pending: &PendingRequests,
        endpoint: Endpoint,
    ) {
        let endpoint = Endpoint {
            started_at_ns: Some(context.now().as_nanoseconds()),
            ..endpoint
        };
        let index = self.indexes.get(&endpoint.id).copied();
        self.update(context, pending, EndpointUpdateKind::Delta, &[endpoint]);
        if let Some(index) = index {
            let record = &mut self.records[index.0];
            record.awaits_first_attempt = record.last_response_at.is_some();
            record.ejected_until = None;
        }
    }

    /// Sets the share of its usual traffic that each zone gets; 1 for zones beyond the end.
    pub(crate) fn set_zone_shares(&mut self, shares: Vec<f64>) {
        self.zone_shares = shares;
    }

    /// Share of its usual traffic that a zone gets.
    pub(super) fn zone_share(&self, zone: ZoneId) -> f64 {
        let share = self.zone_shares.get(zone.0 as usize);
        share.copied().unwrap_or(1.0)
    }

    pub(super) fn record(&self, index: EndpointIndex) -> &EndpointRecord {
        &self.records[index.0]
    }

    pub(super) fn record_mut(&mut self, index: EndpointIndex) -> &mut EndpointRecord {
        &mut self.records[index.0]
    }

    pub(super) fn indexed(&self) -> impl Iterator<Item = (EndpointIndex, &EndpointRecord)> {
        let records = self.records.iter().enumerate();
        records.map(|(index, record)| (EndpointIndex(index), record))
    }

    /// Records that take requests.
    pub(super) fn ready(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records.iter().filter(|record| record.is_ready)
    }

    /// Number of endpoints that take requests.
    pub(crate) fn ready_count(&self) -> usize {
        self.ready().count()
    }

    /// Number of fully started endpoints that the ready ones are equivalent to, by their slow-start fractions.
    pub(crate) fn effective_count(&self, context: &Context<'_>) -> f64 {
        self.ready()
            .map(|record| record.slow_start_fraction(context))
            .sum()
    }

    /// Records the next attempt of a request as in flight, and returns its endpoint's id.
    pub(crate) fn start_attempt(
        &mut self,
        context: &Context<'_>,
        index: EndpointIndex,
        id: RequestId,
        request: &PendingRequest,
    ) -> EndpointId {
        let record = &mut self.records[index.0];
        let attempt = InFlightAttempt::next(id, request, context.now());
        record.start_attempt(attempt, context.slow_start_span());
        record.endpoint.id.clone()
    }

    /// Removes an attempt that has ended from those in flight and returns it; `None` if it is unknown.
    pub(crate) fn finish_attempt(&mut self, result: &AttemptResult) -> Option<FinishedAttempt> {
        let endpoint = *self.indexes.get(&result.endpoint)?;
        let attempt = self.records[endpoint.0].finish(result.request, result.attempt)?;
        Some(FinishedAttempt { attempt, endpoint })
    }

    /// Numbers of a request's attempts in flight at an endpoint.
    pub(crate) fn attempts_in_flight(
        &self,
        index: EndpointIndex,
        request: RequestId,
    ) -> impl Iterator<Item = u32> + '_ {
        let attempts = self.records[index.0].in_flight.iter();
        attempts.filter_map(move |attempt| attempt.number_for(request))
    }

    /// Discards attempts that no longer count against slow-start budgets.
    pub(crate) fn expire_recent_attempts(&mut self, context: &Context<'_>) {
        let window = context.overload_window();
        for record in &mut self.records {
            record.expire_recent_attempts(context.now(), window);
        }
    }

    /// Number of entries of all kinds, which bounds the table's memory.
    pub(crate) fn entry_count(&self) -> usize {
        let attempts: usize = self
            .records
            .iter()
            .map(|record| record.in_flight.len() + record.recent_attempts.len())
            .sum();
        self.indexes.len() + self.records.len() + attempts
    }

    /// Returns the records, the index of each endpoint, and whether a list was received.
    pub(super) fn parts(
        &self,
    ) -> (
        &[EndpointRecord],
        &BTreeMap<EndpointId, EndpointIndex>,
        bool,
    ) {
        (&self.records, &self.indexes, self.list_received)
    }

    /// Replaces the endpoints by those of another process; the zone shares stay.
    pub(super) fn replace(
        &mut self,
        records: Vec<EndpointRecord>,
        indexes: BTreeMap<EndpointId, EndpointIndex>,
        list_received: bool,
    ) {
        self.records = records;
        self.indexes = indexes;
        self.list_received = list_received;
    }

    /// Returns true if every index is below `records`.
    pub(super) fn indexes_are_consistent(
        indexes: &BTreeMap<EndpointId, EndpointIndex>,
        records: usize,
    ) -> bool {
        indexes.values().all(|index| index.0 < records)
    }
}
