//! The transition rules of each phase.

use super::assessment::Assessment;
use super::{Evaluation, ZoneView};
use crate::transition::Transition;
use crate::zone_state::ZoneState;

/// Number of consecutive evaluations that must find a zone failing: with reports from only a few nodes, a single message
/// can change the result.
const FAILING_EVALUATIONS: u32 = 3;
/// Minimum sum of canary outcomes, each multiplied by the seconds for which it was counted, before a zone begins to return.
const MIN_CANARY_OUTCOME_SECONDS: f64 = 2.0;
/// Factor applied to earlier canary outcomes that were not good enough, since the zone may have recovered in the meantime.
const CANARY_OUTCOME_DECAY: f64 = 0.5;
/// Initial share of the usual traffic when a zone returns. Small, because the caches of its endpoints may be cold.
const FIRST_RETURN_SHARE: f64 = 0.02;
/// Maximum lead of this node's share over the fleet's mean while a zone returns. The requests of a node far ahead of the
/// others would alone decide whether the return succeeds.
const MAX_LEAD_OVER_MEAN: f64 = 0.05;
/// Mean share of the fleet below which a node with the zone in full use adopts the ejection.
const MAX_MEAN_SHARE_TO_ADOPT_EJECTION: f64 = 0.3;
/// Mean share of the fleet above which a node with the zone ejected adopts the return.
const MIN_MEAN_SHARE_TO_ADOPT_RETURN: f64 = 0.7;

impl Evaluation<'_> {
    /// Ejects the zone if it fails, or if most of the fleet has ejected it.
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
        let adopts = fleet_has_ejected && !assessment.succeeds_locally;
        let may_eject = self.has_quorum
            && assessment.has_healthy_alternative
            && assessment.is_within_ejection_limit;
        if may_eject && (fails || adopts) {
            state.eject(self.now);
            return Some(if fails {
                Transition::Ejected(view.fleet)
            } else {
                Transition::AdoptedEjection(view.fleet)
            });
        }
        state.reset_ejection_time_if_stable(self.now);
        None
    }

    /// Begins the return if the canary requests succeed, or if most of the fleet uses the zone.
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
        // A node that was suspended or started late adopts the fleet's share.
        let adopted_share = assessment.mean_traffic_share.filter(|mean| {
            *mean > MIN_MEAN_SHARE_TO_ADOPT_RETURN
                && view.long_term.bad_fraction() < self.settings.leave_at
                && ejected_for > state.ejection_time()
        });
        if canaries_succeed && ejected_for >= state.ejection_time() || adopted_share.is_some() {
            state.begin_return(self.now, adopted_share.unwrap_or(FIRST_RETURN_SHARE));
            return Some(Transition::Returning(view.fleet));
        }
        if state.canary_outcomes.total() >= MIN_CANARY_OUTCOME_SECONDS {
            state.canary_outcomes = state.canary_outcomes.scaled(CANARY_OUTCOME_DECAY);
        }
        None
    }

    /// Raises the zone's share at the configured rate. If the zone fails, ejects it again when another zone is healthy, and
    /// otherwise leaves the share unchanged.
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
                ejection_time: state.ejection_time(),
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
