//! The rules by which zones are ejected and used again: from one node's view of all zones to the state of each.
//!
//! Pure: reads views and settings, changes the states, and returns the changes. Invariants: the last healthy zone is never
//! ejected, and the endpoints of zones that are not in use never exceed the configured fraction of all.

mod assessment;
mod health;
mod phases;

use applewall_node_types::{TimeSpan, Timestamp};

use crate::id::ZoneId;
use crate::observation::OutcomeSums;
use crate::settings::Settings;
use crate::transition::Transition;
use crate::zone_state::{ZonePhase, ZoneState};

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
    /// How many of the peers that reported recently know a healthy alternative to it.
    pub(crate) peers_with_alternative: u32,
    /// When this node sent the earliest attempt whose bad outcome it observed in the interval that has just ended.
    pub(crate) failure_sent_at: Option<Timestamp>,
    /// When this node sent the latest attempt that is known to have succeeded.
    pub(crate) last_success_sent_at: Option<Timestamp>,
    /// Mean share of its usual traffic that peers send to it; none where too few reported.
    pub(crate) mean_traffic_share: Option<f64>,
}

/// One evaluation of all zones.
pub(crate) struct Evaluation<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) now: Timestamp,
    /// Time since the last evaluation.
    pub(crate) elapsed: TimeSpan,
    /// Enough peers reported recently.
    pub(crate) has_quorum: bool,
    /// Nodes that must find a zone of no use before it is ejected.
    pub(crate) required_votes: u32,
    /// By zone.
    pub(crate) views: &'a [ZoneView],
}

impl Evaluation<'_> {
    /// Evaluates all zones, the one with the highest fraction of bad outcomes first, and returns the changes.
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

    /// Zones that the endpoint list names, the one with the highest fraction of bad outcomes first: where the settings allow
    /// one more zone to be ejected, it is the worst.
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
