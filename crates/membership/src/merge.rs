//! Several sources as one membership.
//!
//! Sources have a fixed order of precedence. A member is as the first *fresh* source that holds it reports it; a source
//! is fresh while its list was known to be current within the maximum age. Where no fresh source holds a member, the
//! first stale one that does decides: when all are stale, the membership stays as it was. A member is never dropped
//! because of the age of a list alone: an old list is a better guess than none.

use std::collections::{BTreeMap, BTreeSet};

use crate::record::{MemberRecord, MemberState};
use crate::source::Source;

/// What changed for one member.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberChange {
    /// The member.
    pub id: String,
    /// Its present record; none: it is gone.
    pub record: Option<MemberRecord>,
    /// It is another incarnation than the one reported before: what is known about that one no longer applies.
    pub new_incarnation: bool,
    /// The number of the source that reports it; none: it is gone.
    pub source: Option<usize>,
}

/// A member as it was last returned by [`MergedMembership::take_changes`].
#[derive(Clone, Debug)]
struct ReportedMember {
    record: MemberRecord,
    source: usize,
    /// The source's own count.
    incarnation: u64,
}

impl ReportedMember {
    /// True where both are the same incarnation. Each source counts its own incarnations, so that a member which
    /// another source reports is the same one if it kept its address.
    fn is_same_incarnation(&self, other: &Self) -> bool {
        if self.source == other.source {
            self.incarnation == other.incarnation
        } else {
            self.record.endpoint == other.record.endpoint
        }
    }
}

/// Merged sources, and what was reported of them.
#[derive(Debug)]
pub struct MergedMembership {
    sources: Vec<Source>,
    max_age_ns: u64,
    /// Which sources were fresh at the last [`MergedMembership::take_changes`].
    fresh: Vec<bool>,
    reported: BTreeMap<String, ReportedMember>,
}

impl MergedMembership {
    /// With this many sources, the first one with the highest precedence. A list is fresh for `max_age_ns` without a
    /// proof that it is current.
    pub fn new(sources: usize, max_age_ns: u64) -> Self {
        MergedMembership {
            sources: vec![Source::default(); sources],
            max_age_ns,
            fresh: vec![false; sources],
            reported: BTreeMap::new(),
        }
    }

    /// One of the sources, to apply reports to.
    ///
    /// # Panics
    ///
    /// If there are not so many sources.
    pub fn source_mut(&mut self, number: usize) -> &mut Source {
        &mut self.sources[number]
    }

    /// Each source's age, as in [`Source::age_ns`].
    pub fn ages_ns(&self, now_ns: u64) -> Vec<Option<u64>> {
        let age_ns = |source: &Source| source.age_ns(now_ns);
        self.sources.iter().map(age_ns).collect()
    }

    /// True where no source is fresh.
    pub fn all_stale(&self, now_ns: u64) -> bool {
        let fresh = |source| self.is_fresh(source, now_ns);
        !self.sources.iter().any(fresh)
    }

    fn is_fresh(&self, source: &Source, now_ns: u64) -> bool {
        let age_ns = source.age_ns(now_ns);
        age_ns.is_some_and(|age_ns| age_ns <= self.max_age_ns)
    }

    /// What changed since the last call; ids in order, each once.
    pub fn take_changes(&mut self, now_ns: u64) -> Vec<MemberChange> {
        let is_fresh = |source| self.is_fresh(source, now_ns);
        let fresh: Vec<bool> = self.sources.iter().map(is_fresh).collect();
        let mut ids = BTreeSet::new();
        for (number, source) in self.sources.iter_mut().enumerate() {
            ids.append(&mut source.take_changed());
            // A source that became fresh or stale has another precedence than before in all that it holds.
            if fresh[number] != self.fresh[number] {
                ids.extend(source.ids().cloned());
            }
        }
        self.fresh = fresh;
        ids.into_iter().filter_map(|id| self.change(id)).collect()
    }

    /// The member as the source that decides on it reports it.
    fn decided(&self, id: &str) -> Option<ReportedMember> {
        let first_that_holds = |fresh: bool| {
            let numbered = self.sources.iter().enumerate();
            numbered
                .filter(|(number, _)| self.fresh[*number] == fresh)
                .find_map(|(number, source)| source.member(id).map(|member| (number, member)))
        };
        let (source, member) = first_that_holds(true).or_else(|| first_that_holds(false))?;
        Some(ReportedMember {
            record: member.record.clone(),
            source,
            incarnation: member.incarnation,
        })
    }

    fn change(&mut self, id: String) -> Option<MemberChange> {
        let member = self.decided(&id);
        let before = match &member {
            Some(member) => self.reported.insert(id.clone(), member.clone()),
            None => self.reported.remove(&id),
        };
        let new_incarnation = match (&before, &member) {
            (None, None) => return None,
            (Some(before), Some(member)) => {
                let same = member.is_same_incarnation(before);
                if same && member.record == before.record {
                    return None;
                }
                !same
            }
            (None, Some(_)) => true,
            (Some(_), None) => false,
        };
        Some(MemberChange {
            id,
            new_incarnation,
            source: member.as_ref().map(|member| member.source),
            record: member.map(|member| member.record),
        })
    }

    /// All members as they were reported.
    pub fn members(&self) -> impl Iterator<Item = (&str, &MemberRecord)> {
        self.reported
            .iter()
            .map(|(id, member)| (id.as_str(), &member.record))
    }

    /// The number of members that accept new work.
    pub fn in_service_count(&self) -> usize {
        let in_service = |member: &&ReportedMember| member.record.state == MemberState::InService;
        self.reported.values().filter(in_service).count()
    }
}

#[cfg(test)]
mod tests;
