//! Hot restart: handing the state over to a new process, taking it over, and going on where the new
//! process failed.

use std::borrow::Cow;

use super::ladder::FILTER_COUNT;
use super::snapshot::{
    Snapshot, SnapshotCapacity, SnapshotRates, SnapshotShape, SnapshotStatistics,
};
use super::{DecisionPolicy, SnapshotError};

/// Part of the units under a ceiling that goes to the new process; this one has the rest for what
/// it still answers.
const HANDED_OVER: f64 = 0.5;
/// Part of a ceiling's rate that this process keeps: practically none, but a plan without a rate
/// has no ceiling at all.
const RETAINED_CEILING_RATE: f64 = 1e-3;

impl DecisionPolicy {
    fn snapshot_shape(&self) -> SnapshotShape {
        SnapshotShape {
            classes: self.settings.classes.len(),
            plans: self.settings.plans.len(),
            machine_types: self.settings.machine_type_count,
        }
    }

    /// Hands the state over. From here on this process has only its part of each ceiling's units,
    /// and no rate.
    ///
    /// # Errors
    ///
    /// The state can't be encoded.
    pub fn export_snapshot(&mut self) -> Result<Vec<u8>, SnapshotError> {
        self.quotas
            .fill_all(self.last_event_at, &self.settings.plans);
        let mut retained_units = Vec::with_capacity(self.quotas.customers.len());
        for customer in self.quotas.customers.values_mut() {
            retained_units.push(customer.ceiling_units * (1.0 - HANDED_OVER));
            customer.ceiling_units *= HANDED_OVER;
        }
        let bytes = self.snapshot().encode();
        for (customer, units) in self.quotas.customers.values_mut().zip(retained_units) {
            customer.ceiling_units = units;
            customer.ceiling_reserve = customer.ceiling_reserve.map(|_| 0.0);
        }
        for plan in &mut self.settings.plans {
            plan.ceiling_units_per_second *= RETAINED_CEILING_RATE;
        }
        bytes
    }

    fn snapshot(&self) -> Snapshot<'_> {
        Snapshot {
            shape: self.snapshot_shape(),
            started_at: self.started_at,
            list_received: self.endpoints.list_received,
            incarnation: self.peers.incarnation,
            ladder: Cow::Borrowed(&self.ladder),
            customers: Cow::Borrowed(&self.quotas.customers),
            endpoints: Cow::Borrowed(&self.endpoints.records),
            endpoint_indexes: Cow::Borrowed(&self.endpoints.indexes),
            latency_by_kind: Cow::Borrowed(&self.latency.by_kind),
            latency_by_machine_type: Cow::Borrowed(&self.latency.by_machine_type),
            peer_incarnations: Cow::Borrowed(&self.peers.peer_incarnations),
            rates: SnapshotRates {
                retry_tokens: self.retry_budget.tokens,
                arrivals: self.arrivals,
                pooled_messages: self.load.messages,
            },
            statistics: SnapshotStatistics {
                outgoing: self.load.outgoing,
                received: self.load.received,
            },
            capacity: SnapshotCapacity {
                per_endpoint: self.load.capacity_per_endpoint,
                effective_endpoints: self.load.effective_endpoints,
            },
        }
    }

    /// The process that was to take over has failed: this one goes on by itself, with what it has
    /// left.
    pub fn resume(&mut self) {
        // What came in the meantime went to the other one; and a customer not known here may have
        // spent all there.
        self.quotas
            .fill_all(self.last_event_at, &self.settings.plans);
        self.started_at = self.last_event_at;
        for plan in &mut self.settings.plans {
            plan.ceiling_units_per_second /= RETAINED_CEILING_RATE;
        }
    }

    /// Goes on where another process left off.
    ///
    /// # Errors
    ///
    /// The snapshot is malformed or of other settings; nothing is changed then.
    pub fn import_snapshot(&mut self, bytes: &[u8]) -> Result<(), SnapshotError> {
        let snapshot = Snapshot::decode(bytes, self.snapshot_shape(), FILTER_COUNT)?;
        self.started_at = snapshot.started_at;
        self.ladder = snapshot.ladder.into_owned();
        self.quotas.customers = snapshot.customers.into_owned();
        self.endpoints.list_received = snapshot.list_received;
        self.endpoints.records = snapshot.endpoints.into_owned();
        self.endpoints.indexes = snapshot.endpoint_indexes.into_owned();
        self.latency.by_kind = snapshot.latency_by_kind.into_owned();
        self.latency.by_machine_type = snapshot.latency_by_machine_type.into_owned();
        self.peers.incarnation = snapshot.incarnation;
        self.peers.peer_incarnations = snapshot.peer_incarnations.into_owned();
        self.retry_budget.tokens = snapshot.rates.retry_tokens;
        self.arrivals = snapshot.rates.arrivals;
        self.load.messages = snapshot.rates.pooled_messages;
        self.load.outgoing = snapshot.statistics.outgoing;
        self.load.received = snapshot.statistics.received;
        self.load.capacity_per_endpoint = snapshot.capacity.per_endpoint;
        self.load.effective_endpoints = snapshot.capacity.effective_endpoints;
        for customer in self.quotas.customers.values_mut() {
            // What is in flight is the other process's.
            customer.in_flight = 0;
            // The line of those unreported did not come along: each gets into it again with its
            // next request.
            customer.unreported = false;
        }
        Ok(())
    }
}
