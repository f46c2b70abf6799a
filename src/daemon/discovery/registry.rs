//! Merges registries and discovery into one endpoint list.
//!
//! The sources of the membership are, in order of precedence, the registry, Consul and discovery. Changes of the merged
//! membership are sent to the engine. Without a registry, discovery's updates go to the engine directly.
//!
//! [`start`] spawns the task that watches the sources, sends the updates and writes snapshots of the registry's list to
//! disk. Removals are sent before additions, so that the engine treats a new incarnation of an id as a new endpoint. If all
//! sources become stale, the last list stays in use.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use applewall::api::EndpointUpdateKind;
use applewall_membership::Position;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::JoinSet;

use crate::clock::Clock;
use crate::config::operator::OperatorConfig;
use crate::config::platform::PlatformConfig;
use crate::engine::message::{EndpointEntry, EndpointUpdate, Message};

mod merged_list;
mod snapshot_file;

use merged_list::{MergedList, CONSUL, REGISTRY};
use snapshot_file::{LastSnapshot, SnapshotFile};

/// Interval between checks of whether a source has become stale; staleness is not notified.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Capacity of the queue of discovery's updates. The watch sends one at a time; when the engine is overloaded, the full
/// queue makes the watch wait.
const QUEUE_LENGTH: usize = 16;
/// A blocking query confirms that its list is current only when it returns, so that the list counts as fresh for this many
/// times the query's wait.
const BLOCKING_QUERY_WAITS: u32 = 2;

/// Returns the queue for discovery's updates. If a registry is enabled, this spawns the merge on `tasks` and returns its
/// queue; otherwise it returns the engine's queue. Which registries are enabled is decided when the process starts.
pub(crate) fn start(
    operator: &watch::Receiver<Arc<OperatorConfig>>,
    config: &PlatformConfig,
    clock: Clock,
    queue: mpsc::Sender<Message>,
    tasks: &mut JoinSet<()>,
) -> mpsc::Sender<Message> {
    let operator = operator.borrow().clone();
    if !operator.registry.enabled.0 && !operator.consul.enabled.0 {
        return queue;
    }
    let (discovery_updates, received_updates) = mpsc::channel(QUEUE_LENGTH);
    let known = config.known_endpoints.entries(&config.settings, &clock);
    let settings = config.settings.clone();
    let list = MergedList::new(&known, max_age(&operator), settings, clock);
    let merge = SourceMerger {
        list: Mutex::new(list),
        changed: Notify::new(),
        snapshots: operator.registry.snapshot.as_deref().map(SnapshotFile::new),
        operator,
        seed: config.seed,
        queue,
    };
    tasks.spawn(merge.run(known, received_updates));
    discovery_updates
}

/// How long a source counts as fresh after its list was last confirmed to be current.
fn max_age(operator: &OperatorConfig) -> Duration {
    // A source must not become stale while its blocking query waits.
    let blocking_query = if operator.consul.enabled.0 {
        operator.consul.wait.0
    } else {
        Duration::ZERO
    };
    let believed = operator.registry.believed.0;
    believed.max(blocking_query * BLOCKING_QUERY_WAITS)
}

/// Error of sending to an engine that has ended.
struct EngineEnded;

/// Merges the sources and sends the changes to the engine.
struct SourceMerger {
    /// Locked for one operation at a time, never across an await.
    list: Mutex<MergedList>,
    /// Notified when a source has reported.
    changed: Notify,
    /// File of the registry's list, if a directory is configured for it.
    snapshots: Option<SnapshotFile>,
    operator: Arc<OperatorConfig>,
    seed: u64,
    queue: mpsc::Sender<Message>,
}

impl SourceMerger {
    /// Watches all sources until the engine has ended.
    async fn run(self, known: Vec<EndpointEntry>, discovery_updates: mpsc::Receiver<Message>) {
        // The engine already has the known endpoints. They count as discovery's list until discovery reports another.
        self.apply(|list| list.apply_discovery(EndpointUpdateKind::Cached, known));
        self.list().discard_changes();
        let position = self.restore_snapshot();
        tokio::select! {
            () = self.watch_registry(position) => {}
            () = self.watch_consul() => {}
            () = self.apply_discovery_updates(discovery_updates) => {}
            () = self.publish() => {}
        }
    }

    fn list(&self) -> MutexGuard<'_, MergedList> {
        // No code panics while it holds the lock; if one did, the list would still be consistent.
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the list and wakes [`SourceMerger::publish`] to send the resulting changes.
    fn apply<T>(&self, change: impl FnOnce(&mut MergedList) -> T) -> T {
        let result = change(&mut self.list());
        self.changed.notify_one();
        result
    }

    async fn watch_registry(&self, position: Option<Position>) {
        let settings = &self.operator.registry;
        if !settings.enabled.0 {
            return std::future::pending().await;
        }
        applewall_etcd::watch(settings, self.seed, position, |report| {
            self.apply(|list| list.apply(REGISTRY, report))
        })
        .await;
    }

    async fn watch_consul(&self) {
        let settings = &self.operator.consul;
        if !settings.enabled.0 {
            return std::future::pending().await;
        }
        applewall_consul::watch(settings, self.seed, |report| {
            self.apply(|list| list.apply(CONSUL, report));
        })
        .await;
    }

    async fn apply_discovery_updates(&self, mut updates: mpsc::Receiver<Message>) {
        while let Some(Message::EndpointUpdate(EndpointUpdate { kind, entries })) =
            updates.recv().await
        {
            self.apply(|list| list.apply_discovery(kind, entries));
        }
        std::future::pending::<()>().await;
    }

    /// Sends changes to the engine and writes snapshots; ends when the engine has ended.
    async fn publish(&self) {
        let mut last_snapshot = LastSnapshot::none();
        loop {
            // The timeout detects sources that have become stale, which is not notified.
            let _ = tokio::time::timeout(POLL_INTERVAL, self.changed.notified()).await;
            let changes = self.list().take_changes();
            if self.send(changes.removed).await.is_err()
                || self.send(changes.updated).await.is_err()
            {
                return;
            }
            self.write_snapshot_if_due(&mut last_snapshot).await;
        }
    }

    /// Sends entries to the engine.
    async fn send(&self, entries: Vec<EndpointEntry>) -> Result<(), EngineEnded> {
        if entries.is_empty() {
            return Ok(());
        }
        let update = Message::EndpointUpdate(EndpointUpdate {
            kind: EndpointUpdateKind::Delta,
            entries,
        });
        self.queue.send(update).await.map_err(|_| EngineEnded)
    }

    /// Restores the list from the snapshot of an earlier process; returns the position to resume the watch from.
    fn restore_snapshot(&self) -> Option<Position> {
        let settings = &self.operator.registry;
        if !settings.enabled.0 {
            return None;
        }
        let snapshot = match self.snapshots.as_ref()?.read(settings.snapshot_age.0) {
            Ok(snapshot) => snapshot?,
            Err(error) => {
                tracing::warn!(%error, "registry snapshot not used");
                return None;
            }
        };
        tracing::info!(
            members = snapshot.members.len(),
            revision = snapshot.revision,
            "registry snapshot restored"
        );
        Some(self.apply(|list| list.restore(snapshot)))
    }

    async fn write_snapshot_if_due(&self, last: &mut LastSnapshot) {
        let Some(file) = &self.snapshots else {
            return;
        };
        let position = self.list().registry_position();
        if !last.is_next_due(position) {
            return;
        }
        *last = LastSnapshot::at(position);
        let snapshot = self.list().registry_snapshot(snapshot_file::unix_ms());
        if let Some(snapshot) = snapshot {
            if !file.write(snapshot).await {
                last.write_failed();
            }
        }
    }
}

#[cfg(test)]
mod golden;
