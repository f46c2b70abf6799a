//! Slow peers: the pacer that the operator's settings ask for, its ticks, and its figures.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::sync::Arc;

use applewall_slow_peer::socket::Pacer;
use applewall_slow_peer::Row;
use tokio::sync::{watch, Semaphore};

use crate::clock::Clock;
use crate::config::operator::Operator;

/// Rows of the table in the log, each time that figures are told.
const ROWS: usize = 5;

/// The pacer in force; none where all of it is off.
pub(crate) type Pacers = watch::Receiver<Option<Arc<Pacer>>>;

/// Follows the operator's settings. A new pacer holds for connections that come after it; those of the one before stay
/// with that until they close. `size` is how many connections are served at most, and the bytes of memory.
pub(crate) fn lead(
    mut operator: watch::Receiver<Arc<Operator>>,
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
    settings: &Operator,
    clock: Clock,
    places: &(Arc<Semaphore>, usize),
    size: (usize, u64),
) -> Option<Arc<Pacer>> {
    if !settings.pace.enabled.0 && !settings.bulkheads.enabled.0 {
        return None;
    }
    let pacer = Pacer::new(&settings.pace, &settings.bulkheads, size, clock.now());
    tokio::spawn(tick(Arc::downgrade(&pacer), clock, places.clone(), size.0));
    Some(pacer)
}

/// Ticks for as long as anybody needs the pacer.
async fn tick(
    pacer: std::sync::Weak<Pacer>,
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
pub(crate) fn log_statistics(pacers: &Pacers) {
    let Some(pacer) = pacers.borrow().clone() else {
        return;
    };
    let (counts, rows, waiting, waiting_most) = pacer.report(ROWS);
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
    for Row {
        holder,
        events,
        last,
        waiting,
        age,
    } in rows
    {
        let customer = holder
            .customer
            .map_or("-".to_string(), |c| format!("{c:016x}"));
        let peer = holder.peer.map_or("-".to_string(), |p| p.to_string());
        let (last, ms) = (format!("{last:?}"), age / 1_000_000);
        tracing::info!(%customer, %peer, events, %last, waiting, ms, "pace: slow peer");
    }
}
