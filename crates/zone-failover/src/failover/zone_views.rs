//! Aggregation of this node's observations and its peers' reports into one view per zone.

use applewall_node_types::Timestamp;

use super::{ZoneFailover, MIN_FAILURE_INDICATION_OUTCOMES, QUORUM};
use crate::evaluation::ZoneView;
use crate::id::ZoneId;
use crate::message::ZoneMessage;
use crate::observation::{OutcomeSums, ZoneObservations};

/// Maximum number of outcomes per zone that count for one node. Gives all nodes about the same weight, so that a faulty
/// node cannot dominate.
const MAX_OUTCOMES_PER_NODE: f64 = 3.0;
/// Minimum number of bad outcomes for a node's report to count as a vote against the zone. Less than one, because outcomes
/// decay within a second or two, and a node of a large fleet observes a zone less often than that.
const MIN_BAD_OUTCOMES_PER_VOTE: f64 = 0.3;

/// 1 if the outcomes are a vote against the zone, and 0 otherwise.
fn vote(sums: &OutcomeSums) -> u32 {
    u32::from(sums.bad() >= MIN_BAD_OUTCOMES_PER_VOTE)
}

impl ZoneFailover {
    /// The views of all zones, indexed by [`ZoneId`].
    pub(super) fn views(&self, now: Timestamp) -> Vec<ZoneView> {
        let messages: Vec<&ZoneMessage> = self.current_messages(now).collect();
        (0..self.zone_names.len())
            .map(|zone| self.view(ZoneId(zone), &messages))
            .collect()
    }

    fn view(&self, zone: ZoneId, messages: &[&ZoneMessage]) -> ZoneView {
        let ZoneObservations {
            short_term,
            long_term,
            last_success_sent_at,
            failure_sent_at,
            ..
        } = &self.observations[zone.0];
        let mut fleet = short_term.capped(MAX_OUTCOMES_PER_NODE);
        let mut votes = vote(short_term);
        let mut share_sum = 0.0;
        let mut peers = 0;
        let reports = messages.iter().filter_map(|message| {
            let mut reports = message.reports.iter();
            reports.find(|report| usize::from(report.zone) == zone.0)
        });
        for report in reports {
            fleet = fleet.plus(report.sums.capped(MAX_OUTCOMES_PER_NODE));
            votes += vote(&report.sums);
            share_sum += report.traffic_share;
            peers += 1;
        }
        let knows_alternative =
            |message: &&&ZoneMessage| message.zones_with_alternative.contains(&(zone.0 as u16));
        let peers_with_alternative = messages.iter().filter(knows_alternative).count() as u32;
        let has_mean = peers >= QUORUM.min(self.fleet_size - 1) && peers > 0;
        ZoneView {
            endpoints: self.endpoints[zone.0],
            fleet,
            votes,
            short_term: *short_term,
            long_term: *long_term,
            peers_with_alternative,
            failure_sent_at: *failure_sent_at,
            last_success_sent_at: *last_success_sent_at,
            mean_traffic_share: has_mean.then(|| share_sum / f64::from(peers)),
        }
    }

    /// Whether this node observes that every zone fails. The node itself is then likely isolated from the network, which is
    /// no reason to eject a zone.
    pub(super) fn is_isolated(&self, views: &[ZoneView]) -> bool {
        let observed = || {
            views
                .iter()
                .filter(|view| view.long_term.total() >= MIN_FAILURE_INDICATION_OUTCOMES)
        };
        observed().count() > 1
            && observed().all(|view| view.long_term.bad_fraction() >= self.settings.leave_at)
    }
}
