//! Precedence of sources, and detection of new incarnations.

use std::time::{Duration, Instant};

use super::{MergedMembership, SourceId};
use crate::test_support::{consistent_list, position, record};
use crate::{MemberState, MemberUpdate, SourceInput};

const FIRST: SourceId = SourceId(0);
const SECOND: SourceId = SourceId(1);
const MAX_AGE: Duration = Duration::from_millis(100);

const fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn update(id: &str, revision: u64, port: u16, state: MemberState) -> MemberUpdate {
    MemberUpdate {
        id: id.to_string(),
        revision,
        create_revision: 1,
        record: Some(record(port, state)),
    }
}

fn ports(membership: &MergedMembership) -> Vec<u16> {
    let members = membership.members();
    members.map(|(_, record)| record.endpoint.port()).collect()
}

#[test]
fn first_fresh_source_decides_and_nothing_is_removed_when_all_are_stale() {
    let start = Instant::now();
    let mut membership = MergedMembership::new(2, MAX_AGE);
    let both = vec![
        update("a", 1, 2, MemberState::InService),
        update("b", 1, 3, MemberState::InService),
    ];
    let second_list = consistent_list(position(9, 1), both);
    membership.source_mut(SECOND).handle(start, second_list);
    assert_eq!(
        (membership.take_changes(start).len(), ports(&membership)),
        (2, vec![2, 3])
    );
    let now = start + milliseconds(10);
    let only_a = vec![update("a", 1, 1, MemberState::Terminating)];
    let first_list = consistent_list(position(8, 1), only_a);
    membership.source_mut(FIRST).handle(now, first_list);
    let changes = membership.take_changes(now);
    assert_eq!(
        (
            changes.len(),
            changes[0].new_incarnation,
            ports(&membership)
        ),
        (1, true, vec![1, 3])
    );
    // The first source is stale; the second one is fresh and takes precedence.
    membership.source_mut(SECOND).handle(
        start + milliseconds(105),
        SourceInput::Progress(position(9, 5)),
    );
    let now = start + milliseconds(120);
    membership.take_changes(now);
    assert_eq!(
        (ports(&membership), membership.all_stale(now)),
        (vec![2, 3], false)
    );
    // Both are stale: the first one takes precedence, and no member is removed.
    let now = start + milliseconds(1_000);
    membership.take_changes(now);
    assert_eq!(
        (ports(&membership), membership.all_stale(now)),
        (vec![1, 3], true)
    );
    assert_eq!(
        membership.ages(now),
        [Some(milliseconds(990)), Some(milliseconds(895))]
    );
}

#[test]
fn drain_keeps_the_incarnation_and_a_recreated_key_is_a_new_one() {
    let now = Instant::now();
    let mut membership = MergedMembership::new(1, MAX_AGE);
    let list = vec![update("a", 1, 1, MemberState::InService)];
    membership
        .source_mut(FIRST)
        .handle(now, consistent_list(position(9, 1), list));
    assert!(membership.take_changes(now)[0].new_incarnation);
    let drained = SourceInput::Changes {
        position: position(9, 2),
        updates: vec![update("a", 2, 1, MemberState::Terminating)],
    };
    membership.source_mut(FIRST).handle(now, drained);
    let changes = membership.take_changes(now);
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
    let recreation = SourceInput::Changes {
        position: position(9, 4),
        updates: vec![removed, recreated],
    };
    membership.source_mut(FIRST).handle(now, recreation);
    assert!(membership.take_changes(now)[0].new_incarnation);
    assert!(membership.take_changes(now).is_empty());
}
