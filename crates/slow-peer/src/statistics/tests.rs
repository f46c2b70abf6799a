//! Tests that the table of owners is bounded and keeps the owners with the most events.

use super::*;

#[test]
fn table_keeps_owners_with_most_events_and_stays_bounded() {
    let mut statistics = SlowPeerStatistics::default();
    let owner = ResourceOwner::customer;
    for index in 0..3 {
        let event = SlowPeerEvent::ResponseAborted(AbortReason::BelowMinimumRate);
        let response = ResponseStatus {
            unsent_bytes: 100 * index,
            age_ns: 5,
        };
        statistics.record_response(owner(7), event, response);
    }
    for customer in 0..1_000 {
        let event = SlowPeerEvent::CustomerSlotsExhausted;
        statistics.record(owner(1_000 + customer), event);
    }
    assert!(statistics.by_owner.len() <= MAX_OWNERS);
    let EventSummary { counts, owners } = statistics.take(2);
    assert_eq!(
        (
            counts.aborted_below_minimum_rate,
            counts.customer_slots_exhausted,
            owners.len()
        ),
        (3, 1_000, 2)
    );
    assert_eq!(
        (
            owners[0].owner,
            owners[0].events,
            owners[0].max_unsent_bytes
        ),
        (owner(7), 3, 200)
    );
    assert_eq!(statistics.take(2), EventSummary::default());
}
