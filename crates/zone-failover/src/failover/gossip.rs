//! Messages between nodes: what peers report, and when this node sends its own observations.

use applewall_node_types::{NodeId, TimeSpan, Timestamp};
use rand::Rng;

use super::{shows_failures, ZoneFailover, FAILURE_SIGN_FRACTION, GRACE_PERIOD, QUORUM};
use crate::evaluation::ZoneView;
use crate::event::OutgoingMessage;
use crate::message::{ZoneMessage, ZoneReport, MAX_ZONES_WITH_ALTERNATIVE};

/// Intervals between two messages while a zone fails and is not ejected yet: each interval counts until it is.
const INTERVALS_PER_MESSAGE_PENDING: u32 = 1;
/// Intervals between two messages otherwise, while a zone is ejected or returning: five messages a second of the 40
/// datagrams that a node accepts.
const INTERVALS_PER_MESSAGE: u32 = 2;
/// Time after the last sign of a failure for which a node sends messages; without one it sends none.
const IDLE_TIMEOUT: TimeSpan = TimeSpan::from_seconds(2.0);
/// Time for which a peer's message counts: several messages of each peer, so that a lost one changes little.
const MESSAGE_LIFETIME: TimeSpan = TimeSpan::from_seconds(1.5);

/// A peer's last message.
#[derive(Clone, Debug)]
pub(super) struct ReceivedMessage {
    pub(super) at: Timestamp,
    pub(super) message: ZoneMessage,
}

impl ZoneFailover {
    /// Stores a peer's message; one that is old, repeated or foreign changes nothing.
    pub(super) fn receive(&mut self, now: Timestamp, from: NodeId, message: ZoneMessage) {
        if from.0 >= self.fleet_size || from == self.node {
            return;
        }
        // A peer that restarted begins its sequence again; within an incarnation only what is newer counts.
        let is_old = self.received.get(&from).is_some_and(|last| {
            last.message.incarnation == message.incarnation
                && message.sequence <= last.message.sequence
        });
        if is_old {
            return;
        }
        let reports_failures =
            |report: &ZoneReport| shows_failures(&report.sums) || report.traffic_share < 1.0;
        if message.reports.iter().any(reports_failures) {
            self.last_failure_sign_at = Some(now);
        }
        self.received
            .insert(from, ReceivedMessage { at: now, message });
    }

    /// Messages that count now, in the order of their senders.
    pub(super) fn current_messages(&self, now: Timestamp) -> impl Iterator<Item = &ZoneMessage> {
        self.received
            .values()
            .filter(move |received| now - received.at < MESSAGE_LIFETIME)
            .map(|received| &received.message)
    }

    /// True if enough peers reported to judge zones. In a small fleet messages come often enough to outweigh losses; in a
    /// large one they are a sample.
    pub(super) fn has_quorum(&self, now: Timestamp) -> bool {
        let reporting = self.current_messages(now).count() as u32;
        let is_pooled =
            reporting >= QUORUM.min(self.fleet_size - 1) && now - self.started_at >= GRACE_PERIOD;
        is_pooled || self.fleet_size == 1
    }

    /// True if this node sends a message in the interval that has just ended.
    pub(super) fn is_message_due(&self, now: Timestamp, views: &[ZoneView]) -> bool {
        let is_pending = views.iter().zip(&self.states).any(|(view, state)| {
            state.is_in_use() && view.fleet.bad_fraction() > FAILURE_SIGN_FRACTION
        });
        let intervals = if is_pending {
            INTERVALS_PER_MESSAGE_PENDING
        } else {
            INTERVALS_PER_MESSAGE
        };
        let is_active = self
            .last_failure_sign_at
            .is_some_and(|last_sign_at| now - last_sign_at < IDLE_TIMEOUT);
        self.fleet_size > 1 && is_active && self.intervals.is_multiple_of(intervals)
    }

    /// What this node observed itself, for a random peer.
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

    /// Zones to which this node itself knows a healthy alternative: what peers told it is not passed on.
    fn zones_with_alternative(&self) -> Vec<u16> {
        (0..self.names.len())
            .filter(|zone| self.states[*zone].has_own_alternative)
            .map(|zone| zone as u16)
            .take(MAX_ZONES_WITH_ALTERNATIVE)
            .collect()
    }

    /// Reports on all zones with endpoints, those with the highest fraction of bad outcomes first: about ten fit into
    /// a message.
    fn reports(&self) -> Vec<ZoneReport> {
        let mut reports: Vec<ZoneReport> = (0..self.names.len())
            .filter(|zone| self.endpoints[*zone] > 0)
            .map(|zone| ZoneReport {
                zone: zone as u16,
                sums: self.observations[zone].recent,
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
