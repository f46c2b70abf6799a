//! What this node and its peers observe of each zone, put together.

use applewall_node_types::Timestamp;

use super::{ZoneFailover, MIN_FAILURE_SIGN_OUTCOMES, QUORUM};
use crate::evaluation::ZoneView;
use crate::id::ZoneId;
use crate::message::ZoneMessage;
use crate::observation::{OutcomeSums, ZoneObservations};

/// Bounds the outcomes of a zone for which one node counts, its reports included: all nodes have about the same weight, and
/// a wrong one has no more.
const MAX_OUTCOMES_PER_NODE: f64 = 3.0;
/// Bad outcomes from which a node's report is a vote that the zone is of no use: less than one, since outcomes fade within
/// a second or two, and a node of a large fleet observes a zone more seldom than that.
const MIN_BAD_OUTCOMES_PER_VOTE: f64 = 0.3;

/// 1 if the outcomes are a vote that the zone is of no use.
fn vote(sums: &OutcomeSums) -> u32 {
    u32::from(sums.bad() >= MIN_BAD_OUTCOMES_PER_VOTE)
}

impl ZoneFailover {
    /// The views of all zones.
    pub(super) fn views(&self, now: Timestamp) -> Vec<ZoneView> {
        let messages: Vec<&ZoneMessage> = self.current_messages(now).collect();
        (0..self.names.len())
            .map(|zone| self.view(ZoneId(zone), &messages))
            .collect()
    }

    fn view(&self, zone: ZoneId, messages: &[&ZoneMessage]) -> ZoneView {
        let ZoneObservations {
            recent,
            own,
            last_success_sent_at,
            failure_sent_at,
            ..
        } = &self.observations[zone.0];
        let mut fleet = recent.capped(MAX_OUTCOMES_PER_NODE);
        let mut votes = vote(recent);
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
            recent: *recent,
            own: *own,
            peers_with_alternative,
            failure_sent_at: *failure_sent_at,
            last_success_sent_at: *last_success_sent_at,
            mean_traffic_share: has_mean.then(|| share_sum / f64::from(peers)),
        }
    }

    /// True if this node observes that every zone fails: it is cut off itself, which is no reason to eject any.
    pub(super) fn is_cut_off(&self, views: &[ZoneView]) -> bool {
        let observed = || {
            views
                .iter()
                .filter(|view| view.own.total() >= MIN_FAILURE_SIGN_OUTCOMES)
        };
        observed().count() > 1
            && observed().all(|view| view.own.bad_fraction() >= self.settings.leave_at)
    }
}
