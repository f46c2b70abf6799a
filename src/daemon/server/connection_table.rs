//! The table of client connections that await a request, in the order in which they are evicted when permits are short.
//!
//! Each [`ClientConnection`] holds a reference to the table, and adds and removes itself. A connection that awaits a
//! request is in the table exactly once.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, OwnedSemaphorePermit};

mod client_connection;

pub(crate) use client_connection::{ClientConnection, MonitoredTransfer};

/// A new connection is neither evicted nor closed by a shutdown for this long: its first request may already be in
/// transit and would only be rejected.
pub(crate) const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(250);

/// What a connection in the table awaits, in the order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// Its client's close: it never had a request, and a rejection or the error of a malformed one has been written. May
    /// be evicted at any time, since nothing else will be written.
    Rejected,
    /// Its first request, which may be in transit.
    Unused,
    /// Its next request, or its client's close after the last response.
    Used,
}

impl EvictionClass {
    const ALL: [EvictionClass; 3] = [Self::Rejected, Self::Unused, Self::Used];
}

/// The order of eviction: by class, then in the order in which the connections were added.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    class: EvictionClass,
    position: u64,
}

impl EvictionKey {
    /// The keys of all connections of a class.
    fn all_of(class: EvictionClass) -> RangeInclusive<Self> {
        let key = |position| EvictionKey { class, position };
        key(0)..=key(u64::MAX)
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
    /// Returns the first connection of a class that may be evicted. A connection whose response is still being written at
    /// `now`, on the monitor's clock, is not idle: it would close only after its client has read the rest.
    fn first_idle(&self, class: EvictionClass, now: u64) -> Option<EvictionCandidate> {
        let mut connections = self.connections.range(EvictionKey::all_of(class));
        connections.find_map(|(key, entry)| {
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
            class: connection.eviction_class(),
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
        // The class may have changed since the insertion, so all keys are tried. Positions are unique, so no other
        // connection is removed.
        for class in EvictionClass::ALL {
            queue.connections.remove(&EvictionKey { class, position });
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

    /// Evicts the connection that has waited for longest, of the first class that has one which may be evicted. A new
    /// connection stays until `grace` has passed: its first request may be in transit and would only be rejected. Returns
    /// false if no connection may be evicted.
    pub(crate) fn evict_idle(&self, grace: Duration, now: u64) -> bool {
        let mut queue = self.lock();
        // The first connection of a class is its oldest: if it is too new, so are all others.
        let evicted = EvictionClass::ALL.into_iter().find_map(|class| {
            let stays_for = match class {
                EvictionClass::Unused => grace,
                EvictionClass::Rejected | EvictionClass::Used => Duration::ZERO,
            };
            let first = queue.first_idle(class, now)?;
            (first.since.elapsed() >= stays_for).then_some(first)
        });
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
