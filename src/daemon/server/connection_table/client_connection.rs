//! The state of one client connection, shared by its task, its request service, its stream and a streaming body.
//!
//! A connection that awaits a request is in the table exactly once. Dropping the connection releases its permit. The
//! flags are independent of each other and are read only by the code that serves the connection, so relaxed ordering is
//! sufficient.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use applewall_slow_peer::socket::TransferMonitor;
use applewall_slow_peer::{ConnectionId, ResourceOwner};
use ipnet::IpNet;
use tokio::sync::{Notify, OwnedSemaphorePermit};

use super::{ConnectionTable, EvictionClass};
use crate::server::client_socket::ClientSocket;

/// A connection's registration with slow-peer protection.
pub(crate) struct MonitoredTransfer {
    /// The monitor of the connection's transfers.
    pub monitor: Arc<TransferMonitor>,
    /// The connection's id in the monitor.
    pub id: ConnectionId,
    /// The client's network, if the operator limits connections by network.
    pub peer_network: Option<IpNet>,
}

impl MonitoredTransfer {
    /// The resource owner to which a response for this customer on this connection is attributed.
    pub(crate) fn owner(&self, customer: Option<u64>) -> ResourceOwner {
        ResourceOwner {
            customer,
            peer_network: self.peer_network,
        }
    }
}

/// The position of a connection that is not in the table, where positions start at 1.
const NOT_IN_TABLE: u64 = 0;

/// The value of [`ClientConnection::write_blocked_since_ns`] while the kernel accepts output.
const NOT_BLOCKED: u64 = u64::MAX;
/// Interval at which [`ClientConnection::disconnected_behind_input`] checks the socket.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which [`ClientConnection::write_blocked_for`] checks the connection.
const WRITE_BLOCKED_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// See the [module documentation](self).
pub(crate) struct ClientConnection {
    table: Arc<ConnectionTable>,
    /// Its position in the table, or [`NOT_IN_TABLE`].
    position: AtomicU64,
    has_begun_request: AtomicBool,
    has_unread_input: AtomicBool,
    reading_head: AtomicBool,
    /// Number of request heads that have been read completely.
    heads_read: AtomicU64,
    /// Number of requests that have begun.
    requests_begun: AtomicU64,
    /// A chunked body has begun, so that input behind it is not told from it.
    end_of_request_unknown: AtomicBool,
    /// Notified when a response is awaited although a part of the next request may have been read.
    awaiting_behind_input: Notify,
    /// Since when output is waiting for space in the kernel's send buffer, in nanoseconds since the table's reference
    /// time, or [`NOT_BLOCKED`].
    write_blocked_since_ns: AtomicU64,
    /// Start of the current idle period, in nanoseconds since the table's reference time.
    idle_since_ns: AtomicU64,
    ambiguous_framing: AtomicBool,
    /// How long the first request may have waited in the accept queue, in nanoseconds; 0 for later ones.
    accept_wait_ns: AtomicU64,
    /// A request has been read completely and has no response yet.
    awaiting_response: AtomicBool,
    /// The connection only waits for its client to read the last response and to close it.
    awaiting_client_close: AtomicBool,
    /// Shows whether the client has disconnected, independently of the reactor.
    pub socket: Arc<ClientSocket>,
    /// Notified to close the connection once the response being written is complete.
    pub evicted: Notify,
    /// Notified to close the connection immediately, discarding unwritten output.
    pub aborted: Arc<Notify>,
    /// `None` if slow-peer protection is disabled.
    pub monitored: Option<MonitoredTransfer>,
    _permit: OwnedSemaphorePermit,
}

impl ClientConnection {
    /// Creates the state of a new connection, which is not in the table yet.
    pub(super) fn new(
        table: Arc<ConnectionTable>,
        permit: OwnedSemaphorePermit,
        aborted: Arc<Notify>,
        monitored: Option<MonitoredTransfer>,
    ) -> Self {
        ClientConnection {
            table,
            position: AtomicU64::new(NOT_IN_TABLE),
            has_begun_request: AtomicBool::new(false),
            has_unread_input: AtomicBool::new(false),
            reading_head: AtomicBool::new(false),
            heads_read: AtomicU64::new(0),
            requests_begun: AtomicU64::new(0),
            end_of_request_unknown: AtomicBool::new(false),
            awaiting_behind_input: Notify::new(),
            write_blocked_since_ns: AtomicU64::new(NOT_BLOCKED),
            idle_since_ns: AtomicU64::new(0),
            ambiguous_framing: AtomicBool::new(false),
            accept_wait_ns: AtomicU64::new(0),
            awaiting_response: AtomicBool::new(false),
            awaiting_client_close: AtomicBool::new(false),
            socket: Arc::default(),
            evicted: Notify::new(),
            aborted,
            monitored,
            _permit: permit,
        }
    }

    /// Records how long the first request may have waited in the accept queue.
    pub(crate) fn set_accept_wait(&self, waited: Duration) {
        let waited_ns = waited.as_nanos() as u64;
        self.accept_wait_ns.store(waited_ns, Ordering::Relaxed);
    }

    /// How long the request that has been read may have waited in the accept queue. Later requests have not.
    pub(crate) fn take_accept_wait(&self) -> Duration {
        Duration::from_nanos(self.accept_wait_ns.swap(0, Ordering::Relaxed))
    }

    /// Records that a request has begun: the connection no longer awaits one.
    pub(crate) fn begin_request(&self) {
        self.has_begun_request.store(true, Ordering::Relaxed);
        self.requests_begun.fetch_add(1, Ordering::Relaxed);
        self.leave_table();
    }

    /// Records that the request has been read completely. Input received until its response is known belongs to the
    /// next request.
    pub(crate) fn await_response(&self) {
        self.awaiting_response.store(true, Ordering::Relaxed);
        if self.may_hold_next_request() {
            self.awaiting_behind_input.notify_one();
        }
    }

    /// True between [`ClientConnection::await_response`] and [`ClientConnection::await_request`].
    pub(crate) fn is_awaiting_response(&self) -> bool {
        self.awaiting_response.load(Ordering::Relaxed)
    }

    /// Records that the response is known: the connection awaits its next request and may be evicted.
    pub(crate) fn await_request(self: &Arc<Self>) {
        self.awaiting_response.store(false, Ordering::Relaxed);
        // A connection that lingers after an error is already in the table.
        self.leave_table();
        self.restart_idle_time();
        self.table.add(self);
    }

    /// Records that the connection only waits for its client to read the last response: it may be evicted.
    pub(crate) fn await_client_close(self: &Arc<Self>) {
        self.awaiting_client_close.store(true, Ordering::Relaxed);
        self.await_request();
    }

    pub(super) fn eviction_class(&self) -> EvictionClass {
        if self.has_begun_request() {
            EvictionClass::Used
        } else if self.awaiting_client_close.load(Ordering::Relaxed) {
            EvictionClass::Rejected
        } else {
            EvictionClass::Unused
        }
    }

    fn leave_table(&self) {
        let position = self.position.swap(NOT_IN_TABLE, Ordering::Relaxed);
        if position != NOT_IN_TABLE {
            self.table.remove(position);
        }
    }

    /// Records the position at which the table has added the connection.
    pub(super) fn set_position(&self, position: u64) {
        self.position.store(position, Ordering::Relaxed);
    }

    /// Notifies the connection to close. The table has already removed it.
    pub(super) fn evict(&self) {
        self.position.store(NOT_IN_TABLE, Ordering::Relaxed);
        self.evicted.notify_one();
    }

    /// True once any request has begun on the connection.
    pub(crate) fn has_begun_request(&self) -> bool {
        self.has_begun_request.load(Ordering::Relaxed)
    }

    /// Records the number of request heads that have been read completely.
    pub(crate) fn set_heads_read(&self, heads: u64) {
        self.heads_read.store(heads, Ordering::Relaxed);
    }

    /// Records that input behind the request is not told from its body.
    pub(crate) fn set_end_of_request_unknown(&self) {
        self.end_of_request_unknown.store(true, Ordering::Relaxed);
    }

    /// True if a part of a request may have been read that has not begun.
    fn may_hold_next_request(&self) -> bool {
        let begun = self.requests_begun.load(Ordering::Relaxed);
        self.heads_read.load(Ordering::Relaxed) > begun
            || self.is_reading_head()
            || self.end_of_request_unknown.load(Ordering::Relaxed)
    }

    /// Completes once the client has disconnected, while a response is pending and a part of the next request may have been
    /// read: hyper does not look for the end of the connection then.
    pub(crate) async fn disconnected_behind_input(&self) {
        loop {
            self.awaiting_behind_input.notified().await;
            while self.is_awaiting_response() && self.may_hold_next_request() {
                if self.socket.is_certainly_closed() {
                    return;
                }
                tokio::time::sleep(DISCONNECT_CHECK_INTERVAL).await;
            }
        }
    }

    /// Records whether a request head has been read in part.
    pub(crate) fn set_reading_head(&self, reading_head: bool) {
        if self.reading_head.swap(reading_head, Ordering::Relaxed) != reading_head {
            self.restart_idle_time();
        }
    }

    /// Records whether output is waiting for space in the kernel's send buffer, after an attempt to write.
    pub(crate) fn set_write_blocked(&self, write_blocked: bool) {
        let since_ns = match write_blocked {
            false => NOT_BLOCKED,
            // A second attempt without progress does not restart the time.
            true if self.is_write_blocked() => return,
            true => self.nanos_since_epoch(),
        };
        self.write_blocked_since_ns
            .store(since_ns, Ordering::Relaxed);
    }

    fn is_write_blocked(&self) -> bool {
        self.write_blocked_since_ns.load(Ordering::Relaxed) != NOT_BLOCKED
    }

    /// Completes once the client has read nothing for `limit` although output is waiting for it.
    pub(crate) async fn write_blocked_for(&self, limit: Duration) {
        loop {
            let since_ns = self.write_blocked_since_ns.load(Ordering::Relaxed);
            let blocked_ns = self.nanos_since_epoch().saturating_sub(since_ns);
            if since_ns != NOT_BLOCKED && Duration::from_nanos(blocked_ns) >= limit {
                return;
            }
            tokio::time::sleep(WRITE_BLOCKED_CHECK_INTERVAL.min(limit)).await;
        }
    }

    fn nanos_since_epoch(&self) -> u64 {
        self.table.epoch.elapsed().as_nanos() as u64
    }

    fn restart_idle_time(&self) {
        let now = self.nanos_since_epoch();
        self.idle_since_ns.store(now, Ordering::Relaxed);
    }

    /// Completes once the connection has awaited a request, or the rest of a head, for `limit`. The time for a head
    /// starts with its first byte, regardless of how long the connection was idle before.
    pub(crate) async fn idle_for(&self, limit: Duration) {
        loop {
            let since = self.idle_since_ns.load(Ordering::Relaxed);
            let ends = self.table.epoch + Duration::from_nanos(since) + limit;
            tokio::time::sleep_until(ends.into()).await;
            if self.idle_since_ns.load(Ordering::Relaxed) != since {
                continue;
            }
            let awaits_request = self.position.load(Ordering::Relaxed) != NOT_IN_TABLE;
            if awaits_request && !self.is_write_blocked() {
                return;
            }
            self.restart_idle_time();
        }
    }

    /// True if a request head has been read in part.
    pub(crate) fn is_reading_head(&self) -> bool {
        self.reading_head.load(Ordering::Relaxed)
    }

    /// Records that input is left unread, so the connection has to close after its response.
    pub(crate) fn set_unread_input(&self) {
        self.has_unread_input.store(true, Ordering::Relaxed);
    }

    /// True after [`ClientConnection::set_unread_input`].
    pub(crate) fn has_unread_input(&self) -> bool {
        self.has_unread_input.load(Ordering::Relaxed)
    }

    /// Records that a request head with ambiguous framing was received: no further request on the connection is served.
    pub(crate) fn set_ambiguous_framing(&self) {
        self.ambiguous_framing.store(true, Ordering::Relaxed);
    }

    /// True after [`ClientConnection::set_ambiguous_framing`].
    pub(crate) fn has_ambiguous_framing(&self) -> bool {
        self.ambiguous_framing.load(Ordering::Relaxed)
    }

    /// True if, according to slow-peer protection, a response has unsent bytes at `now` on the monitor's clock.
    pub(super) fn is_writing_response(&self, now: u64) -> bool {
        self.monitored
            .as_ref()
            .is_some_and(|monitored| monitored.monitor.has_unsent_response(now, monitored.id))
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.leave_table();
    }
}
