//! Indexes that advance and run backwards, failures and jitter.

use std::collections::BTreeSet;

use applewall_membership::ReadConsistency;

use super::{BlockingQueries, QueryEffect, QueryOutcome};

const DROPPED: QueryEffect = QueryEffect {
    apply_list: None,
    next_query_after_ns: 0,
};

const APPLIED_CONSISTENT: QueryEffect = QueryEffect {
    apply_list: Some(ReadConsistency::Consistent),
    next_query_after_ns: 0,
};

fn list(index: u64) -> QueryOutcome {
    QueryOutcome::List {
        index,
        leader_known: true,
    }
}

fn next_index_and_consistency(queries: &mut BlockingQueries) -> (u64, ReadConsistency) {
    let query = queries.next_query();
    (query.index, query.consistency)
}

#[test]
fn an_index_that_runs_backwards_is_settled_by_a_consistent_query() {
    let (consistent, stale) = (ReadConsistency::Consistent, ReadConsistency::Stale);
    let mut queries = BlockingQueries::new(1_000, 10, 80, 1);
    assert_eq!(next_index_and_consistency(&mut queries), (0, consistent));
    assert_eq!(queries.handle(list(40)), APPLIED_CONSISTENT);
    assert_eq!(next_index_and_consistency(&mut queries), (40, stale));
    assert_eq!(queries.handle(list(30)), DROPPED);
    assert_eq!(next_index_and_consistency(&mut queries), (0, consistent));
    // Either the agent lagged or the store began anew: the consistent answer is right in both cases.
    assert_eq!(queries.handle(list(3)), APPLIED_CONSISTENT);
    assert_eq!(queries.next_query().index, 3);
}

#[test]
fn failures_back_off_and_an_agent_without_a_leader_counts_as_a_failure() {
    let mut queries = BlockingQueries::new(1_000, 1_000, 8_000, 1);
    queries.handle(list(40));
    let mut longest = 0;
    for _ in 0..50 {
        let effect = queries.handle(QueryOutcome::Failed);
        longest = longest.max(effect.next_query_after_ns);
    }
    assert!((4_000..=8_000).contains(&longest));
    let without_leader = QueryOutcome::List {
        index: 41,
        leader_known: false,
    };
    assert_eq!(queries.handle(without_leader).apply_list, None);
    // The index is kept: the next answer tells what is newer.
    assert_eq!(queries.next_query().index, 40);
    let waits: BTreeSet<u64> = (0..100).map(|_| queries.next_query().wait_ms).collect();
    assert!(waits.len() > 20 && waits.iter().all(|wait| (1_000..=1_062).contains(wait)));
}
