//! What a peer last reported of a customer.

use applewall_node_types::{TimeSpan, Timestamp};

use super::ceiling::GRANT_MEMORY;
use super::messages::WrappingTotal;
use super::RATE_MEMORY;
use crate::decision::decaying_rate::DecayingRate;

/// Seconds of a peer's demand that the ceiling reserve grants it in advance.
const GRANT_HORIZON: TimeSpan = TimeSpan::from_seconds(1.0);

/// Longest time after a report in which a lower total is one that fell, or of an earlier report that arrives late. Longer after
/// it, the total has gone round.
const MAX_TIME_OF_LOWER_TOTAL: TimeSpan = TimeSpan::from_seconds(2.0);

/// Units that a report adds to a peer's totals.
#[derive(Clone, Copy, Default)]
pub(super) struct ReportedUnits {
    /// Units requested since the report before.
    pub(super) requested: f64,
    /// Units forwarded since the report before; negative where costs were settled below their estimates.
    pub(super) forwarded: f64,
}

/// A peer's totals, its demand, and what it was granted.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerUsage {
    forwarded: WrappingTotal,
    requested: WrappingTotal,
    demand: DecayingRate,
    /// Units that the ceiling reserve granted it and that it has not used yet, as a rate over [`GRANT_MEMORY`].
    granted: DecayingRate,
}

impl PeerUsage {
    /// A peer's use as another process had it.
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

    /// Totals of units forwarded and requested, the demand, and the units granted.
    pub(super) fn into_parts(self) -> (WrappingTotal, WrappingTotal, DecayingRate, DecayingRate) {
        (self.forwarded, self.requested, self.demand, self.granted)
    }

    /// Replaces the totals by those of a report and returns what they add, each up to a limit. The total of requested units never
    /// falls: a lower one is of an earlier report, whose units the last one had.
    pub(super) fn replace_totals(
        &mut self,
        now: Timestamp,
        forwarded: WrappingTotal,
        requested: WrappingTotal,
        limit: f64,
    ) -> ReportedUnits {
        let is_recent = now - self.last_reported_at() < MAX_TIME_OF_LOWER_TOTAL;
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

    /// Restarts the totals: the peer is a new process, whose totals begin at zero.
    pub(super) fn restart_totals(&mut self) {
        self.forwarded = WrappingTotal::default();
        self.requested = WrappingTotal::default();
    }

    /// Counts units that were requested through the peer.
    pub(super) fn add_demand(&mut self, now: Timestamp, units: f64) {
        self.demand.add(now, units, RATE_MEMORY);
    }

    /// Units requested through the peer per second.
    pub(super) fn demand(&self, now: Timestamp) -> f64 {
        self.demand.read(now, RATE_MEMORY)
    }

    /// When the peer last reported units.
    pub(super) fn last_reported_at(&self) -> Timestamp {
        self.demand.updated_at()
    }

    /// Units granted to the peer and not known to be used or lost.
    pub(super) fn granted_units(&self, now: Timestamp) -> f64 {
        self.granted.read_amount(now, GRANT_MEMORY)
    }

    /// Units that the peer may soon need beyond those granted: its demand over [`GRANT_HORIZON`] and its largest request.
    pub(super) fn wanted_grant(
        &self,
        now: Timestamp,
        outstanding: f64,
        max_request_units: f64,
    ) -> f64 {
        let wanted = self.demand(now) * GRANT_HORIZON.as_seconds() + max_request_units;
        wanted - outstanding
    }

    /// Sets the units granted and not used yet.
    pub(super) fn set_granted(&mut self, now: Timestamp, units: f64) {
        self.granted = DecayingRate::of_amount(now, units, GRANT_MEMORY);
    }
}
