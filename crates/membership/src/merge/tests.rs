//! Precedence of sources, and what counts as a new incarnation.

use super::MergedMembership;
use crate::test_support::record;
use crate::{MemberState, MemberUpdate, Position, ReadConsistency};

fn update(id: &str, revision: u64, port: u16, state: MemberState) -> MemberUpdate {
    MemberUpdate {
        id: id.to_string(),
        revision,
        create_revision: 1,
        record: Some(record(port, state)),
    }
}

fn at(cluster: u64, revision: u64) -> Position {
    Position { cluster, revision }
}

fn ports(membership: &MergedMembership) -> Vec<u16> {
    let members = membership.members();
    members.map(|(_, record)| record.endpoint.port()).collect()
}

#[test]
fn the_first_fresh_source_decides_and_nothing_changes_when_all_are_stale() {
    let mut membership = MergedMembership::new(2, 100);
    let both = vec![
        update("a", 1, 2, MemberState::InService),
        update("b", 1, 3, MemberState::InService),
    ];
    let consistent = ReadConsistency::Consistent;
    let second = membership.source_mut(1);
    second.apply_full_list(0, at(9, 1), consistent, both);
    assert_eq!(
        (membership.take_changes(0).len(), ports(&membership)),
        (2, vec![2, 3])
    );
    let only_a = vec![update("a", 1, 1, MemberState::Terminating)];
    let first = membership.source_mut(0);
    first.apply_full_list(10, at(8, 1), consistent, only_a);
    let changes = membership.take_changes(10);
    assert_eq!(
        (
            changes.len(),
            changes[0].new_incarnation,
            ports(&membership)
        ),
        (1, true, vec![1, 3])
    );
    // The first source has been stale for long, the second one is current and decides.
    membership.source_mut(1).apply_progress(105, at(9, 5));
    membership.take_changes(120);
    assert_eq!(
        (ports(&membership), membership.all_stale(120)),
        (vec![2, 3], false)
    );
    // Both are stale: the first of the old lists decides, and no member is dropped.
    membership.take_changes(1_000);
    assert_eq!(
        (ports(&membership), membership.all_stale(1_000)),
        (vec![1, 3], true)
    );
    assert_eq!(membership.ages_ns(1_000), [Some(990), Some(895)]);
}

#[test]
fn a_drain_keeps_the_incarnation_and_a_recreated_key_is_a_new_one() {
    let mut membership = MergedMembership::new(1, 100);
    membership.source_mut(0).apply_full_list(
        0,
        at(9, 1),
        ReadConsistency::Consistent,
        vec![update("a", 1, 1, MemberState::InService)],
    );
    assert!(membership.take_changes(0)[0].new_incarnation);
    let drained = vec![update("a", 2, 1, MemberState::Terminating)];
    membership.source_mut(0).apply_changes(1, at(9, 2), drained);
    let changes = membership.take_changes(1);
    assert_eq!(
        (
            changes.len(),
            changes[0].new_incarnation,
            membership.in_service_count()
        ),
        (1, false, 0)
    );
    let recreated = MemberUpdate {
        create_revision: 4,
        ..update("a", 4, 1, MemberState::Terminating)
    };
    let removed = MemberUpdate {
        record: None,
        revision: 3,
        ..recreated.clone()
    };
    membership
        .source_mut(0)
        .apply_changes(2, at(9, 4), vec![removed, recreated]);
    assert!(membership.take_changes(2)[0].new_incarnation);
    assert!(membership.take_changes(3).is_empty());
}
