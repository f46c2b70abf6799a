//! What nodes tell each other: peers' messages, and when this node sends its own.

use rand::Rng;

use super::{
    shows_failures, OutgoingMessage, Received, Seconds, ZoneFailover, FAILURE_SIGN_FRACTION,
};
use crate::message::{ZoneMessage, ZoneReport};
use crate::policy::{ZonePhase, ZoneView};

/// Intervals between two messages while a zone fails and is not left yet.
const INTERVALS_PER_MESSAGE_PENDING: u32 = 1;
/// Intervals between two messages otherwise: while a zone is left or returning.
const INTERVALS_PER_MESSAGE: u32 = 2;
/// Time after the last sign of a failure for which a node sends messages; in calm times it sends none.
const IDLE_TIMEOUT: Seconds = 2.0;
/// Time for which a peer's message counts.
const MESSAGE_LIFETIME: Seconds = 1.5;

impl ZoneFailover {
    /// Stores a peer's message; one that is old, repeated or foreign changes nothing.
    pub(super) fn receive(&mut self, now: Seconds, from: u32, message: ZoneMessage) {
        if from >= self.fleet_size || from == self.node {
            return;
        }
        // A peer that restarted counts anew; within an incarnation only what is newer counts.
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
            self.last_failure_sign_at = now;
        }
        self.received.insert(from, Received { at: now, message });
    }

    /// Messages that count now, in the order of their senders.
    pub(super) fn current_messages(&self, now: Seconds) -> impl Iterator<Item = &ZoneMessage> {
        self.received
            .values()
            .filter(move |received| now - received.at < MESSAGE_LIFETIME)
            .map(|received| &received.message)
    }

    pub(super) fn is_message_due(&self, now: Seconds, views: &[ZoneView]) -> bool {
        let is_pending = views.iter().zip(&self.states).any(|(view, state)| {
            state.phase == ZonePhase::InUse && view.fleet.bad_fraction() > FAILURE_SIGN_FRACTION
        });
        let intervals = if is_pending {
            INTERVALS_PER_MESSAGE_PENDING
        } else {
            INTERVALS_PER_MESSAGE
        };
        self.fleet_size > 1
            && now - self.last_failure_sign_at < IDLE_TIMEOUT
            && self.intervals.is_multiple_of(intervals)
    }

    /// What this node observed itself, for a peer drawn anew.
    pub(super) fn message(&mut self) -> OutgoingMessage {
        let distance = 1 + self.rng.random_range(0..self.fleet_size - 1);
        let to = (self.node + distance) % self.fleet_size;
        self.sequence += 1;
        let mut reports: Vec<ZoneReport> = (0..self.names.len())
            .filter(|zone| self.endpoints[*zone] > 0)
            .map(|zone| ZoneReport {
                zone: zone as u16,
                sums: self.observations[zone].recent,
                traffic_share: self.states[zone].share,
            })
            .collect();
        // The worst zones first: a message has room for about ten.
        reports.sort_by(|one, other| {
            let bad_fraction = |report: &ZoneReport| report.sums.bad_fraction();
            bad_fraction(other).total_cmp(&bad_fraction(one))
        });
        OutgoingMessage {
            to,
            message: ZoneMessage {
                incarnation: self.incarnation,
                sequence: self.sequence,
                reports,
            },
        }
    }
}
