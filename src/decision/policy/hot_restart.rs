//! Hot restart: handing the state over to a new process, taking it over, and resuming if the new process fails.

use super::DecisionPolicy;
use crate::api::Plan;
use crate::decision::overload::OverloadControl;
use crate::decision::retry::RetryBudget;
use crate::decision::snapshot::{Snapshot, SnapshotError, SnapshotShape};

/// Fraction of a ceiling's rate that this process keeps after it has handed over. Practically none, but not 0, since
/// a plan whose rate is 0 has no ceiling at all.
const RETAINED_CEILING_RATE: f64 = 1e-3;

impl DecisionPolicy {
    /// Encodes the state for the new process. From then on this process has only its fraction of each ceiling's units
    /// and practically no refill rate.
    ///
    /// # Errors
    ///
    /// Returns an error if the state cannot be encoded.
    pub fn export_snapshot(&mut self) -> Result<Vec<u8>, SnapshotError> {
        let now = self.clock.last_event_at();
        let components = &mut self.components;
        let snapshot = Snapshot {
            shape: SnapshotShape::from(&self.settings),
            started_at: self.clock.started_at(),
            list_received: components.endpoints.list_received(),
            incarnation: components.gossip.incarnation(),
            ladder: components.overload.ladder_snapshot(),
            customers: components.quotas.hand_over(now, &self.settings.plans),
            endpoints: components.endpoints.to_snapshot(),
            latency: components.latency.to_snapshot(),
            peer_incarnations: components.gossip.peer_incarnations().clone(),
            retry_tokens: components.retry_budget.tokens(),
            load: components.overload.load_snapshot(),
        };
        self.scale_ceiling_rates(|rate| rate * RETAINED_CEILING_RATE);
        snapshot.encode()
    }

    /// Resumes after the process that was to take over has failed, with the units that are left here.
    ///
    /// The policy counts as started now: requests went to the other process in the meantime, and a customer that is
    /// unknown here may have spent all its units there.
    pub fn resume(&mut self) {
        let now = self.clock.last_event_at();
        self.components.quotas.resume(now, &self.settings.plans);
        self.clock.restart();
        self.scale_ceiling_rates(|rate| rate / RETAINED_CEILING_RATE);
    }

    /// Replaces the state by that of another process, as [`export_snapshot`](Self::export_snapshot) encoded it.
    /// Requests in flight stay with the other process.
    ///
    /// # Errors
    ///
    /// Returns an error and changes nothing if the snapshot is malformed or was written with other settings.
    pub fn import_snapshot(&mut self, bytes: &[u8]) -> Result<(), SnapshotError> {
        let snapshot = Snapshot::decode(bytes, SnapshotShape::from(&self.settings))?;
        let components = &mut self.components;
        self.clock.take_over(snapshot.started_at);
        components.quotas.take_over(snapshot.customers);
        components.overload = OverloadControl::from_snapshots(snapshot.ladder, snapshot.load);
        components
            .endpoints
            .take_over(snapshot.endpoints, snapshot.list_received);
        components.latency = snapshot.latency.into();
        components.retry_budget = RetryBudget::with_tokens(snapshot.retry_tokens);
        components
            .gossip
            .take_over(snapshot.incarnation, snapshot.peer_incarnations);
        Ok(())
    }

    fn scale_ceiling_rates(&mut self, scale: impl Fn(f64) -> f64) {
        for Plan {
            ceiling_units_per_second: rate,
            ..
        } in &mut self.settings.plans
        {
            *rate = scale(*rate);
        }
    }
}
