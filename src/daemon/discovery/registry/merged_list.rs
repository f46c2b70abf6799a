//! The endpoint list merged from all sources, without I/O. Applies the sources' reports to the membership
//! (`applewall_membership`) and converts its changes to updates for the engine.
//!
//! An endpoint that is older than this process is not treated as newly started.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use applewall::api::EndpointUpdateKind;
use applewall::platform_settings::PlatformSettings;
use applewall_membership::snapshot::Snapshot;
use applewall_membership::{
    ClusterId, FullList, MemberChange, MemberUpdate, MergedMembership, Position, ReadConsistency,
    Source, SourceId, SourceInput, SourceOutput,
};

use crate::clock::Clock;
use crate::engine::message::EndpointEntry;

mod conversion;

use conversion::{endpoint_entry, member_update, removal};

/// The etcd registry, the source with the highest precedence.
pub(super) const REGISTRY: SourceId = SourceId(0);
/// The Consul-style store.
pub(super) const CONSUL: SourceId = SourceId(1);
/// The discovery service, the source with the lowest precedence.
const DISCOVERY: SourceId = SourceId(2);
const SOURCE_COUNT: usize = 3;
/// Cluster id of discovery's positions; discovery has no cluster id of its own.
const DISCOVERY_CLUSTER: ClusterId = ClusterId(0);
/// Start time, on the decision policy's clock, of an endpoint that started long ago. `None` would mean an unknown start
/// time.
const LONG_PAST_NS: u64 = 1;
/// Logged as the age, in seconds, of a source that has never reported a list.
const NEVER_REPORTED: i64 = -1;

/// Changes of the merged list, as entries for the engine. Removals have to be applied first: an endpoint with a new
/// incarnation is in both lists.
#[derive(Default)]
pub(super) struct EndpointChanges {
    /// Endpoints that are no longer listed, and former incarnations of listed ones; all in the state `Removed`.
    pub removed: Vec<EndpointEntry>,
    /// Added and changed endpoints, and new incarnations.
    pub updated: Vec<EndpointEntry>,
}

/// The merged list, and the entries that were sent to the engine.
pub(super) struct MergedList {
    membership: MergedMembership,
    clock: Clock,
    settings: Arc<PlatformSettings>,
    /// Entries as discovery reported them. They have a machine type, for which a member's record has no field.
    discovered: BTreeMap<String, EndpointEntry>,
    /// The entries that the engine has.
    sent: BTreeMap<String, EndpointEntry>,
    /// Whether each source has reported a full list.
    has_listed: [bool; SOURCE_COUNT],
    /// Members of the sources' first full lists that were not sent to the engine yet. They existed before this process and
    /// are not treated as newly started.
    in_first_list: BTreeSet<String>,
    /// Number of discovery's updates, used as its revision. Discovery's own revisions were checked by the watch, and
    /// discovery may restart them.
    discovery_updates: u64,
    /// Whether all sources were stale at the last check.
    all_stale: bool,
}

impl MergedList {
    /// An empty list; the engine already has the entries `known`. A source counts as fresh for `max_age`.
    pub(super) fn new(
        known: &[EndpointEntry],
        max_age: Duration,
        settings: Arc<PlatformSettings>,
        clock: Clock,
    ) -> Self {
        let sent = known
            .iter()
            .map(|entry| (entry.endpoint.id.to_string(), entry.clone()))
            .collect();
        MergedList {
            membership: MergedMembership::new(SOURCE_COUNT, max_age),
            clock,
            settings,
            discovered: BTreeMap::new(),
            sent,
            has_listed: [false; SOURCE_COUNT],
            in_first_list: BTreeSet::new(),
            discovery_updates: 0,
            all_stale: false,
        }
    }

    fn full_list_reported(&mut self, source: SourceId, updates: &[MemberUpdate]) {
        let is_first = !std::mem::replace(&mut self.has_listed[source.0], true);
        if is_first {
            let ids = updates.iter().map(|update| update.id.clone());
            self.in_first_list.extend(ids);
        }
    }

    /// Applies a registry's report.
    pub(super) fn apply(&mut self, source: SourceId, report: SourceInput) -> SourceOutput {
        if let SourceInput::FullList(list) = &report {
            self.full_list_reported(source, &list.updates);
        }
        self.source(source).handle(Instant::now(), report)
    }

    /// Applies an update of discovery as the report of a source.
    pub(super) fn apply_discovery(
        &mut self,
        kind: EndpointUpdateKind,
        entries: Vec<EndpointEntry>,
    ) {
        self.discovery_updates += 1;
        let position = Position {
            cluster: DISCOVERY_CLUSTER,
            revision: self.discovery_updates,
        };
        let mut updates = Vec::new();
        for entry in entries {
            let update = member_update(&entry, position.revision);
            self.discovered.insert(update.id.clone(), entry);
            updates.push(update);
        }
        let report = match kind {
            EndpointUpdateKind::Delta => SourceInput::Changes { position, updates },
            _ => SourceInput::FullList(FullList {
                position,
                consistency: ReadConsistency::Consistent,
                updates,
            }),
        };
        self.source(DISCOVERY).handle(Instant::now(), report);
    }

    /// Restores the registry's list from a snapshot; returns its position. The snapshot has no create revisions, so a member
    /// that the registry reports later counts as a new incarnation: it may have restarted in the meantime.
    pub(super) fn restore(&mut self, snapshot: Snapshot) -> Position {
        let revision = snapshot.revision;
        let position = Position {
            cluster: ClusterId(snapshot.cluster),
            revision,
        };
        let update = |(id, record)| MemberUpdate {
            id,
            revision,
            create_revision: 0,
            record: Some(record),
        };
        let updates: Vec<_> = snapshot.members.into_iter().map(update).collect();
        self.full_list_reported(REGISTRY, &updates);
        self.source(REGISTRY).restore(position, updates);
        position
    }

    /// The position of the registry's list; `None` while there is neither a reported nor a restored one.
    pub(super) fn registry_position(&mut self) -> Option<Position> {
        self.source(REGISTRY).position()
    }

    /// A snapshot of the registry's list; `None` until the registry has reported to this process.
    pub(super) fn registry_snapshot(&mut self, now_unix_ms: u64) -> Option<Snapshot> {
        Snapshot::from_source(self.source(REGISTRY), Instant::now(), now_unix_ms)
    }

    fn source(&mut self, source: SourceId) -> &mut Source {
        self.membership.source_mut(source)
    }

    /// Discards the changes up to now, for a list that the engine already has.
    pub(super) fn discard_changes(&mut self) {
        self.membership.take_changes(Instant::now());
    }

    /// Returns the changes since the last call.
    pub(super) fn take_changes(&mut self) -> EndpointChanges {
        let now = Instant::now();
        let member_changes = self.membership.take_changes(now);
        self.log_staleness(now);
        let mut changes = EndpointChanges::default();
        for change in member_changes {
            self.add_change(change, self.clock.nanos_at(now), &mut changes);
        }
        changes
    }

    fn add_change(&mut self, change: MemberChange, now_ns: u64, changes: &mut EndpointChanges) {
        let MemberChange {
            id,
            record,
            new_incarnation,
            source,
        } = change;
        let before = self.sent.remove(&id);
        let Some(record) = record else {
            self.discovered.remove(&id);
            changes.removed.extend(before.map(removal));
            return;
        };
        let replaced = before.filter(|_| new_incarnation);
        // A replaced endpoint counts as started no earlier than now. Its record may give a later start, by the clock of
        // another machine.
        let observed_start_ns = replaced.as_ref().map(|_| now_ns);
        changes.removed.extend(replaced.map(removal));
        let discovered = match source {
            Some(DISCOVERY) => self.discovered.get(&id).cloned(),
            _ => None,
        };
        let mut entry =
            discovered.unwrap_or_else(|| endpoint_entry(&id, &record, &self.settings, &self.clock));
        let long_past = self.in_first_list.remove(&id).then_some(LONG_PAST_NS);
        let started_at_ns = entry.endpoint.started_at_ns.or(long_past);
        entry.endpoint.started_at_ns = started_at_ns.max(observed_start_ns);
        self.sent.insert(id, entry.clone());
        changes.updated.push(entry);
    }

    /// Logs when the last source becomes stale, and when a source is fresh again.
    fn log_staleness(&mut self, now: Instant) {
        let all_stale = self.membership.all_stale(now);
        if std::mem::replace(&mut self.all_stale, all_stale) == all_stale {
            return;
        }
        if !all_stale {
            return tracing::info!("endpoint list is current again");
        }
        let seconds = |age: Option<Duration>| {
            age.map_or(NEVER_REPORTED, |age| {
                i64::try_from(age.as_secs()).unwrap_or(i64::MAX)
            })
        };
        let ages: Vec<i64> = self.membership.ages(now).into_iter().map(seconds).collect();
        tracing::warn!(age_seconds = ?ages, "endpoint list is stale: no source is current");
    }
}

#[cfg(test)]
mod tests;
