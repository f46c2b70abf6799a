//! An index that advances or goes back, failures, and the jitter of wait times.

use std::collections::BTreeSet;
use std::time::Duration;

use applewall_membership::{Backoff, ReadConsistency};

use super::{BlockingQueryMachine, QueryInput, QueryOutput, QueryTiming};

const DROPPED: QueryOutput = QueryOutput {
    apply_list: None,
    next_query_after: Duration::ZERO,
};

const APPLIED_CONSISTENT: QueryOutput = QueryOutput {
    apply_list: Some(ReadConsistency::Consistent),
    next_query_after: Duration::ZERO,
};

fn machine(initial_backoff_ms: u64, max_backoff_ms: u64) -> BlockingQueryMachine {
    let timing = QueryTiming {
        wait_ms: 1_000,
        backoff: Backoff {
            initial: Duration::from_millis(initial_backoff_ms),
            max: Duration::from_millis(max_backoff_ms),
        },
    };
    BlockingQueryMachine::new(timing, 1)
}

fn list(index: u64) -> QueryInput {
    QueryInput::List {
        index,
        leader_known: true,
    }
}

fn next_index_and_consistency(
    machine: &mut BlockingQueryMachine,
) -> (Option<u64>, ReadConsistency) {
    let query = machine.next_query();
    (query.index, query.consistency)
}

#[test]
fn index_that_goes_back_is_settled_by_a_consistent_query() {
    let (consistent, stale) = (ReadConsistency::Consistent, ReadConsistency::Stale);
    let mut machine = machine(10, 80);
    assert_eq!(next_index_and_consistency(&mut machine), (None, consistent));
    assert_eq!(machine.handle(list(40)), APPLIED_CONSISTENT);
    assert_eq!(next_index_and_consistency(&mut machine), (Some(40), stale));
    assert_eq!(machine.handle(list(30)), DROPPED);
    assert_eq!(next_index_and_consistency(&mut machine), (None, consistent));
    // The server lagged or the history was reset: the consistent response is correct in both cases.
    assert_eq!(machine.handle(list(3)), APPLIED_CONSISTENT);
    assert_eq!(machine.next_query().index, Some(3));
}

#[test]
fn failures_back_off_up_to_the_maximum_and_keep_the_index() {
    let mut machine = machine(1_000, 8_000);
    machine.handle(list(40));
    let longest = (0..50)
        .map(|_| machine.handle(QueryInput::Failed).next_query_after)
        .max()
        .unwrap();
    let expected = Duration::from_secs(4)..=Duration::from_secs(8);
    assert!(
        expected.contains(&longest),
        "longest delay {longest:?}, expected {expected:?}"
    );
    assert_eq!(machine.next_query().index, Some(40));
}

#[test]
fn list_of_an_agent_without_a_leader_is_dropped_and_keeps_the_index() {
    let mut machine = machine(1_000, 8_000);
    machine.handle(list(40));
    let without_leader = QueryInput::List {
        index: 41,
        leader_known: false,
    };
    assert_eq!(machine.handle(without_leader).apply_list, None);
    assert_eq!(machine.next_query().index, Some(40));
}

#[test]
fn waits_are_longer_than_configured_by_a_random_sixteenth_at_most() {
    let mut machine = machine(1_000, 8_000);
    let waits: BTreeSet<u64> = (0..100).map(|_| machine.next_query().wait_ms).collect();
    assert!(waits.len() > 20, "only {} different waits", waits.len());
    assert!(
        waits.iter().all(|wait| (1_000..=1_062).contains(wait)),
        "{waits:?}"
    );
}
