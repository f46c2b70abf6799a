//! Tests of which connections are aborted, when, and in which order.

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
        round_trip_ns: None,
    }
}

/// A response on a connection, accounted to a customer.
fn response(id: u64, customer: u64, bytes: u64, progress: TransferProgress) -> ResponseStart {
    ResponseStart {
        id: ConnectionId(id),
        owner: owner(customer),
        bytes,
        progress,
    }
}

/// Begins the first response on a connection, accounted to the customer with the same number.
fn begin(outgoing: &mut OutgoingTransfers, at: u64, id: u64, bytes: u64) {
    outgoing
        .begin_response(at, response(id, id, bytes, TransferProgress::default()))
        .expect("within all limits");
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
        begin(&mut outgoing, 0, 1, 4 << 20);
        // One step per 100 ms, that is 1,040 or 980 bytes per second; the minimum is 1,024.
        let aborted = (1..=36_000).find(|index| {
            outgoing.record_progress(
                index * 100 * MS,
                ConnectionId(1),
                progress(4 << 20, index * step),
            );
            outgoing
                .abort_below_minimum_rate(index * 100 * MS, 0.0)
                .first()
                .is_some_and(|abort| abort.reason == AbortReason::BelowMinimumRate)
        });
        assert_eq!(
            (aborted.is_none(), outgoing.is_sending(ConnectionId(1))),
            (survives, survives),
            "not aborted and still sending, at {step} bytes in 100 ms"
        );
    }
}

#[test]
fn stalled_transfer_is_aborted_unless_its_response_is_unwritten_or_a_pipelined_request_is_pending()
{
    let mut outgoing = new_outgoing();
    for id in 1..=3 {
        begin(&mut outgoing, 0, id, 50_000);
    }
    for id in 2..=3 {
        outgoing.record_progress(MS, ConnectionId(id), progress(20_000, 4_000));
    }
    outgoing.request_started(ConnectionId(3));
    let aborts = outgoing.abort_below_minimum_rate(5 * SECOND, 0.0);
    assert_eq!(
        aborts
            .iter()
            .map(|abort| (abort.id.0, abort.reason, abort.unsent_bytes))
            .collect::<Vec<_>>(),
        [(2, AbortReason::Stalled, 46_000)]
    );
    assert_eq!(outgoing.connection_ids(), [1, 3].map(ConnectionId));
    // Once its next response has begun, the pipelining connection may be aborted, with the unsent bytes of both responses.
    outgoing
        .begin_response(5 * SECOND, response(3, 3, 1_000, progress(20_000, 4_000)))
        .expect("within all limits");
    outgoing.record_progress(5 * SECOND + MS, ConnectionId(3), progress(20_001, 4_000));
    assert_eq!(
        outgoing
            .abort_below_minimum_rate(6 * SECOND, 0.0)
            .first()
            .map(|abort| (abort.id.0, abort.unsent_bytes)),
        Some((3, 47_000))
    );
    outgoing.connection_closed(ConnectionId(1));
    assert!(outgoing.unsent_bytes().is_empty());
}

#[test]
fn client_that_stops_reading_does_not_retain_its_slot_by_pipelining() {
    for is_monitored in [true, false] {
        let mut outgoing = new_outgoing();
        begin(&mut outgoing, 0, 1, 50_000);
        outgoing.record_progress(MS, ConnectionId(1), progress(20_000, 4_000));
        outgoing.request_started(ConnectionId(1));
        assert!(outgoing
            .abort_below_minimum_rate(5 * SECOND, 0.0)
            .is_empty());
        // The second request has its response, of which no byte can be written.
        if is_monitored {
            outgoing
                .begin_response(5 * SECOND, response(1, 1, 1_000, progress(20_000, 4_000)))
                .expect("within all limits");
        } else {
            outgoing.response_needs_no_monitoring(ConnectionId(1));
        }
        assert_eq!(
            outgoing
                .abort_below_minimum_rate(5 * SECOND + MS, 0.0)
                .len(),
            1,
            "aborts, second response is monitored: {is_monitored}"
        );
        assert!(outgoing.unsent_bytes().is_empty());
    }
}

#[test]
fn worst_transfers_are_aborted_for_resources_and_never_a_healthy_one() {
    let mut outgoing = new_outgoing();
    // Connection 1 is healthy and has the most unsent bytes. 2 and 3 are stalled, 3 for longer.
    for (at, id, bytes) in [
        (0, 3, 300_000),
        (SECOND / 2, 2, 300_000),
        (SECOND / 2, 1, 400_000),
    ] {
        begin(&mut outgoing, at, id, bytes);
        outgoing.record_progress(at, ConnectionId(id), progress(1, 1));
    }
    outgoing.record_progress(SECOND, ConnectionId(1), progress(100_000, 100_000));
    let limit = outgoing
        .begin_response(SECOND, response(4, 4, 200_000, TransferProgress::default()))
        .expect_err("beyond the total limit");
    let aborts = outgoing.abort_for_resources(
        SECOND,
        ResourceNeed::Bytes {
            owner: owner(4),
            limit,
            bytes: 200_000,
        },
    );
    assert_eq!(
        aborts
            .iter()
            .map(|abort| (abort.id.0, abort.reason))
            .collect::<Vec<_>>(),
        [(3, AbortReason::ResourcesNeeded)]
    );
    begin(&mut outgoing, SECOND, 4, 200_000);
    assert_eq!(
        outgoing
            .abort_for_resources(SECOND, ResourceNeed::ConnectionSlot)
            .iter()
            .map(|abort| abort.id.0)
            .collect::<Vec<_>>(),
        [2]
    );
    // No further connection is aborted: those that remain are fast enough, or too young to be checked.
    assert!(outgoing
        .abort_for_resources(SECOND, ResourceNeed::ConnectionSlot)
        .is_empty());
}

#[test]
fn distant_client_does_not_count_as_stalled() {
    for (round_trip_ns, aborts) in [(1, 1), (90 * MS, 0)] {
        let mut outgoing = new_outgoing();
        begin(&mut outgoing, 0, 1, 60_000);
        outgoing.record_progress(
            1,
            ConnectionId(1),
            TransferProgress {
                written_bytes: 60_000,
                acknowledged_bytes: 4_000,
                round_trip_ns: Some(round_trip_ns),
            },
        );
        assert_eq!(
            outgoing
                .abort_for_resources(100 * MS, ResourceNeed::ConnectionSlot)
                .len(),
            aborts,
            "aborts at a round trip of {round_trip_ns} ns"
        );
    }
}

#[test]
fn customer_cannot_exceed_its_limit_on_unsent_bytes() {
    let bulkheads = BulkheadSettings {
        enabled: EnabledFlag(true),
        ..BulkheadSettings::default()
    };
    let mut outgoing = OutgoingTransfers::new(&settings(), &bulkheads, 0);
    for id in 1..=4 {
        outgoing
            .begin_response(0, response(id, 7, 65_536, TransferProgress::default()))
            .expect("within the customer's limit");
    }
    assert_eq!(
        outgoing.begin_response(0, response(5, 7, 65_536, TransferProgress::default())),
        Err(LimitExceeded::Customer)
    );
    assert_eq!(
        outgoing.begin_response(0, response(5, 8, 65_536, TransferProgress::default())),
        Ok(())
    );
    (1..=5).for_each(|id| outgoing.connection_closed(ConnectionId(id)));
    assert!(outgoing.unsent_bytes().is_empty());
}

#[test]
fn minimum_rate_rises_with_pressure() {
    let mut outgoing = new_outgoing();
    begin(&mut outgoing, 0, 1, 100_000);
    outgoing.record_progress(MS, ConnectionId(1), progress(50_000, 2_000));
    // 4,000 bytes per second so far: above the minimum at a pressure of 0.4, and below it at full pressure.
    assert!(outgoing
        .abort_below_minimum_rate(SECOND / 2, 0.4)
        .is_empty());
    assert_eq!(outgoing.abort_below_minimum_rate(SECOND / 2, 1.0).len(), 1);
}
