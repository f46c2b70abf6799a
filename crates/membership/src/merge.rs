//! Several sources as one roster.
//!
//! Precedence: sources are named in order, the first one foremost. An id is as the foremost *fresh* source that holds
//! it says; a source is fresh for as long as its list was known to be current within the believed age. Where no fresh
//! source holds it, the foremost of the stale ones that does decides: when all are stale, the roster stays as it last
//! was, and says how old it is. A member is never dropped for the age of a list alone: an old list is a better guess
//! than none.

use std::collections::{BTreeMap, BTreeSet};

use crate::entry::{MemberRecord, MemberState};
use crate::source::Source;

/// What changed for one member.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberChange {
    /// The member.
    pub id: String,
    /// As it is now; none: gone.
    pub record: Option<MemberRecord>,
    /// It is another life than the one told before: whoever held something against that one has to forget it.
    pub new_incarnation: bool,
    /// Which source says so; none: gone.
    pub source: Option<usize>,
}

/// Merged sources, and what was told of them.
#[derive(Debug)]
pub struct MergedMembership {
    sources: Vec<Source>,
    believed: u64,
    fresh: Vec<bool>,
    /// What was told: the entry, and whose life it was.
    told: BTreeMap<String, (MemberRecord, (usize, u64))>,
}

impl MergedMembership {
    /// So many sources, the foremost first; a list is believed for so many nanoseconds without proof that it is
    /// current.
    pub fn new(sources: usize, believed: u64) -> Self {
        MergedMembership {
            sources: vec![Source::default(); sources],
            believed,
            fresh: vec![false; sources],
            told: BTreeMap::new(),
        }
    }

    /// One of the sources, to be told news.
    ///
    /// # Panics
    ///
    /// Where there are not so many.
    pub fn source_mut(&mut self, number: usize) -> &mut Source {
        &mut self.sources[number]
    }

    /// Each source's age, as [`Source::age`] has it.
    pub fn ages(&self, now: u64) -> Vec<Option<u64>> {
        self.sources.iter().map(|source| source.age(now)).collect()
    }

    /// True where no source is fresh.
    pub fn all_stale(&self, now: u64) -> bool {
        !self.sources.iter().any(|source| self.is_fresh(source, now))
    }

    fn is_fresh(&self, source: &Source, now: u64) -> bool {
        source.age(now).is_some_and(|age| age <= self.believed)
    }

    /// What changed since the last call; ids in order, each once.
    pub fn take_changes(&mut self, now: u64) -> Vec<MemberChange> {
        let fresh: Vec<bool> = self
            .sources
            .iter()
            .map(|source| self.is_fresh(source, now))
            .collect();
        let mut ids = BTreeSet::new();
        for (number, source) in self.sources.iter_mut().enumerate() {
            ids.append(&mut source.take_changed());
            // One that became fresh or stale is believed more or less than before in all that it holds.
            if fresh[number] != self.fresh[number] {
                ids.extend(source.ids().cloned());
            }
        }
        self.fresh = fresh;
        ids.into_iter().filter_map(|id| self.change(id)).collect()
    }

    fn change(&mut self, id: String) -> Option<MemberChange> {
        let holds = |want: bool| {
            let of = self
                .sources
                .iter()
                .enumerate()
                .filter(|(n, _)| self.fresh[*n] == want);
            of.filter_map(|(n, source)| source.held(&id).map(|held| (n, held)))
                .next()
        };
        let now = holds(true).or_else(|| holds(false));
        let now = now.map(|(number, held)| (held.entry.clone(), (number, held.life)));
        let before = self.told.get(&id);
        let changed = match (&now, before) {
            (None, None) => return None,
            (Some((entry, life)), Some((old, old_life))) => {
                // Lives are counted by each source for itself: told by another source, a member that stayed where it
                // was is the same.
                let same = if life.0 == old_life.0 {
                    life.1 == old_life.1
                } else {
                    entry.endpoint == old.endpoint
                };
                (!same || entry != old).then_some(!same)
            }
            (Some(_), None) => Some(true),
            (None, Some(_)) => Some(false),
        };
        match &now {
            Some(now) => self.told.insert(id.clone(), now.clone()),
            None => self.told.remove(&id),
        };
        let source = now.as_ref().map(|(_, (source, _))| *source);
        changed.map(|anew| MemberChange {
            id,
            record: now.map(|(entry, _)| entry),
            new_incarnation: anew,
            source,
        })
    }

    /// All members as they were told.
    pub fn members(&self) -> impl Iterator<Item = (&str, &MemberRecord)> {
        self.told
            .iter()
            .map(|(id, (entry, _))| (id.as_str(), entry))
    }

    /// Members that take work.
    pub fn in_service_count(&self) -> usize {
        self.told
            .values()
            .filter(|(entry, _)| entry.state == MemberState::InService)
            .count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::source::MemberUpdate;

    fn item(id: &str, revision: u64, port: u16, state: MemberState) -> MemberUpdate {
        let entry = MemberRecord {
            endpoint: ([127, 0, 0, 1], port).into(),
            az: String::new(),
            pod_group: -1,
            state,
            capacity_hint: 0.0,
            boot_ms: 0,
        };
        MemberUpdate {
            id: id.to_string(),
            revision,
            create_revision: 1,
            record: Some(entry),
        }
    }

    fn ports(roster: &MergedMembership) -> Vec<u16> {
        roster
            .members()
            .map(|(_, entry)| entry.endpoint.port())
            .collect()
    }

    #[test]
    fn the_foremost_fresh_source_decides_and_all_stale_changes_nothing() {
        let mut roster = MergedMembership::new(2, 100);
        roster.source_mut(1).apply_full_list(
            0,
            9,
            1,
            true,
            vec![
                item("a", 1, 2, MemberState::InService),
                item("b", 1, 3, MemberState::InService),
            ],
        );
        assert_eq!(
            (roster.take_changes(0).len(), ports(&roster)),
            (2, vec![2, 3])
        );
        roster.source_mut(0).apply_full_list(
            10,
            8,
            1,
            true,
            vec![item("a", 1, 1, MemberState::Terminating)],
        );
        let changes = roster.take_changes(10);
        assert_eq!(
            (changes.len(), changes[0].new_incarnation, ports(&roster)),
            (1, true, vec![1, 3])
        );
        // The first one is lost for long, the second one is current: it decides.
        roster.source_mut(1).apply_progress(105, 9, 5);
        roster.take_changes(120);
        assert_eq!((ports(&roster), roster.all_stale(120)), (vec![2, 3], false));
        // Both are lost: the foremost of the old lists, and nobody is dropped.
        roster.take_changes(1_000);
        assert_eq!(
            (ports(&roster), roster.all_stale(1_000)),
            (vec![1, 3], true)
        );
        assert_eq!(roster.ages(1_000), [Some(990), Some(895)]);
    }

    #[test]
    fn a_drain_is_no_new_life_and_a_birth_at_the_same_place_is() {
        let mut roster = MergedMembership::new(1, 100);
        roster.source_mut(0).apply_full_list(
            0,
            9,
            1,
            true,
            vec![item("a", 1, 1, MemberState::InService)],
        );
        assert!(roster.take_changes(0)[0].new_incarnation);
        roster.source_mut(0).apply_changes(
            1,
            9,
            2,
            vec![item("a", 2, 1, MemberState::Terminating)],
        );
        let changes = roster.take_changes(1);
        assert_eq!(
            (
                changes.len(),
                changes[0].new_incarnation,
                roster.in_service_count()
            ),
            (1, false, 0)
        );
        let again = MemberUpdate {
            create_revision: 4,
            ..item("a", 4, 1, MemberState::Terminating)
        };
        roster.source_mut(0).apply_changes(
            2,
            9,
            4,
            vec![
                MemberUpdate {
                    record: None,
                    revision: 3,
                    ..again.clone()
                },
                again,
            ],
        );
        assert!(roster.take_changes(2)[0].new_incarnation);
        assert!(roster.take_changes(3).is_empty());
    }
}
