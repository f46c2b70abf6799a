//! What one registry has told.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::collections::{BTreeMap, BTreeSet};

use crate::entry::MemberRecord;

/// One key's news.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberUpdate {
    /// The member.
    pub id: String,
    /// The revision of the last change of it, as the registry counts.
    pub revision: u64,
    /// The revision at which it came into being: another one is another life.
    pub create_revision: u64,
    /// None: removed, or there but not to be read. Both are the same to those who would send to it.
    pub record: Option<MemberRecord>,
}

/// What became of news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// Taken, though it may have changed nothing.
    Applied,
    /// Older than what is held, or seen already: dropped.
    Outdated,
    /// Changes of a registry that began anew, or that do not follow on what is held: a full list is needed.
    Gap,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Held {
    pub entry: MemberRecord,
    pub revision: u64,
    pub created: u64,
    /// Counts lives of this id in this source, across everything.
    pub life: u64,
}

/// The list of one registry as far as it was told. Survives its losses: the list as it was stays.
#[derive(Clone, Debug, Default)]
pub struct Source {
    cluster: Option<u64>,
    revision: u64,
    held: BTreeMap<String, Held>,
    lives: u64,
    /// When the list was last known to be current.
    current: Option<u64>,
    /// Ids that changed since they were last taken.
    changed: BTreeSet<String>,
}

impl Source {
    /// The whole list at a revision, read so that nothing that was written before is missing (`consistent`), or as a
    /// follower of the registry had it.
    ///
    /// A consistent one always holds. Where its revision lies before what is held, or its cluster is another one, the
    /// registry began anew, and all that is held is a former life's. A follower's list that is older than what is held
    /// is dropped.
    pub fn apply_full_list(
        &mut self,
        now: u64,
        cluster: u64,
        revision: u64,
        consistent: bool,
        items: Vec<MemberUpdate>,
    ) -> ApplyOutcome {
        let same = self.cluster.is_none_or(|held| held == cluster);
        let older = self.cluster.is_some() && revision < self.revision;
        if !consistent && (!same || older) {
            return ApplyOutcome::Outdated;
        }
        let anew = !same || older;
        (self.cluster, self.revision, self.current) = (Some(cluster), revision, Some(now));
        let mut gone: BTreeSet<String> = self.held.keys().cloned().collect();
        for item in items {
            if item.record.is_some() {
                gone.remove(&item.id);
            }
            self.put(item, anew);
        }
        // Who is missing has gone.
        for id in gone {
            self.held.remove(&id);
            self.changed.insert(id);
        }
        ApplyOutcome::Applied
    }

    /// The list of an earlier life. It is held, and not known to be current: any source that is goes before it.
    pub fn restore(&mut self, cluster: u64, revision: u64, items: Vec<MemberUpdate>) {
        self.apply_full_list(0, cluster, revision, true, items);
        self.current = None;
    }

    /// Changes up to a revision, after all those told before. Items at revisions that are held already are replays
    /// and dropped one by one.
    pub fn apply_changes(
        &mut self,
        now: u64,
        cluster: u64,
        revision: u64,
        items: Vec<MemberUpdate>,
    ) -> ApplyOutcome {
        if self.cluster != Some(cluster) {
            return ApplyOutcome::Gap;
        }
        if revision < self.revision {
            return ApplyOutcome::Outdated;
        }
        let before = self.revision;
        (self.revision, self.current) = (revision, Some(now));
        items
            .into_iter()
            .filter(|item| item.revision > before)
            .for_each(|item| self.put(item, false));
        ApplyOutcome::Applied
    }

    /// Nothing has changed up to a revision. One that lies before what is held proves nothing.
    pub fn apply_progress(&mut self, now: u64, cluster: u64, revision: u64) -> ApplyOutcome {
        match (self.cluster == Some(cluster), revision < self.revision) {
            (false, _) => ApplyOutcome::Gap,
            (true, true) => ApplyOutcome::Outdated,
            (true, false) => {
                (self.revision, self.current) = (revision, Some(now));
                ApplyOutcome::Applied
            }
        }
    }

    fn put(&mut self, item: MemberUpdate, anew: bool) {
        let MemberUpdate {
            id,
            revision,
            create_revision: created,
            record: entry,
        } = item;
        let held = self.held.get(&id);
        let Some(entry) = entry else {
            if self.held.remove(&id).is_some() {
                self.changed.insert(id);
            }
            return;
        };
        // Another address, or removed and added again however quickly: another life.
        let same_life =
            held.filter(|h| !anew && h.created == created && h.entry.endpoint == entry.endpoint);
        // A registry that began anew counts from the start, but a member that stayed where it was has not restarted.
        let stayed = held.filter(|h| anew && h.entry.endpoint == entry.endpoint);
        let life = same_life.or(stayed).map(|h| h.life).unwrap_or_else(|| {
            self.lives += 1;
            self.lives
        });
        let put = Held {
            entry,
            revision,
            created,
            life,
        };
        if self
            .held
            .get(&id)
            .is_none_or(|held| held.entry != put.entry || held.life != put.life)
        {
            self.changed.insert(id.clone());
        }
        self.held.insert(id, put);
    }

    /// Where to resume: the cluster and the revision up to which all is known.
    pub fn position(&self) -> Option<(u64, u64)> {
        self.cluster.map(|cluster| (cluster, self.revision))
    }

    /// For how long the list has not been known to be current; none: it never was.
    pub fn age(&self, now: u64) -> Option<u64> {
        self.current.map(|current| now.saturating_sub(current))
    }

    /// What is held, by id.
    pub fn records(&self) -> impl Iterator<Item = (&str, &MemberRecord)> {
        self.held
            .iter()
            .map(|(id, held)| (id.as_str(), &held.entry))
    }

    pub(crate) fn held(&self, id: &str) -> Option<&Held> {
        self.held.get(id)
    }

    pub(crate) fn take_changed(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.changed)
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = &String> {
        self.held.keys()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn item(id: &str, revision: u64, created: u64, port: Option<u16>) -> MemberUpdate {
        let entry = |port| MemberRecord {
            endpoint: ([127, 0, 0, 1], port).into(),
            az: String::new(),
            pod_group: -1,
            state: Default::default(),
            capacity_hint: 0.0,
            boot_ms: 0,
        };
        MemberUpdate {
            id: id.to_string(),
            revision,
            create_revision: created,
            record: port.map(entry),
        }
    }

    fn changed(source: &mut Source) -> Vec<String> {
        source.take_changed().into_iter().collect()
    }

    #[test]
    fn who_is_missing_from_a_full_list_has_gone_and_replays_change_nothing() {
        let mut source = Source::default();
        source.apply_full_list(
            0,
            1,
            10,
            true,
            vec![item("a", 5, 5, Some(1)), item("b", 6, 6, Some(2))],
        );
        assert_eq!(changed(&mut source), ["a", "b"]);
        source.apply_full_list(1, 1, 12, true, vec![item("a", 5, 5, Some(1))]);
        assert_eq!(changed(&mut source), ["b"]);
        // b's removal again, and news older than the list.
        assert_eq!(
            source.apply_changes(2, 1, 12, vec![item("b", 11, 0, None)]),
            ApplyOutcome::Applied
        );
        assert_eq!(
            source.apply_changes(2, 1, 11, vec![item("a", 11, 5, Some(9))]),
            ApplyOutcome::Outdated
        );
        assert!(changed(&mut source).is_empty());
        assert_eq!(source.position(), Some((1, 12)));
    }

    #[test]
    fn removed_and_added_again_or_at_a_new_address_is_a_new_life() {
        let mut source = Source::default();
        source.apply_full_list(0, 1, 10, true, vec![item("a", 5, 5, Some(1))]);
        let life = |source: &Source| source.held("a").map(|h| h.life);
        let first = life(&source);
        // Both within one answer.
        source.apply_changes(
            1,
            1,
            12,
            vec![item("a", 11, 0, None), item("a", 12, 12, Some(1))],
        );
        let second = life(&source);
        assert!(second > first && changed(&mut source) == ["a"]);
        source.apply_changes(2, 1, 13, vec![item("a", 13, 12, Some(2))]);
        assert!(life(&source) > second);
        // Seen only by its new birth, in a full list after a break.
        let third = life(&source);
        source.apply_full_list(3, 1, 20, true, vec![item("a", 20, 20, Some(2))]);
        assert!(life(&source) > third);
    }

    #[test]
    fn a_registry_that_began_anew_is_recognised_and_a_slow_follower_is_not_taken_for_one() {
        let mut source = Source::default();
        source.apply_full_list(
            0,
            1,
            100,
            true,
            vec![item("a", 5, 5, Some(1)), item("b", 6, 6, Some(2))],
        );
        changed(&mut source);
        assert_eq!(
            source.apply_full_list(1, 1, 90, false, vec![]),
            ApplyOutcome::Outdated
        );
        assert_eq!(
            source.apply_full_list(1, 2, 200, false, vec![]),
            ApplyOutcome::Outdated
        );
        assert_eq!(source.apply_changes(1, 2, 200, vec![]), ApplyOutcome::Gap);
        assert_eq!(source.apply_progress(1, 1, 99), ApplyOutcome::Outdated);
        // Restored from a copy: revisions went back, a stayed where it was and b is gone.
        assert_eq!(
            source.apply_full_list(2, 1, 7, true, vec![item("a", 3, 3, Some(1))]),
            ApplyOutcome::Applied
        );
        assert_eq!(
            (changed(&mut source), source.position()),
            (vec!["b".to_string()], Some((1, 7)))
        );
        // Another cluster altogether.
        assert_eq!(
            source.apply_full_list(3, 2, 1, true, vec![item("a", 1, 1, Some(1))]),
            ApplyOutcome::Applied
        );
        assert!(changed(&mut source).is_empty());
        assert_eq!(source.age(10), Some(7));
    }
}
