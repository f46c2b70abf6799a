//! Admits new client connections: provides permits, evicts idle connections when permits are short, and marks the
//! connections whose requests are only rejected.
//!
//! The number of connections never exceeds the number of permits. Dropping a connection releases its permit.

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

/// How long to wait for a permit before trying to evict another connection, whose grace period may have ended
/// meanwhile.
const EVICTION_INTERVAL: Duration = Duration::from_millis(50);

/// Decides on the admission and eviction of client connections.
pub(super) struct ConnectionAdmission {
    /// One permit per client connection, including those whose requests are only rejected.
    pub permits: Arc<Semaphore>,
    /// The connections that await a request.
    pub table: Arc<ConnectionTable>,
    /// Maximum numbers of connections.
    pub budget: ConnectionBudget,
    /// The current transfer monitor, with which new connections are registered.
    pub monitors: TransferMonitors,
    /// The clock of slow-peer protection.
    pub clock: Clock,
    /// Whether it was logged that new connections are rejected because the connection limit is exceeded.
    shedding: ConditionLog,
}

/// A new connection, which is in the table and holds its permit.
pub(super) struct AdmittedConnection {
    /// The connection's state, shared with its task and its stream.
    pub connection: Arc<ClientConnection>,
    /// Its registration with slow-peer protection, if that is enabled. It refers to the stream's descriptor, so it has
    /// to be dropped before the stream.
    pub registration: Option<MonitoredConnection>,
    /// Whether all its requests are rejected.
    pub sheds_load: bool,
}

/// A connection's monitor and its registration with it.
struct MonitorRegistration {
    monitor: Arc<TransferMonitor>,
    registration: MonitoredConnection,
}

impl ConnectionAdmission {
    /// Creates the admission control of an acceptor without connections.
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

    /// Completes once no connection is left.
    pub(super) async fn wait_until_empty(&self) {
        // Fails only if the semaphore is closed, which never happens.
        let _ = self.permits.acquire_many(self.max_connections()).await;
    }

    fn max_connections(&self) -> u32 {
        (self.budget.clients + self.budget.spare) as u32
    }

    pub(super) fn open_connections(&self) -> usize {
        self.budget.clients + self.budget.spare - self.permits.available_permits()
    }

    /// Waits for a permit for the next connection. While none is available, evicts the connections that have been idle
    /// longest.
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

    /// Evicts the connection that has been idle longest. If none is idle, slow-peer protection aborts the connection of
    /// the worst slow reader. Returns whether a connection was evicted or aborted.
    pub(super) fn evict_one(&self, grace: Duration) -> bool {
        let now = self.clock.now();
        let monitor = self.monitors.borrow().clone();
        self.table.evict_idle(grace, now)
            || monitor.is_some_and(|monitor| monitor.abort_one_for_connection_slot(now))
    }

    /// Adds a new connection to the table and registers it with slow-peer protection.
    pub(super) fn admit(
        &self,
        stream: &TcpStream,
        address: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) -> AdmittedConnection {
        let aborted = Arc::new(Notify::new());
        let registered = self.register_with_monitor(stream, address, &aborted);
        let sheds_load = self.decide_shedding(registered.as_ref());
        let (monitored, registration) = match registered {
            Some(MonitorRegistration {
                monitor,
                registration,
            }) => {
                let monitored = MonitoredTransfer {
                    monitor,
                    id: registration.id(),
                    peer_network: registration.peer_network(),
                };
                (Some(monitored), Some(registration))
            }
            None => (None, None),
        };
        let connection = self.table.insert(permit, aborted, monitored);
        connection.socket.attach(stream);
        AdmittedConnection {
            connection,
            registration,
            sheds_load,
        }
    }

    /// Registers a new connection with slow-peer protection, if that is enabled.
    fn register_with_monitor(
        &self,
        stream: &TcpStream,
        address: SocketAddr,
        aborted: &Arc<Notify>,
    ) -> Option<MonitorRegistration> {
        let monitor = self.monitors.borrow().as_ref()?.clone();
        let aborted = aborted.clone();
        // SAFETY: the registration is moved into `RequestGuard`, which `ObservedStream` drops before it drops or
        // returns the stream.
        let socket = unsafe { borrow_descriptor(stream) };
        let now = self.clock.now();
        let registration =
            monitor.register(now, address.ip(), socket, move || aborted.notify_one());
        Some(MonitorRegistration {
            monitor,
            registration,
        })
    }

    /// Decides whether all requests of a new connection are rejected.
    fn decide_shedding(&self, registered: Option<&MonitorRegistration>) -> bool {
        let max = self.budget.clients;
        let open = self.open_connections();
        // Idle connections are evicted from three quarters of the limit on, before all permits are taken. Without that, a
        // client whose connection pool is full could open no new connection and would have to reject requests itself.
        // If no connection can be evicted, the spare permits serve connections on which requests are only rejected,
        // because a connection that is not accepted would hang.
        let evicted = open > max * 3 / 4 && self.evict_one(FIRST_REQUEST_GRACE);
        let is_over_limit = open > max;
        // A connection whose network has no slot left takes one of the permits for connections that are only rejected.
        let has_network_slot =
            registered.is_none_or(|registered| registered.registration.has_slot());
        let sheds_load = is_over_limit && !evicted || !has_network_slot;
        if sheds_load && has_network_slot && self.shedding.begins() {
            tracing::warn!(
                max_connections = max,
                "client connection limit reached, rejecting requests on new connections"
            );
        } else if !is_over_limit {
            self.shedding.ends();
        }
        sheds_load
    }
}
