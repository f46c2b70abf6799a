//! What came of it: counts for the figures, and a table of who was behind them.

#![cfg_attr(
    test,
    expect(
        clippy::min_ident_chars,
        reason = "short names are spelled out as the module is reworked"
    )
)]

use std::collections::HashMap;

use crate::account::{LimitExceeded, ResourceOwner};
use crate::outgoing::AbortReason;

/// Rows that are kept; beyond that, the row with the least events makes way for a newcomer.
const ROWS: usize = 64;

/// One kind of event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum SlowPeerEvent {
    /// An answer going out was cut.
    ResponseAborted(AbortReason),
    /// An answer was replaced by a short one: there was no room for it.
    ResponseReplaced(LimitExceeded),
    /// An answer of an instance was given up: it stalled.
    UpstreamResponseStalled,
    /// An answer of an instance was given up: it trickled.
    UpstreamResponseTooSlow,
    /// A body of a command was given up.
    RequestBodyTooSlow,
    /// A command was refused: its customer held its share of places.
    CustomerSlotsExhausted,
    /// A connection was refused: its set of addresses held its share of places.
    PeerNetworkSlotsExhausted,
}

/// Counts since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventCounts {
    /// Answers going out that were cut for their rate.
    pub cut_slow: u64,
    /// The same, where nothing moved.
    pub cut_stopped: u64,
    /// The same, to make room.
    pub cut_room: u64,
    /// Answers replaced by a short one.
    pub no_room: u64,
    /// Answers of instances given up for a stall.
    pub in_stalled: u64,
    /// The same, for a trickle.
    pub in_hopeless: u64,
    /// Bodies given up.
    pub uploads: u64,
    /// Refused for a customer's share of places.
    pub customer_places: u64,
    /// Refused for a set of addresses' share of places.
    pub peer_places: u64,
}

/// Who was behind events.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerStatistics {
    /// The customer or set of addresses; for answers coming in, neither: what an instance does is not told here.
    pub holder: ResourceOwner,
    /// How many events.
    pub events: u64,
    /// The reason of the last one.
    pub last: SlowPeerEvent,
    /// The most bytes that waited on one connection when it was cut.
    pub waiting: u64,
    /// The longest that one had waited, in nanoseconds.
    pub age: u64,
}

/// Counts and table. Bounded: a stranger with ever new names makes it no larger.
#[derive(Debug, Default)]
pub struct SlowPeerStatistics {
    counts: EventCounts,
    rows: HashMap<ResourceOwner, OwnerStatistics>,
}

impl SlowPeerStatistics {
    /// Something happened, on somebody's behalf; bytes and nanoseconds where they say something.
    pub fn note(&mut self, holder: ResourceOwner, reason: SlowPeerEvent, waiting: u64, age: u64) {
        let counts = &mut self.counts;
        *match reason {
            SlowPeerEvent::ResponseAborted(AbortReason::BelowMinimumRate) => &mut counts.cut_slow,
            SlowPeerEvent::ResponseAborted(AbortReason::Stalled) => &mut counts.cut_stopped,
            SlowPeerEvent::ResponseAborted(AbortReason::ResourcesNeeded) => &mut counts.cut_room,
            SlowPeerEvent::ResponseReplaced(_) => &mut counts.no_room,
            SlowPeerEvent::UpstreamResponseStalled => &mut counts.in_stalled,
            SlowPeerEvent::UpstreamResponseTooSlow => &mut counts.in_hopeless,
            SlowPeerEvent::RequestBodyTooSlow => &mut counts.uploads,
            SlowPeerEvent::CustomerSlotsExhausted => &mut counts.customer_places,
            SlowPeerEvent::PeerNetworkSlotsExhausted => &mut counts.peer_places,
        } += 1;
        if holder
            == (ResourceOwner {
                customer: None,
                peer: None,
            })
        {
            return;
        }
        if !self.rows.contains_key(&holder) && self.rows.len() >= ROWS {
            let least = self
                .rows
                .values()
                .min_by_key(|row| row.events)
                .map(|row| row.holder);
            if let Some(least) = least {
                self.rows.remove(&least);
            }
        }
        let row = self.rows.entry(holder);
        let row = row.or_insert(OwnerStatistics {
            holder,
            events: 0,
            last: reason,
            waiting: 0,
            age: 0,
        });
        (row.events, row.last) = (row.events + 1, reason);
        (row.waiting, row.age) = (row.waiting.max(waiting), row.age.max(age));
    }

    /// The counts since the last call, and the rows with the most events, at most so many.
    pub fn take(&mut self, most: usize) -> (EventCounts, Vec<OwnerStatistics>) {
        let mut rows: Vec<OwnerStatistics> = self.rows.drain().map(|(_, row)| row).collect();
        rows.sort_by_key(|row| std::cmp::Reverse((row.events, row.waiting)));
        rows.truncate(most);
        (std::mem::take(&mut self.counts), rows)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_table_names_the_worst_and_stays_small() {
        let mut tally = SlowPeerStatistics::default();
        let holder = |c| ResourceOwner {
            customer: Some(c),
            peer: None,
        };
        (0..3).for_each(|i| {
            tally.note(
                holder(7),
                SlowPeerEvent::ResponseAborted(AbortReason::BelowMinimumRate),
                100 * i,
                5,
            )
        });
        (0..1_000).for_each(|c| {
            tally.note(
                holder(1_000 + c),
                SlowPeerEvent::CustomerSlotsExhausted,
                0,
                0,
            )
        });
        assert!(tally.rows.len() <= ROWS);
        let (counts, rows) = tally.take(2);
        assert_eq!(
            (counts.cut_slow, counts.customer_places, rows.len()),
            (3, 1_000, 2)
        );
        assert_eq!(
            (rows[0].holder, rows[0].events, rows[0].waiting),
            (holder(7), 3, 200)
        );
        assert_eq!(tally.take(2), (EventCounts::default(), Vec::new()));
    }
}
