//! Full lists, changes and progress of one registry, replayed, outdated and after a restart.

use super::{ApplyOutcome, MemberUpdate, Position, ReadConsistency, Source};
use crate::test_support::update;

fn at(revision: u64) -> Position {
    Position {
        cluster: 1,
        revision,
    }
}

fn in_cluster_2(revision: u64) -> Position {
    Position {
        cluster: 2,
        revision,
    }
}

fn apply_consistent_list(
    source: &mut Source,
    now_ns: u64,
    position: Position,
    updates: Vec<MemberUpdate>,
) -> ApplyOutcome {
    source.apply_full_list(now_ns, position, ReadConsistency::Consistent, updates)
}

fn changed(source: &mut Source) -> Vec<String> {
    source.take_changed().into_iter().collect()
}

#[test]
fn a_member_missing_from_a_full_list_is_removed_and_replays_change_nothing() {
    let mut source = Source::default();
    let both = vec![update("a", 5, 5, Some(1)), update("b", 6, 6, Some(2))];
    apply_consistent_list(&mut source, 0, at(10), both);
    assert_eq!(changed(&mut source), ["a", "b"]);
    let only_a = vec![update("a", 5, 5, Some(1))];
    apply_consistent_list(&mut source, 1, at(12), only_a);
    assert_eq!(changed(&mut source), ["b"]);
    // The removal of b again, and a change older than the list.
    assert_eq!(
        source.apply_changes(2, at(12), vec![update("b", 11, 0, None)]),
        ApplyOutcome::Applied
    );
    assert_eq!(
        source.apply_changes(2, at(11), vec![update("a", 11, 5, Some(9))]),
        ApplyOutcome::Outdated
    );
    assert!(changed(&mut source).is_empty());
    assert_eq!(source.position(), Some(at(12)));
}

#[test]
fn a_recreated_or_moved_member_is_a_new_incarnation() {
    let mut source = Source::default();
    let created = vec![update("a", 5, 5, Some(1))];
    apply_consistent_list(&mut source, 0, at(10), created);
    let incarnation = |source: &Source| source.member("a").map(|member| member.incarnation);
    let first = incarnation(&source);
    // Removed and added again within one answer.
    let recreated = vec![update("a", 11, 0, None), update("a", 12, 12, Some(1))];
    source.apply_changes(1, at(12), recreated);
    let second = incarnation(&source);
    assert!(second > first && changed(&mut source) == ["a"]);
    source.apply_changes(2, at(13), vec![update("a", 13, 12, Some(2))]);
    assert!(incarnation(&source) > second);
    // Seen only by its new create revision, in a full list after a break.
    let third = incarnation(&source);
    let recreated = vec![update("a", 20, 20, Some(2))];
    apply_consistent_list(&mut source, 3, at(20), recreated);
    assert!(incarnation(&source) > third);
}

#[test]
fn a_registry_that_began_anew_is_recognised_and_a_lagging_follower_is_not_mistaken_for_one() {
    let mut source = Source::default();
    let both = vec![update("a", 5, 5, Some(1)), update("b", 6, 6, Some(2))];
    apply_consistent_list(&mut source, 0, at(100), both);
    changed(&mut source);
    for stale in [at(90), in_cluster_2(200)] {
        assert_eq!(
            source.apply_full_list(1, stale, ReadConsistency::Stale, vec![]),
            ApplyOutcome::Outdated
        );
    }
    assert_eq!(
        source.apply_changes(1, in_cluster_2(200), vec![]),
        ApplyOutcome::Gap
    );
    assert_eq!(source.apply_progress(1, at(99)), ApplyOutcome::Outdated);
    // Restored from a backup: revisions went back, a kept its address and b is gone.
    let restored = vec![update("a", 3, 3, Some(1))];
    assert_eq!(
        apply_consistent_list(&mut source, 2, at(7), restored),
        ApplyOutcome::Applied
    );
    assert_eq!(
        (changed(&mut source), source.position()),
        (vec!["b".to_string()], Some(at(7)))
    );
    // Another cluster altogether.
    let other_cluster = vec![update("a", 1, 1, Some(1))];
    assert_eq!(
        apply_consistent_list(&mut source, 3, in_cluster_2(1), other_cluster),
        ApplyOutcome::Applied
    );
    assert!(changed(&mut source).is_empty());
    assert_eq!(source.age_ns(10), Some(7));
}
