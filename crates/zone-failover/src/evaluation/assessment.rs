//! Assessment of one zone in the context of the others.

use applewall_node_types::TimeSpan;

use super::{Evaluation, ZoneView};
use crate::id::ZoneId;
use crate::observation::OutcomeSums;
use crate::zone_state::ZoneState;

/// Minimum number of recent outcomes, from this node and the peers that reported, before a zone may be found failing.
const MIN_FLEET_OUTCOMES: f64 = 2.5;
/// Minimum number of this node's own outcomes to show that a zone works. If it does, peers' reports do not eject it.
const MIN_LONG_TERM_OUTCOMES: f64 = 1.5;
/// The same minimum for the outcomes of about the last second.
const MIN_SHORT_TERM_OUTCOMES: f64 = 1.0;
/// Time after an ejection during which other zones may fail, although reachable, because of the load that moved to them.
const SHIFTED_LOAD_PERIOD: TimeSpan = TimeSpan::from_seconds(10.0);

/// The inputs of the phase rules for one zone, apart from its state.
pub(super) struct Assessment {
    /// Enough nodes observe that the zone fails, and this node's own attempts do not contradict them.
    pub(super) is_failing: bool,
    /// This node's own attempts in the zone succeed.
    pub(super) succeeds_locally: bool,
    /// This node's own attempts prove that another zone in use is healthy.
    pub(super) has_own_alternative: bool,
    /// This node, or at least `required_votes` peers, know a healthy alternative. Without one, either all zones are
    /// overloaded or this node is isolated.
    pub(super) has_healthy_alternative: bool,
    /// Ejecting the zone would keep the endpoints out of use within the configured fraction.
    pub(super) is_within_ejection_limit: bool,
    /// Mean share of the zone's usual traffic that peers send to it; `None` without a quorum.
    pub(super) mean_traffic_share: Option<f64>,
}

impl Evaluation<'_> {
    /// Assesses a zone in the context of the others.
    pub(super) fn assess(
        &self,
        zone: ZoneId,
        order: &[ZoneId],
        states: &[ZoneState],
    ) -> Assessment {
        let view = self.view(zone);
        let succeeds_locally = self.succeeds_locally(view);
        let is_healthy_alternative = |other: &ZoneId| {
            *other != zone
                && states[other.0].is_in_use()
                && self.is_proven_healthy(*other, &states[zone.0])
        };
        let has_own_alternative = order.iter().any(is_healthy_alternative);
        let is_failing = self.has_quorum
            && self.has_enough_evidence(view)
            && self.counted_bad_fraction(zone, states) >= self.settings.leave_at
            && !succeeds_locally;
        Assessment {
            is_failing,
            succeeds_locally,
            has_own_alternative,
            has_healthy_alternative: has_own_alternative
                || view.peers_with_alternative >= self.required_votes,
            is_within_ejection_limit: self.is_within_ejection_limit(view, states),
            mean_traffic_share: view.mean_traffic_share.filter(|_| self.has_quorum),
        }
    }

    /// Whether enough nodes vote against the zone, and enough outcomes were observed.
    pub(super) fn has_enough_evidence(&self, view: &ZoneView) -> bool {
        view.votes >= self.required_votes && view.fleet.total() >= MIN_FLEET_OUTCOMES
    }

    /// Whether this node's own attempts succeed, including those of the last second if there are enough of them.
    fn succeeds_locally(&self, view: &ZoneView) -> bool {
        self.shows_success(&view.long_term, MIN_LONG_TERM_OUTCOMES)
            && (view.short_term.total() < MIN_SHORT_TERM_OUTCOMES
                || self.shows_success(&view.short_term, MIN_SHORT_TERM_OUTCOMES))
    }

    /// Fraction of the outcomes that count against a zone. Shortly after another zone was ejected, only dead outcomes count:
    /// other failures may be overload by the shifted traffic, which admission control has to limit.
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

    /// Whether the endpoints of this zone and of all zones out of use together are within the configured fraction.
    fn is_within_ejection_limit(&self, view: &ZoneView, states: &[ZoneState]) -> bool {
        let all: u32 = self.views.iter().map(|view| view.endpoints).sum();
        let out_of_use: u32 = (self.views.iter().zip(states))
            .filter(|(_, state)| !state.is_in_use())
            .map(|(view, _)| view.endpoints)
            .sum();
        f64::from(out_of_use + view.endpoints) <= self.settings.most_out * f64::from(all)
    }

    /// Whether there are at least `min_outcomes` outcomes and few of them are bad.
    pub(super) fn shows_success(&self, sums: &OutcomeSums, min_outcomes: f64) -> bool {
        sums.total() >= min_outcomes && sums.bad_fraction() < self.settings.leave_at / 2.0
    }
}
