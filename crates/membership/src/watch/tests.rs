//! Silent, broken, compacted and inconsistent watches, each played by hand.

use std::collections::BTreeSet;

use rand::rngs::SmallRng;
use rand::SeedableRng;

use super::{
    DisconnectReason, WatchEffect, WatchInput, WatchMachine, WatchTiming, FAST_RECONNECT_PERIOD_NS,
};
use crate::Position;

const MS: u64 = 1_000_000;
const TIMING: WatchTiming = WatchTiming {
    progress_interval_ns: 100 * MS,
    response_timeout_ns: 150 * MS,
    initial_backoff_ns: 20 * MS,
    max_backoff_ns: 1_000 * MS,
    full_read_jitter_ns: 300 * MS,
};

/// A position in the cluster that the watch follows.
fn at(revision: u64) -> Position {
    Position {
        cluster: 9,
        revision,
    }
}

/// A watch that is alive from 3 ns on, at revision 41.
fn live() -> WatchMachine {
    let mut machine = WatchMachine::new(TIMING, 1, None);
    assert!(matches!(
        machine.handle(0, WatchInput::Tick)[..],
        [WatchEffect::Connect { .. }]
    ));
    assert_eq!(
        machine.handle(1, WatchInput::Connected),
        [WatchEffect::ReadList]
    );
    assert_eq!(
        machine.handle(2, WatchInput::ListRead(at(41))),
        [WatchEffect::Watch { from: 42 }]
    );
    assert!(machine.handle(3, WatchInput::WatchCreated).is_empty() && machine.is_live());
    machine
}

/// Reconnects a machine that has to read the list again, and lets the wait before the read pass.
fn reconnects_and_reads_the_list(machine: &mut WatchMachine) {
    machine.handle(machine.next_deadline(), WatchInput::Tick);
    assert!(machine.handle(20, WatchInput::Connected).is_empty());
    assert_eq!(
        machine.handle(machine.next_deadline(), WatchInput::Tick),
        [WatchEffect::ReadList]
    );
}

#[test]
fn a_silent_watch_is_resumed_elsewhere_within_250_ms_without_a_full_read() {
    let mut machine = live();
    machine.handle(50 * MS, WatchInput::Progress(at(45)));
    // The stall begins right after; a drain is written right after that.
    let dropped_at = loop {
        let now = machine.next_deadline();
        match machine.handle(now, WatchInput::Tick)[..] {
            [WatchEffect::RequestProgress] => {}
            [WatchEffect::Disconnect {
                reason: DisconnectReason::TimedOut,
            }] => break now,
            ref other => panic!("{other:?}"),
        }
    };
    assert!(dropped_at - 50 * MS <= 250 * MS);
    let endpoint = machine.endpoint;
    assert_eq!(
        machine.handle(machine.next_deadline(), WatchInput::Tick),
        [WatchEffect::Connect { endpoint }]
    );
    assert_eq!(
        machine.handle(dropped_at, WatchInput::Connected),
        [WatchEffect::Watch { from: 46 }]
    );
}

#[test]
fn full_reads_after_a_compaction_are_spread_over_the_fleet() {
    let reads_at: Vec<u64> = (0..300)
        .map(|seed| {
            let mut machine = live();
            machine.rng = SmallRng::seed_from_u64(seed);
            assert!(machine.handle(0, WatchInput::Compacted).is_empty());
            assert!(
                machine.handle(0, WatchInput::Tick).is_empty()
                    || machine.next_deadline() >= 150 * MS
            );
            let read_at = machine.next_deadline();
            assert_eq!(
                machine.handle(read_at, WatchInput::Tick),
                [WatchEffect::ReadList]
            );
            read_at
        })
        .collect();
    // Spread evenly: no tenth of the time holds more than a fifth of a fleet of 300.
    for tenth in 0..10 {
        let within = |read_at: &&u64| (30 * MS * tenth..30 * MS * (tenth + 1)).contains(*read_at);
        assert!(reads_at.iter().filter(within).count() < 60);
    }
}

#[test]
fn reconnects_stay_close_together_only_while_the_budget_of_a_drain_runs() {
    let mut machine = live();
    machine.handle(10 * MS, WatchInput::ConnectionLost);
    let (mut now, mut waits) = (10 * MS, Vec::new());
    while now < 3_000 * MS {
        let deadline = machine.next_deadline().max(now + MS);
        waits.push((now, deadline - now));
        now = deadline;
        machine.handle(now, WatchInput::Tick);
        machine.handle(now, WatchInput::ConnectionLost);
    }
    assert!(
        waits
            .iter()
            .all(|(at, wait)| *at >= FAST_RECONNECT_PERIOD_NS || *wait <= 40 * MS),
        "{waits:?}"
    );
    assert!(waits.iter().any(|(_, wait)| *wait > 200 * MS), "{waits:?}");
}

#[test]
fn backoff_grows_to_its_maximum_and_every_endpoint_is_tried() {
    let mut machine = WatchMachine::new(TIMING, 3, None);
    let (mut now, mut tried, mut longest) = (0, BTreeSet::new(), 0);
    for _ in 0..40 {
        now = now.max(machine.next_deadline());
        let [WatchEffect::Connect { endpoint }] = machine.handle(now, WatchInput::Tick)[..] else {
            panic!("no connection attempt at its time")
        };
        tried.insert(endpoint % 3);
        assert!(matches!(
            machine.handle(now, WatchInput::ConnectionLost)[..],
            [WatchEffect::Disconnect {
                reason: DisconnectReason::ConnectionLost
            }]
        ));
        longest = longest.max(machine.next_deadline() - now);
    }
    assert_eq!(tried.len(), 3);
    assert!((500 * MS..=1_000 * MS).contains(&longest), "{longest}");
}

#[test]
fn three_lagging_answers_in_a_row_lead_to_a_full_read_and_fewer_do_not() {
    let mut machine = live();
    for revision in [50, 49, 49, 50, 49, 49] {
        assert!(machine
            .handle(10, WatchInput::Progress(at(revision)))
            .is_empty());
    }
    assert_eq!(
        machine.handle(11, WatchInput::Progress(at(7))),
        [WatchEffect::Disconnect {
            reason: DisconnectReason::Inconsistent
        }]
    );
    reconnects_and_reads_the_list(&mut machine);
    // A full list may take longer than a proof.
    let before_timeout = machine.next_deadline() - 1;
    assert!(machine.handle(before_timeout, WatchInput::Tick).is_empty());
}

#[test]
fn another_cluster_at_the_same_address_leads_to_a_full_read() {
    let mut machine = live();
    let other_cluster = Position {
        cluster: 8,
        revision: 3,
    };
    assert_eq!(
        machine.handle(10, WatchInput::Progress(other_cluster)),
        [WatchEffect::Disconnect {
            reason: DisconnectReason::Inconsistent
        }]
    );
    reconnects_and_reads_the_list(&mut machine);
}
