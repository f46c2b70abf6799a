//! The state of one client connection, as its task, its request service and its stream see it.
//!
//! Owner: the connection's task; its request service, its stream and a streaming body share it. Input: what is read and
//! written on the connection. Output: flags, and notifications to close. Invariants: a connection that awaits a request is in
//! the table, once; its permit is returned once, when the connection is dropped.
//! The flags of a connection are independent of each other and only read on its own path, so relaxed ordering is enough.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use applewall_slow_peer::socket::TransferMonitor;
use applewall_slow_peer::{ConnectionId, ResourceOwner};
use ipnet::IpNet;
use tokio::sync::{Notify, OwnedSemaphorePermit};

use super::ConnectionTable;
use crate::server::client_socket::ClientSocket;

/// A connection as slow-peer protection knows it.
pub(crate) struct MonitoredTransfer {
    /// The monitor of its responses.
    pub monitor: Arc<TransferMonitor>,
    /// Its id in the monitor.
    pub id: ConnectionId,
    /// The network of the client, where the operator limits connections by network.
    pub peer_network: Option<IpNet>,
}

impl MonitoredTransfer {
    /// The owner of the memory that a response to this customer takes on this connection.
    pub(crate) fn owner(&self, customer: Option<u64>) -> ResourceOwner {
        ResourceOwner {
            customer,
            peer_network: self.peer_network,
        }
    }
}

/// The position of a connection that does not await a request; positions in the table begin at 1.
const NOT_IN_TABLE: u64 = 0;

/// One connection of a client. Its permit is returned when it is dropped.
pub(crate) struct ClientConnection {
    table: Arc<ConnectionTable>,
    /// Its position in the table, or [`NOT_IN_TABLE`].
    position: AtomicU64,
    has_begun_request: AtomicBool,
    has_unread_input: AtomicBool,
    reading_head: AtomicBool,
    /// Output waits for the kernel to take it.
    write_blocked: AtomicBool,
    /// When its idle time began, in nanoseconds since the table was set up.
    idle_since_ns: AtomicU64,
    quarantined: AtomicBool,
    /// A request was read completely and has no response yet.
    awaiting_response: AtomicBool,
    /// Shows whether the client has disconnected, without the reactor.
    pub socket: Arc<ClientSocket>,
    /// Notified to close the connection, after output that is under way.
    pub evicted: Notify,
    /// Notified to close the connection immediately, discarding unwritten output.
    pub aborted: Arc<Notify>,
    /// `None` if slow-peer protection is off.
    pub monitored: Option<MonitoredTransfer>,
    _permit: OwnedSemaphorePermit,
}

impl ClientConnection {
    /// A connection of which nothing was read, and which is not in the table yet.
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
            write_blocked: AtomicBool::new(false),
            idle_since_ns: AtomicU64::new(0),
            quarantined: AtomicBool::new(false),
            awaiting_response: AtomicBool::new(false),
            socket: Arc::default(),
            evicted: Notify::new(),
            aborted,
            monitored,
            _permit: permit,
        }
    }

    /// A request begins: the connection no longer awaits one.
    pub(crate) fn begin_request(&self) {
        self.has_begun_request.store(true, Ordering::Relaxed);
        self.leave_table();
    }

    /// The request was read completely: what is received until its response is known belongs to the next one.
    pub(crate) fn await_response(&self) {
        self.awaiting_response.store(true, Ordering::Relaxed);
    }

    /// True between [`ClientConnection::await_response`] and [`ClientConnection::await_request`].
    pub(crate) fn is_awaiting_response(&self) -> bool {
        self.awaiting_response.load(Ordering::Relaxed)
    }

    /// The response is known: the connection awaits its next request, and may be evicted.
    pub(crate) fn await_request(self: &Arc<Self>) {
        self.awaiting_response.store(false, Ordering::Relaxed);
        // A connection that lingers after an error is in the table already.
        self.leave_table();
        self.restart_idle_time();
        self.table.add(self);
    }

    /// The connection only waits for its client to read the end: it may be evicted.
    pub(crate) fn await_end(self: &Arc<Self>) {
        self.await_request();
    }

    fn leave_table(&self) {
        let position = self.position.swap(NOT_IN_TABLE, Ordering::Relaxed);
        if position != NOT_IN_TABLE {
            self.table.remove(position);
        }
    }

    /// The table has added the connection at this position.
    pub(super) fn set_position(&self, position: u64) {
        self.position.store(position, Ordering::Relaxed);
    }

    /// Notifies the connection to close; the table has removed it already.
    pub(super) fn evict(&self) {
        self.position.store(NOT_IN_TABLE, Ordering::Relaxed);
        self.evicted.notify_one();
    }

    /// True once a request has begun on it.
    pub(crate) fn has_begun_request(&self) -> bool {
        self.has_begun_request.load(Ordering::Relaxed)
    }

    /// Records whether some of a head was read, and not its end.
    pub(crate) fn set_reading_head(&self, reading_head: bool) {
        if self.reading_head.swap(reading_head, Ordering::Relaxed) != reading_head {
            self.restart_idle_time();
        }
    }

    /// Records whether output waits for the kernel to take it.
    pub(crate) fn set_write_blocked(&self, write_blocked: bool) {
        self.write_blocked.store(write_blocked, Ordering::Relaxed);
    }

    fn restart_idle_time(&self) {
        let now = self.table.origin.elapsed().as_nanos() as u64;
        self.idle_since_ns.store(now, Ordering::Relaxed);
    }

    /// Ends once the connection has awaited a request, or the rest of a head, for `limit`. The time of a head counts from
    /// its first byte, whatever time the connection awaited it before.
    pub(crate) async fn idle_for(&self, limit: Duration) {
        loop {
            let since = self.idle_since_ns.load(Ordering::Relaxed);
            let ends = self.table.origin + Duration::from_nanos(since) + limit;
            tokio::time::sleep_until(ends.into()).await;
            if self.idle_since_ns.load(Ordering::Relaxed) != since {
                continue;
            }
            let awaits_request = self.position.load(Ordering::Relaxed) != NOT_IN_TABLE;
            if awaits_request && !self.write_blocked.load(Ordering::Relaxed) {
                return;
            }
            self.restart_idle_time();
        }
    }

    /// True if some of a head was read, and not its end.
    pub(crate) fn is_reading_head(&self) -> bool {
        self.reading_head.load(Ordering::Relaxed)
    }

    /// Some input is left unread, so the connection has to close with its response.
    pub(crate) fn set_unread_input(&self) {
        self.has_unread_input.store(true, Ordering::Relaxed);
    }

    /// True after [`ClientConnection::set_unread_input`].
    pub(crate) fn has_unread_input(&self) -> bool {
        self.has_unread_input.load(Ordering::Relaxed)
    }

    /// A head on it can be framed in two ways: no request that is received on it is served.
    pub(crate) fn quarantine(&self) {
        self.quarantined.store(true, Ordering::Relaxed);
    }

    /// True after [`ClientConnection::quarantine`].
    pub(crate) fn is_quarantined(&self) -> bool {
        self.quarantined.load(Ordering::Relaxed)
    }

    /// True while slow-peer protection sees unsent bytes of a response at `now` on its clock.
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
