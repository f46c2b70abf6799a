//! The rules of each phase: when a zone leaves it.

use super::assessment::Assessment;
use super::{Evaluation, ZoneView};
use crate::transition::Transition;
use crate::zone_state::ZoneState;

/// Consecutive evaluations that must find a zone failing: a sample of a few nodes depends much on the last message.
const FAILING_EVALUATIONS: u32 = 3;
/// Outcomes of canary requests, times the seconds for which they counted, before a zone gets more than canaries.
const MIN_CANARY_OUTCOME_SECONDS: f64 = 2.0;
/// Factor by which earlier canary outcomes fade where they were not good enough: the zone may have recovered since.
const CANARY_FADE: f64 = 0.5;
/// Share of its usual traffic with which a return begins: little, since the caches of its endpoints may be empty.
const FIRST_RETURN_SHARE: f64 = 0.02;
/// Bounds how far this node's share may be above the fleet's mean while a zone returns: with one node far ahead, its
/// requests alone would decide whether the return succeeds.
const MAX_LEAD_OVER_MEAN: f64 = 0.05;
/// Mean share of the fleet below which a node that uses the zone in full adopts the ejection.
const MAX_MEAN_SHARE_TO_ADOPT_EJECTION: f64 = 0.3;
/// Mean share of the fleet above which a node that ejected the zone adopts the return.
const MIN_MEAN_SHARE_TO_ADOPT_RETURN: f64 = 0.7;

impl Evaluation<'_> {
    /// Ejects the zone where it fails, or most of the fleet has ejected it.
    pub(super) fn evaluate_in_use(
        &self,
        state: &mut ZoneState,
        view: &ZoneView,
        assessment: &Assessment,
    ) -> Option<Transition> {
        let fails = state.failing_evaluations >= FAILING_EVALUATIONS;
        let fleet_has_ejected = assessment
            .mean_traffic_share
            .is_some_and(|mean| mean < MAX_MEAN_SHARE_TO_ADOPT_EJECTION);
        let adopts = fleet_has_ejected && !assessment.works_here;
        let may_eject =
            self.has_quorum && assessment.has_healthy_alternative && assessment.may_eject;
        if may_eject && (fails || adopts) {
            state.eject(self.now);
            return Some(if fails {
                Transition::Ejected(view.fleet)
            } else {
                Transition::FollowedEjection(view.fleet)
            });
        }
        state.reset_hold_if_stable(self.now);
        None
    }

    /// Begins the return where the canaries succeed, or most of the fleet uses the zone.
    pub(super) fn evaluate_ejected(
        &self,
        state: &mut ZoneState,
        view: &ZoneView,
        assessment: &Assessment,
    ) -> Option<Transition> {
        let outcomes = view.fleet.scaled(self.elapsed.as_seconds());
        state.canary_outcomes = state.canary_outcomes.plus(outcomes);
        let ejected_for = state.phase_duration(self.now);
        let canaries_succeed =
            self.shows_success(&state.canary_outcomes, MIN_CANARY_OUTCOME_SECONDS);
        // A node that was stopped, or started late, adopts the fleet's share.
        let adopted_share = assessment.mean_traffic_share.filter(|mean| {
            *mean > MIN_MEAN_SHARE_TO_ADOPT_RETURN
                && view.own.bad_fraction() < self.settings.leave_at
                && ejected_for > state.hold()
        });
        if canaries_succeed && ejected_for >= state.hold() || adopted_share.is_some() {
            state.begin_return(self.now, adopted_share.unwrap_or(FIRST_RETURN_SHARE));
            return Some(Transition::Returning(view.fleet));
        }
        if state.canary_outcomes.total() >= MIN_CANARY_OUTCOME_SECONDS {
            state.canary_outcomes = state.canary_outcomes.scaled(CANARY_FADE);
        }
        None
    }

    /// Raises the zone's share at the configured rate, or ejects the zone again where it fails and another does not. Where
    /// all fail, the share stays as it is.
    pub(super) fn evaluate_returning(
        &self,
        state: &mut ZoneState,
        view: &ZoneView,
        assessment: &Assessment,
    ) -> Option<Transition> {
        if state.failing_evaluations >= FAILING_EVALUATIONS {
            if !assessment.has_healthy_alternative {
                return None;
            }
            state.eject_again(self.now);
            return Some(Transition::EjectedAgain {
                hold: state.hold(),
                observed: view.fleet,
            });
        }
        let max_share = assessment
            .mean_traffic_share
            .map_or(1.0, |mean| mean + MAX_LEAD_OVER_MEAN);
        let grown = state.traffic_share + self.settings.return_per_s * self.elapsed.as_seconds();
        state.traffic_share = grown.min(max_share.max(state.traffic_share)).min(1.0);
        if state.traffic_share < 1.0 {
            return None;
        }
        state.restore(self.now);
        Some(Transition::Restored)
    }
}
