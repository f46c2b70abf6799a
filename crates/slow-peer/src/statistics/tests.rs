//! The table of owners is bounded and names the worst.

use super::*;

#[test]
fn table_names_the_worst_owners_and_stays_bounded() {
    let mut statistics = SlowPeerStatistics::default();
    let owner = ResourceOwner::customer;
    for index in 0..3 {
        statistics.record(
            owner(7),
            SlowPeerEvent::ResponseAborted(AbortReason::BelowMinimumRate),
            100 * index,
            5,
        );
    }
    for customer in 0..1_000 {
        statistics.record(
            owner(1_000 + customer),
            SlowPeerEvent::CustomerSlotsExhausted,
            0,
            0,
        );
    }
    assert!(statistics.by_owner.len() <= MAX_OWNERS);
    let (counts, rows) = statistics.take(2);
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
        (owner(7), 3, 200)
    );
    assert_eq!(statistics.take(2), (EventCounts::default(), Vec::new()));
}
