//! Creates the [`TransferMonitor`] of slow-peer protection from the operator's settings, drives its ticks and logs its
//! statistics.
//!
//! When the settings change, a new monitor is created. It applies to connections accepted from then on; older
//! connections keep their monitor until they close.

use std::sync::{Arc, Weak};

use applewall_slow_peer::socket::{Capacity, Report, TransferMonitor};
use applewall_slow_peer::{EventCounts, OwnerStatistics};
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinSet;

use crate::clock::Clock;
use crate::config::operator::OperatorConfig;

/// Maximum number of resource owners logged with each statistics event.
const MAX_LOGGED_OWNERS: usize = 5;

/// The current monitor; `None` if slow-peer protection is disabled.
pub(crate) type TransferMonitors = watch::Receiver<Option<Arc<TransferMonitor>>>;

/// What each monitor needs besides the operator's settings.
struct MonitorFactory {
    clock: Clock,
    permits: Arc<Semaphore>,
    /// Total number of permits.
    total_permits: usize,
    capacity: Capacity,
}

/// Replaces the current monitor when the operator's settings change.
pub(crate) struct MonitorUpdater {
    operator: watch::Receiver<Arc<OperatorConfig>>,
    factory: MonitorFactory,
    monitors: watch::Sender<Option<Arc<TransferMonitor>>>,
    /// One task per monitor that is still in use.
    tickers: JoinSet<()>,
}

impl MonitorUpdater {
    /// Creates the first monitor. `permits` are those of client connections, all of which must be available.
    pub(crate) fn new(
        mut operator: watch::Receiver<Arc<OperatorConfig>>,
        clock: Clock,
        permits: Arc<Semaphore>,
        capacity: Capacity,
    ) -> (Self, TransferMonitors) {
        let factory = MonitorFactory {
            clock,
            total_permits: permits.available_permits(),
            permits,
            capacity,
        };
        let mut tickers = JoinSet::new();
        let settings = operator.borrow_and_update().clone();
        let (monitors, current) = watch::channel(factory.create_monitor(&settings, &mut tickers));
        let updater = MonitorUpdater {
            operator,
            factory,
            monitors,
            tickers,
        };
        (updater, current)
    }

    /// Follows the settings until all receivers of the current monitor have been dropped.
    pub(crate) async fn run(mut self) {
        while self.operator.changed().await.is_ok() {
            let settings = self.operator.borrow_and_update().clone();
            // Reap the tickers of monitors that are no longer in use.
            while self.tickers.try_join_next().is_some() {}
            let monitor = self.factory.create_monitor(&settings, &mut self.tickers);
            self.monitors.send_replace(monitor);
        }
        // The settings no longer change; keep the last monitor and its ticker running.
        self.monitors.closed().await;
    }
}

/// Disabled slow-peer protection.
#[cfg(test)]
pub(crate) fn disabled() -> TransferMonitors {
    let (sender, receiver) = watch::channel(None);
    std::mem::forget(sender);
    receiver
}

impl MonitorFactory {
    /// Creates a monitor and starts its ticker, if the settings enable slow-peer protection.
    fn create_monitor(
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
            total_permits: self.total_permits,
            connections: self.capacity.connections,
        };
        tickers.spawn(ticker.run());
        Some(monitor)
    }
}

/// Calls one monitor's tick function at the configured interval.
struct Ticker {
    monitor: Weak<TransferMonitor>,
    clock: Clock,
    permits: Arc<Semaphore>,
    total_permits: usize,
    connections: usize,
}

impl Ticker {
    /// Runs until the monitor is no longer in use.
    async fn run(self) {
        while let Some(monitor) = self.monitor.upgrade() {
            let interval = monitor.settings().tick.0;
            let taken = self
                .total_permits
                .saturating_sub(self.permits.available_permits());
            let utilization = taken as f64 / self.connections.max(1) as f64;
            monitor.tick(self.clock.now(), utilization);
            drop(monitor);
            tokio::time::sleep(interval).await;
        }
    }
}

/// Logs the statistics and the resource owners with the slowest peers, if there is anything to report.
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

/// Logs the statistics of one resource owner.
fn log_owner(statistics: OwnerStatistics) {
    let customer = statistics
        .owner
        .customer
        .map_or("-".to_string(), |id| format!("{id:016x}"));
    let network = statistics
        .owner
        .peer_network
        .map_or("-".to_string(), |network| network.to_string());
    tracing::info!(
        %customer,
        %network,
        events = statistics.events,
        last_event = %format!("{:?}", statistics.last_event),
        max_unsent_bytes = statistics.max_unsent_bytes,
        max_age_ms = statistics.max_age_ns / 1_000_000,
        "resource owner with slow peers"
    );
}
