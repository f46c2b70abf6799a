//! The rules by which zones are left and used again: from one node's view of all zones to the state of each.
//!
//! Pure: reads views and settings, changes the states, and returns what changed. Invariants: the last zone that does well
//! is never left, and the endpoints of zones that are not in use never exceed the configured share of all.

use crate::failover::Seconds;
use crate::observation::OutcomeSums;
use crate::settings::Settings;
use crate::transition::Transition;

/// Outcomes of a zone that this node and the peers that reported must have observed recently before it is judged.
const MIN_FLEET_OUTCOMES: f64 = 2.5;
/// Outcomes of this node's own that suffice to see a zone work: it is then not left because of what peers report.
const MIN_OWN_OUTCOMES: f64 = 1.5;
/// The same for the last second alone.
const MIN_RECENT_OUTCOMES: f64 = 1.0;
/// Fraction of `leave_at` up to which another zone does well: where all zones fail at once, none is far behind the others.
const HEALTHY_FRACTION: f64 = 0.25;
/// Consecutive evaluations that must find a zone failing: a sample of a few nodes depends much on the last message.
const FAILING_EVALUATIONS: u32 = 3;
/// Consecutive evaluations, with another zone failing, that must find an alternative healthy: about the time in which
/// good outcomes from before a failure of all zones fade, and in which messages show it in all zones.
const HEALTHY_EVALUATIONS: u32 = 9;
/// The same where this node itself observed the alternative serve since the other zone began to fail.
const HEALTHY_EVALUATIONS_WITH_PROOF: u32 = 3;
/// The same where the fleet observes it serve at least as many requests as the failing zone got: more than what is left of
/// the outcomes before a failure of all zones.
const HEALTHY_EVALUATIONS_WITH_TRAFFIC: u32 = 5;
/// Good outcomes that must have been observed to compare the traffic of two zones: fewer differ by chance.
const MIN_FLEET_OUTCOMES_TO_COMPARE: f64 = 8.0;
/// Evaluations at the beginning of a failure whose good outcomes prove nothing: their requests were sent before it.
const STALE_EVALUATIONS: u32 = 2;
/// Good outcomes of this node's own that prove an alternative healthy.
const MIN_PROVING_OUTCOMES: f64 = 1.0;
/// Time after a zone was left in which other zones may fail, without being dead, because of the load that moved to them.
const SHIFTED_LOAD_PERIOD: Seconds = 10.0;
/// Least time for which a zone stays left; it doubles with each return that fails, up to [`MAX_HOLD`].
const MIN_HOLD: Seconds = 1.0;
/// Longest time for which a zone stays left.
const MAX_HOLD: Seconds = 60.0;
/// Time in full use after which the hold time is [`MIN_HOLD`] again.
const HOLD_RESET_PERIOD: Seconds = 60.0;
/// Outcomes of canary requests, times the seconds for which they counted, before a zone gets more than canaries.
const MIN_CANARY_OUTCOME_SECONDS: f64 = 2.0;
/// Factor by which earlier canary outcomes fade where they were not good enough: the zone may have recovered since.
const CANARY_FADE: f64 = 0.5;
/// Share of its usual traffic with which a return begins.
const FIRST_RETURN_SHARE: f64 = 0.02;
/// How far this node's share may be ahead of the fleet's mean while a zone returns.
const MAX_LEAD_OVER_MEAN: f64 = 0.05;
/// Mean share of the fleet below which a node that uses the zone in full follows the others.
const FOLLOW_EJECTION_BELOW: f64 = 0.3;
/// Mean share of the fleet above which a node that left the zone follows the others back.
const FOLLOW_RETURN_ABOVE: f64 = 0.7;

/// How one node uses a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZonePhase {
    /// In full use.
    InUse,
    /// Left: it gets canary requests only.
    Ejected,
    /// Coming back, with a growing share of its usual traffic.
    Returning,
}

/// What one node knows of a zone at a moment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ZoneView {
    /// Endpoints that the list names in it.
    pub(crate) endpoints: u32,
    /// What this node and the peers that reported recently observed: a sample of the fleet.
    pub(crate) fleet: OutcomeSums,
    /// How many of these nodes found it of no use.
    pub(crate) votes: u32,
    /// What this node observed in about the last second.
    pub(crate) recent: OutcomeSums,
    /// What this node observed in about the last two seconds.
    pub(crate) own: OutcomeSums,
    /// What this node observed in the interval that has just ended.
    pub(crate) interval: OutcomeSums,
    /// Mean share of its usual traffic that peers send to it; none where too few reported.
    pub(crate) mean_share: Option<f64>,
}

/// The state of one zone at this node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneState {
    /// How it is used.
    pub(crate) phase: ZonePhase,
    /// Share of its usual traffic that it gets, without canaries.
    pub(crate) share: f64,
    /// When the phase began.
    since: Seconds,
    /// Least time for which it stays left.
    hold: Seconds,
    /// Consecutive evaluations that found it failing.
    failing_evaluations: u32,
    /// Consecutive evaluations that found it healthy while another zone failed.
    healthy_evaluations: u32,
    /// What this node observed itself during these, without the stale ones.
    proving_outcomes: OutcomeSums,
    /// Outcomes since the phase began, weighted by time.
    canary_outcomes: OutcomeSums,
}

impl ZoneState {
    /// In full use.
    pub(crate) fn new(now: Seconds) -> Self {
        ZoneState {
            phase: ZonePhase::InUse,
            share: 1.0,
            since: now,
            hold: MIN_HOLD,
            failing_evaluations: 0,
            healthy_evaluations: 0,
            proving_outcomes: OutcomeSums::default(),
            canary_outcomes: OutcomeSums::default(),
        }
    }

    /// Begins a phase.
    pub(crate) fn enter(&mut self, now: Seconds, phase: ZonePhase, share: f64) {
        self.phase = phase;
        self.share = share;
        self.since = now;
        self.canary_outcomes = OutcomeSums::default();
    }
}

/// What the rules need to know of one zone besides its state.
struct Assessment {
    /// Enough nodes observe that it fails.
    is_failing: bool,
    /// This node's own attempts succeed there.
    works_here: bool,
    /// Another zone is in use and does well. Without one, everything is overloaded, or this node is cut off.
    has_healthy_alternative: bool,
    /// The share of endpoints that may be out of use allows one more zone.
    may_eject: bool,
    /// Mean share that the fleet gives it, where enough peers reported.
    mean_share: Option<f64>,
}

/// One evaluation of all zones.
pub(crate) struct Evaluation<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) now: Seconds,
    /// Time since the last evaluation.
    pub(crate) elapsed: Seconds,
    /// Enough peers reported recently.
    pub(crate) has_quorum: bool,
    /// Nodes that must find a zone of no use before it is left.
    pub(crate) required_votes: u32,
    /// By zone.
    pub(crate) views: &'a [ZoneView],
}

impl Evaluation<'_> {
    /// Evaluates all zones, the worst first, and returns what changed.
    pub(crate) fn run(&self, states: &mut [ZoneState]) -> Vec<(usize, Transition)> {
        let bad_fraction = |zone: &usize| self.views[*zone].fleet.bad_fraction();
        let mut order: Vec<usize> = (0..self.views.len())
            .filter(|zone| self.views[*zone].endpoints > 0)
            .collect();
        order.sort_by(|one, other| bad_fraction(other).total_cmp(&bad_fraction(one)));
        self.count_healthy_evaluations(&order, states);
        let mut transitions = Vec::new();
        for &zone in &order {
            let assessment = self.assess(zone, &order, states);
            let state = &mut states[zone];
            state.failing_evaluations = if assessment.is_failing {
                state.failing_evaluations + 1
            } else {
                0
            };
            let view = &self.views[zone];
            let transition = match state.phase {
                ZonePhase::InUse => self.evaluate_in_use(state, view, &assessment),
                ZonePhase::Ejected => self.evaluate_ejected(state, view, &assessment),
                ZonePhase::Returning => self.evaluate_returning(state, view, &assessment),
            };
            transitions.extend(transition.map(|transition| (zone, transition)));
        }
        transitions
    }

    /// Counts for how long each zone has been healthy beside one that fails. A zone that was healthy before the failure
    /// began proves nothing: its good outcomes may be older than the failure of all zones.
    fn count_healthy_evaluations(&self, order: &[usize], states: &mut [ZoneState]) {
        let shows_failure =
            |zone: &usize| self.views[*zone].fleet.bad_fraction() >= self.settings.leave_at;
        let any_fails = order.iter().any(shows_failure);
        for &zone in order {
            let state = &mut states[zone];
            let healthy_evaluations = match (self.is_healthy(zone), any_fails) {
                (true, true) => state.healthy_evaluations + 1,
                // The failing zone may look better for a moment, by the messages that count just then.
                (true, false) => state.healthy_evaluations.saturating_sub(1),
                (false, _) => 0,
            };
            state.healthy_evaluations = healthy_evaluations;
            if healthy_evaluations == 0 {
                state.proving_outcomes = OutcomeSums::default();
            }
            if state.healthy_evaluations > STALE_EVALUATIONS {
                let interval = self.views[zone].interval;
                state.proving_outcomes = state.proving_outcomes.plus(interval);
            }
        }
    }

    /// True where neither this node nor the fleet observes more than a few bad outcomes.
    fn is_healthy(&self, zone: usize) -> bool {
        let max_bad_fraction = self.settings.leave_at * HEALTHY_FRACTION;
        let view = &self.views[zone];
        view.fleet.total() > 0.0
            && view.fleet.bad_fraction() <= max_bad_fraction
            && view.recent.bad_fraction() <= max_bad_fraction
    }

    /// True where a zone has been healthy since another one began to fail: this node itself observes that, or the fleet
    /// does by its traffic, or it lasts for long enough.
    fn is_proven_healthy(&self, zone: usize, failing: usize, state: &ZoneState) -> bool {
        let proof = &state.proving_outcomes;
        let is_proven_here = proof.good >= MIN_PROVING_OUTCOMES
            && proof.bad_fraction() <= self.settings.leave_at * HEALTHY_FRACTION;
        let required = if is_proven_here {
            HEALTHY_EVALUATIONS_WITH_PROOF
        } else if self.serves_as_much_as_is_lost(zone, failing) {
            HEALTHY_EVALUATIONS_WITH_TRAFFIC
        } else {
            HEALTHY_EVALUATIONS
        };
        state.healthy_evaluations >= required
    }

    /// True where each endpoint of a zone serves as much as each one of the failing zone gets.
    fn serves_as_much_as_is_lost(&self, zone: usize, failing: usize) -> bool {
        let (view, failing) = (&self.views[zone], &self.views[failing]);
        view.fleet.good >= MIN_FLEET_OUTCOMES_TO_COMPARE
            && view.fleet.good * f64::from(failing.endpoints)
                >= failing.fleet.total() * f64::from(view.endpoints)
    }

    fn assess(&self, zone: usize, order: &[usize], states: &[ZoneState]) -> Assessment {
        let view = &self.views[zone];
        let is_healthy_alternative = |other: &usize| {
            let state = &states[*other];
            *other != zone
                && state.phase == ZonePhase::InUse
                && self.is_proven_healthy(*other, zone, state)
        };
        let works_here = self.shows_success(&view.own, MIN_OWN_OUTCOMES)
            && (view.recent.total() < MIN_RECENT_OUTCOMES
                || self.shows_success(&view.recent, MIN_RECENT_OUTCOMES));
        let load_has_shifted = states.iter().any(|state| {
            state.phase != ZonePhase::InUse && self.now - state.since < SHIFTED_LOAD_PERIOD
        });
        // A zone that fails without being dead soon after another was left may suffer from the load that moved: admission
        // control handles that.
        let counted_fraction = if load_has_shifted && states[zone].phase == ZonePhase::InUse {
            view.fleet.dead_fraction()
        } else {
            view.fleet.bad_fraction()
        };
        let is_failing = self.has_quorum
            && view.votes >= self.required_votes
            && view.fleet.total() >= MIN_FLEET_OUTCOMES
            && counted_fraction >= self.settings.leave_at
            && !works_here;
        let all: u32 = self.views.iter().map(|view| view.endpoints).sum();
        let out_of_use: u32 = (self.views.iter().zip(states))
            .filter(|(_, state)| state.phase != ZonePhase::InUse)
            .map(|(view, _)| view.endpoints)
            .sum();
        let out_with_this = f64::from(out_of_use + view.endpoints);
        Assessment {
            is_failing,
            works_here,
            has_healthy_alternative: order.iter().any(is_healthy_alternative),
            may_eject: out_with_this <= self.settings.most_out * f64::from(all),
            mean_share: view.mean_share.filter(|_| self.has_quorum),
        }
    }

    /// True if at least so many outcomes were observed, and few of them were bad.
    fn shows_success(&self, sums: &OutcomeSums, min_outcomes: f64) -> bool {
        sums.total() >= min_outcomes && sums.bad_fraction() < self.settings.leave_at / 2.0
    }

    fn evaluate_in_use(
        &self,
        state: &mut ZoneState,
        view: &ZoneView,
        assessment: &Assessment,
    ) -> Option<Transition> {
        let fails = state.failing_evaluations >= FAILING_EVALUATIONS;
        let fleet_has_left = |mean| mean < FOLLOW_EJECTION_BELOW;
        let follows = assessment.mean_share.is_some_and(fleet_has_left) && !assessment.works_here;
        let may_leave =
            self.has_quorum && assessment.has_healthy_alternative && assessment.may_eject;
        if may_leave && (fails || follows) {
            state.enter(self.now, ZonePhase::Ejected, 0.0);
            return Some(if fails {
                Transition::Ejected(view.fleet)
            } else {
                Transition::FollowedEjection(view.fleet)
            });
        }
        if self.now - state.since > HOLD_RESET_PERIOD {
            state.hold = MIN_HOLD;
        }
        None
    }

    fn evaluate_ejected(
        &self,
        state: &mut ZoneState,
        view: &ZoneView,
        assessment: &Assessment,
    ) -> Option<Transition> {
        let outcomes = view.fleet.scaled(self.elapsed);
        state.canary_outcomes = state.canary_outcomes.plus(outcomes);
        let out_for = self.now - state.since;
        let canaries_succeed =
            self.shows_success(&state.canary_outcomes, MIN_CANARY_OUTCOME_SECONDS);
        // A node that was stopped, or started late, adopts the fleet's share.
        let followed_share = assessment.mean_share.filter(|mean| {
            *mean > FOLLOW_RETURN_ABOVE
                && view.own.bad_fraction() < self.settings.leave_at
                && out_for > state.hold
        });
        if canaries_succeed && out_for >= state.hold || followed_share.is_some() {
            let share = followed_share.unwrap_or(FIRST_RETURN_SHARE);
            state.enter(self.now, ZonePhase::Returning, share);
            return Some(Transition::Returning(view.fleet));
        }
        if state.canary_outcomes.total() >= MIN_CANARY_OUTCOME_SECONDS {
            state.canary_outcomes = state.canary_outcomes.scaled(CANARY_FADE);
        }
        None
    }

    fn evaluate_returning(
        &self,
        state: &mut ZoneState,
        view: &ZoneView,
        assessment: &Assessment,
    ) -> Option<Transition> {
        if state.failing_evaluations >= FAILING_EVALUATIONS {
            state.hold = (state.hold * 2.0).min(MAX_HOLD);
            state.enter(self.now, ZonePhase::Ejected, 0.0);
            return Some(Transition::EjectedAgain {
                hold: state.hold,
                observed: view.fleet,
            });
        }
        let max_share = assessment
            .mean_share
            .map_or(1.0, |mean| mean + MAX_LEAD_OVER_MEAN);
        let grown = state.share + self.settings.return_per_s * self.elapsed;
        state.share = grown.min(max_share.max(state.share)).min(1.0);
        if state.share < 1.0 {
            return None;
        }
        state.enter(self.now, ZonePhase::InUse, 1.0);
        Some(Transition::Restored)
    }
}
