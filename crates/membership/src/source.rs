//! What one registry has reported.
//!
//! A source takes full lists, changes and proofs of progress, each with the position in the registry's history that it
//! reaches. What it holds survives the loss of the registry. Invariants: updates at or before the position that is held
//! change nothing, in whatever order they are repeated; a consistent full list always applies.

use std::collections::{BTreeMap, BTreeSet};

use crate::record::MemberRecord;

/// A point in the history of one registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The registry's cluster id. Revisions of different clusters cannot be compared.
    pub cluster: u64,
    /// The revision of the registry's store.
    pub revision: u64,
}

/// How a full list was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadConsistency {
    /// Nothing that was written before the read is missing.
    Consistent,
    /// As a follower of the registry had it, which may lag.
    Stale,
}

/// What a registry reports about one key.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberUpdate {
    /// The member.
    pub id: String,
    /// The revision of the key's last change.
    pub revision: u64,
    /// The revision at which the key was created. A member with another one is a new incarnation.
    pub create_revision: u64,
    /// None: removed, or present with a value that is rejected. Both are the same to those who would send to it.
    pub record: Option<MemberRecord>,
}

/// What a registry reports.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceInput {
    /// The whole list.
    FullList {
        /// Where the list was read.
        position: Position,
        /// How the list was read.
        consistency: ReadConsistency,
        /// All members.
        updates: Vec<MemberUpdate>,
    },
    /// Everything that changed up to a position since the last report; possibly nothing.
    Changes {
        /// Up to where the changes reach.
        position: Position,
        /// What changed, in order.
        updates: Vec<MemberUpdate>,
    },
    /// Nothing has changed up to a position.
    Progress(Position),
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// Applied, though it may have changed nothing.
    Applied,
    /// Dropped: older than what is held, or seen already.
    Outdated,
    /// Dropped: changes of a registry that began anew, or that do not follow on what is known. A full list is needed.
    Gap,
}

/// A member as a source holds it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct KnownMember {
    pub(crate) record: MemberRecord,
    pub(crate) create_revision: u64,
    /// Unique among the incarnations that this source has seen, of all ids.
    pub(crate) incarnation: u64,
}

/// The list of one registry as far as it was reported.
#[derive(Clone, Debug, Default)]
pub struct Source {
    position: Option<Position>,
    members: BTreeMap<String, KnownMember>,
    /// Incarnations seen so far.
    incarnations: u64,
    /// When the list was last known to be current.
    current_at_ns: Option<u64>,
    /// Ids that changed since they were last taken.
    changed: BTreeSet<String>,
}

impl Source {
    /// Applies a report.
    pub fn handle(&mut self, now_ns: u64, input: SourceInput) -> ApplyOutcome {
        match input {
            SourceInput::FullList {
                position,
                consistency,
                updates,
            } => self.apply_full_list(now_ns, position, consistency, updates),
            SourceInput::Changes { position, updates } => {
                self.apply_changes(now_ns, position, updates)
            }
            SourceInput::Progress(position) => self.apply_progress(now_ns, position),
        }
    }

    /// Applies the whole list at a position.
    ///
    /// A consistent list always applies. If its revision lies before the one that is held, or its cluster is another
    /// one, then the registry began anew, and members at another address than before are new incarnations. A stale
    /// list that is older than what is held, or of another cluster, is dropped.
    pub(crate) fn apply_full_list(
        &mut self,
        now_ns: u64,
        position: Position,
        consistency: ReadConsistency,
        updates: Vec<MemberUpdate>,
    ) -> ApplyOutcome {
        let follows = self.position.is_none_or(|known| {
            known.cluster == position.cluster && known.revision <= position.revision
        });
        if !follows && consistency == ReadConsistency::Stale {
            return ApplyOutcome::Outdated;
        }
        (self.position, self.current_at_ns) = (Some(position), Some(now_ns));
        let mut missing: BTreeSet<String> = self.members.keys().cloned().collect();
        for update in updates {
            if update.record.is_some() {
                missing.remove(&update.id);
            }
            self.apply_update(update, !follows);
        }
        for id in missing {
            self.members.remove(&id);
            self.changed.insert(id);
        }
        ApplyOutcome::Applied
    }

    /// Applies the list of an earlier process. It is not known to be current: any source that is takes precedence.
    pub fn restore(&mut self, position: Position, updates: Vec<MemberUpdate>) {
        self.apply_full_list(0, position, ReadConsistency::Consistent, updates);
        self.current_at_ns = None;
    }

    /// Applies all changes up to a position that follow on those reported before. Updates at revisions that are held
    /// already are replays and are dropped one by one.
    pub(crate) fn apply_changes(
        &mut self,
        now_ns: u64,
        position: Position,
        updates: Vec<MemberUpdate>,
    ) -> ApplyOutcome {
        let before = self.position;
        let outcome = self.apply_progress(now_ns, position);
        if let (ApplyOutcome::Applied, Some(before)) = (outcome, before) {
            let new = |update: &MemberUpdate| update.revision > before.revision;
            for update in updates.into_iter().filter(new) {
                self.apply_update(update, false);
            }
        }
        outcome
    }

    /// Nothing has changed up to a position. One that lies before what is held proves nothing.
    pub(crate) fn apply_progress(&mut self, now_ns: u64, position: Position) -> ApplyOutcome {
        match self.position {
            Some(known) if known.cluster == position.cluster => {
                if position.revision < known.revision {
                    return ApplyOutcome::Outdated;
                }
                (self.position, self.current_at_ns) = (Some(position), Some(now_ns));
                ApplyOutcome::Applied
            }
            _ => ApplyOutcome::Gap,
        }
    }

    /// Applies one update; `began_anew`: the registry counts its revisions from the start again.
    fn apply_update(&mut self, update: MemberUpdate, began_anew: bool) {
        let Some(record) = update.record else {
            if self.members.remove(&update.id).is_some() {
                self.changed.insert(update.id);
            }
            return;
        };
        let known = self.members.get(&update.id);
        // Another address is a new incarnation, and so is a member that was removed and added again, however quickly.
        // After the registry began anew only the address counts: a member that kept it has not restarted.
        let same = known.filter(|known| {
            known.record.endpoint == record.endpoint
                && (began_anew || known.create_revision == update.create_revision)
        });
        let incarnation = same.map(|known| known.incarnation).unwrap_or_else(|| {
            self.incarnations += 1;
            self.incarnations
        });
        if known.is_none_or(|known| known.record != record || known.incarnation != incarnation) {
            self.changed.insert(update.id.clone());
        }
        let member = KnownMember {
            record,
            create_revision: update.create_revision,
            incarnation,
        };
        self.members.insert(update.id, member);
    }

    /// Where to resume: the position up to which everything is known.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// For how long the list has not been known to be current, in nanoseconds; none: it never was.
    pub fn age_ns(&self, now_ns: u64) -> Option<u64> {
        self.current_at_ns
            .map(|current_at_ns| now_ns.saturating_sub(current_at_ns))
    }

    /// The members that are held, by id.
    pub fn records(&self) -> impl Iterator<Item = (&str, &MemberRecord)> {
        self.members
            .iter()
            .map(|(id, known)| (id.as_str(), &known.record))
    }

    pub(crate) fn member(&self, id: &str) -> Option<&KnownMember> {
        self.members.get(id)
    }

    pub(crate) fn take_changed(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.changed)
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = &String> {
        self.members.keys()
    }
}

#[cfg(test)]
mod tests;
