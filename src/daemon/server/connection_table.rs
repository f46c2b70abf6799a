//! The table of the client connections that await a request, in the order in which they are evicted when permits are short.
//!
//! Owner: the acceptor; each [`ClientConnection`] holds a reference, and adds and removes itself. Input: connections that
//! begin to await a request, or no longer do. Output: notifications to close. Invariant: a connection that awaits a request
//! is in the table, once.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, OwnedSemaphorePermit};

mod client_connection;

pub(crate) use client_connection::{ClientConnection, MonitoredTransfer};

/// Time after its start before which a connection is neither evicted nor closed by the shutdown: its first request may be
/// on its way, and would get no response.
pub(crate) const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(250);

/// The order of eviction: connections without any request first, then by the time from which they await one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    has_begun_request: bool,
    position: u64,
}

impl EvictionKey {
    /// Before all connections that did, or did not, begin a request.
    fn first(has_begun_request: bool) -> Self {
        EvictionKey {
            has_begun_request,
            position: 0,
        }
    }
}

/// An entry of the table.
struct AwaitingConnection {
    connection: Weak<ClientConnection>,
    since: Instant,
}

/// The connections that await a request, in the order of their eviction.
#[derive(Default)]
struct Awaiting {
    /// The position that was assigned last; positions are never reused.
    last_position: u64,
    connections: BTreeMap<EvictionKey, AwaitingConnection>,
}

impl Awaiting {
    /// The first connection from a key on that may be evicted. One whose response is still being written at this moment of
    /// its monitor's clock is not idle: once notified, it would first write the rest, at the pace of its reader.
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

/// All connections that await a request.
pub(crate) struct ConnectionTable {
    /// Protects order and entries of the table; held for one insertion, removal or search, never across a wait.
    awaiting: Mutex<Awaiting>,
    /// When the table was set up: idle times count from here.
    origin: Instant,
}

impl Default for ConnectionTable {
    fn default() -> Self {
        ConnectionTable {
            awaiting: Mutex::default(),
            origin: Instant::now(),
        }
    }
}

impl ConnectionTable {
    /// Adds a connection that awaits a request from now on.
    fn add(&self, connection: &Arc<ClientConnection>) {
        let mut awaiting = self.lock();
        awaiting.last_position += 1;
        let position = awaiting.last_position;
        connection.set_position(position);
        let key = EvictionKey {
            has_begun_request: connection.has_begun_request(),
            position,
        };
        let entry = AwaitingConnection {
            connection: Arc::downgrade(connection),
            since: Instant::now(),
        };
        awaiting.connections.insert(key, entry);
    }

    /// Removes a connection that was added at this position.
    fn remove(&self, position: u64) {
        let mut awaiting = self.lock();
        // Under both keys: a request may have begun since the insertion. A position is assigned once, so no other
        // connection is removed.
        for has_begun_request in [false, true] {
            awaiting.connections.remove(&EvictionKey {
                has_begun_request,
                position,
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, Awaiting> {
        // No code panics while it holds the lock; if it did, the table would still be consistent.
        self.awaiting
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// A new connection, which awaits its first request.
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

    /// Notifies the connection to close that has awaited a request for longest: one that never began any, else one whose
    /// last request is longest ago. A new connection stays for `grace`: its first request may be on its way, and would get
    /// no response. False if no connection may be evicted.
    pub(crate) fn evict_idle(&self, grace: Duration, now: u64) -> bool {
        let mut awaiting = self.lock();
        let is_new = |first: &EvictionCandidate| {
            !first.key.has_begun_request && first.since.elapsed() < grace
        };
        // Within their kind the first one is the oldest: where that is too new, all are.
        let evicted = awaiting
            .first_idle(EvictionKey::first(false), now)
            .filter(|first| !is_new(first))
            .or_else(|| awaiting.first_idle(EvictionKey::first(true), now));
        let Some(evicted) = evicted else {
            return false;
        };
        let EvictionCandidate {
            key, connection, ..
        } = evicted;
        awaiting.connections.remove(&key);
        drop(awaiting);
        connection.evict();
        true
    }
}

#[cfg(test)]
mod tests;
