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
    pub aborted_below_minimum_rate: u64,
    /// The same, where nothing moved.
    pub aborted_stalled: u64,
    /// The same, to make room.
    pub aborted_for_resources: u64,
    /// Answers replaced by a short one.
    pub responses_replaced: u64,
    /// Answers of instances given up for a stall.
    pub upstream_responses_stalled: u64,
    /// The same, for a trickle.
    pub upstream_responses_too_slow: u64,
    /// Bodies given up.
    pub request_bodies_too_slow: u64,
    /// Refused for a customer's share of places.
    pub customer_slots_exhausted: u64,
    /// Refused for a set of addresses' share of places.
    pub peer_network_slots_exhausted: u64,
}

/// Who was behind events.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerStatistics {
    /// The customer or set of addresses; for answers coming in, neither: what an instance does is not told here.
    pub owner: ResourceOwner,
    /// How many events.
    pub events: u64,
    /// The reason of the last one.
    pub last_event: SlowPeerEvent,
    /// The most bytes that waited on one connection when it was cut.
    pub max_unsent_bytes: u64,
    /// The longest that one had waited, in nanoseconds.
    pub max_age_ns: u64,
}

/// Counts and table. Bounded: a stranger with ever new names makes it no larger.
#[derive(Debug, Default)]
pub struct SlowPeerStatistics {
    counts: EventCounts,
    by_owner: HashMap<ResourceOwner, OwnerStatistics>,
}

impl SlowPeerStatistics {
    /// Something happened, on somebody's behalf; bytes and nanoseconds where they say something.
    pub fn record(&mut self, holder: ResourceOwner, reason: SlowPeerEvent, waiting: u64, age: u64) {
        let counts = &mut self.counts;
        *match reason {
            SlowPeerEvent::ResponseAborted(AbortReason::BelowMinimumRate) => {
                &mut counts.aborted_below_minimum_rate
            }
            SlowPeerEvent::ResponseAborted(AbortReason::Stalled) => &mut counts.aborted_stalled,
            SlowPeerEvent::ResponseAborted(AbortReason::ResourcesNeeded) => {
                &mut counts.aborted_for_resources
            }
            SlowPeerEvent::ResponseReplaced(_) => &mut counts.responses_replaced,
            SlowPeerEvent::UpstreamResponseStalled => &mut counts.upstream_responses_stalled,
            SlowPeerEvent::UpstreamResponseTooSlow => &mut counts.upstream_responses_too_slow,
            SlowPeerEvent::RequestBodyTooSlow => &mut counts.request_bodies_too_slow,
            SlowPeerEvent::CustomerSlotsExhausted => &mut counts.customer_slots_exhausted,
            SlowPeerEvent::PeerNetworkSlotsExhausted => &mut counts.peer_network_slots_exhausted,
        } += 1;
        if holder
            == (ResourceOwner {
                customer: None,
                peer_network: None,
            })
        {
            return;
        }
        if !self.by_owner.contains_key(&holder) && self.by_owner.len() >= ROWS {
            let least = self
                .by_owner
                .values()
                .min_by_key(|row| row.events)
                .map(|row| row.owner);
            if let Some(least) = least {
                self.by_owner.remove(&least);
            }
        }
        let row = self.by_owner.entry(holder);
        let row = row.or_insert(OwnerStatistics {
            owner: holder,
            events: 0,
            last_event: reason,
            max_unsent_bytes: 0,
            max_age_ns: 0,
        });
        (row.events, row.last_event) = (row.events + 1, reason);
        (row.max_unsent_bytes, row.max_age_ns) =
            (row.max_unsent_bytes.max(waiting), row.max_age_ns.max(age));
    }

    /// The counts since the last call, and the rows with the most events, at most so many.
    pub fn take(&mut self, most: usize) -> (EventCounts, Vec<OwnerStatistics>) {
        let mut rows: Vec<OwnerStatistics> = self.by_owner.drain().map(|(_, row)| row).collect();
        rows.sort_by_key(|row| std::cmp::Reverse((row.events, row.max_unsent_bytes)));
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
            peer_network: None,
        };
        (0..3).for_each(|i| {
            tally.record(
                holder(7),
                SlowPeerEvent::ResponseAborted(AbortReason::BelowMinimumRate),
                100 * i,
                5,
            );
        });
        (0..1_000).for_each(|c| {
            tally.record(
                holder(1_000 + c),
                SlowPeerEvent::CustomerSlotsExhausted,
                0,
                0,
            );
        });
        assert!(tally.by_owner.len() <= ROWS);
        let (counts, rows) = tally.take(2);
        assert_eq!(
            (
                counts.aborted_below_minimum_rate,
                counts.customer_slots_exhausted,
                rows.len()
            ),
            (3, 1_000, 2)
        );
        assert_eq!(
            (rows[0].owner, rows[0].events, rows[0].max_unsent_bytes),
            (holder(7), 3, 200)
        );
        assert_eq!(tally.take(2), (EventCounts::default(), Vec::new()));
    }
}
