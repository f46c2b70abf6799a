//! Full lists, changes and progress notifications of one registry: replayed, outdated, and after a reset of its
//! history.

use std::time::{Duration, Instant};

use super::{FullList, MemberUpdate, Position, ReadConsistency, Source, SourceInput, SourceOutput};
use crate::test_support::{consistent_list, position, update};

fn at(revision: u64) -> Position {
    position(1, revision)
}

fn in_cluster_2(revision: u64) -> Position {
    position(2, revision)
}

fn changes(position: Position, updates: Vec<MemberUpdate>) -> SourceInput {
    SourceInput::Changes { position, updates }
}

fn changed(source: &mut Source) -> Vec<String> {
    source.take_changed().into_iter().collect()
}

fn incarnation(source: &Source) -> Option<u64> {
    source.member("a").map(|member| member.incarnation)
}

#[test]
fn member_missing_from_a_full_list_is_removed_and_replays_change_nothing() {
    let now = Instant::now();
    let mut source = Source::default();
    let both = vec![update("a", 5, 5, Some(1)), update("b", 6, 6, Some(2))];
    source.handle(now, consistent_list(at(10), both));
    assert_eq!(changed(&mut source), ["a", "b"]);
    let only_a = vec![update("a", 5, 5, Some(1))];
    source.handle(now, consistent_list(at(12), only_a));
    assert_eq!(changed(&mut source), ["b"]);
    // The removal of b is replayed, and a change older than the list is reported.
    let removal = changes(at(12), vec![update("b", 11, 0, None)]);
    assert_eq!(source.handle(now, removal), SourceOutput::Applied);
    let old_change = changes(at(11), vec![update("a", 11, 5, Some(9))]);
    assert_eq!(source.handle(now, old_change), SourceOutput::Outdated);
    assert!(changed(&mut source).is_empty());
    assert_eq!(source.position(), Some(at(12)));
}

#[test]
fn recreated_or_moved_member_is_a_new_incarnation() {
    let now = Instant::now();
    let mut source = Source::default();
    let created = vec![update("a", 5, 5, Some(1))];
    source.handle(now, consistent_list(at(10), created));
    let first = incarnation(&source);
    // Deleted and created again within one report.
    let recreated = vec![update("a", 11, 0, None), update("a", 12, 12, Some(1))];
    source.handle(now, changes(at(12), recreated));
    let second = incarnation(&source);
    assert!(second > first && changed(&mut source) == ["a"]);
    let moved = vec![update("a", 13, 12, Some(2))];
    source.handle(now, changes(at(13), moved));
    assert!(incarnation(&source) > second);
    // Recreated while disconnected: the next full list has a different create revision.
    let third = incarnation(&source);
    let recreated = vec![update("a", 20, 20, Some(2))];
    source.handle(now, consistent_list(at(20), recreated));
    assert!(incarnation(&source) > third);
}

#[test]
fn restarted_history_is_recognised_and_a_lagging_follower_is_not_mistaken_for_one() {
    let start = Instant::now();
    let after = |milliseconds| start + Duration::from_millis(milliseconds);
    let mut source = Source::default();
    let both = vec![update("a", 5, 5, Some(1)), update("b", 6, 6, Some(2))];
    source.handle(start, consistent_list(at(100), both));
    changed(&mut source);
    for position in [at(90), in_cluster_2(200)] {
        let stale = SourceInput::FullList(FullList {
            position,
            consistency: ReadConsistency::Stale,
            updates: vec![],
        });
        assert_eq!(
            source.handle(after(1), stale),
            SourceOutput::Outdated,
            "stale list at {position:?}"
        );
    }
    assert_eq!(
        source.handle(after(1), changes(in_cluster_2(200), vec![])),
        SourceOutput::Gap
    );
    assert_eq!(
        source.handle(after(1), SourceInput::Progress(at(99))),
        SourceOutput::Outdated
    );
    // Restored from a backup: the revision is lower, a has the same address and b is missing.
    let restored = vec![update("a", 3, 3, Some(1))];
    assert_eq!(
        source.handle(after(2), consistent_list(at(7), restored)),
        SourceOutput::Applied
    );
    assert_eq!(
        (changed(&mut source), source.position()),
        (vec!["b".to_string()], Some(at(7)))
    );
    // The registry was replaced by another cluster.
    let other_cluster = vec![update("a", 1, 1, Some(1))];
    assert_eq!(
        source.handle(after(3), consistent_list(in_cluster_2(1), other_cluster)),
        SourceOutput::Applied
    );
    assert!(changed(&mut source).is_empty());
    assert_eq!(source.age(after(10)), Some(Duration::from_millis(7)));
}
