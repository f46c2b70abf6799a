//! Slow-peer protection as the operator's settings define it: the [`TransferMonitor`] in force, its ticks and its
//! statistics.
//!
//! Owner: one task of the node follows the settings, and owns a task for each monitor that drives its ticks. Input: the
//! operator's settings. Output: the monitor in force. Invariant: a new monitor applies to connections that are accepted
//! after it; older connections stay with theirs until they close.

use std::sync::{Arc, Weak};

use applewall_slow_peer::socket::{Capacity, Report, TransferMonitor};
use applewall_slow_peer::{EventCounts, OwnerStatistics};
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinSet;

use crate::clock::Clock;
use crate::config::operator::OperatorConfig;

/// Bounds the resource owners that are logged, each time that statistics are.
const MAX_LOGGED_OWNERS: usize = 5;

/// The monitor in force; `None` if slow-peer protection is off.
pub(crate) type TransferMonitors = watch::Receiver<Option<Arc<TransferMonitor>>>;

/// What a monitor is made from, besides its settings.
struct Environment {
    clock: Clock,
    permits: Arc<Semaphore>,
    /// How many permits there are in all.
    all_permits: usize,
    capacity: Capacity,
}

/// Puts a new monitor in force at each change of the operator's settings.
pub(crate) struct SettingsFollower {
    operator: watch::Receiver<Arc<OperatorConfig>>,
    environment: Environment,
    monitors: watch::Sender<Option<Arc<TransferMonitor>>>,
    /// One task for each monitor that is still in use.
    tickers: JoinSet<()>,
}

impl SettingsFollower {
    /// A follower with the first monitor in force. `permits` are those of the clients' connections, none of them taken yet.
    pub(crate) fn new(
        mut operator: watch::Receiver<Arc<OperatorConfig>>,
        clock: Clock,
        permits: Arc<Semaphore>,
        capacity: Capacity,
    ) -> (Self, TransferMonitors) {
        let environment = Environment {
            clock,
            all_permits: permits.available_permits(),
            permits,
            capacity,
        };
        let mut tickers = JoinSet::new();
        let settings = operator.borrow_and_update().clone();
        let (monitors, in_force) = watch::channel(environment.start(&settings, &mut tickers));
        let follower = SettingsFollower {
            operator,
            environment,
            monitors,
            tickers,
        };
        (follower, in_force)
    }

    /// Follows the settings for as long as any part reads the monitor in force.
    pub(crate) async fn run(mut self) {
        while self.operator.changed().await.is_ok() {
            let settings = self.operator.borrow_and_update().clone();
            // Tickers whose monitor is no longer in use have ended.
            while self.tickers.try_join_next().is_some() {}
            let monitor = self.environment.start(&settings, &mut self.tickers);
            self.monitors.send_replace(monitor);
        }
        // The last monitor stays in force for as long as the process runs.
        self.monitors.closed().await;
    }
}

/// Slow-peer protection that is off.
#[cfg(test)]
pub(crate) fn disabled() -> TransferMonitors {
    let (sender, follower) = watch::channel(None);
    std::mem::forget(sender);
    follower
}

impl Environment {
    /// A new monitor with its ticker, where the settings enable slow-peer protection.
    fn start(
        &self,
        settings: &OperatorConfig,
        tickers: &mut JoinSet<()>,
    ) -> Option<Arc<TransferMonitor>> {
        if !settings.pace.enabled.0 && !settings.bulkheads.enabled.0 {
            return None;
        }
        let now = self.clock.now();
        let monitor = TransferMonitor::new(&settings.pace, &settings.bulkheads, self.capacity, now);
        let ticker = Ticker {
            monitor: Arc::downgrade(&monitor),
            clock: self.clock,
            permits: self.permits.clone(),
            all_permits: self.all_permits,
            connections: self.capacity.connections,
        };
        tickers.spawn(ticker.run());
        Some(monitor)
    }
}

/// Drives the ticks of one monitor.
struct Ticker {
    monitor: Weak<TransferMonitor>,
    clock: Clock,
    permits: Arc<Semaphore>,
    all_permits: usize,
    connections: usize,
}

impl Ticker {
    /// Ticks for as long as the monitor is in use.
    async fn run(self) {
        while let Some(monitor) = self.monitor.upgrade() {
            let interval = monitor.settings().tick.0;
            let taken = self
                .all_permits
                .saturating_sub(self.permits.available_permits());
            let utilization = taken as f64 / self.connections.max(1) as f64;
            monitor.tick(self.clock.now(), utilization);
            drop(monitor);
            tokio::time::sleep(interval).await;
        }
    }
}

/// Logs the statistics and the resource owners with the slowest peers; nothing in an interval without any.
pub(crate) fn log_statistics(monitors: &TransferMonitors) {
    let Some(monitor) = monitors.borrow().clone() else {
        return;
    };
    let Report {
        counts,
        owners,
        unsent_bytes,
        max_unsent_bytes,
    } = monitor.take_report(MAX_LOGGED_OWNERS);
    if max_unsent_bytes == 0 && counts == EventCounts::default() {
        return;
    }
    let EventCounts {
        aborted_below_minimum_rate,
        aborted_stalled,
        aborted_for_resources,
        responses_replaced,
        upstream_responses_stalled,
        upstream_responses_too_slow,
        request_bodies_too_slow,
        customer_slots_exhausted,
        peer_network_slots_exhausted,
    } = counts;
    tracing::info!(
        unsent_bytes,
        max_unsent_bytes,
        aborted_below_minimum_rate,
        aborted_stalled,
        aborted_for_resources,
        responses_replaced,
        upstream_responses_stalled,
        upstream_responses_too_slow,
        request_bodies_too_slow,
        customer_slots_exhausted,
        peer_network_slots_exhausted,
        "slow peer statistics"
    );
    owners.into_iter().for_each(log_owner);
}

/// Logs what one resource owner's slow peers did.
fn log_owner(row: OwnerStatistics) {
    let customer = row
        .owner
        .customer
        .map_or("-".to_string(), |id| format!("{id:016x}"));
    let network = row
        .owner
        .peer_network
        .map_or("-".to_string(), |network| network.to_string());
    tracing::info!(
        %customer,
        %network,
        events = row.events,
        last_event = %format!("{:?}", row.last_event),
        max_unsent_bytes = row.max_unsent_bytes,
        max_age_ms = row.max_age_ns / 1_000_000,
        "resource owner with slow peers"
    );
}
