//! Updates of the endpoint list.

use super::{seconds, DecisionPolicy, EndpointRecord, PendingRequest, Seconds};
use crate::api::{Endpoint, EndpointUpdateKind};

impl DecisionPolicy {
    /// Applies a list or a part of one.
    pub(crate) fn update_endpoints(
        &mut self,
        now: Seconds,
        kind: EndpointUpdateKind,
        entries: &[Endpoint],
    ) {
        if kind != EndpointUpdateKind::Delta {
            for record in &mut self.endpoints.records {
                record.ready = false;
                record.removed = true;
            }
        }
        // The known ones first: a new one must not get the index of one that is named further on.
        let is_known = |entry: &&Endpoint| self.endpoints.indexes.contains_key(&entry.id);
        let (known, new): (Vec<_>, Vec<_>) = entries.iter().partition(is_known);
        for entry in known.into_iter().chain(new) {
            self.update_endpoint(now, entry);
        }
        // An empty list of an earlier process is none: what the first one names did not start with
        // it.
        self.endpoints.list_received |= kind == EndpointUpdateKind::Snapshot || !entries.is_empty();
    }

    fn update_endpoint(&mut self, now: Seconds, entry: &Endpoint) {
        let started_at = entry.started_at_ns.map_or(f64::NEG_INFINITY, seconds);
        let index = match self.endpoints.indexes.get(&entry.id) {
            Some(index) => *index,
            None => self.insert_endpoint(now, entry, started_at),
        };
        self.endpoints.records[index].update(entry, started_at);
    }

    fn insert_endpoint(&mut self, now: Seconds, entry: &Endpoint, started_at: Seconds) -> usize {
        // One that turns up later than the first list is taken to have just started.
        let is_late = self.endpoints.list_received && entry.started_at_ns.is_none();
        let slow_start_from = if is_late { now } else { started_at };
        let labels = self.settings.classes.len() + self.settings.plans.len();
        let record = EndpointRecord::new(entry.clone(), slow_start_from, labels);
        let refers_to =
            |request: &PendingRequest, index: usize| request.attempted_endpoints.contains(&index);
        let pending = &self.pending;
        self.endpoints.insert(record, |index| {
            pending.values().any(|request| refers_to(request, index))
        })
    }
}
