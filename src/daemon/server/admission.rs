//! Decides which new connections get a permit, which idle ones are evicted for them, and which only get rejections.
//!
//! Owner: the acceptor. Input: new connections. Output: permits, evictions, and whether a connection sheds load. Invariants:
//! no more connections than there are permits; a permit is returned once, when its connection is dropped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use applewall_slow_peer::socket::{borrow_descriptor, MonitoredConnection, TransferMonitor};
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

use crate::clock::Clock;
use crate::observability::condition_log::ConditionLog;
use crate::resources::connection_budget::ConnectionBudget;
use crate::server::connection_table::{
    ClientConnection, ConnectionTable, MonitoredTransfer, FIRST_REQUEST_GRACE,
};
use crate::server::slow_peers::TransferMonitors;

/// Wait for a permit before the next connection is evicted: by then the grace of one more may be over.
const EVICTION_INTERVAL: Duration = Duration::from_millis(50);

/// See the [module documentation](self).
pub(super) struct ConnectionAdmission {
    /// One permit for each connection of a client, those that only reject among them.
    pub permits: Arc<Semaphore>,
    /// The connections that await a request.
    pub table: Arc<ConnectionTable>,
    /// How many connections there may be.
    pub budget: ConnectionBudget,
    /// Slow-peer protection, where it is on.
    pub monitors: TransferMonitors,
    /// The clock of slow-peer protection.
    pub clock: Clock,
    /// New connections are being rejected.
    shedding: ConditionLog,
}

/// A new connection, admitted.
pub(super) struct AdmittedConnection {
    /// Its entry in the connection table; holds its permit.
    pub connection: Arc<ClientConnection>,
    /// Its registration with slow-peer protection, if that is enabled. It refers to the stream's descriptor, so it has to be
    /// dropped before the stream.
    pub ticket: Option<MonitoredConnection>,
    /// It gets nothing but rejections.
    pub sheds_load: bool,
}

/// A new connection as slow-peer protection knows it.
struct MonitorEntry {
    monitor: Arc<TransferMonitor>,
    ticket: MonitoredConnection,
}

impl ConnectionAdmission {
    /// Admission with no connection yet.
    pub(super) fn new(
        permits: Arc<Semaphore>,
        budget: ConnectionBudget,
        monitors: TransferMonitors,
        clock: Clock,
    ) -> Self {
        ConnectionAdmission {
            permits,
            table: Arc::default(),
            budget,
            monitors,
            clock,
            shedding: ConditionLog::default(),
        }
    }

    /// Ends once no connection is left.
    pub(super) async fn wait_until_empty(&self) {
        // The permits are never closed; if they were, no connection could be left.
        let _ = self.permits.acquire_many(self.max_connections()).await;
    }

    fn max_connections(&self) -> u32 {
        (self.budget.clients + self.budget.spare) as u32
    }

    /// How many connections are open.
    pub(super) fn open_connections(&self) -> usize {
        self.budget.clients + self.budget.spare - self.permits.available_permits()
    }

    /// A permit for the next connection; where all are taken, the connection that is idle longest is evicted for it.
    pub(super) async fn acquire_permit(&self) -> Option<OwnedSemaphorePermit> {
        loop {
            if self.permits.available_permits() == 0 {
                self.evict_one(FIRST_REQUEST_GRACE);
            }
            let permit = self.permits.clone().acquire_owned();
            if let Ok(permit) = tokio::time::timeout(EVICTION_INTERVAL, permit).await {
                return permit.ok();
            }
        }
    }

    /// Evicts the connection that is idle longest; where none is idle, slow-peer protection aborts the worst of those
    /// that do not read what they asked for.
    pub(super) fn evict_one(&self, grace: Duration) -> bool {
        let now = self.clock.now();
        let monitor = self.monitors.borrow().clone();
        self.table.evict_idle(grace, now)
            || monitor.is_some_and(|monitor| monitor.abort_one_for_connection_slot(now))
    }

    /// Enters a new connection into the table and registers it with slow-peer protection.
    pub(super) fn admit(
        &self,
        stream: &TcpStream,
        address: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) -> AdmittedConnection {
        let aborted = Arc::new(Notify::new());
        let entry = self.join_monitor(stream, address, &aborted);
        let sheds_load = self.decide_shedding(entry.as_ref());
        let (monitored, ticket) = match entry {
            Some(MonitorEntry { monitor, ticket }) => {
                let monitored = MonitoredTransfer {
                    monitor,
                    id: ticket.id(),
                    peer_network: ticket.peer_network(),
                };
                (Some(monitored), Some(ticket))
            }
            None => (None, None),
        };
        let connection = self.table.insert(permit, aborted, monitored);
        connection.socket.attach(stream);
        AdmittedConnection {
            connection,
            ticket,
            sheds_load,
        }
    }

    /// Registers a new connection with slow-peer protection, if that is enabled.
    fn join_monitor(
        &self,
        stream: &TcpStream,
        address: SocketAddr,
        aborted: &Arc<Notify>,
    ) -> Option<MonitorEntry> {
        let monitor = self.monitors.borrow().as_ref()?.clone();
        let aborted = aborted.clone();
        // SAFETY: the ticket goes into `RequestGuard`, which `CountingIo` drops before the stream, and before it returns
        // the stream.
        let socket = unsafe { borrow_descriptor(stream) };
        let now = self.clock.now();
        let ticket = monitor.register(now, address.ip(), socket, move || aborted.notify_one());
        Some(MonitorEntry { monitor, ticket })
    }

    /// Whether a new connection gets nothing but rejections.
    fn decide_shedding(&self, entry: Option<&MonitorEntry>) -> bool {
        let max = self.budget.clients;
        let open = self.open_connections();
        // Clients that hold as many connections as they may open no others, and would have to reject requests of their
        // own: idle connections are evicted before that point. Where none is idle, the spare permits serve to reject: a
        // connection that is not accepted would only hang.
        let evicted = open > max * 3 / 4 && self.evict_one(FIRST_REQUEST_GRACE);
        let is_over_limit = open > max;
        // A connection whose network has no slot left takes one of the permits for rejecting.
        let has_network_slot = entry.is_none_or(|entry| entry.ticket.has_slot());
        let sheds_load = is_over_limit && !evicted || !has_network_slot;
        if sheds_load && has_network_slot && self.shedding.begins() {
            tracing::warn!(
                max_connections = max,
                "client connections at their limit, new ones are rejected"
            );
        } else if !is_over_limit {
            self.shedding.ends();
        }
        sheds_load
    }
}
