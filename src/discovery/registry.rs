//! Registries beside discovery: all are sources of one roster, discovery behind the others, and what changes in it
//! goes to the engine as news of the name table. Without a registry, discovery's news go there as they come.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use applewall::api::{Endpoint, EndpointState, EndpointUpdateKind};
use applewall::platform_settings::PlatformSettings;
use applewall_etcd::RegistryUpdate;
use applewall_membership::snapshot::{Snapshot, SnapshotLimits};
use applewall_membership::{
    ApplyOutcome, MemberChange, MemberState, MemberUpdate, MergedMembership, Position,
    ReadConsistency,
};
use tokio::sync::{mpsc, watch, Notify};

use crate::clock::Clock;
use crate::config::operator::OperatorConfig;
use crate::config::platform::PlatformConfig;
use crate::engine::message::{EndpointEntry, EndpointUpdate, Message};

/// Sources of the roster.
const REGISTRY: usize = 0;
const CONSUL: usize = 1;
const DISCOVERY: usize = 2;
const SOURCES: usize = 3;
/// Between snapshots, at least, and at most where nothing changed: their age has to be that of the list.
const KEEP: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));
/// Between looks at how old what is held has become.
const LOOK: Duration = Duration::from_millis(500);

struct Held {
    roster: MergedMembership,
    /// Entries of discovery as it told them, for what a roster's entry doesn't hold.
    told: BTreeMap<String, EndpointEntry>,
    /// What the engine was told.
    sent: BTreeMap<String, EndpointEntry>,
    /// Sources that told a whole list, and members of these first lists that were not told to the engine yet: they
    /// were there before this program, and are not taken for newborn.
    listed: [bool; SOURCES],
    first: BTreeSet<String>,
    /// Discovery's own count of its news: its revisions are the agent's business.
    news: u64,
    stale: bool,
}

/// What all sources tell, merged.
struct Merge {
    held: Mutex<Held>,
    clock: Clock,
    facts: Arc<PlatformSettings>,
    changed: Notify,
}

impl Held {
    /// A source told a whole list.
    fn lists(&mut self, source: usize, items: &[MemberUpdate]) {
        if !std::mem::replace(&mut self.listed[source], true) {
            self.first.extend(items.iter().map(|item| item.id.clone()));
        }
    }
}

impl Merge {
    fn held(&self) -> MutexGuard<'_, Held> {
        // Nothing panics while it holds the lock; if it did, the state would still be whole.
        self.held
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// What the registry reports, and what became of it.
    fn take(&self, news: RegistryUpdate) -> ApplyOutcome {
        let now = self.clock.now();
        let mut held = self.held();
        if let RegistryUpdate::FullList { updates, .. } = &news {
            held.lists(REGISTRY, updates);
        }
        let source = held.roster.source_mut(REGISTRY);
        let took = match news {
            RegistryUpdate::FullList { position, updates } => {
                source.apply_full_list(now, position, ReadConsistency::Consistent, updates)
            }
            RegistryUpdate::Changes { position, updates } => {
                source.apply_changes(now, position, updates)
            }
        };
        drop(held);
        self.changed.notify_one();
        took
    }

    /// A whole list of a Consul-style store. It has no cluster's id; an index that goes back shows one that began anew.
    fn listed(&self, news: applewall_consul::ListUpdate) {
        let now = self.clock.now();
        let applewall_consul::ListUpdate {
            index,
            consistency,
            updates: items,
        } = news;
        let mut held = self.held();
        held.lists(CONSUL, &items);
        held.roster.source_mut(CONSUL).apply_full_list(
            now,
            Position {
                cluster: 0,
                revision: index,
            },
            consistency,
            items,
        );
        drop(held);
        self.changed.notify_one();
    }

    /// Reports of discovery.
    fn discovered(&self, kind: EndpointUpdateKind, entries: Vec<EndpointEntry>) {
        let now = self.clock.now();
        let mut held = self.held();
        held.news += 1;
        let position = Position {
            cluster: 0,
            revision: held.news,
        };
        let mut items = Vec::new();
        for entry in entries {
            let id = entry.endpoint.id.to_string();
            let gone = entry.endpoint.state == EndpointState::Removed;
            let read = (!gone).then(|| applewall_membership::MemberRecord {
                endpoint: entry.address,
                az: String::new(),
                pod_group: entry.endpoint.cell,
                state: match entry.endpoint.state {
                    EndpointState::Ready => MemberState::InService,
                    _ => MemberState::Terminating,
                },
                capacity_hint: entry.endpoint.weight,
                // A later start is another life.
                boot_ms: entry.endpoint.started_at_ns.unwrap_or(0),
            });
            let created = entry.endpoint.started_at_ns.unwrap_or(0);
            items.push(MemberUpdate {
                id: id.clone(),
                revision: position.revision,
                create_revision: created,
                record: read,
            });
            held.told.insert(id, entry);
        }
        let source = held.roster.source_mut(DISCOVERY);
        match kind {
            EndpointUpdateKind::Delta => source.apply_changes(now, position, items),
            _ => source.apply_full_list(now, position, ReadConsistency::Consistent, items),
        };
        drop(held);
        self.changed.notify_one();
    }

    /// What changed, in the module's terms: who has gone first, so that another life of the same id is a newcomer.
    fn changes(&self) -> (Vec<EndpointEntry>, Vec<EndpointEntry>) {
        let now = self.clock.now();
        let mut held = self.held();
        let changes = held.roster.take_changes(now);
        let stale = held.roster.all_stale(now);
        if std::mem::replace(&mut held.stale, stale) != stale {
            let ages = held
                .roster
                .ages_ns(now)
                .into_iter()
                .map(|age| age.map_or(-1, |age| (age / 1_000_000_000) as i64));
            let ages: Vec<i64> = ages.collect();
            match stale {
                true => {
                    tracing::warn!(
                        "registry: no source is current, seconds ago {ages:?}; the list stays"
                    );
                }
                false => tracing::info!("registry: a source is current again"),
            }
        }
        let (mut gone, mut put) = (Vec::new(), Vec::new());
        for MemberChange {
            id,
            record: entry,
            new_incarnation: anew,
            source,
        } in changes
        {
            let before = held.sent.remove(&id);
            let Some(entry) = entry else {
                held.told.remove(&id);
                gone.extend(before.map(ended));
                continue;
            };
            // A birth that was seen is a start, where the entry does not tell a later one.
            let born = before.as_ref().filter(|_| anew).map(|_| now);
            gone.extend(before.filter(|_| anew).map(ended));
            let told = held
                .told
                .get(&id)
                .filter(|_| source == Some(DISCOVERY))
                .cloned();
            let mut next = told.unwrap_or_else(|| self.entry(&id, &entry));
            // On the module's clock, 1 is long past, and none is unknown.
            let long_past = held.first.remove(&id).then_some(1);
            next.endpoint.started_at_ns = next.endpoint.started_at_ns.or(long_past).max(born);
            held.sent.insert(id, next.clone());
            put.push(next);
        }
        (gone, put)
    }

    fn entry(&self, id: &str, entry: &applewall_membership::MemberRecord) -> EndpointEntry {
        let member = Endpoint {
            id: id.into(),
            weight: entry.capacity_hint,
            started_at_ns: self.clock.nanos_of_unix_ms(entry.boot_ms),
            zone: self.facts.zone(&entry.az),
            cell: entry.pod_group,
            // Registries name no kind of machine: all count as one.
            machine_type: 0,
            state: match entry.state {
                MemberState::InService => EndpointState::Ready,
                MemberState::Terminating => EndpointState::Draining,
            },
        };
        EndpointEntry {
            endpoint: member,
            address: entry.endpoint,
        }
    }
}

fn ended(mut entry: EndpointEntry) -> EndpointEntry {
    entry.endpoint.state = EndpointState::Removed;
    entry
}

/// Stands between discovery's follower and the engine's queue, and follows the registry beside it.
pub(crate) async fn merge(
    operator: Arc<OperatorConfig>,
    seed: u64,
    known: Vec<EndpointEntry>,
    facts: Arc<PlatformSettings>,
    clock: Clock,
    mut discovered: mpsc::Receiver<Message>,
    queue: mpsc::Sender<Message>,
) {
    let settings = &operator.registry;
    // A blocking read proves itself current only when it ends: it must not count as stale while it waits.
    let consul_wait = if operator.consul.enabled.0 {
        operator.consul.wait.as_nanos()
    } else {
        0
    };
    let believed = settings
        .believed
        .as_nanos()
        .max(consul_wait.saturating_mul(2));
    let sent = known
        .iter()
        .map(|entry| (entry.endpoint.id.to_string(), entry.clone()))
        .collect();
    let held = Held {
        roster: MergedMembership::new(SOURCES, believed),
        told: BTreeMap::new(),
        sent,
        listed: [false; SOURCES],
        first: BTreeSet::new(),
        news: 0,
        stale: false,
    };
    let merge = Merge {
        held: Mutex::new(held),
        clock,
        facts,
        changed: Notify::new(),
    };
    // The engine decides from these already: discovery's list as it last was, until it tells another.
    merge.discovered(EndpointUpdateKind::Cached, known);
    merge.held().roster.take_changes(clock.now());
    let position = if settings.enabled.0 {
        restore(&merge, settings)
    } else {
        None
    };
    let follow = async {
        match settings.enabled.0 {
            true => applewall_etcd::watch(settings, seed, position, |news| merge.take(news)).await,
            false => std::future::pending().await,
        }
    };
    let consul = async {
        match operator.consul.enabled.0 {
            true => {
                applewall_consul::watch(&operator.consul, seed, |news| merge.listed(news)).await;
            }
            false => std::future::pending().await,
        }
    };
    let discover = async {
        while let Some(Message::EndpointUpdate(EndpointUpdate { kind, entries })) =
            discovered.recv().await
        {
            merge.discovered(kind, entries);
        }
        std::future::pending::<()>().await;
    };
    let tell = async {
        let (mut kept, mut position) = (std::time::Instant::now(), None);
        loop {
            let _ = tokio::time::timeout(LOOK, merge.changed.notified()).await;
            let (gone, put) = merge.changes();
            for entries in [gone, put] {
                if !entries.is_empty()
                    && queue
                        .send(Message::EndpointUpdate(EndpointUpdate {
                            kind: EndpointUpdateKind::Delta,
                            entries,
                        }))
                        .await
                        .is_err()
                {
                    return;
                }
            }
            let Some(folder) = &settings.snapshot else {
                continue;
            };
            let reached = merge.held().roster.source_mut(REGISTRY).position();
            let since = kept.elapsed();
            if since >= KEEP.1 || since >= KEEP.0 && reached != position {
                (kept, position) = (std::time::Instant::now(), reached);
                keep(&merge, folder.clone()).await;
            }
        }
    };
    tokio::select! {
        () = follow => {}
        () = consul => {}
        () = discover => {}
        () = tell => {}
    }
}

fn path(folder: &str) -> PathBuf {
    Path::new(folder).join("roster.snapshot")
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Takes the last good list of an earlier life; where it got to. What is wrong with it is one line.
fn restore(merge: &Merge, settings: &applewall_etcd::Settings) -> Option<Position> {
    let path = path(settings.snapshot.as_deref()?);
    let bytes = match std::fs::read(&path) {
        Ok(bytes) => bytes,
        // The first start of all.
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return None,
        Err(e) => {
            tracing::warn!("registry: snapshot {}: {e}", path.display());
            return None;
        }
    };
    let limits = SnapshotLimits {
        now_ms: unix_ms(),
        max_age_ms: settings.snapshot_age.as_nanos() / 1_000_000,
        cluster: None,
    };
    match Snapshot::decode(&bytes, &limits) {
        Ok(Snapshot {
            cluster,
            revision,
            members,
            ..
        }) => {
            tracing::info!(
                "registry: {} members of the snapshot, revision {revision}",
                members.len()
            );
            let item = |(id, entry)| MemberUpdate {
                id,
                revision,
                create_revision: 0,
                record: Some(entry),
            };
            let position = Position { cluster, revision };
            let items: Vec<_> = members.into_iter().map(item).collect();
            let mut held = merge.held();
            held.lists(REGISTRY, &items);
            held.roster.source_mut(REGISTRY).restore(position, items);
            drop(held);
            merge.changed.notify_one();
            // Resumed from there. Who was born when is not kept, so that a birth meanwhile shows as one.
            Some(position)
        }
        Err(reason) => {
            tracing::warn!("registry: snapshot {} not used: {reason}", path.display());
            None
        }
    }
}

/// Writes the last good list so that a crash at any moment leaves the old one or the new one. On a thread of its own:
/// a slow disk must not hold up commands.
async fn keep(merge: &Merge, folder: String) {
    let snapshot = Snapshot::from_source(
        merge.held().roster.source_mut(REGISTRY),
        merge.clock.now(),
        unix_ms(),
    );
    let Some(snapshot) = snapshot else { return };
    let (path, next) = (
        path(&folder),
        Path::new(&folder).join("roster.snapshot.next"),
    );
    let write = {
        let path = path.clone();
        move || {
            use std::io::Write;
            let mut file = std::fs::File::create(&next)?;
            file.write_all(&snapshot.encode())?;
            file.sync_all()?;
            std::fs::rename(&next, &path)
        }
    };
    let written = tokio::task::spawn_blocking(move || {
        write().map_err(|e| tracing::warn!("registry: snapshot {}: {e}", path.display()))
    });
    let _ = written.await;
}

/// Where news of discovery go: to the engine, or through the merge where a registry is on. What is on is decided at
/// the start.
pub(crate) fn start(
    operator: &watch::Receiver<Arc<OperatorConfig>>,
    config: &PlatformConfig,
    clock: Clock,
    queue: mpsc::Sender<Message>,
) -> mpsc::Sender<Message> {
    let operator = operator.borrow().clone();
    if !operator.registry.enabled.0 && !operator.consul.enabled.0 {
        return queue;
    }
    let (discovery, discovered) = mpsc::channel(16);
    let (facts, known) = (
        config.settings.clone(),
        config.known_endpoints.entries(&config.settings, &clock),
    );
    tokio::spawn(merge(
        operator,
        config.seed,
        known,
        facts,
        clock,
        discovered,
        queue,
    ));
    discovery
}

#[cfg(test)]
mod golden;
