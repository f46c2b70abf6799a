//! Slow-peer protection as the operator's settings ask for it: the instance in force, its ticks and its statistics.
//!
//! Owner: one task follows the settings, one task an instance drives its ticks. Input: the operator's settings. Output:
//! the instance in force. Invariant: a new instance applies to connections that are accepted after it; older connections
//! stay with theirs until they close.

use std::sync::{Arc, Weak};

use applewall_slow_peer::socket::Pacer;
use applewall_slow_peer::Row;
use tokio::sync::{watch, Semaphore};

use crate::clock::Clock;
use crate::config::operator::OperatorConfig;

/// Most rows of the table of slow peers in the log, each time that statistics are logged.
const MAX_LOGGED_PEERS: usize = 5;

/// The instance in force; `None` where all of it is off.
pub(crate) type Pacers = watch::Receiver<Option<Arc<Pacer>>>;

/// What slow-peer protection divides among clients.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Capacity {
    /// Connections that are served at most.
    pub connections: usize,
    /// The memory of the process.
    pub memory_bytes: u64,
}

/// What an instance is made from, besides its settings.
struct Environment {
    clock: Clock,
    permits: Arc<Semaphore>,
    /// How many permits there are in all.
    all_permits: usize,
    capacity: Capacity,
}

/// Follows the operator's settings. `permits` are those of the clients' connections, none of them taken yet.
pub(crate) fn follow_settings(
    mut operator: watch::Receiver<Arc<OperatorConfig>>,
    clock: Clock,
    permits: Arc<Semaphore>,
    capacity: Capacity,
) -> Pacers {
    let environment = Environment {
        clock,
        all_permits: permits.available_permits(),
        permits,
        capacity,
    };
    let first = operator.borrow_and_update().clone();
    let (pacers, follower) = watch::channel(environment.start(&first));
    // Owned by the channels: ends once nobody follows the instance in force.
    tokio::spawn(async move {
        while operator.changed().await.is_ok() {
            let settings = operator.borrow_and_update().clone();
            pacers.send_replace(environment.start(&settings));
        }
        // The last instance stays in force for as long as the process runs.
        pacers.closed().await;
    });
    follower
}

/// Slow-peer protection that is off.
#[cfg(test)]
pub(crate) fn none() -> Pacers {
    let (sender, follower) = watch::channel(None);
    std::mem::forget(sender);
    follower
}

impl Environment {
    /// A new instance, where the settings ask for one.
    fn start(&self, settings: &OperatorConfig) -> Option<Arc<Pacer>> {
        if !settings.pace.enabled.0 && !settings.bulkheads.enabled.0 {
            return None;
        }
        let Capacity {
            connections,
            memory_bytes,
        } = self.capacity;
        let size = (connections, memory_bytes);
        let now = self.clock.now();
        let pacer = Pacer::new(&settings.pace, &settings.bulkheads, size, now);
        let ticker = Ticker {
            pacer: Arc::downgrade(&pacer),
            clock: self.clock,
            permits: self.permits.clone(),
            all_permits: self.all_permits,
            connections,
        };
        // Owned by the instance: ends with it.
        tokio::spawn(ticker.run());
        Some(pacer)
    }
}

/// Drives the ticks of one instance.
struct Ticker {
    pacer: Weak<Pacer>,
    clock: Clock,
    permits: Arc<Semaphore>,
    all_permits: usize,
    connections: usize,
}

impl Ticker {
    /// Ticks for as long as anybody uses the instance.
    async fn run(self) {
        while let Some(pacer) = self.pacer.upgrade() {
            let interval = pacer.settings().tick.0;
            let taken = self
                .all_permits
                .saturating_sub(self.permits.available_permits());
            let utilization = taken as f64 / self.connections.max(1) as f64;
            pacer.tick(self.clock.now(), utilization);
            drop(pacer);
            tokio::time::sleep(interval).await;
        }
    }
}

/// Logs the statistics and the table of slow peers; nothing where nothing happened.
pub(crate) fn log_statistics(pacers: &Pacers) {
    let Some(pacer) = pacers.borrow().clone() else {
        return;
    };
    let (counts, rows, waiting, waiting_most) = pacer.report(MAX_LOGGED_PEERS);
    if waiting_most == 0 && counts == applewall_slow_peer::Counts::default() {
        return;
    }
    let applewall_slow_peer::Counts {
        cut_slow,
        cut_stopped,
        cut_room,
        no_room,
        in_stalled,
        in_hopeless,
        uploads,
        customer_places,
        peer_places,
    } = counts;
    tracing::info!(
        waiting,
        waiting_most,
        cut_slow,
        cut_stopped,
        cut_room,
        no_room,
        in_stalled,
        in_hopeless,
        uploads,
        customer_places,
        peer_places,
        "pace"
    );
    rows.into_iter().for_each(log_slow_peer);
}

fn log_slow_peer(row: Row) {
    let Row {
        holder,
        events,
        last,
        waiting,
        age,
    } = row;
    let customer = holder
        .customer
        .map_or("-".to_string(), |customer| format!("{customer:016x}"));
    let peer = holder.peer.map_or("-".to_string(), |peer| peer.to_string());
    let (last, ms) = (format!("{last:?}"), age / 1_000_000);
    tracing::info!(%customer, %peer, events, %last, waiting, ms, "pace: slow peer");
}
