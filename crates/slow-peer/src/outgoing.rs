//! Answers on their way to service clients.
//!
//! What may be cut when, by the rules on sockets:
//!
//! - a connection whose taken command has no answer yet: never, the command would be lost;
//! - one on which an answer was begun, whole or not: yes. The answer has failed and is not lost, since its length
//!   was told before it and the service client can tell that it is not whole;
//! - one whose answer has not one byte written yet: never, for the same reason as the first;
//! - one on which a newer command was read while an answer still waits (a client that sends ahead): never, until that
//!   command has its answer. From then on both are one transfer, begun with the first: that the second can't be
//!   written is the reader's doing, and whoever stops reading must not keep its place by sending ahead.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::collections::BTreeMap;

use crate::account::{LimitExceeded, ResourceAccount, ResourceOwner};
use crate::floor::MinimumDataRate;
use crate::rate::RateWindow;
use crate::settings::{BulkheadSettings, Settings};

/// A transfer of which nothing moved for this long, in nanoseconds, and for two round trips, stands still.
const STILL: u64 = 50_000_000;

/// Names a connection for as long as it lives.
pub type ConnectionId = u64;

/// Why a connection is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum AbortReason {
    /// Its answer moved more slowly than the least rate in force.
    BelowMinimumRate,
    /// Nothing of its answer moved within the window.
    Stalled,
    /// Room was needed, and it held the most bytes for the longest.
    ResourcesNeeded,
}

/// A connection that has to go; it is forgotten here already.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Abort {
    /// The connection.
    pub id: ConnectionId,
    /// On whose behalf it held what it held.
    pub owner: ResourceOwner,
    /// Why.
    pub reason: AbortReason,
    /// Bytes that were still waiting.
    pub unsent_bytes: u64,
    /// For how long its answer had been on its way, in nanoseconds.
    pub age_ns: u64,
}

/// What room is needed for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResourceNeed {
    /// One place for a connection.
    ConnectionSlot,
    /// So many bytes, on this holder's behalf, under the limit that would be passed.
    Bytes(ResourceOwner, LimitExceeded, u64),
}

/// What is known of a connection's bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransferProgress {
    /// Written so far.
    pub written_bytes: u64,
    /// Acknowledged by the other end so far.
    pub acknowledged_bytes: u64,
    /// The round trip to the other end, in nanoseconds; 0 where it is not known.
    pub round_trip_ns: u64,
}

struct OutgoingTransfer {
    owner: ResourceOwner,
    /// Bytes that wait, as the account has them.
    unsent_bytes: u64,
    /// Of the connection's bytes, how many were delivered by the last look.
    acknowledged_bytes: u64,
    /// Bytes of the connection that were written when the answer began.
    written_before: u64,
    max_round_trip_ns: u64,
    /// When something was delivered last.
    last_progress_ns: u64,
    has_started: bool,
    /// A newer command was read: there is one that has no answer.
    request_pending: bool,
    started_ns: u64,
    rate: RateWindow,
    /// The same over the shorter time that counts where room has to be made.
    short_rate: RateWindow,
}

impl OutgoingTransfer {
    fn may_abort(&self) -> bool {
        self.has_started && !self.request_pending
    }
}

/// All answers that go out, and the account of what waits.
pub struct OutgoingTransfers {
    transfers: BTreeMap<ConnectionId, OutgoingTransfer>,
    unsent_bytes: ResourceAccount,
    floor: MinimumDataRate,
    window: u64,
    grace: u64,
    room_grace: u64,
}

impl OutgoingTransfers {
    /// None yet, in a program that has so many bytes of memory.
    pub fn new(settings: &Settings, bulkheads: &BulkheadSettings, memory: u64) -> Self {
        let limit = settings.waiting(memory);
        let share = |part: f64| {
            if bulkheads.enabled.0 {
                (limit as f64 * part) as u64
            } else {
                u64::MAX
            }
        };
        let (customer, peer) = (
            share(bulkheads.customer_waiting),
            share(bulkheads.peer_waiting),
        );
        let (least, full) = (
            settings.out_least.0 as f64,
            settings.out_least_full.0 as f64,
        );
        OutgoingTransfers {
            transfers: BTreeMap::new(),
            unsent_bytes: ResourceAccount::new(limit, customer, peer),
            floor: MinimumDataRate::new(least, full, settings.pressure_from),
            window: settings.window.as_nanos(),
            grace: settings.grace.as_nanos(),
            room_grace: settings.room_grace.as_nanos(),
        }
    }

    /// An answer of so many bytes begins on a connection of which so many bytes were written and delivered so far.
    ///
    /// # Errors
    ///
    /// The limit that the answer would pass. Nothing is held then: make room and try again, or give a short answer
    /// in its place.
    pub fn begin_response(
        &mut self,
        now: u64,
        id: ConnectionId,
        holder: ResourceOwner,
        bytes: u64,
        moved: TransferProgress,
    ) -> Result<(), LimitExceeded> {
        // Its command has no answer until this one has begun: it must not be cut to make room for itself.
        self.request_started(id);
        self.unsent_bytes.acquire(holder, bytes)?;
        let Some(going) = self.transfers.get_mut(&id) else {
            self.insert(now, id, holder, bytes, moved);
            return Ok(());
        };
        // An earlier answer still waits: both are one transfer, which began with the first. What waits goes over to the
        // holder of the second, as far as its share allows.
        self.unsent_bytes.release(going.owner, going.unsent_bytes);
        let kept = self
            .unsent_bytes
            .acquire(holder, going.unsent_bytes)
            .map_or(0, |()| going.unsent_bytes);
        (going.owner, going.unsent_bytes, going.request_pending) = (holder, kept + bytes, false);
        Ok(())
    }

    fn insert(
        &mut self,
        now: u64,
        id: ConnectionId,
        holder: ResourceOwner,
        waiting: u64,
        moved: TransferProgress,
    ) {
        let TransferProgress {
            written_bytes: written,
            acknowledged_bytes: delivered,
            round_trip_ns: round_trip,
        } = moved;
        let (window, short) = (
            RateWindow::new(now, self.window),
            RateWindow::new(now, self.room_grace),
        );
        let (begun, owed, started, last) = (false, false, now, now);
        let going = OutgoingTransfer {
            owner: holder,
            unsent_bytes: waiting,
            acknowledged_bytes: delivered,
            written_before: written,
            max_round_trip_ns: round_trip,
            last_progress_ns: last,
            has_started: begun,
            request_pending: owed,
            started_ns: started,
            rate: window,
            short_rate: short,
        };
        self.transfers.insert(id, going);
    }

    /// A command was read on a connection: what goes out on it may not be cut until that one has its answer.
    pub fn request_started(&mut self, id: ConnectionId) {
        self.transfers
            .entry(id)
            .and_modify(|g| g.request_pending = true);
    }

    /// That command has its answer, one too short to be held.
    pub fn response_needs_no_monitoring(&mut self, id: ConnectionId) {
        self.transfers
            .entry(id)
            .and_modify(|g| g.request_pending = false);
    }

    /// So many bytes of a connection were written and delivered by now. Once an answer is delivered whole, nothing
    /// waits any more.
    pub fn record_progress(
        &mut self,
        now: u64,
        id: ConnectionId,
        TransferProgress {
            written_bytes: written,
            acknowledged_bytes: delivered,
            round_trip_ns: round_trip,
        }: TransferProgress,
    ) {
        let Some(going) = self.transfers.get_mut(&id) else {
            return;
        };
        going.has_started |= written > going.written_before;
        going.max_round_trip_ns = going.max_round_trip_ns.max(round_trip);
        let moved = delivered.saturating_sub(going.acknowledged_bytes);
        if moved > 0 {
            (going.acknowledged_bytes, going.last_progress_ns) = (delivered, now);
            going.rate.add(now, moved);
            going.short_rate.add(now, moved);
            let given = moved.min(going.unsent_bytes);
            going.unsent_bytes -= given;
            self.unsent_bytes.release(going.owner, given);
            if going.unsent_bytes == 0 {
                self.transfers.remove(&id);
            }
        }
    }

    /// The connection is closed, or its answer needs no further look.
    pub fn connection_closed(&mut self, id: ConnectionId) {
        if let Some(going) = self.transfers.remove(&id) {
            self.unsent_bytes.release(going.owner, going.unsent_bytes);
        }
    }

    /// Finds those that do not keep the least rate. `places` is the share of places for connections that is taken.
    pub fn abort_below_minimum_rate(&mut self, now: u64, places: f64) -> Vec<Abort> {
        self.floor
            .set_pressure(places.max(self.unsent_bytes.used_fraction()));
        let (least, grace) = (self.floor.current(), self.grace);
        let slow = |(id, going): (&ConnectionId, &mut OutgoingTransfer)| {
            let age = now.saturating_sub(going.started_ns);
            let rate = going.rate.rate(now, age);
            let why = if rate > 0.0 {
                AbortReason::BelowMinimumRate
            } else {
                AbortReason::Stalled
            };
            (age >= grace && going.may_abort() && rate < least).then_some((*id, why))
        };
        let slow: Vec<_> = self.transfers.iter_mut().filter_map(slow).collect();
        slow.into_iter()
            .filter_map(|(id, why)| self.cut(now, id, why))
            .collect()
    }

    /// Makes room by cutting whoever holds the most bytes for the longest, one after another, until there is enough;
    /// never one that keeps the least rate that holds where nothing is left, over as long as that takes to tell. None where that would not be enough:
    /// nobody goes in vain.
    pub fn abort_for_resources(&mut self, now: u64, need: ResourceNeed) -> Vec<Abort> {
        let (full, grace) = (self.floor.at_full_pressure(), self.room_grace);
        let concerns = |holder: ResourceOwner| match need {
            ResourceNeed::ConnectionSlot | ResourceNeed::Bytes(_, LimitExceeded::Total, _) => true,
            ResourceNeed::Bytes(of, LimitExceeded::Customer, _) => holder.customer == of.customer,
            ResourceNeed::Bytes(of, LimitExceeded::PeerNetwork, _) => {
                holder.peer_network == of.peer_network
            }
        };
        let offence = |(id, going): (&ConnectionId, &mut OutgoingTransfer)| {
            let age = now.saturating_sub(going.started_ns);
            // Slow over the shorter window; or wholly still, for longer than its distance can account for.
            let still = now.saturating_sub(going.last_progress_ns)
                >= STILL.max(2 * going.max_round_trip_ns);
            let unhealthy = still || age >= grace && going.short_rate.rate(now, age) < full;
            let may = unhealthy && going.may_abort() && concerns(going.owner);
            may.then(|| {
                (
                    u128::from(going.unsent_bytes) * u128::from(age),
                    *id,
                    going.unsent_bytes,
                )
            })
        };
        let mut worst: Vec<_> = self.transfers.iter_mut().filter_map(offence).collect();
        worst.sort_unstable_by(|a, b| b.cmp(a));
        let (mut chosen, mut room) = (Vec::new(), 0);
        let enough = match need {
            ResourceNeed::ConnectionSlot => 1,
            ResourceNeed::Bytes(of, full, bytes) => {
                bytes.saturating_sub(self.unsent_bytes.available(of, full))
            }
        };
        for (_, id, waiting) in worst {
            if room >= enough {
                break;
            }
            room += if need == ResourceNeed::ConnectionSlot {
                1
            } else {
                waiting
            };
            chosen.push(id);
        }
        if room < enough {
            return Vec::new();
        }
        chosen
            .into_iter()
            .filter_map(|id| self.cut(now, id, AbortReason::ResourcesNeeded))
            .collect()
    }

    fn cut(&mut self, now: u64, id: ConnectionId, why: AbortReason) -> Option<Abort> {
        let OutgoingTransfer {
            owner: holder,
            unsent_bytes: waiting,
            started_ns: started,
            ..
        } = self.transfers.remove(&id)?;
        self.unsent_bytes.release(holder, waiting);
        Some(Abort {
            id,
            owner: holder,
            reason: why,
            unsent_bytes: waiting,
            age_ns: now.saturating_sub(started),
        })
    }

    /// True while an answer waits on the connection.
    pub fn is_sending(&self, id: ConnectionId) -> bool {
        self.transfers.contains_key(&id)
    }

    /// The connections on which answers wait.
    pub fn connection_ids(&self) -> Vec<ConnectionId> {
        self.transfers.keys().copied().collect()
    }

    /// The account of what waits.
    pub fn unsent_bytes(&mut self) -> &mut ResourceAccount {
        &mut self.unsent_bytes
    }

    /// The least rate in force, in bytes a second.
    pub fn minimum_rate(&self) -> f64 {
        self.floor.current()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use applewall_operator_config::{DurationSetting, EnabledFlag, Size};

    const MS: u64 = 1_000_000;
    const SECOND: u64 = 1_000 * MS;

    fn settings() -> Settings {
        Settings {
            window: DurationSetting::from_millis(1_000),
            waiting: Some(Size(1 << 20)),
            ..Settings::default()
        }
    }

    fn outgoing() -> OutgoingTransfers {
        OutgoingTransfers::new(&settings(), &BulkheadSettings::default(), 0)
    }

    fn moved(written: u64, delivered: u64) -> TransferProgress {
        TransferProgress {
            written_bytes: written,
            acknowledged_bytes: delivered,
            round_trip_ns: 0,
        }
    }

    fn holder(customer: u64) -> ResourceOwner {
        ResourceOwner {
            customer: Some(customer),
            peer_network: None,
        }
    }

    #[test]
    fn just_above_the_least_rate_is_never_cut_in_an_hour_and_just_below_is() {
        for (step, kept) in [(104, true), (98, false)] {
            let settings = Settings {
                waiting: Some(Size(16 << 20)),
                ..settings()
            };
            let mut out = OutgoingTransfers::new(&settings, &BulkheadSettings::default(), 0);
            out.begin_response(0, 1, holder(1), 4 << 20, TransferProgress::default())
                .unwrap();
            // A step each 100 ms: 1,040 or 980 bytes a second, where the least is 1,024.
            let cut = (1..=36_000).find(|i| {
                out.record_progress(i * 100 * MS, 1, moved(4 << 20, i * step));
                out.abort_below_minimum_rate(i * 100 * MS, 0.0)
                    .first()
                    .is_some_and(|cut| cut.reason == AbortReason::BelowMinimumRate)
            });
            assert_eq!((cut.is_none(), out.is_sending(1)), (kept, kept), "{step}");
        }
    }

    #[test]
    fn one_that_stops_is_cut_and_one_whose_answer_was_not_begun_or_that_sent_ahead_is_not() {
        let mut out = outgoing();
        for id in 1..=3 {
            out.begin_response(0, id, holder(id), 50_000, TransferProgress::default())
                .unwrap();
        }
        for id in 2..=3 {
            out.record_progress(MS, id, moved(20_000, 4_000));
        }
        out.request_started(3);
        let cut = out.abort_below_minimum_rate(5 * SECOND, 0.0);
        assert_eq!(
            cut.iter()
                .map(|c| (c.id, c.reason, c.unsent_bytes))
                .collect::<Vec<_>>(),
            [(2, AbortReason::Stalled, 46_000)]
        );
        assert_eq!(out.connection_ids(), [1, 3]);
        // Its next answer begun, the one that sent ahead is like any other, and pays for both.
        out.begin_response(5 * SECOND, 3, holder(3), 1_000, moved(20_000, 4_000))
            .unwrap();
        out.record_progress(5 * SECOND + MS, 3, moved(20_001, 4_000));
        assert_eq!(
            out.abort_below_minimum_rate(6 * SECOND, 0.0)
                .first()
                .map(|c| (c.id, c.unsent_bytes)),
            Some((3, 47_000))
        );
        out.connection_closed(1);
        assert!(out.unsent_bytes().is_empty());
    }

    #[test]
    fn one_that_stops_reading_does_not_keep_its_place_by_sending_ahead() {
        for served in [true, false] {
            let mut out = outgoing();
            out.begin_response(0, 1, holder(1), 50_000, TransferProgress::default())
                .unwrap();
            out.record_progress(MS, 1, moved(20_000, 4_000));
            out.request_started(1);
            assert!(out.abort_below_minimum_rate(5 * SECOND, 0.0).is_empty());
            // Its second command has its answer, of which not a byte can be written.
            match served {
                true => out
                    .begin_response(5 * SECOND, 1, holder(1), 1_000, moved(20_000, 4_000))
                    .unwrap(),
                false => out.response_needs_no_monitoring(1),
            }
            assert_eq!(
                out.abort_below_minimum_rate(5 * SECOND + MS, 0.0).len(),
                1,
                "{served}"
            );
            assert!(out.unsent_bytes().is_empty());
        }
    }

    #[test]
    fn room_is_made_by_the_worst_offender_and_never_by_a_healthy_one() {
        let mut out = outgoing();
        // 1 is healthy and holds most; 2 and 3 stand still, 3 for longer.
        for (at, id, bytes) in [
            (0, 3, 300_000),
            (SECOND / 2, 2, 300_000),
            (SECOND / 2, 1, 400_000),
        ] {
            out.begin_response(at, id, holder(id), bytes, TransferProgress::default())
                .unwrap();
            out.record_progress(at, id, moved(1, 1));
        }
        out.record_progress(SECOND, 1, moved(100_000, 100_000));
        let full = out
            .begin_response(SECOND, 4, holder(4), 200_000, TransferProgress::default())
            .unwrap_err();
        let cut = out.abort_for_resources(SECOND, ResourceNeed::Bytes(holder(4), full, 200_000));
        assert_eq!(
            cut.iter().map(|c| (c.id, c.reason)).collect::<Vec<_>>(),
            [(3, AbortReason::ResourcesNeeded)]
        );
        out.begin_response(SECOND, 4, holder(4), 200_000, TransferProgress::default())
            .unwrap();
        assert_eq!(
            out.abort_for_resources(SECOND, ResourceNeed::ConnectionSlot)
                .iter()
                .map(|c| c.id)
                .collect::<Vec<_>>(),
            [2]
        );
        // Nobody goes in vain: what is left keeps its rate, or is too young to be judged.
        assert!(out
            .abort_for_resources(SECOND, ResourceNeed::ConnectionSlot)
            .is_empty());
    }

    #[test]
    fn one_that_is_far_away_is_not_taken_for_one_that_stands_still() {
        for (round_trip, cut) in [(1, 1), (90 * MS, 0)] {
            let mut out = outgoing();
            out.begin_response(0, 1, holder(1), 60_000, TransferProgress::default())
                .unwrap();
            out.record_progress(
                1,
                1,
                TransferProgress {
                    written_bytes: 60_000,
                    acknowledged_bytes: 4_000,
                    round_trip_ns: round_trip,
                },
            );
            assert_eq!(
                out.abort_for_resources(100 * MS, ResourceNeed::ConnectionSlot)
                    .len(),
                cut
            );
        }
    }

    #[test]
    fn one_customer_cannot_take_the_room_of_others() {
        let shares = BulkheadSettings {
            enabled: EnabledFlag(true),
            ..BulkheadSettings::default()
        };
        let mut out = OutgoingTransfers::new(&settings(), &shares, 0);
        for id in 1..=4 {
            out.begin_response(0, id, holder(7), 65_536, TransferProgress::default())
                .unwrap();
        }
        assert_eq!(
            out.begin_response(0, 5, holder(7), 65_536, TransferProgress::default()),
            Err(LimitExceeded::Customer)
        );
        assert_eq!(
            out.begin_response(0, 5, holder(8), 65_536, TransferProgress::default()),
            Ok(())
        );
        (1..=5).for_each(|id| out.connection_closed(id));
        assert!(out.unsent_bytes().is_empty());
    }

    #[test]
    fn the_least_rate_rises_with_pressure() {
        let mut out = outgoing();
        out.begin_response(0, 1, holder(1), 100_000, TransferProgress::default())
            .unwrap();
        out.record_progress(MS, 1, moved(50_000, 2_000));
        // 4,000 bytes a second by then: fine while there is room, not where places are all taken.
        assert!(out.abort_below_minimum_rate(SECOND / 2, 0.4).is_empty());
        assert_eq!(out.abort_below_minimum_rate(SECOND / 2, 1.0).len(), 1);
    }
}
