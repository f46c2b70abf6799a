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

use crate::account::{Account, Full, Holder};
use crate::floor::Floor;
use crate::rate::Window;
use crate::settings::{BulkheadSettings, Settings};

/// A transfer of which nothing moved for this long, in nanoseconds, and for two round trips, stands still.
const STILL: u64 = 50_000_000;

/// Names a connection for as long as it lives.
pub type Id = u64;

/// Why a connection is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Why {
    /// Its answer moved more slowly than the least rate in force.
    Slow,
    /// Nothing of its answer moved within the window.
    Stopped,
    /// Room was needed, and it held the most bytes for the longest.
    Room,
}

/// A connection that has to go; it is forgotten here already.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cut {
    /// The connection.
    pub id: Id,
    /// On whose behalf it held what it held.
    pub holder: Holder,
    /// Why.
    pub why: Why,
    /// Bytes that were still waiting.
    pub waiting: u64,
    /// For how long its answer had been on its way, in nanoseconds.
    pub age: u64,
}

/// What room is needed for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Need {
    /// One place for a connection.
    Place,
    /// So many bytes, on this holder's behalf, under the limit that would be passed.
    Bytes(Holder, Full, u64),
}

/// What is known of a connection's bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moved {
    /// Written so far.
    pub written: u64,
    /// Acknowledged by the other end so far.
    pub delivered: u64,
    /// The round trip to the other end, in nanoseconds; 0 where it is not known.
    pub round_trip: u64,
}

struct Going {
    holder: Holder,
    /// Bytes that wait, as the account has them.
    waiting: u64,
    /// Of the connection's bytes, how many were delivered by the last look.
    delivered: u64,
    /// Bytes of the connection that were written when the answer began.
    written: u64,
    round_trip: u64,
    /// When something was delivered last.
    last: u64,
    begun: bool,
    /// A newer command was read: there is one that has no answer.
    owed: bool,
    started: u64,
    window: Window,
    /// The same over the shorter time that counts where room has to be made.
    short: Window,
}

impl Going {
    fn may_cut(&self) -> bool {
        self.begun && !self.owed
    }
}

/// All answers that go out, and the account of what waits.
pub struct Outgoing {
    going: BTreeMap<Id, Going>,
    account: Account,
    floor: Floor,
    window: u64,
    grace: u64,
    room_grace: u64,
}

impl Outgoing {
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
        Outgoing {
            going: BTreeMap::new(),
            account: Account::new(limit, customer, peer),
            floor: Floor::new(least, full, settings.pressure_from),
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
    pub fn begin(
        &mut self,
        now: u64,
        id: Id,
        holder: Holder,
        bytes: u64,
        moved: Moved,
    ) -> Result<(), Full> {
        // Its command has no answer until this one has begun: it must not be cut to make room for itself.
        self.command(id);
        self.account.take(holder, bytes)?;
        let Some(going) = self.going.get_mut(&id) else {
            self.insert(now, id, holder, bytes, moved);
            return Ok(());
        };
        // An earlier answer still waits: both are one transfer, which began with the first. What waits goes over to the
        // holder of the second, as far as its share allows.
        self.account.give(going.holder, going.waiting);
        let kept = self
            .account
            .take(holder, going.waiting)
            .map_or(0, |()| going.waiting);
        (going.holder, going.waiting, going.owed) = (holder, kept + bytes, false);
        Ok(())
    }

    fn insert(&mut self, now: u64, id: Id, holder: Holder, waiting: u64, moved: Moved) {
        let Moved {
            written,
            delivered,
            round_trip,
        } = moved;
        let (window, short) = (
            Window::new(now, self.window),
            Window::new(now, self.room_grace),
        );
        let (begun, owed, started, last) = (false, false, now, now);
        let going = Going {
            holder,
            waiting,
            delivered,
            written,
            round_trip,
            last,
            begun,
            owed,
            started,
            window,
            short,
        };
        self.going.insert(id, going);
    }

    /// A command was read on a connection: what goes out on it may not be cut until that one has its answer.
    pub fn command(&mut self, id: Id) {
        self.going.entry(id).and_modify(|g| g.owed = true);
    }

    /// That command has its answer, one too short to be held.
    pub fn answered(&mut self, id: Id) {
        self.going.entry(id).and_modify(|g| g.owed = false);
    }

    /// So many bytes of a connection were written and delivered by now. Once an answer is delivered whole, nothing
    /// waits any more.
    pub fn progress(
        &mut self,
        now: u64,
        id: Id,
        Moved {
            written,
            delivered,
            round_trip,
        }: Moved,
    ) {
        let Some(going) = self.going.get_mut(&id) else {
            return;
        };
        going.begun |= written > going.written;
        going.round_trip = going.round_trip.max(round_trip);
        let moved = delivered.saturating_sub(going.delivered);
        if moved > 0 {
            (going.delivered, going.last) = (delivered, now);
            going.window.add(now, moved);
            going.short.add(now, moved);
            let given = moved.min(going.waiting);
            going.waiting -= given;
            self.account.give(going.holder, given);
            if going.waiting == 0 {
                self.going.remove(&id);
            }
        }
    }

    /// The connection is closed, or its answer needs no further look.
    pub fn end(&mut self, id: Id) {
        if let Some(going) = self.going.remove(&id) {
            self.account.give(going.holder, going.waiting);
        }
    }

    /// Finds those that do not keep the least rate. `places` is the share of places for connections that is taken.
    pub fn judge(&mut self, now: u64, places: f64) -> Vec<Cut> {
        self.floor.press(places.max(self.account.share()));
        let (least, grace) = (self.floor.rate(), self.grace);
        let slow = |(id, going): (&Id, &mut Going)| {
            let age = now.saturating_sub(going.started);
            let rate = going.window.rate(now, age);
            let why = if rate > 0.0 { Why::Slow } else { Why::Stopped };
            (age >= grace && going.may_cut() && rate < least).then_some((*id, why))
        };
        let slow: Vec<_> = self.going.iter_mut().filter_map(slow).collect();
        slow.into_iter()
            .filter_map(|(id, why)| self.cut(now, id, why))
            .collect()
    }

    /// Makes room by cutting whoever holds the most bytes for the longest, one after another, until there is enough;
    /// never one that keeps the least rate that holds where nothing is left, over as long as that takes to tell. None where that would not be enough:
    /// nobody goes in vain.
    pub fn make_room(&mut self, now: u64, need: Need) -> Vec<Cut> {
        let (full, grace) = (self.floor.full(), self.room_grace);
        let concerns = |holder: Holder| match need {
            Need::Place | Need::Bytes(_, Full::Total, _) => true,
            Need::Bytes(of, Full::Customer, _) => holder.customer == of.customer,
            Need::Bytes(of, Full::Peer, _) => holder.peer == of.peer,
        };
        let offence = |(id, going): (&Id, &mut Going)| {
            let age = now.saturating_sub(going.started);
            // Slow over the shorter window; or wholly still, for longer than its distance can account for.
            let still = now.saturating_sub(going.last) >= STILL.max(2 * going.round_trip);
            let unhealthy = still || age >= grace && going.short.rate(now, age) < full;
            let may = unhealthy && going.may_cut() && concerns(going.holder);
            may.then(|| {
                (
                    u128::from(going.waiting) * u128::from(age),
                    *id,
                    going.waiting,
                )
            })
        };
        let mut worst: Vec<_> = self.going.iter_mut().filter_map(offence).collect();
        worst.sort_unstable_by(|a, b| b.cmp(a));
        let (mut chosen, mut room) = (Vec::new(), 0);
        let enough = match need {
            Need::Place => 1,
            Need::Bytes(of, full, bytes) => bytes.saturating_sub(self.account.room(of, full)),
        };
        for (_, id, waiting) in worst {
            if room >= enough {
                break;
            }
            room += if need == Need::Place { 1 } else { waiting };
            chosen.push(id);
        }
        if room < enough {
            return Vec::new();
        }
        chosen
            .into_iter()
            .filter_map(|id| self.cut(now, id, Why::Room))
            .collect()
    }

    fn cut(&mut self, now: u64, id: Id, why: Why) -> Option<Cut> {
        let Going {
            holder,
            waiting,
            started,
            ..
        } = self.going.remove(&id)?;
        self.account.give(holder, waiting);
        Some(Cut {
            id,
            holder,
            why,
            waiting,
            age: now.saturating_sub(started),
        })
    }

    /// True while an answer waits on the connection.
    pub fn is_going(&self, id: Id) -> bool {
        self.going.contains_key(&id)
    }

    /// The connections on which answers wait.
    pub fn ids(&self) -> Vec<Id> {
        self.going.keys().copied().collect()
    }

    /// The account of what waits.
    pub fn account(&mut self) -> &mut Account {
        &mut self.account
    }

    /// The least rate in force, in bytes a second.
    pub fn least(&self) -> f64 {
        self.floor.rate()
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

    fn outgoing() -> Outgoing {
        Outgoing::new(&settings(), &BulkheadSettings::default(), 0)
    }

    fn moved(written: u64, delivered: u64) -> Moved {
        Moved {
            written,
            delivered,
            round_trip: 0,
        }
    }

    fn holder(customer: u64) -> Holder {
        Holder {
            customer: Some(customer),
            peer: None,
        }
    }

    #[test]
    fn just_above_the_least_rate_is_never_cut_in_an_hour_and_just_below_is() {
        for (step, kept) in [(104, true), (98, false)] {
            let settings = Settings {
                waiting: Some(Size(16 << 20)),
                ..settings()
            };
            let mut out = Outgoing::new(&settings, &BulkheadSettings::default(), 0);
            out.begin(0, 1, holder(1), 4 << 20, Moved::default())
                .unwrap();
            // A step each 100 ms: 1,040 or 980 bytes a second, where the least is 1,024.
            let cut = (1..=36_000).find(|i| {
                out.progress(i * 100 * MS, 1, moved(4 << 20, i * step));
                out.judge(i * 100 * MS, 0.0)
                    .first()
                    .is_some_and(|cut| cut.why == Why::Slow)
            });
            assert_eq!((cut.is_none(), out.is_going(1)), (kept, kept), "{step}");
        }
    }

    #[test]
    fn one_that_stops_is_cut_and_one_whose_answer_was_not_begun_or_that_sent_ahead_is_not() {
        let mut out = outgoing();
        for id in 1..=3 {
            out.begin(0, id, holder(id), 50_000, Moved::default())
                .unwrap();
        }
        for id in 2..=3 {
            out.progress(MS, id, moved(20_000, 4_000));
        }
        out.command(3);
        let cut = out.judge(5 * SECOND, 0.0);
        assert_eq!(
            cut.iter()
                .map(|c| (c.id, c.why, c.waiting))
                .collect::<Vec<_>>(),
            [(2, Why::Stopped, 46_000)]
        );
        assert_eq!(out.ids(), [1, 3]);
        // Its next answer begun, the one that sent ahead is like any other, and pays for both.
        out.begin(5 * SECOND, 3, holder(3), 1_000, moved(20_000, 4_000))
            .unwrap();
        out.progress(5 * SECOND + MS, 3, moved(20_001, 4_000));
        assert_eq!(
            out.judge(6 * SECOND, 0.0)
                .first()
                .map(|c| (c.id, c.waiting)),
            Some((3, 47_000))
        );
        out.end(1);
        assert!(out.account().is_empty());
    }

    #[test]
    fn one_that_stops_reading_does_not_keep_its_place_by_sending_ahead() {
        for served in [true, false] {
            let mut out = outgoing();
            out.begin(0, 1, holder(1), 50_000, Moved::default())
                .unwrap();
            out.progress(MS, 1, moved(20_000, 4_000));
            out.command(1);
            assert!(out.judge(5 * SECOND, 0.0).is_empty());
            // Its second command has its answer, of which not a byte can be written.
            match served {
                true => out
                    .begin(5 * SECOND, 1, holder(1), 1_000, moved(20_000, 4_000))
                    .unwrap(),
                false => out.answered(1),
            }
            assert_eq!(out.judge(5 * SECOND + MS, 0.0).len(), 1, "{served}");
            assert!(out.account().is_empty());
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
            out.begin(at, id, holder(id), bytes, Moved::default())
                .unwrap();
            out.progress(at, id, moved(1, 1));
        }
        out.progress(SECOND, 1, moved(100_000, 100_000));
        let full = out
            .begin(SECOND, 4, holder(4), 200_000, Moved::default())
            .unwrap_err();
        let cut = out.make_room(SECOND, Need::Bytes(holder(4), full, 200_000));
        assert_eq!(
            cut.iter().map(|c| (c.id, c.why)).collect::<Vec<_>>(),
            [(3, Why::Room)]
        );
        out.begin(SECOND, 4, holder(4), 200_000, Moved::default())
            .unwrap();
        assert_eq!(
            out.make_room(SECOND, Need::Place)
                .iter()
                .map(|c| c.id)
                .collect::<Vec<_>>(),
            [2]
        );
        // Nobody goes in vain: what is left keeps its rate, or is too young to be judged.
        assert!(out.make_room(SECOND, Need::Place).is_empty());
    }

    #[test]
    fn one_that_is_far_away_is_not_taken_for_one_that_stands_still() {
        for (round_trip, cut) in [(1, 1), (90 * MS, 0)] {
            let mut out = outgoing();
            out.begin(0, 1, holder(1), 60_000, Moved::default())
                .unwrap();
            out.progress(
                1,
                1,
                Moved {
                    written: 60_000,
                    delivered: 4_000,
                    round_trip,
                },
            );
            assert_eq!(out.make_room(100 * MS, Need::Place).len(), cut);
        }
    }

    #[test]
    fn one_customer_cannot_take_the_room_of_others() {
        let shares = BulkheadSettings {
            enabled: EnabledFlag(true),
            ..BulkheadSettings::default()
        };
        let mut out = Outgoing::new(&settings(), &shares, 0);
        for id in 1..=4 {
            out.begin(0, id, holder(7), 65_536, Moved::default())
                .unwrap();
        }
        assert_eq!(
            out.begin(0, 5, holder(7), 65_536, Moved::default()),
            Err(Full::Customer)
        );
        assert_eq!(out.begin(0, 5, holder(8), 65_536, Moved::default()), Ok(()));
        (1..=5).for_each(|id| out.end(id));
        assert!(out.account().is_empty());
    }

    #[test]
    fn the_least_rate_rises_with_pressure() {
        let mut out = outgoing();
        out.begin(0, 1, holder(1), 100_000, Moved::default())
            .unwrap();
        out.progress(MS, 1, moved(50_000, 2_000));
        // 4,000 bytes a second by then: fine while there is room, not where places are all taken.
        assert!(out.judge(SECOND / 2, 0.4).is_empty());
        assert_eq!(out.judge(SECOND / 2, 1.0).len(), 1);
    }
}
