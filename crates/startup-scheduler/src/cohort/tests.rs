//! Dissemination of the start cohort, with duplicated, reordered, truncated and foreign messages.

use super::*;
use crate::CohortMessage;

fn all_started(fleet_size: u32, node: u32) -> StartCohort {
    let mut cohort = StartCohort::new(fleet_size, NodeId(node));
    for peer in 0..fleet_size {
        cohort.add(NodeId(peer), peer % 2 == 0);
    }
    cohort
}

fn counts(started: u32, without_list: u32) -> CohortCounts {
    CohortCounts {
        started,
        without_list,
    }
}

#[test]
fn cohort_messages_of_a_large_fleet_round_trip_and_fit_a_datagram() {
    for fleet_size in [3, 24, 300, 640, 641, 1000, 5000] {
        let mut cohort = all_started(fleet_size, 1);
        let mut other = StartCohort::new(fleet_size, NodeId(0));
        for _ in 0..fleet_size.div_ceil(SLICE_NODES) {
            let message = cohort.next_message(Some(true), u64::MAX);
            let text = message.encode();
            assert!(
                text.len() <= 256 && CohortMessage::matches(&text),
                "{fleet_size}: {} bytes",
                text.len()
            );
            assert_eq!(CohortMessage::decode(&text).as_ref(), Ok(&message));
            other.merge(&message);
        }
        // All nodes but the receiver. Nodes with even ids and the sender have no list.
        let even = (fleet_size - 1) / 2;
        assert_eq!(other.counts(), counts(fleet_size - 1, even + 1));
    }
}

#[test]
fn duplicated_and_reordered_messages_change_nothing_and_repeated_ones_complete_the_cohort() {
    let (mut cohort, mut peer) = (
        StartCohort::new(20, NodeId(3)),
        StartCohort::new(20, NodeId(4)),
    );
    let early = peer.next_message(Some(false), 5);
    peer.add(NodeId(7), true);
    let late = peer.next_message(Some(false), 5);
    for message in [&late, &early, &late] {
        cohort.merge(message);
    }
    assert_eq!(
        cohort.peers().collect::<Vec<_>>(),
        [(NodeId(4), false), (NodeId(7), true)]
    );
    assert!(
        !cohort.is_complete(),
        "only the last message listed as many nodes and no new one"
    );
    cohort.merge(&early);
    assert!(
        !cohort.is_complete(),
        "a message that lists fewer nodes does not count"
    );
    cohort.merge(&late);
    assert!(cohort.is_complete());
    peer.add(NodeId(9), true);
    cohort.merge(&peer.next_message(None, 5));
    assert!(!cohort.is_complete(), "a new node");
}

#[test]
fn truncated_foreign_or_out_of_fleet_cohort_messages_add_no_node() {
    let valid = all_started(20, 0).next_message(None, 5).encode();
    for text in [
        "",
        "R1",
        "R1 ",
        "R2 0 5 AA AA",
        "R1 0 5 AA",
        "R1 1 5 AA AA",
        "R1 0 5 AA AAA",
        "R1 0 5 AA AA ",
        "R1 0 5 AA gA",
    ] {
        assert!(CohortMessage::decode(text).is_err(), "{text:?}");
    }
    for end in 0..valid.len() {
        let truncated = CohortMessage::decode(&valid[..end]);
        assert!(truncated.is_err(), "{:?}", &valid[..end]);
    }
    let mut cohort = StartCohort::new(4, NodeId(0));
    let message = |first_node, bytes| CohortMessage {
        first_node,
        last_start_unix_ms: 0,
        started: vec![255; bytes],
        without_list: vec![0; bytes],
    };
    // The last possible slice: node ids in it would overflow.
    let last_slice = message(u32::MAX / SLICE_NODES * SLICE_NODES, 80);
    cohort.merge(&CohortMessage::decode(&last_slice.encode()).expect("well-formed"));
    assert_eq!(cohort.counts(), counts(0, 0), "no node from an overflow");
    cohort.merge(&message(640, 1));
    cohort.merge(&message(0, 80));
    assert_eq!(cohort.counts(), counts(3, 0), "no node beyond the fleet");
}
