//! Random histories of a registry, told through breaks, replays, compactions and restarts: what is held has to be what
//! the registry holds, whatever was told how.

use std::collections::BTreeMap;

use applewall_membership::{
    ApplyOutcome, MemberRecord, MemberState, MemberUpdate, MergedMembership, Source,
};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Put {
        id: u8,
        port: u16,
        drains: bool,
    },
    Delete {
        id: u8,
    },
    /// The watch tells what it has not told.
    Tell,
    /// The watch tells some of what it told already, again.
    Replay {
        back: u64,
    },
    /// The whole list is read.
    Read,
    /// A follower that lags so far tells its whole list.
    Stale {
        back: u64,
    },
    /// The registry begins anew with what it holds now, its revisions counted from the start.
    Anew {
        cluster: bool,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let id = || 0u8..6;
    prop_oneof![
        6 => (id(), 1u16..4, any::<bool>()).prop_map(|(id, port, drains)| Step::Put { id, port, drains }),
        3 => id().prop_map(|id| Step::Delete { id }),
        6 => Just(Step::Tell),
        2 => (0u64..8).prop_map(|back| Step::Replay { back }),
        2 => Just(Step::Read),
        2 => (0u64..8).prop_map(|back| Step::Stale { back }),
        1 => any::<bool>().prop_map(|cluster| Step::Anew { cluster }),
    ]
}

#[derive(Clone, Default)]
struct Registry {
    cluster: u64,
    revision: u64,
    live: BTreeMap<String, MemberUpdate>,
    history: Vec<MemberUpdate>,
    /// The list at each revision, for followers that lag.
    lists: BTreeMap<u64, Vec<MemberUpdate>>,
}

impl Registry {
    fn change(&mut self, id: u8, put: Option<(u16, bool)>) {
        self.revision += 1;
        let id = format!("s-{id}");
        let created = self
            .live
            .get(&id)
            .map_or(self.revision, |old| old.create_revision);
        let entry = put.map(|(port, drains)| MemberRecord {
            endpoint: ([127, 0, 0, 1], port).into(),
            az: String::new(),
            pod_group: -1,
            state: if drains {
                MemberState::Terminating
            } else {
                MemberState::InService
            },
            capacity_hint: 0.0,
            boot_ms: 0,
        });
        let item = MemberUpdate {
            id: id.clone(),
            revision: self.revision,
            create_revision: created,
            record: entry,
        };
        match item.record.is_some() {
            true => drop(self.live.insert(id, item.clone())),
            false => drop(self.live.remove(&id)),
        }
        self.history.push(item);
        self.lists.insert(self.revision, self.list());
    }

    fn list(&self) -> Vec<MemberUpdate> {
        self.live.values().cloned().collect()
    }

    fn since(&self, revision: u64) -> Vec<MemberUpdate> {
        self.history
            .iter()
            .filter(|item| item.revision > revision)
            .cloned()
            .collect()
    }
}

fn held(source: &Source) -> BTreeMap<String, MemberRecord> {
    source
        .records()
        .map(|(id, entry)| (id.to_string(), entry.clone()))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    #[test]
    fn what_is_held_is_what_the_registry_holds(steps in prop::collection::vec(step(), 1..120)) {
        let mut registry = Registry { cluster: 1, revision: 1, ..Registry::default() };
        let mut roster = MergedMembership::new(1, u64::MAX);
        roster.source_mut(0).apply_full_list(0, 1, 1, true, Vec::new());
        // What somebody holds who only hears of changes.
        let mut heard = BTreeMap::<String, MemberRecord>::new();
        for (now, step) in steps.into_iter().enumerate() {
            let now = now as u64;
            let known = roster.source_mut(0).position().unwrap();
            match step {
                Step::Put { id, port, drains } => registry.change(id, Some((port, drains))),
                Step::Delete { id } => registry.change(id, None),
                Step::Tell | Step::Replay { .. } => {
                    let back = if let Step::Replay { back } = step { back } else { 0 };
                    let items = registry.since(known.1.saturating_sub(back));
                    let took = roster.source_mut(0).apply_changes(now, registry.cluster, registry.revision, items);
                    // A watch of a registry that began anew behind the same cluster id resumes at a revision that it
                    // does not have yet: it can't be told from an old one, and a full read settles it.
                    let anew = known.0 != registry.cluster || known.1 > registry.revision;
                    prop_assert_eq!(took != ApplyOutcome::Applied, anew);
                    if took == ApplyOutcome::Applied {
                        let live: BTreeMap<_, _> = registry
                            .live
                            .iter()
                            .map(|(id, item)| (id.clone(), item.record.clone().unwrap()))
                            .collect();
                        prop_assert_eq!(held(roster.source_mut(0)), live);
                    }
                }
                Step::Read => {
                    let (cluster, revision, list) = (registry.cluster, registry.revision, registry.list());
                    prop_assert_eq!(roster.source_mut(0).apply_full_list(now, cluster, revision, true, list), ApplyOutcome::Applied);
                    prop_assert_eq!(held(roster.source_mut(0)).len(), registry.live.len());
                }
                Step::Stale { back } => {
                    let revision = registry.revision.saturating_sub(back);
                    let list = registry.lists.get(&revision).cloned().unwrap_or_default();
                    if registry.lists.contains_key(&revision) {
                        let before = held(roster.source_mut(0));
                        let took = roster.source_mut(0).apply_full_list(now, registry.cluster, revision, false, list);
                        let old = registry.cluster != known.0 || revision < known.1;
                        prop_assert_eq!(took, if old { ApplyOutcome::Outdated } else { ApplyOutcome::Applied });
                        prop_assert!(!old || before == held(roster.source_mut(0)));
                    }
                }
                Step::Anew { cluster } => {
                    // Told first: a restart of a registry is a break, and what comes after it a full read.
                    registry.cluster += u64::from(cluster);
                    (registry.history, registry.lists) = (Vec::new(), BTreeMap::new());
                    registry.revision = 1;
                    for item in registry.live.values_mut() {
                        (item.revision, item.create_revision) = (1, 1);
                    }
                    let (cluster, list) = (registry.cluster, registry.list());
                    roster.source_mut(0).apply_full_list(now, cluster, 1, true, list);
                }
            }
            for change in roster.take_changes(now) {
                match change.record {
                    Some(entry) => drop(heard.insert(change.id, entry)),
                    None => prop_assert!(heard.remove(&change.id).is_some(), "gone twice"),
                }
            }
            prop_assert_eq!(&heard, &held(roster.source_mut(0)));
        }
    }
}
