//! Gossip: processing of peers' reports, and scheduling of this node's own messages.

use applewall_node_types::{NodeId, TimeSpan, Timestamp};
use rand::Rng;

use super::{indicates_failure, ZoneFailover, FAILURE_INDICATION_FRACTION, GRACE_PERIOD, QUORUM};
use crate::evaluation::ZoneView;
use crate::event::OutgoingMessage;
use crate::message::{ZoneMessage, ZoneReport, MAX_ZONES_WITH_ALTERNATIVE};

/// Evaluation intervals per message while a zone fails and is not ejected yet, when fast detection matters most.
const INTERVALS_PER_MESSAGE_PENDING: u32 = 1;
/// Evaluation intervals per message otherwise, while a zone is ejected or returning: five messages per second, out of the
/// 40 datagrams per second that a node accepts.
const INTERVALS_PER_MESSAGE: u32 = 2;
/// How long a node keeps sending messages after the last indication of a failure. Without a failure it sends none.
const IDLE_TIMEOUT: TimeSpan = TimeSpan::from_seconds(2.0);
/// How long a peer's message is taken into account. Covers several messages of each peer, so that losing one has little
/// effect.
const MESSAGE_LIFETIME: TimeSpan = TimeSpan::from_seconds(1.5);

/// A peer's latest message and its time of arrival.
#[derive(Clone, Debug)]
pub(super) struct ReceivedMessage {
    pub(super) at: Timestamp,
    pub(super) message: ZoneMessage,
}

impl ZoneFailover {
    /// Stores a peer's message. Ignores outdated and duplicated messages, and senders outside the fleet.
    pub(super) fn receive(&mut self, now: Timestamp, from: NodeId, message: ZoneMessage) {
        if from.0 >= self.fleet_size || from == self.node {
            return;
        }
        // Sequence numbers restart with each incarnation of the peer, so they are compared only within one incarnation.
        let is_stale = self.received.get(&from).is_some_and(|last| {
            last.message.incarnation == message.incarnation
                && message.sequence <= last.message.sequence
        });
        if is_stale {
            return;
        }
        let reports_failures =
            |report: &ZoneReport| indicates_failure(&report.sums) || report.traffic_share < 1.0;
        if message.reports.iter().any(reports_failures) {
            self.last_failure_indication_at = Some(now);
        }
        self.received
            .insert(from, ReceivedMessage { at: now, message });
    }

    /// Messages that have not expired, ordered by sender.
    pub(super) fn current_messages(&self, now: Timestamp) -> impl Iterator<Item = &ZoneMessage> {
        self.received
            .values()
            .filter(move |received| now - received.at < MESSAGE_LIFETIME)
            .map(|received| &received.message)
    }

    /// Whether enough peers have reported to evaluate zones. In a small fleet, messages are frequent enough to compensate
    /// for losses; in a large one, the reports are a sample of the fleet.
    pub(super) fn has_quorum(&self, now: Timestamp) -> bool {
        let reporting = self.current_messages(now).count() as u32;
        let has_enough_reports =
            reporting >= QUORUM.min(self.fleet_size - 1) && now - self.started_at >= GRACE_PERIOD;
        has_enough_reports || self.fleet_size == 1
    }

    /// Whether this node sends a message at the end of the current interval.
    pub(super) fn is_message_due(&self, now: Timestamp, views: &[ZoneView]) -> bool {
        let is_pending = views.iter().zip(&self.states).any(|(view, state)| {
            state.is_in_use() && view.fleet.bad_fraction() > FAILURE_INDICATION_FRACTION
        });
        let intervals = if is_pending {
            INTERVALS_PER_MESSAGE_PENDING
        } else {
            INTERVALS_PER_MESSAGE
        };
        let is_active = self
            .last_failure_indication_at
            .is_some_and(|last_indication_at| now - last_indication_at < IDLE_TIMEOUT);
        self.fleet_size > 1 && is_active && self.intervals.is_multiple_of(intervals)
    }

    /// Builds a message with this node's own observations, addressed to a random peer.
    pub(super) fn message(&mut self) -> OutgoingMessage {
        let distance = 1 + self.rng.random_range(0..self.fleet_size - 1);
        let to = self.node.successor(distance, self.fleet_size);
        self.sequence += 1;
        let message = ZoneMessage {
            incarnation: self.incarnation,
            sequence: self.sequence,
            zones_with_alternative: self.zones_with_alternative(),
            reports: self.reports(),
        };
        OutgoingMessage { to, message }
    }

    /// Failing zones for which this node's own attempts show a healthy alternative. Reports of peers are not forwarded.
    fn zones_with_alternative(&self) -> Vec<u16> {
        (0..self.zone_names.len())
            .filter(|zone| self.states[*zone].has_own_alternative)
            .map(|zone| zone as u16)
            .take(MAX_ZONES_WITH_ALTERNATIVE)
            .collect()
    }

    /// Reports on all zones with endpoints, in descending order of the fraction of bad outcomes: a message holds about ten.
    fn reports(&self) -> Vec<ZoneReport> {
        let mut reports: Vec<ZoneReport> = (0..self.zone_names.len())
            .filter(|zone| self.endpoints[*zone] > 0)
            .map(|zone| ZoneReport {
                zone: zone as u16,
                sums: self.observations[zone].short_term,
                traffic_share: self.states[zone].traffic_share,
            })
            .collect();
        reports.sort_by(|one, other| {
            let bad_fraction = |report: &ZoneReport| report.sums.bad_fraction();
            bad_fraction(other).total_cmp(&bad_fraction(one))
        });
        reports
    }
}
