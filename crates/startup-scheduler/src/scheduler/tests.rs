//! The formulas for call times, checked against values that can be computed by hand.

use super::*;
use crate::{CallFailure, CohortMessage, Message, StatusMessage};

const CALLS_PER_SECOND: f64 = 20.0;
/// After the reply collection period, and before gossip converges.
const NOW: Timestamp = Timestamp::from_seconds(0.1);
const STATUS: StatusMessage = StatusMessage {
    wants_reply: false,
    age_deciseconds: 1000,
    revision: None,
    confirmed: false,
    overloaded: false,
    starting_peers: 0,
};

fn scheduler(fleet_size: u32, node: u32, list: ListState) -> StartupScheduler {
    let settings = Settings {
        calls_per_s: CALLS_PER_SECOND,
        ..Settings::default()
    };
    let start = Start {
        node: NodeId(node),
        fleet_size,
        list,
        seed: 1,
        now: Timestamp::from_seconds(0.0),
        unix_time_of_origin: TimeSpan::from_seconds(1.7e9),
    };
    StartupScheduler::new(&settings, start)
}

impl StartupScheduler {
    fn receive_status_from(&mut self, from: u32, status: StatusMessage) {
        let message = Message::Status(status);
        let from = NodeId(from);
        self.handle(NOW, Input::MessageReceived { from, message });
    }

    /// Completes the cohort: nodes `0..without_list` have no list, and nodes `without_list..started` have one.
    fn complete_cohort(&mut self, started: u32, without_list: u32) {
        let bitmap = |nodes: u32| -> Vec<u8> {
            let mut bytes = vec![0; self.fleet_size.div_ceil(8) as usize];
            for node in 0..nodes as usize {
                bytes[node / 8] |= 1 << (node % 8);
            }
            bytes
        };
        let message = Message::Cohort(CohortMessage {
            first_node: 0,
            last_start_unix_ms: 0,
            started: bitmap(started),
            without_list: bitmap(without_list),
        });
        let from = NodeId((self.node.0 + 1) % self.fleet_size);
        for _ in 0..3 {
            let message = message.clone();
            self.handle(NOW, Input::MessageReceived { from, message });
        }
        assert!(self.cohort.is_complete());
    }

    fn fail(&mut self, now: f64, retry_after: Option<f64>) -> f64 {
        let failure = CallFailure {
            duration: TimeSpan::ZERO,
            rejected: true,
            retry_after: retry_after.map(TimeSpan::from_seconds),
        };
        let output = self.handle(Timestamp::from_seconds(now), Input::CallFailed(failure));
        output.next_call_at.expect("a call follows").as_seconds()
    }
}

#[track_caller]
fn assert_close(actual: f64, expected: f64) {
    assert!((actual - expected).abs() < 1e-9, "{actual}, not {expected}");
}

#[test]
fn cohort_size_is_estimated_from_replies_queries_and_missing_replies() {
    let starting = StatusMessage {
        age_deciseconds: 0,
        ..STATUS
    };
    let query = StatusMessage {
        wants_reply: true,
        ..starting
    };
    let queried_by = |starting_peers| StatusMessage {
        starting_peers,
        ..STATUS
    };
    for (name, replies, expected) in [
        ("nobody else starts", vec![STATUS; 4], 1.0),
        (
            "one of four repliers",
            [vec![STATUS; 3], vec![starting]].concat(),
            25.0,
        ),
        // Two queries besides this node's own at each replying peer: 2 * 100 / 4.
        ("queries at repliers", vec![queried_by(3); 4], 50.0),
        // Two of four peers do not reply: 0.5 * 2 / 4 * 100.
        ("silent peers", vec![STATUS; 2], 25.0),
        // Six peers start, of which four may have become known by their replies: (6 - 4) * 100 / 4.
        (
            "queries here",
            [vec![STATUS; 4], vec![query; 6]].concat(),
            50.0,
        ),
        ("no message", vec![], 100.0),
    ] {
        let mut node = scheduler(100, 0, ListState::Missing);
        for (from, status) in (1..).zip(replies) {
            node.receive_status_from(from, status);
        }
        assert_eq!(node.cohort_size(), expected, "{name}");
    }
}

#[test]
fn first_call_window_follows_the_estimated_and_then_the_known_cohort_size() {
    let mut node = scheduler(100, 0, ListState::Missing);
    assert_close(node.cohort_window().length.as_seconds(), 5.0);
    for from in 1..=2 {
        node.receive_status_from(from, STATUS);
    }
    assert_close(node.cohort_window().length.as_seconds(), 25.0 / 20.0);
    node.complete_cohort(40, 40);
    assert_close(node.cohort_window().length.as_seconds(), 40.0 / 20.0);
}

#[test]
fn slots_of_all_nodes_are_evenly_spaced() {
    for fleet_size in [1u32, 3, 24, 100, 1000] {
        let mut offsets: Vec<f64> = (0..fleet_size)
            .map(|node| scheduler(fleet_size, node, ListState::Missing).fleet_slot())
            .map(|slot| slot.offset(TimeSpan::from_seconds(1.0)).as_seconds())
            .collect();
        offsets.sort_by(f64::total_cmp);
        for (rank, offset) in offsets.into_iter().enumerate() {
            assert_close(offset, (rank as f64 + 0.5) / f64::from(fleet_size));
        }
    }
}

#[test]
fn slots_are_evenly_spaced_among_nodes_with_and_among_nodes_without_a_list() {
    let offset = |node: u32| {
        let list = match node {
            0..=14 => ListState::Missing,
            _ => ListState::Restored(7),
        };
        let mut scheduler = scheduler(60, node, list);
        scheduler.complete_cohort(60, 15);
        let slot = scheduler.cohort_slot(NOW);
        slot.offset(TimeSpan::from_seconds(60.0)).as_seconds()
    };
    for (nodes, first) in [(0..15, 0.5), (15..60, 15.5)] {
        let mut offsets: Vec<f64> = nodes.map(offset).collect();
        offsets.sort_by(f64::total_cmp);
        for (rank, offset) in offsets.into_iter().enumerate() {
            assert_close(offset, first + rank as f64);
        }
    }
}

#[test]
fn call_after_a_failure_is_at_the_next_time_of_the_slot() {
    for (retry_after, earliest) in [(0.0, 0.05), (3.0, 3.0), (12.0, 12.0), (1e6, 60.0)] {
        let mut node = scheduler(100, 9, ListState::Missing);
        let window = node.cohort_window();
        let slot = window.time_of(node.cohort_slot(NOW)).as_seconds();
        let next = node.fail(0.2, Some(retry_after));
        assert!(next > 0.2 + earliest, "{next} after {retry_after} s");
        assert!(next <= 0.2 + earliest + 5.0, "{next} after {retry_after} s");
        let windows = (next - slot) / 5.0;
        assert_close(windows, windows.round());
    }
}

#[test]
fn rejected_node_without_a_list_retries_within_a_fifth_of_its_window() {
    for seed_node in 0..50 {
        let mut node = scheduler(100, seed_node, ListState::Missing);
        let next = node.fail(2.0, None);
        assert!((2.05..2.05 + 5.0 / 5.0).contains(&next), "{next}");
    }
}

#[test]
fn node_with_a_list_backs_off_by_at_most_four_fleet_windows() {
    for node in 0..50 {
        let mut node = scheduler(100, node, ListState::Restored(7));
        for max_windows in [1.0, 2.0, 4.0, 4.0] {
            let next = node.fail(10.0, None);
            assert!(next <= 10.05 + 5.0 * max_windows, "{next} of {max_windows}");
        }
    }
}

#[test]
fn watches_of_all_nodes_use_half_of_the_budget() {
    for (fleet_size, expected) in [(3, 5.0), (100, 10.0), (300, 30.0), (5000, 60.0)] {
        let node = scheduler(fleet_size, 0, ListState::Confirmed(7));
        let duration = node.watch_duration().as_seconds();
        assert_eq!(duration, expected, "{fleet_size}");
    }
}
