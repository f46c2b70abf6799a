//! A peer's last report of a customer.

use applewall_node_types::{TimeSpan, Timestamp};

use super::ceiling::GRANT_TIME_CONSTANT;
use super::messages::WrappingTotal;
use super::RATE_TIME_CONSTANT;
use crate::decision::decaying_rate::DecayingRate;

/// Duration of a peer's demand that the ceiling reserve grants it in advance.
const GRANT_HORIZON: TimeSpan = TimeSpan::from_seconds(1.0);

/// Time after a report within which a lower total either has fallen or belongs to an earlier report that arrives
/// late. After a longer time, the total has wrapped around.
const MAX_REORDERING_TIME: TimeSpan = TimeSpan::from_seconds(2.0);

/// Units that a report adds to a peer's totals.
#[derive(Clone, Copy, Default)]
pub(super) struct ReportedUnits {
    /// Units requested since the previous report.
    pub(super) requested: f64,
    /// Units forwarded since the previous report; negative if actual costs were below their estimates.
    pub(super) forwarded: f64,
}

/// A peer's totals, its demand, and its granted units.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerUsage {
    forwarded: WrappingTotal,
    requested: WrappingTotal,
    demand: DecayingRate,
    /// Units granted from the ceiling reserve that the peer is not known to have used, as a rate over
    /// [`GRANT_TIME_CONSTANT`].
    granted: DecayingRate,
}

impl PeerUsage {
    /// Restores a peer's usage as known to another process.
    pub(super) fn restore(
        forwarded: WrappingTotal,
        requested: WrappingTotal,
        demand: DecayingRate,
        granted: DecayingRate,
    ) -> Self {
        PeerUsage {
            forwarded,
            requested,
            demand,
            granted,
        }
    }

    /// Returns the totals of units forwarded and requested, the demand, and the granted units.
    pub(super) fn into_parts(self) -> (WrappingTotal, WrappingTotal, DecayingRate, DecayingRate) {
        (self.forwarded, self.requested, self.demand, self.granted)
    }

    /// Replaces the totals by those of a report and returns the units that they add, each up to `limit`. The total of
    /// requested units never falls: a lower one belongs to an earlier report, whose units are already counted.
    pub(super) fn replace_totals(
        &mut self,
        now: Timestamp,
        forwarded: WrappingTotal,
        requested: WrappingTotal,
        limit: f64,
    ) -> ReportedUnits {
        let is_recent = now - self.last_reported_at() < MAX_REORDERING_TIME;
        if is_recent && requested.is_below(self.requested) {
            return ReportedUnits::default();
        }
        let forwarded_units = if is_recent && forwarded.is_below(self.forwarded) {
            -self.forwarded.units_since(forwarded)
        } else {
            forwarded.units_since(self.forwarded)
        };
        let added = ReportedUnits {
            requested: requested.units_since(self.requested).min(limit),
            forwarded: forwarded_units.min(limit),
        };
        self.forwarded = forwarded;
        self.requested = requested;
        added
    }

    /// Resets the totals, which begin at zero after the peer's restart.
    pub(super) fn restart_totals(&mut self) {
        self.forwarded = WrappingTotal::default();
        self.requested = WrappingTotal::default();
    }

    /// Adds units that were requested through the peer.
    pub(super) fn add_demand(&mut self, now: Timestamp, units: f64) {
        self.demand.add(now, units, RATE_TIME_CONSTANT);
    }

    /// Units requested per second through the peer.
    pub(super) fn demand(&self, now: Timestamp) -> f64 {
        self.demand.read(now, RATE_TIME_CONSTANT)
    }

    /// When the peer's last report arrived; the clock's origin if none has.
    pub(super) fn last_reported_at(&self) -> Timestamp {
        self.demand.updated_at()
    }

    /// Units granted to the peer that are neither known to be used nor written off yet.
    pub(super) fn granted_units(&self, now: Timestamp) -> f64 {
        self.granted.read_amount(now, GRANT_TIME_CONSTANT)
    }

    /// Units that the peer may need soon beyond those granted: its demand over [`GRANT_HORIZON`] plus its largest
    /// request.
    pub(super) fn wanted_grant(
        &self,
        now: Timestamp,
        outstanding: f64,
        max_request_units: f64,
    ) -> f64 {
        let wanted = self.demand(now) * GRANT_HORIZON.as_seconds() + max_request_units;
        wanted - outstanding
    }

    /// Replaces the granted units that are not known to be used.
    pub(super) fn set_granted(&mut self, now: Timestamp, units: f64) {
        self.granted = DecayingRate::of_amount(now, units, GRANT_TIME_CONSTANT);
    }
}
