//! The rules for ejecting zones and returning them to use: each zone's state is updated from this node's views of all zones.
//!
//! Free of I/O: reads the views and settings, updates the states, and returns the transitions. Invariants: the last healthy
//! zone is never ejected, and the endpoints of zones that are not in use never exceed the configured fraction of all
//! endpoints.

mod assessment;
mod health;
mod phases;

use applewall_node_types::{TimeSpan, Timestamp};

use crate::id::ZoneId;
use crate::observation::OutcomeSums;
use crate::settings::Settings;
use crate::transition::Transition;
use crate::zone_state::{ZonePhase, ZoneState};

/// One node's view of a zone at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ZoneView {
    /// Number of the zone's endpoints in the endpoint list.
    pub(crate) endpoints: u32,
    /// Outcomes observed by this node and by the peers that reported recently: a sample of the fleet.
    pub(crate) fleet: OutcomeSums,
    /// Number of nodes that vote against the zone, among this node and the peers that reported recently.
    pub(crate) votes: u32,
    /// Outcomes observed by this node in about the last second.
    pub(crate) short_term: OutcomeSums,
    /// Outcomes observed by this node in about the last two seconds.
    pub(crate) long_term: OutcomeSums,
    /// How many of the peers that reported recently know a healthy alternative to the zone.
    pub(crate) peers_with_alternative: u32,
    /// Send time of this node's earliest attempt whose bad outcome was observed in the interval that has just ended.
    pub(crate) failure_sent_at: Option<Timestamp>,
    /// Send time of this node's latest attempt that is known to have succeeded.
    pub(crate) last_success_sent_at: Option<Timestamp>,
    /// Mean share of the zone's usual traffic that peers send to it; `None` if too few peers reported.
    pub(crate) mean_traffic_share: Option<f64>,
}

/// One evaluation of all zones.
pub(crate) struct Evaluation<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) now: Timestamp,
    /// Time since the previous evaluation.
    pub(crate) elapsed: TimeSpan,
    /// Whether enough peers reported recently.
    pub(crate) has_quorum: bool,
    /// Number of nodes that must vote against a zone before it is ejected.
    pub(crate) required_votes: u32,
    /// Indexed by [`ZoneId`].
    pub(crate) views: &'a [ZoneView],
}

impl Evaluation<'_> {
    /// Evaluates all zones, in descending order of the fraction of bad outcomes, and returns the transitions.
    pub(crate) fn run(&self, states: &mut [ZoneState]) -> Vec<(ZoneId, Transition)> {
        let order = self.zones_with_endpoints();
        self.update_failures(&order, states);
        let mut transitions = Vec::new();
        for &zone in &order {
            let assessment = self.assess(zone, &order, states);
            let state = &mut states[zone.0];
            state.failing_evaluations = if assessment.is_failing {
                state.failing_evaluations + 1
            } else {
                0
            };
            state.has_own_alternative = assessment.has_own_alternative;
            let view = self.view(zone);
            let transition = match state.phase {
                ZonePhase::InUse => self.evaluate_in_use(state, view, &assessment),
                ZonePhase::Ejected => self.evaluate_ejected(state, view, &assessment),
                ZonePhase::Returning => self.evaluate_returning(state, view, &assessment),
            };
            transitions.extend(transition.map(|transition| (zone, transition)));
        }
        transitions
    }

    /// Zones with endpoints, in descending order of the fraction of bad outcomes: if the settings allow only one more
    /// ejection, the worst zone is ejected.
    fn zones_with_endpoints(&self) -> Vec<ZoneId> {
        let bad_fraction = |zone: &ZoneId| self.view(*zone).fleet.bad_fraction();
        let mut order: Vec<ZoneId> = (0..self.views.len())
            .map(ZoneId)
            .filter(|zone| self.view(*zone).endpoints > 0)
            .collect();
        order.sort_by(|one, other| bad_fraction(other).total_cmp(&bad_fraction(one)));
        order
    }

    fn view(&self, zone: ZoneId) -> &ZoneView {
        &self.views[zone.0]
    }
}
