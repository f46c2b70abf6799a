//! Random histories of a registry, reported with gaps, replays, lagging followers and resets of the history. The source
//! must have the same members as the registry, however they were reported.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use applewall_membership::{
    ClusterId, FullList, MemberRecord, MemberState, MemberUpdate, MergedMembership, Position,
    ReadConsistency, Source, SourceId, SourceInput, SourceOutput,
};
use proptest::prelude::*;
use proptest::test_runner::TestCaseResult;

const REGISTRY: SourceId = SourceId(0);

#[derive(Clone, Debug)]
enum Step {
    Put {
        id: u8,
        port: u16,
        state: MemberState,
    },
    Delete {
        id: u8,
    },
    /// The watch reports the new changes, preceded by those of the last `replayed` revisions that were reported before.
    Changes {
        replayed: u64,
    },
    /// The full list is read consistently.
    ConsistentRead,
    /// The full list is read from a follower that lags by `lag` revisions.
    StaleRead {
        lag: u64,
    },
    /// The registry's history is reset: the keys stay, and revisions start again at 1.
    ResetHistory {
        other_cluster: bool,
    },
}

fn state(draining: bool) -> MemberState {
    if draining {
        MemberState::Terminating
    } else {
        MemberState::InService
    }
}

fn step() -> impl Strategy<Value = Step> {
    let id = || 0u8..6;
    prop_oneof![
        6 => (id(), 1u16..4, any::<bool>())
            .prop_map(|(id, port, draining)| Step::Put { id, port, state: state(draining) }),
        3 => id().prop_map(|id| Step::Delete { id }),
        6 => Just(Step::Changes { replayed: 0 }),
        2 => (0u64..8).prop_map(|replayed| Step::Changes { replayed }),
        2 => Just(Step::ConsistentRead),
        2 => (0u64..8).prop_map(|lag| Step::StaleRead { lag }),
        1 => any::<bool>().prop_map(|other_cluster| Step::ResetHistory { other_cluster }),
    ]
}

struct Registry {
    position: Position,
    members: BTreeMap<String, MemberUpdate>,
    history: Vec<MemberUpdate>,
    /// The list at each revision, for followers that lag.
    lists: BTreeMap<u64, Vec<MemberUpdate>>,
}

impl Registry {
    fn new() -> Self {
        Registry {
            position: Position {
                cluster: ClusterId(1),
                revision: 1,
            },
            members: BTreeMap::new(),
            history: Vec::new(),
            lists: BTreeMap::new(),
        }
    }

    /// Writes a member's key, or deletes it.
    fn write(&mut self, id: u8, put: Option<(u16, MemberState)>) {
        self.position.revision += 1;
        let (id, revision) = (format!("s-{id}"), self.position.revision);
        let create_revision = self
            .members
            .get(&id)
            .map_or(revision, |old| old.create_revision);
        let record = put.map(|(port, state)| MemberRecord {
            endpoint: ([127, 0, 0, 1], port).into(),
            az: String::new(),
            pod_group: -1,
            state,
            capacity_hint: 0.0,
            boot_ms: 0,
        });
        let update = MemberUpdate {
            id: id.clone(),
            revision,
            create_revision,
            record,
        };
        if update.record.is_some() {
            self.members.insert(id, update.clone());
        } else {
            self.members.remove(&id);
        }
        self.history.push(update);
        self.lists.insert(revision, self.list());
    }

    fn reset_history(&mut self, other_cluster: bool) {
        self.position.cluster.0 += u64::from(other_cluster);
        self.position.revision = 1;
        (self.history, self.lists) = (Vec::new(), BTreeMap::new());
        for update in self.members.values_mut() {
            (update.revision, update.create_revision) = (1, 1);
        }
    }

    fn list(&self) -> Vec<MemberUpdate> {
        self.members.values().cloned().collect()
    }

    fn changes_after(&self, revision: u64) -> Vec<MemberUpdate> {
        self.history
            .iter()
            .filter(|update| update.revision > revision)
            .cloned()
            .collect()
    }

    fn records(&self) -> BTreeMap<String, MemberRecord> {
        self.members
            .iter()
            .map(|(id, update)| (id.clone(), update.record.clone().unwrap()))
            .collect()
    }
}

fn records(source: &Source) -> BTreeMap<String, MemberRecord> {
    source
        .records()
        .map(|(id, record)| (id.to_string(), record.clone()))
        .collect()
}

fn full_list(
    position: Position,
    consistency: ReadConsistency,
    updates: Vec<MemberUpdate>,
) -> SourceInput {
    SourceInput::FullList(FullList {
        position,
        consistency,
        updates,
    })
}

fn report_changes(
    registry: &Registry,
    source: &mut Source,
    now: Instant,
    replayed: u64,
) -> TestCaseResult {
    let known = source.position().unwrap();
    let updates = registry.changes_after(known.revision.saturating_sub(replayed));
    let report = SourceInput::Changes {
        position: registry.position,
        updates,
    };
    let outcome = source.handle(now, report);
    // If the history was reset and the cluster id is the same, the watch resumes at a revision that the registry has
    // not reached yet. Its report cannot be distinguished from an outdated one, and a full read is needed.
    let is_reset =
        known.cluster != registry.position.cluster || known.revision > registry.position.revision;
    prop_assert_eq!(outcome != SourceOutput::Applied, is_reset);
    if outcome == SourceOutput::Applied {
        prop_assert_eq!(records(source), registry.records());
    }
    Ok(())
}

fn report_stale_list(
    registry: &Registry,
    source: &mut Source,
    now: Instant,
    lag: u64,
) -> TestCaseResult {
    let revision = registry.position.revision.saturating_sub(lag);
    let Some(list) = registry.lists.get(&revision).cloned() else {
        return Ok(());
    };
    let (known, before) = (source.position().unwrap(), records(source));
    let position = Position {
        revision,
        ..registry.position
    };
    let outcome = source.handle(now, full_list(position, ReadConsistency::Stale, list));
    let outdated = position.cluster != known.cluster || revision < known.revision;
    let expected = if outdated {
        SourceOutput::Outdated
    } else {
        SourceOutput::Applied
    };
    prop_assert_eq!(outcome, expected);
    prop_assert!(!outdated || before == records(source));
    Ok(())
}

fn apply_step(
    step: Step,
    registry: &mut Registry,
    source: &mut Source,
    now: Instant,
) -> TestCaseResult {
    match step {
        Step::Put { id, port, state } => registry.write(id, Some((port, state))),
        Step::Delete { id } => registry.write(id, None),
        Step::Changes { replayed } => report_changes(registry, source, now, replayed)?,
        Step::ConsistentRead => {
            let (position, list) = (registry.position, registry.list());
            let outcome =
                source.handle(now, full_list(position, ReadConsistency::Consistent, list));
            prop_assert_eq!(outcome, SourceOutput::Applied);
            prop_assert_eq!(records(source).len(), registry.members.len());
        }
        Step::StaleRead { lag } => report_stale_list(registry, source, now, lag)?,
        Step::ResetHistory { other_cluster } => {
            // The connection is lost with the reset, and a full read follows.
            registry.reset_history(other_cluster);
            let (position, list) = (registry.position, registry.list());
            source.handle(now, full_list(position, ReadConsistency::Consistent, list));
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    #[test]
    fn source_has_the_members_of_the_registry_and_its_changes_add_up_to_them(
        steps in prop::collection::vec(step(), 1..120)
    ) {
        let mut registry = Registry::new();
        let mut membership = MergedMembership::new(1, Duration::MAX);
        let empty = full_list(registry.position, ReadConsistency::Consistent, Vec::new());
        let start = Instant::now();
        membership.source_mut(REGISTRY).handle(start, empty);
        // The members as the reported changes add up to them.
        let mut known = BTreeMap::<String, MemberRecord>::new();
        for (elapsed, step) in (0u64..).zip(steps) {
            let now = start + Duration::from_nanos(elapsed);
            apply_step(step, &mut registry, membership.source_mut(REGISTRY), now)?;
            for change in membership.take_changes(now) {
                if let Some(record) = change.record {
                    known.insert(change.id, record);
                } else {
                    prop_assert!(known.remove(&change.id).is_some(), "removed twice");
                }
            }
            prop_assert_eq!(&known, &records(membership.source_mut(REGISTRY)));
        }
    }
}
