//! Watches that time out, lose the connection, are compacted or report an inconsistent position.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::SeedableRng;

use super::{
    DisconnectReason, WatchInput, WatchMachine, WatchOutput, WatchTiming, FAST_RECONNECT_PERIOD,
};
use crate::test_support::position;
use crate::{Backoff, Position};

const MS: Duration = Duration::from_millis(1);
const TIMING: WatchTiming = WatchTiming {
    progress_interval: Duration::from_millis(100),
    response_timeout: Duration::from_millis(150),
    backoff: Backoff {
        initial: Duration::from_millis(20),
        max: Duration::from_millis(1_000),
    },
    full_read_jitter: Duration::from_millis(300),
};

/// A position in the cluster that the watch follows.
fn at(revision: u64) -> Position {
    position(9, revision)
}

/// A watch that is alive at `start`, with all changes up to revision 41.
fn live(start: Instant) -> WatchMachine {
    let mut machine = WatchMachine::new(start, TIMING, 1, None);
    assert!(matches!(
        machine.handle(start, WatchInput::Tick)[..],
        [WatchOutput::Connect { .. }]
    ));
    assert_eq!(
        machine.handle(start, WatchInput::Connected),
        [WatchOutput::ReadList]
    );
    assert_eq!(
        machine.handle(start, WatchInput::ListRead(at(41))),
        [WatchOutput::Watch { from: 42 }]
    );
    assert!(machine.handle(start, WatchInput::WatchCreated).is_empty() && machine.is_live());
    machine
}

/// Asserts that the machine reconnects and, after the random delay, reads the full list.
fn assert_reconnects_and_reads_the_list(machine: &mut WatchMachine) {
    let connecting_at = machine.next_deadline();
    machine.handle(connecting_at, WatchInput::Tick);
    assert!(machine
        .handle(connecting_at, WatchInput::Connected)
        .is_empty());
    assert_eq!(
        machine.handle(machine.next_deadline(), WatchInput::Tick),
        [WatchOutput::ReadList]
    );
}

#[test]
fn silent_watch_is_resumed_at_another_endpoint_within_250_ms_without_a_full_read() {
    let start = Instant::now();
    let mut machine = live(start);
    let last_progress_at = start + 50 * MS;
    machine.handle(last_progress_at, WatchInput::Progress(at(45)));
    // The registry stops responding right after that.
    let disconnected_at = loop {
        let now = machine.next_deadline();
        match machine.handle(now, WatchInput::Tick)[..] {
            [WatchOutput::RequestProgress] => {}
            [WatchOutput::Disconnect {
                reason: DisconnectReason::TimedOut,
            }] => break now,
            ref other => panic!("{other:?}"),
        }
    };
    assert!(disconnected_at - last_progress_at <= 250 * MS);
    let endpoint = machine.endpoint;
    assert_eq!(
        machine.handle(machine.next_deadline(), WatchInput::Tick),
        [WatchOutput::Connect { endpoint }]
    );
    assert_eq!(
        machine.handle(disconnected_at, WatchInput::Connected),
        [WatchOutput::Watch { from: 46 }]
    );
}

#[test]
fn full_reads_after_a_compaction_are_distributed_over_the_fleet() {
    let start = Instant::now();
    let reads_after: Vec<Duration> = (0..300)
        .map(|seed| {
            let mut machine = live(start);
            machine.rng = SmallRng::seed_from_u64(seed);
            assert!(machine.handle(start, WatchInput::Compacted).is_empty());
            assert!(
                machine.handle(start, WatchInput::Tick).is_empty()
                    || machine.next_deadline() >= start + 150 * MS
            );
            let read_at = machine.next_deadline();
            assert_eq!(
                machine.handle(read_at, WatchInput::Tick),
                [WatchOutput::ReadList]
            );
            read_at - start
        })
        .collect();
    // The distribution is even: no tenth of the interval has a fifth of the 300 reads or more.
    for tenth in 0..10 {
        let tenth_of_delay = 30 * tenth * MS..30 * (tenth + 1) * MS;
        let reads = reads_after
            .iter()
            .filter(|delay| tenth_of_delay.contains(delay))
            .count();
        assert!(reads < 60, "{reads} reads within {tenth_of_delay:?}");
    }
}

#[test]
fn reconnects_have_short_delays_only_while_the_notice_of_a_drain_runs() {
    let start = Instant::now();
    let mut machine = live(start);
    let (mut now, mut delays) = (start + 10 * MS, Vec::new());
    machine.handle(now, WatchInput::ConnectionLost);
    while now < start + 3_000 * MS {
        let deadline = machine.next_deadline().max(now + MS);
        delays.push((now - start, deadline - now));
        now = deadline;
        machine.handle(now, WatchInput::Tick);
        machine.handle(now, WatchInput::ConnectionLost);
    }
    assert!(
        delays
            .iter()
            .all(|(lost_for, delay)| *lost_for >= FAST_RECONNECT_PERIOD || *delay <= 40 * MS),
        "{delays:?}"
    );
    assert!(
        delays.iter().any(|(_, delay)| *delay > 200 * MS),
        "{delays:?}"
    );
}

#[test]
fn backoff_grows_to_its_maximum_and_every_endpoint_is_tried() {
    let mut now = Instant::now();
    let mut machine = WatchMachine::new(now, TIMING, 3, None);
    let (mut tried, mut longest) = (BTreeSet::new(), Duration::ZERO);
    for _ in 0..40 {
        now = now.max(machine.next_deadline());
        let [WatchOutput::Connect { endpoint }] = machine.handle(now, WatchInput::Tick)[..] else {
            panic!("no connection attempt at its time")
        };
        tried.insert(endpoint % 3);
        assert!(matches!(
            machine.handle(now, WatchInput::ConnectionLost)[..],
            [WatchOutput::Disconnect {
                reason: DisconnectReason::ConnectionLost
            }]
        ));
        longest = longest.max(machine.next_deadline() - now);
    }
    assert_eq!(tried.len(), 3);
    assert!((500 * MS..=1_000 * MS).contains(&longest), "{longest:?}");
}

#[test]
fn three_lagging_answers_in_a_row_lead_to_a_full_read_and_fewer_do_not() {
    let now = Instant::now();
    let mut machine = live(now);
    for revision in [50, 49, 49, 50, 49, 49] {
        assert!(machine
            .handle(now, WatchInput::Progress(at(revision)))
            .is_empty());
    }
    assert_eq!(
        machine.handle(now, WatchInput::Progress(at(7))),
        [WatchOutput::Disconnect {
            reason: DisconnectReason::Inconsistent
        }]
    );
    assert_reconnects_and_reads_the_list(&mut machine);
    // The timeout of a full read is longer than that of a progress request.
    let before_timeout = machine.next_deadline() - Duration::from_nanos(1);
    assert!(machine.handle(before_timeout, WatchInput::Tick).is_empty());
}

#[test]
fn another_cluster_at_the_same_address_leads_to_a_full_read() {
    let now = Instant::now();
    let mut machine = live(now);
    assert_eq!(
        machine.handle(now, WatchInput::Progress(position(8, 3))),
        [WatchOutput::Disconnect {
            reason: DisconnectReason::Inconsistent
        }]
    );
    assert_reconnects_and_reads_the_list(&mut machine);
}
