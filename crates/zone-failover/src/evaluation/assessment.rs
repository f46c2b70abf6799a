//! What the rules need to know of one zone besides its state.

use applewall_node_types::TimeSpan;

use super::{Evaluation, ZoneView};
use crate::id::ZoneId;
use crate::observation::OutcomeSums;
use crate::zone_state::ZoneState;

/// Outcomes of a zone that this node and the peers that reported must have observed recently before it is judged.
const MIN_FLEET_OUTCOMES: f64 = 2.5;
/// Outcomes of this node's own that suffice to show that a zone works: reports of peers do not eject it then.
const MIN_OWN_OUTCOMES: f64 = 1.5;
/// The same for the last second alone.
const MIN_RECENT_OUTCOMES: f64 = 1.0;
/// Time after a zone was ejected in which other zones may fail, without being dead, because of the load that moved to them.
const SHIFTED_LOAD_PERIOD: TimeSpan = TimeSpan::from_seconds(10.0);

/// What the rules need to know of one zone besides its state.
pub(super) struct Assessment {
    /// Enough nodes observe that it fails.
    pub(super) is_failing: bool,
    /// This node's own attempts succeed there.
    pub(super) works_here: bool,
    /// This node's own attempts show that another zone in use is healthy.
    pub(super) has_own_alternative: bool,
    /// This node, or as many peers as votes are needed, know a healthy alternative. Without one, everything is overloaded,
    /// or this node is cut off.
    pub(super) has_healthy_alternative: bool,
    /// The fraction of endpoints that may be out of use allows one more zone.
    pub(super) may_eject: bool,
    /// Mean share of its usual traffic that peers send to it, where enough of them reported.
    pub(super) mean_traffic_share: Option<f64>,
}

impl Evaluation<'_> {
    /// Assesses a zone beside the others.
    pub(super) fn assess(
        &self,
        zone: ZoneId,
        order: &[ZoneId],
        states: &[ZoneState],
    ) -> Assessment {
        let view = self.view(zone);
        let works_here = self.works_here(view);
        let is_healthy_alternative = |other: &ZoneId| {
            *other != zone
                && states[other.0].is_in_use()
                && self.is_proven_healthy(*other, &states[zone.0])
        };
        let has_own_alternative = order.iter().any(is_healthy_alternative);
        let is_failing = self.has_quorum
            && self.has_enough_evidence(view)
            && self.counted_bad_fraction(zone, states) >= self.settings.leave_at
            && !works_here;
        Assessment {
            is_failing,
            works_here,
            has_own_alternative,
            has_healthy_alternative: has_own_alternative
                || view.peers_with_alternative >= self.required_votes,
            may_eject: self.may_eject(view, states),
            mean_traffic_share: view.mean_traffic_share.filter(|_| self.has_quorum),
        }
    }

    /// True if enough nodes vote that a zone is of no use, and enough outcomes were observed to judge it.
    pub(super) fn has_enough_evidence(&self, view: &ZoneView) -> bool {
        view.votes >= self.required_votes && view.fleet.total() >= MIN_FLEET_OUTCOMES
    }

    /// True if this node's own attempts succeed, and those of the last second too, if there are any.
    fn works_here(&self, view: &ZoneView) -> bool {
        self.shows_success(&view.own, MIN_OWN_OUTCOMES)
            && (view.recent.total() < MIN_RECENT_OUTCOMES
                || self.shows_success(&view.recent, MIN_RECENT_OUTCOMES))
    }

    /// Fraction of the outcomes that count against a zone. A zone that fails without being dead soon after another was
    /// ejected may be overloaded by the traffic that moved, which is for admission control to limit.
    fn counted_bad_fraction(&self, zone: ZoneId, states: &[ZoneState]) -> f64 {
        let load_has_shifted = states.iter().any(|state| {
            !state.is_in_use() && state.phase_duration(self.now) < SHIFTED_LOAD_PERIOD
        });
        let outcomes = &self.view(zone).fleet;
        if load_has_shifted && states[zone.0].is_in_use() {
            outcomes.dead_fraction()
        } else {
            outcomes.bad_fraction()
        }
    }

    /// True if the endpoints of this zone and of all zones that are out of use are within the configured fraction.
    fn may_eject(&self, view: &ZoneView, states: &[ZoneState]) -> bool {
        let all: u32 = self.views.iter().map(|view| view.endpoints).sum();
        let out_of_use: u32 = (self.views.iter().zip(states))
            .filter(|(_, state)| !state.is_in_use())
            .map(|(view, _)| view.endpoints)
            .sum();
        f64::from(out_of_use + view.endpoints) <= self.settings.most_out * f64::from(all)
    }

    /// True if at least so many outcomes were observed, and few of them were bad.
    pub(super) fn shows_success(&self, sums: &OutcomeSums, min_outcomes: f64) -> bool {
        sums.total() >= min_outcomes && sums.bad_fraction() < self.settings.leave_at / 2.0
    }
}
