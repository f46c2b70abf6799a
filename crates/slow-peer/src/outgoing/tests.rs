//! Which connections are aborted, when, and in which order.

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

fn new_outgoing() -> OutgoingTransfers {
    OutgoingTransfers::new(&settings(), &BulkheadSettings::default(), 0)
}

fn progress(written_bytes: u64, acknowledged_bytes: u64) -> TransferProgress {
    TransferProgress {
        written_bytes,
        acknowledged_bytes,
        round_trip_ns: 0,
    }
}

fn owner(customer: u64) -> ResourceOwner {
    ResourceOwner::customer(customer)
}

#[test]
fn transfer_just_above_the_minimum_rate_is_never_aborted_in_an_hour_and_one_just_below_is() {
    for (step, survives) in [(104, true), (98, false)] {
        let settings = Settings {
            waiting: Some(Size(16 << 20)),
            ..settings()
        };
        let mut outgoing = OutgoingTransfers::new(&settings, &BulkheadSettings::default(), 0);
        outgoing
            .begin_response(0, 1, owner(1), 4 << 20, TransferProgress::default())
            .unwrap();
        // A step each 100 ms: 1,040 or 980 bytes a second, where the minimum is 1,024.
        let aborted = (1..=36_000).find(|index| {
            outgoing.record_progress(index * 100 * MS, 1, progress(4 << 20, index * step));
            outgoing
                .abort_below_minimum_rate(index * 100 * MS, 0.0)
                .first()
                .is_some_and(|abort| abort.reason == AbortReason::BelowMinimumRate)
        });
        assert_eq!(
            (aborted.is_none(), outgoing.is_sending(1)),
            (survives, survives),
            "{step}"
        );
    }
}

#[test]
fn stopped_transfer_is_aborted_unless_its_response_is_not_begun_or_a_pipelined_request_is_pending()
{
    let mut outgoing = new_outgoing();
    for id in 1..=3 {
        outgoing
            .begin_response(0, id, owner(id), 50_000, TransferProgress::default())
            .unwrap();
    }
    for id in 2..=3 {
        outgoing.record_progress(MS, id, progress(20_000, 4_000));
    }
    outgoing.request_started(3);
    let aborts = outgoing.abort_below_minimum_rate(5 * SECOND, 0.0);
    assert_eq!(
        aborts
            .iter()
            .map(|abort| (abort.id, abort.reason, abort.unsent_bytes))
            .collect::<Vec<_>>(),
        [(2, AbortReason::Stalled, 46_000)]
    );
    assert_eq!(outgoing.connection_ids(), [1, 3]);
    // Once its next response is begun, the pipelining connection is like any other and accounts for both.
    outgoing
        .begin_response(5 * SECOND, 3, owner(3), 1_000, progress(20_000, 4_000))
        .unwrap();
    outgoing.record_progress(5 * SECOND + MS, 3, progress(20_001, 4_000));
    assert_eq!(
        outgoing
            .abort_below_minimum_rate(6 * SECOND, 0.0)
            .first()
            .map(|abort| (abort.id, abort.unsent_bytes)),
        Some((3, 47_000))
    );
    outgoing.connection_closed(1);
    assert!(outgoing.unsent_bytes().is_empty());
}

#[test]
fn client_that_stops_reading_does_not_keep_its_slot_by_pipelining() {
    for served in [true, false] {
        let mut outgoing = new_outgoing();
        outgoing
            .begin_response(0, 1, owner(1), 50_000, TransferProgress::default())
            .unwrap();
        outgoing.record_progress(MS, 1, progress(20_000, 4_000));
        outgoing.request_started(1);
        assert!(outgoing
            .abort_below_minimum_rate(5 * SECOND, 0.0)
            .is_empty());
        // Its second request has its response, of which not a byte can be written.
        match served {
            true => outgoing
                .begin_response(5 * SECOND, 1, owner(1), 1_000, progress(20_000, 4_000))
                .unwrap(),
            false => outgoing.response_needs_no_monitoring(1),
        }
        assert_eq!(
            outgoing
                .abort_below_minimum_rate(5 * SECOND + MS, 0.0)
                .len(),
            1,
            "{served}"
        );
        assert!(outgoing.unsent_bytes().is_empty());
    }
}

#[test]
fn worst_offenders_are_aborted_for_resources_and_never_a_healthy_transfer() {
    let mut outgoing = new_outgoing();
    // 1 is healthy and holds most; 2 and 3 stand still, 3 for longer.
    for (at, id, bytes) in [
        (0, 3, 300_000),
        (SECOND / 2, 2, 300_000),
        (SECOND / 2, 1, 400_000),
    ] {
        outgoing
            .begin_response(at, id, owner(id), bytes, TransferProgress::default())
            .unwrap();
        outgoing.record_progress(at, id, progress(1, 1));
    }
    outgoing.record_progress(SECOND, 1, progress(100_000, 100_000));
    let limit = outgoing
        .begin_response(SECOND, 4, owner(4), 200_000, TransferProgress::default())
        .unwrap_err();
    let aborts =
        outgoing.abort_for_resources(SECOND, ResourceNeed::Bytes(owner(4), limit, 200_000));
    assert_eq!(
        aborts
            .iter()
            .map(|abort| (abort.id, abort.reason))
            .collect::<Vec<_>>(),
        [(3, AbortReason::ResourcesNeeded)]
    );
    outgoing
        .begin_response(SECOND, 4, owner(4), 200_000, TransferProgress::default())
        .unwrap();
    assert_eq!(
        outgoing
            .abort_for_resources(SECOND, ResourceNeed::ConnectionSlot)
            .iter()
            .map(|abort| abort.id)
            .collect::<Vec<_>>(),
        [2]
    );
    // No connection is aborted in vain: what is left keeps its rate, or is too young to be judged.
    assert!(outgoing
        .abort_for_resources(SECOND, ResourceNeed::ConnectionSlot)
        .is_empty());
}

#[test]
fn distant_client_is_not_taken_for_one_that_stands_still() {
    for (round_trip_ns, aborts) in [(1, 1), (90 * MS, 0)] {
        let mut outgoing = new_outgoing();
        outgoing
            .begin_response(0, 1, owner(1), 60_000, TransferProgress::default())
            .unwrap();
        outgoing.record_progress(
            1,
            1,
            TransferProgress {
                written_bytes: 60_000,
                acknowledged_bytes: 4_000,
                round_trip_ns,
            },
        );
        assert_eq!(
            outgoing
                .abort_for_resources(100 * MS, ResourceNeed::ConnectionSlot)
                .len(),
            aborts
        );
    }
}

#[test]
fn customer_cannot_use_the_share_of_others() {
    let shares = BulkheadSettings {
        enabled: EnabledFlag(true),
        ..BulkheadSettings::default()
    };
    let mut outgoing = OutgoingTransfers::new(&settings(), &shares, 0);
    for id in 1..=4 {
        outgoing
            .begin_response(0, id, owner(7), 65_536, TransferProgress::default())
            .unwrap();
    }
    assert_eq!(
        outgoing.begin_response(0, 5, owner(7), 65_536, TransferProgress::default()),
        Err(LimitExceeded::Customer)
    );
    assert_eq!(
        outgoing.begin_response(0, 5, owner(8), 65_536, TransferProgress::default()),
        Ok(())
    );
    (1..=5).for_each(|id| outgoing.connection_closed(id));
    assert!(outgoing.unsent_bytes().is_empty());
}

#[test]
fn minimum_rate_rises_with_pressure() {
    let mut outgoing = new_outgoing();
    outgoing
        .begin_response(0, 1, owner(1), 100_000, TransferProgress::default())
        .unwrap();
    outgoing.record_progress(MS, 1, progress(50_000, 2_000));
    // 4,000 bytes a second by then: fine while there is room, not where places are all taken.
    assert!(outgoing
        .abort_below_minimum_rate(SECOND / 2, 0.4)
        .is_empty());
    assert_eq!(outgoing.abort_below_minimum_rate(SECOND / 2, 1.0).len(), 1);
}
