//! Several sources merged into one membership.
//!
//! Sources have a fixed order of precedence. A source is *fresh* while its list was known to be current within the
//! maximum age, and *stale* otherwise. A member's record is that of the first fresh source that has the member, or else
//! that of the first stale source that has it. If all sources are stale, the order of precedence alone decides. A
//! member is never removed because of the age of a list alone: requests can be served with an outdated list, but not
//! with an empty one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::record::{MemberRecord, MemberState};
use crate::source::Source;

/// A source's rank in the order of precedence. Source 0 takes precedence over all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceId(pub usize);

/// A member that was added, changed or removed since the last [`MergedMembership::take_changes`].
#[derive(Clone, Debug, PartialEq)]
pub struct MemberChange {
    /// The member's id.
    pub id: String,
    /// The member's new record; `None` if the member was removed.
    pub record: Option<MemberRecord>,
    /// Whether the member is a different incarnation from the one reported before; true for an added member, false for
    /// a removed one. Observations of the old incarnation, such as its latency, do not apply to the new one.
    pub new_incarnation: bool,
    /// The source of the record; `None` if the member was removed.
    pub source: Option<SourceId>,
}

/// A member as it was last returned by [`MergedMembership::take_changes`].
#[derive(Clone, Debug)]
struct ReportedMember {
    record: MemberRecord,
    source: SourceId,
    /// Number of the incarnation, which is unique only within the source.
    incarnation: u64,
}

impl ReportedMember {
    /// True if both are the same incarnation. Incarnation numbers of different sources cannot be compared; the address
    /// decides instead.
    fn is_same_incarnation(&self, other: &Self) -> bool {
        if self.source == other.source {
            self.incarnation == other.incarnation
        } else {
            self.record.endpoint == other.record.endpoint
        }
    }
}

/// The merged members of several sources; see the module documentation.
#[derive(Debug)]
pub struct MergedMembership {
    sources: Vec<Source>,
    max_age: Duration,
    /// For each source: whether it was fresh at the last [`MergedMembership::take_changes`].
    fresh: Vec<bool>,
    /// The members as of the last [`MergedMembership::take_changes`].
    reported: BTreeMap<String, ReportedMember>,
}

impl MergedMembership {
    /// Creates an empty membership with `source_count` sources. A source is fresh for `max_age` after its list was last
    /// known to be current.
    pub fn new(source_count: usize, max_age: Duration) -> Self {
        MergedMembership {
            sources: vec![Source::default(); source_count],
            max_age,
            fresh: vec![false; source_count],
            reported: BTreeMap::new(),
        }
    }

    /// Returns a source, which takes the reports of its registry.
    ///
    /// # Panics
    ///
    /// Panics if there is no such source.
    pub fn source_mut(&mut self, source: SourceId) -> &mut Source {
        &mut self.sources[source.0]
    }

    /// The [`Source::age`] of each source, in order of precedence.
    pub fn ages(&self, now: Instant) -> Vec<Option<Duration>> {
        self.sources.iter().map(|source| source.age(now)).collect()
    }

    /// True if no source is fresh.
    pub fn all_stale(&self, now: Instant) -> bool {
        !self.sources.iter().any(|source| self.is_fresh(source, now))
    }

    fn is_fresh(&self, source: &Source, now: Instant) -> bool {
        source.age(now).is_some_and(|age| age <= self.max_age)
    }

    /// Returns the changes since the last call, ordered by id, at most one for each member.
    pub fn take_changes(&mut self, now: Instant) -> Vec<MemberChange> {
        let is_fresh = |source| self.is_fresh(source, now);
        let fresh: Vec<bool> = self.sources.iter().map(is_fresh).collect();
        let mut ids = BTreeSet::new();
        for (number, source) in self.sources.iter_mut().enumerate() {
            ids.append(&mut source.take_changed());
            // A source that became fresh or stale may gain or lose precedence for any of its members.
            if fresh[number] != self.fresh[number] {
                ids.extend(source.ids().cloned());
            }
        }
        self.fresh = fresh;
        ids.into_iter()
            .filter_map(|id| self.update_reported(id))
            .collect()
    }

    /// The member as reported by the source with the highest precedence among those that have it.
    fn resolve(&self, id: &str) -> Option<ReportedMember> {
        let first_with_member = |fresh: bool| {
            let numbered = self.sources.iter().enumerate();
            numbered
                .filter(|(number, _)| self.fresh[*number] == fresh)
                .find_map(|(number, source)| source.member(id).map(|member| (number, member)))
        };
        let (number, member) = first_with_member(true).or_else(|| first_with_member(false))?;
        Some(ReportedMember {
            record: member.record.clone(),
            source: SourceId(number),
            incarnation: member.incarnation,
        })
    }

    /// Updates the reported member; `None` if nothing changed.
    fn update_reported(&mut self, id: String) -> Option<MemberChange> {
        let member = self.resolve(&id);
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

    /// All members as of the last [`MergedMembership::take_changes`], ordered by id.
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
