//! Slow peers: the pacer that the operator's settings ask for, its ticks, and its figures.

use std::sync::Arc;

use applewall_slow_peer::socket::{Capacity, TransferMonitor};
use applewall_slow_peer::OwnerStatistics;
use tokio::sync::{watch, Semaphore};

use crate::clock::Clock;
use crate::config::operator::OperatorConfig;

/// Rows of the table in the log, each time that figures are told.
const ROWS: usize = 5;

/// The pacer in force; none where all of it is off.
pub(crate) type Pacers = watch::Receiver<Option<Arc<TransferMonitor>>>;

/// Follows the operator's settings. A new pacer holds for connections that come after it; those of the one before stay
/// with that until they close. `size` is how many connections are served at most, and the bytes of memory.
pub(crate) fn lead(
    mut operator: watch::Receiver<Arc<OperatorConfig>>,
    clock: Clock,
    places: Arc<Semaphore>,
    size: (usize, u64),
) -> Pacers {
    let first = operator.borrow_and_update().clone();
    // Nobody holds a place yet.
    let places = (places.clone(), places.available_permits());
    let (pacers, follower) = watch::channel(pacer(&first, clock, &places, size));
    tokio::spawn(async move {
        while operator.changed().await.is_ok() {
            let settings = operator.borrow_and_update().clone();
            pacers.send_replace(pacer(&settings, clock, &places, size));
        }
        // The last one holds for as long as the program runs.
        pacers.closed().await;
    });
    follower
}

/// Followers of nothing.
#[cfg(test)]
pub(crate) fn none() -> Pacers {
    let (sender, follower) = watch::channel(None);
    std::mem::forget(sender);
    follower
}

fn pacer(
    settings: &OperatorConfig,
    clock: Clock,
    places: &(Arc<Semaphore>, usize),
    size: (usize, u64),
) -> Option<Arc<TransferMonitor>> {
    if !settings.pace.enabled.0 && !settings.bulkheads.enabled.0 {
        return None;
    }
    let capacity = Capacity {
        connections: size.0,
        memory_bytes: size.1,
    };
    let pacer = TransferMonitor::new(&settings.pace, &settings.bulkheads, capacity, clock.now());
    tokio::spawn(tick(Arc::downgrade(&pacer), clock, places.clone(), size.0));
    Some(pacer)
}

/// Ticks for as long as anybody needs the pacer.
async fn tick(
    pacer: std::sync::Weak<TransferMonitor>,
    clock: Clock,
    (places, all): (Arc<Semaphore>, usize),
    clients: usize,
) {
    while let Some(pacer) = pacer.upgrade() {
        let time = pacer.settings().tick.0;
        let taken = all.saturating_sub(places.available_permits());
        pacer.tick(clock.now(), taken as f64 / clients.max(1) as f64);
        drop(pacer);
        tokio::time::sleep(time).await;
    }
}

/// Tells the figures and the table of who was behind them; nothing where nothing happened.
pub(crate) fn tell(pacers: &Pacers) {
    let Some(pacer) = pacers.borrow().clone() else {
        return;
    };
    let report = pacer.take_report(ROWS);
    if report.max_unsent_bytes == 0 && report.counts == applewall_slow_peer::EventCounts::default()
    {
        return;
    }
    let applewall_slow_peer::EventCounts {
        aborted_below_minimum_rate,
        aborted_stalled,
        aborted_for_resources,
        responses_replaced,
        upstream_responses_stalled,
        upstream_responses_too_slow,
        request_bodies_too_slow,
        customer_slots_exhausted,
        peer_network_slots_exhausted,
    } = report.counts;
    tracing::info!(
        unsent_bytes = report.unsent_bytes,
        max_unsent_bytes = report.max_unsent_bytes,
        aborted_below_minimum_rate,
        aborted_stalled,
        aborted_for_resources,
        responses_replaced,
        upstream_responses_stalled,
        upstream_responses_too_slow,
        request_bodies_too_slow,
        customer_slots_exhausted,
        peer_network_slots_exhausted,
        "slow peers"
    );
    report.owners.into_iter().for_each(log_owner);
}

/// Logs one row of the table.
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
        "slow peers: worst resource owner"
    );
}
