//! The table of client connections that await a request, in the order in which they are evicted when permits are short.
//!
//! Each [`ClientConnection`] holds a reference to the table, and adds and removes itself. A connection that awaits a
//! request is in the table exactly once.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, OwnedSemaphorePermit};

mod client_connection;

pub(crate) use client_connection::{ClientConnection, MonitoredTransfer};

/// A new connection is neither evicted nor closed by a shutdown for this long: its first request may already be in
/// transit and would get no response.
pub(crate) const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(250);

/// The order of eviction: connections without any request first, then in the order in which they began to await one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    has_begun_request: bool,
    position: u64,
}

impl EvictionKey {
    /// The lower bound of the keys of all connections with this value of `has_begun_request`.
    fn first(has_begun_request: bool) -> Self {
        EvictionKey {
            has_begun_request,
            position: 0,
        }
    }
}

struct TableEntry {
    connection: Weak<ClientConnection>,
    since: Instant,
}

/// The connections that await a request, in eviction order.
#[derive(Default)]
struct EvictionQueue {
    /// The last assigned position; positions are never reused.
    last_position: u64,
    connections: BTreeMap<EvictionKey, TableEntry>,
}

impl EvictionQueue {
    /// Returns the first connection at or after `from` that may be evicted. A connection whose response is still being
    /// written at `now`, on the monitor's clock, is not idle: it would close only after its client has read the rest.
    fn first_idle(&self, from: EvictionKey, now: u64) -> Option<EvictionCandidate> {
        self.connections.range(from..).find_map(|(key, entry)| {
            let connection = entry.connection.upgrade()?;
            (!connection.is_writing_response(now)).then_some(EvictionCandidate {
                key: *key,
                connection,
                since: entry.since,
            })
        })
    }
}

struct EvictionCandidate {
    key: EvictionKey,
    connection: Arc<ClientConnection>,
    since: Instant,
}

/// The connections that await a request; shared by all client connections.
pub(crate) struct ConnectionTable {
    /// Held for one insertion, removal or search, never across an await point.
    queue: Mutex<EvictionQueue>,
    /// Reference time of the connections' idle times.
    epoch: Instant,
}

impl Default for ConnectionTable {
    fn default() -> Self {
        ConnectionTable {
            queue: Mutex::default(),
            epoch: Instant::now(),
        }
    }
}

impl ConnectionTable {
    /// Adds a connection that has begun to await a request.
    fn add(&self, connection: &Arc<ClientConnection>) {
        let mut queue = self.lock();
        queue.last_position += 1;
        let position = queue.last_position;
        connection.set_position(position);
        let key = EvictionKey {
            has_begun_request: connection.has_begun_request(),
            position,
        };
        let entry = TableEntry {
            connection: Arc::downgrade(connection),
            since: Instant::now(),
        };
        queue.connections.insert(key, entry);
    }

    /// Removes the connection at this position, if it is in the table.
    fn remove(&self, position: u64) {
        let mut queue = self.lock();
        // A request may have begun since the insertion, so both keys are tried. Positions are unique, so no other
        // connection is removed.
        for has_begun_request in [false, true] {
            queue.connections.remove(&EvictionKey {
                has_begun_request,
                position,
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, EvictionQueue> {
        // No code panics while it holds the lock; if one did, the table would still be consistent.
        self.queue
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Adds a new connection, which awaits its first request.
    pub(crate) fn insert(
        self: &Arc<Self>,
        permit: OwnedSemaphorePermit,
        aborted: Arc<Notify>,
        monitored: Option<MonitoredTransfer>,
    ) -> Arc<ClientConnection> {
        let connection = ClientConnection::new(self.clone(), permit, aborted, monitored);
        let connection = Arc::new(connection);
        connection.await_request();
        connection
    }

    /// Evicts the connection that has awaited a request for longest. Connections that have not begun any request come
    /// first, but not before `grace` has passed: their first request may be in transit and would get no response.
    /// Returns false if no connection may be evicted.
    pub(crate) fn evict_idle(&self, grace: Duration, now: u64) -> bool {
        let mut queue = self.lock();
        let is_new = |first: &EvictionCandidate| {
            !first.key.has_begun_request && first.since.elapsed() < grace
        };
        // The first connection without a request is the oldest: if it is too new, so are all others.
        let evicted = queue
            .first_idle(EvictionKey::first(false), now)
            .filter(|first| !is_new(first))
            .or_else(|| queue.first_idle(EvictionKey::first(true), now));
        let Some(evicted) = evicted else {
            return false;
        };
        let EvictionCandidate {
            key, connection, ..
        } = evicted;
        queue.connections.remove(&key);
        drop(queue);
        connection.evict();
        true
    }
}

#[cfg(test)]
mod tests;
