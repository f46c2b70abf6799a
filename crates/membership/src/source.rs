//! The members that one registry has reported.
//!
//! A source takes full lists, changes and progress notifications, each with the position in the registry's history that
//! it reaches. The members are kept while the registry is unavailable. Invariants: updates at or before the known
//! position have no effect, even if they are replayed out of order; a consistent full list is always applied.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::record::MemberRecord;

/// Id of a registry's cluster. A registry that has no such id is given a constant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(transparent)]
pub struct ClusterId(pub u64);

/// A point in the history of one registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The registry's cluster. Revisions of different clusters cannot be compared.
    pub cluster: ClusterId,
    /// The revision of the registry's store; with Consul, the index.
    pub revision: u64,
}

/// How a full list was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadConsistency {
    /// The list contains everything that was written before the read.
    Consistent,
    /// The list comes from one of the registry's servers, which may lag behind the leader.
    Stale,
}

/// What a registry reports about one key.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberUpdate {
    /// The member's id.
    pub id: String,
    /// The revision of the key's last change.
    pub revision: u64,
    /// The revision at which the key was created. If the key was deleted and created again, the member is a new
    /// incarnation.
    pub create_revision: u64,
    /// The member's record; `None` if the key was deleted or its value rejected. In both cases the member receives no
    /// requests.
    pub record: Option<MemberRecord>,
}

/// All members of a registry at one position.
#[derive(Clone, Debug, PartialEq)]
pub struct FullList {
    /// The position at which the list was read.
    pub position: Position,
    /// How the list was read.
    pub consistency: ReadConsistency,
    /// The state of each member's key. A member that is missing here, or has no record, is removed.
    pub updates: Vec<MemberUpdate>,
}

/// What a registry reports about its members.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceInput {
    /// All members; they replace the known ones.
    FullList(FullList),
    /// All changes since the last report, up to a position; there may be none.
    Changes {
        /// The position that the changes reach.
        position: Position,
        /// The changes, in order.
        updates: Vec<MemberUpdate>,
    },
    /// There are no further changes up to a position.
    Progress(Position),
}

/// Whether a report was applied, and whether a full list has to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceOutput {
    /// The report was applied; it may have changed nothing.
    Applied,
    /// The report was dropped: its position is before the known one, or it is a stale full list from another cluster.
    Outdated,
    /// The report was dropped: it does not continue from the known position, for example after a reset of the
    /// registry's history. A full list is needed.
    Gap,
}

/// A member as last reported to a source.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct KnownMember {
    pub(crate) record: MemberRecord,
    pub(crate) create_revision: u64,
    /// Number of the member's incarnation, unique among all members of this source.
    pub(crate) incarnation: u64,
}

/// Whether the revisions of a report can be compared with those of the known members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum History {
    /// The report is from the same history as the known position, and not before it.
    Continued,
    /// The registry's history was reset, for example by a restore from a backup, or another cluster responded.
    Reset,
}

/// The members that one registry has reported.
#[derive(Clone, Debug, Default)]
pub struct Source {
    /// The position up to which all changes were reported; `None` before the first full list.
    position: Option<Position>,
    members: BTreeMap<String, KnownMember>,
    /// The highest incarnation number that was assigned.
    last_incarnation: u64,
    /// When the members were last known to be current; `None` if they were never.
    current_at: Option<Instant>,
    /// Ids of the members that changed since the last [`Source::take_changed`].
    changed: BTreeSet<String>,
}

impl Source {
    /// Handles a report; returns its outcome.
    pub fn handle(&mut self, now: Instant, input: SourceInput) -> SourceOutput {
        match input {
            SourceInput::FullList(list) => self.apply_full_list(now, list),
            SourceInput::Changes { position, updates } => {
                self.apply_changes(now, position, updates)
            }
            SourceInput::Progress(position) => self.apply_progress(now, position),
        }
    }

    /// Restores the list of an earlier process. It is not known to be current, so that every source with a current list
    /// takes precedence.
    pub fn restore(&mut self, position: Position, updates: Vec<MemberUpdate>) {
        let history = self.history_of(position);
        self.replace_members(position, updates, history);
        self.current_at = None;
    }

    /// Applies a full list.
    ///
    /// A consistent list is always applied. If its revision is below the known one or it is from another cluster, the
    /// registry's history was reset, and only members whose address changed are new incarnations. A stale list from
    /// before the known position or from another cluster is dropped.
    fn apply_full_list(&mut self, now: Instant, list: FullList) -> SourceOutput {
        let history = self.history_of(list.position);
        if history == History::Reset && list.consistency == ReadConsistency::Stale {
            return SourceOutput::Outdated;
        }
        self.replace_members(list.position, list.updates, history);
        self.current_at = Some(now);
        SourceOutput::Applied
    }

    fn history_of(&self, position: Position) -> History {
        match self.position {
            Some(known)
                if known.cluster != position.cluster || known.revision > position.revision =>
            {
                History::Reset
            }
            _ => History::Continued,
        }
    }

    /// Applies the updates of a full list, and removes the members that are not in it.
    fn replace_members(
        &mut self,
        position: Position,
        updates: Vec<MemberUpdate>,
        history: History,
    ) {
        self.position = Some(position);
        let mut missing: BTreeSet<String> = self.members.keys().cloned().collect();
        for update in updates {
            if update.record.is_some() {
                missing.remove(&update.id);
            }
            self.apply_update(update, history);
        }
        for id in missing {
            self.remove(id);
        }
    }

    /// Applies the changes up to a position, which continue from the last report. Individual updates at or before the
    /// known position are replays and are dropped.
    fn apply_changes(
        &mut self,
        now: Instant,
        position: Position,
        updates: Vec<MemberUpdate>,
    ) -> SourceOutput {
        let before = self.position;
        let output = self.apply_progress(now, position);
        if let (SourceOutput::Applied, Some(before)) = (output, before) {
            let is_new = |update: &MemberUpdate| update.revision > before.revision;
            for update in updates.into_iter().filter(is_new) {
                self.apply_update(update, History::Continued);
            }
        }
        output
    }

    /// Advances the known position. A report with an earlier position is a replay, or from a server that lags, and does
    /// not show that the members are current.
    fn apply_progress(&mut self, now: Instant, position: Position) -> SourceOutput {
        match self.position {
            Some(known) if known.cluster == position.cluster => {
                if position.revision < known.revision {
                    return SourceOutput::Outdated;
                }
                self.position = Some(position);
                self.current_at = Some(now);
                SourceOutput::Applied
            }
            _ => SourceOutput::Gap,
        }
    }

    fn apply_update(&mut self, update: MemberUpdate, history: History) {
        let Some(record) = update.record else {
            return self.remove(update.id);
        };
        let known = self.members.get(&update.id);
        // A member is a new incarnation if its address changed, or if its key was deleted and created again, even
        // within one report. After a reset of the history, create revisions cannot be compared, and only the address
        // counts: a member does not restart when its registry does.
        let same_incarnation = known.filter(|known| {
            known.record.endpoint == record.endpoint
                && (history == History::Reset || known.create_revision == update.create_revision)
        });
        let incarnation =
            same_incarnation.map_or(self.last_incarnation + 1, |known| known.incarnation);
        if known.is_none_or(|known| known.record != record || known.incarnation != incarnation) {
            self.changed.insert(update.id.clone());
        }
        self.last_incarnation = self.last_incarnation.max(incarnation);
        let member = KnownMember {
            record,
            create_revision: update.create_revision,
            incarnation,
        };
        self.members.insert(update.id, member);
    }

    fn remove(&mut self, id: String) {
        if self.members.remove(&id).is_some() {
            self.changed.insert(id);
        }
    }

    /// The position up to which all changes are known, from which a watch resumes.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// The time since the members were last known to be current; `None` if they never were.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.current_at
            .map(|current_at| now.saturating_duration_since(current_at))
    }

    /// The records of all members, by id.
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
