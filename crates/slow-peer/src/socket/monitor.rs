//! Monitors the responses on client connections, and aborts slow ones.
//!
//! The monitor is shared by the acceptor, the requests and one task that ticks it. Invariants: calls are short and never
//! block on I/O; a descriptor is used only under the lock and while its [`MonitoredConnection`] exists.

use std::net::IpAddr;
use std::os::fd::BorrowedFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ipnet::IpNet;

use super::capacity::Capacity;
use super::connection::Connection;
use super::state::State;
use crate::{
    BulkheadSettings, ConnectionId, EventCounts, LimitExceeded, NetworkClassifier, OwnerStatistics,
    ResourceNeed, ResourceOwner, ResponseStart, ResponseStatus, Settings, SlowPeerEvent,
};

/// Events since the last report, and unsent bytes.
#[derive(Clone, Debug)]
pub struct Report {
    /// Number of events of each kind.
    pub counts: EventCounts,
    /// The owners with the most events, most events first.
    pub owners: Vec<OwnerStatistics>,
    /// Current number of unsent response bytes.
    pub unsent_bytes: u64,
    /// The highest number of unsent response bytes since the last report.
    pub max_unsent_bytes: u64,
}

/// A connection whose responses are monitored. Monitoring ends when this is dropped, which has to happen before the socket
/// is closed, since the descriptor number may then be reused for another socket.
pub struct MonitoredConnection {
    monitor: Arc<TransferMonitor>,
    id: ConnectionId,
    peer_network: Option<IpNet>,
    written_bytes: Arc<AtomicU64>,
    has_slot: bool,
}

impl MonitoredConnection {
    /// The identifier to pass to the methods of the [`TransferMonitor`] that concern this connection.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// The network of the peer, if it is limited.
    pub fn peer_network(&self) -> Option<IpNet> {
        self.peer_network
    }

    /// False if the peer's network already uses all slots that one network may use. The connection has to be rejected then.
    pub fn has_slot(&self) -> bool {
        self.has_slot
    }

    /// Records bytes that were written on the connection.
    pub fn record_written(&self, bytes: usize) {
        self.written_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl Drop for MonitoredConnection {
    fn drop(&mut self) {
        let mut state = self.monitor.state();
        state.outgoing.connection_closed(self.id);
        state.connections.remove(&self.id);
        if self.has_slot {
            let owner = ResourceOwner::network(self.peer_network);
            state.peer_network_slots.release(owner);
        }
    }
}

/// Monitors the responses on all client connections. Times are nanoseconds of one monotonic clock.
pub struct TransferMonitor {
    settings: Settings,
    network_classifier: NetworkClassifier,
    state: Mutex<State>,
}

impl TransferMonitor {
    /// Creates a monitor without connections.
    pub fn new(
        settings: &Settings,
        bulkheads: &BulkheadSettings,
        capacity: Capacity,
        now_ns: u64,
    ) -> Arc<Self> {
        Arc::new(TransferMonitor {
            settings: settings.clone(),
            network_classifier: NetworkClassifier::new(bulkheads),
            state: Mutex::new(State::new(settings, bulkheads, capacity, now_ns)),
        })
    }

    /// The settings with which the monitor was created; they do not change.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // No code panics while it holds the lock, and the state would be consistent even then.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a connection from an address. `with_socket` borrows its descriptor. `abort` is called at most once, if the
    /// connection has to be aborted; it only notifies the owner of the connection, which then closes it.
    pub fn register(
        self: &Arc<Self>,
        now_ns: u64,
        address: IpAddr,
        with_socket: impl Fn(&mut dyn FnMut(BorrowedFd<'_>)) + Send + 'static,
        abort: impl Fn() + Send + 'static,
    ) -> MonitoredConnection {
        let peer_network = self.network_classifier.network_of(address);
        let owner = ResourceOwner::network(peer_network);
        let written_bytes = Arc::new(AtomicU64::new(0));
        let mut state = self.state();
        let compensated_ns = state.clock.now(now_ns);
        let has_slot = state
            .peer_network_slots
            .acquire(compensated_ns, owner)
            .is_ok();
        if !has_slot {
            let event = SlowPeerEvent::PeerNetworkSlotsExhausted;
            state.statistics.record(owner, event);
        }
        let connection = Connection {
            with_socket: Box::new(with_socket),
            written_bytes: written_bytes.clone(),
            notify_abort: Box::new(abort),
        };
        let id = state.insert(connection);
        MonitoredConnection {
            monitor: self.clone(),
            id,
            peer_network,
            written_bytes,
            has_slot,
        }
    }

    /// Records that a request was read on a connection.
    pub fn request_started(&self, id: ConnectionId) {
        self.state().outgoing.request_started(id);
    }

    /// Records that the pending request has its response, which is too short to be monitored.
    pub fn response_needs_no_monitoring(&self, id: ConnectionId) {
        self.state().outgoing.response_needs_no_monitoring(id);
    }

    /// Acquires a slot for an open request of a customer.
    ///
    /// # Errors
    ///
    /// Returns an error if the customer already uses all slots that one customer may use.
    pub fn acquire_request_slot(&self, now_ns: u64, customer: u64) -> Result<(), LimitExceeded> {
        let owner = ResourceOwner::customer(customer);
        let mut state = self.state();
        let compensated_ns = state.clock.now(now_ns);
        let acquired = state.customer_slots.acquire(compensated_ns, owner);
        if acquired.is_err() {
            let event = SlowPeerEvent::CustomerSlotsExhausted;
            state.statistics.record(owner, event);
        }
        acquired
    }

    /// Releases the slot of a completed request.
    pub fn release_request_slot(&self, customer: u64) {
        let owner = ResourceOwner::customer(customer);
        self.state().customer_slots.release(owner);
    }

    /// Begins a response of this length. If it would exceed a limit, the slow connections with the largest product of
    /// unsent bytes and age are aborted.
    ///
    /// # Errors
    ///
    /// Returns the limit if aborts of slow connections could not free enough. A short response has to be sent instead.
    pub fn begin_response(
        &self,
        now_ns: u64,
        id: ConnectionId,
        owner: ResourceOwner,
        bytes: u64,
    ) -> Result<(), LimitExceeded> {
        let mut state = self.state();
        let compensated_ns = state.clock.now(now_ns);
        let Some(connection) = state.connections.get(&id) else {
            return Ok(());
        };
        let progress = connection.progress();
        // Bytes that were acknowledged since the last poll belong to the previous response.
        state.outgoing.record_progress(compensated_ns, id, progress);
        let response = ResponseStart {
            id,
            owner,
            bytes,
            progress,
        };
        let begin = |state: &mut State| state.outgoing.begin_response(compensated_ns, response);
        let Err(limit) = begin(&mut state) else {
            return Ok(());
        };
        // Polling the sockets may free enough without any abort.
        state.poll_progress_if_due(now_ns);
        if begin(&mut state).is_ok() {
            return Ok(());
        }
        let need = ResourceNeed::Bytes {
            owner,
            limit,
            bytes,
        };
        let aborts = state.outgoing.abort_for_resources(compensated_ns, need);
        state.abort(compensated_ns, aborts);
        let begun = begin(&mut state);
        if let Err(limit) = begun {
            let event = SlowPeerEvent::ResponseReplaced(limit);
            let replaced = ResponseStatus {
                unsent_bytes: bytes,
                age_ns: 0,
            };
            state.statistics.record_response(owner, event, replaced);
        }
        begun
    }

    /// Returns true while a response on the connection is unsent, that is, while the connection is not idle.
    pub fn has_unsent_response(&self, now_ns: u64, id: ConnectionId) -> bool {
        let mut state = self.state();
        if state.outgoing.is_sending(id) {
            state.poll_progress_if_due(now_ns);
        }
        state.outgoing.is_sending(id)
    }

    /// Aborts the slow connection with the largest product of unsent bytes and age, to free a connection slot. Returns false
    /// if none may be aborted.
    pub fn abort_one_for_connection_slot(&self, now_ns: u64) -> bool {
        let mut state = self.state();
        state.poll_progress_if_due(now_ns);
        let compensated_ns = state.clock.now(now_ns);
        let aborts = state
            .outgoing
            .abort_for_resources(compensated_ns, ResourceNeed::ConnectionSlot);
        let has_aborted = !aborts.is_empty();
        state.abort(compensated_ns, aborts);
        has_aborted
    }

    /// Polls all outgoing responses, and aborts those below the minimum data rate. `used_slots` is the fraction of
    /// connection slots in use. This has to be called at the interval in the settings (`tick`).
    pub fn tick(&self, now_ns: u64, used_slots: f64) {
        let mut state = self.state();
        let next_tick_ns = now_ns + self.settings.tick.as_nanos();
        state.clock.tick(now_ns, next_tick_ns);
        state.poll_progress(now_ns);
        let compensated_ns = state.clock.now(now_ns);
        let aborts = state
            .outgoing
            .abort_below_minimum_rate(compensated_ns, used_slots);
        state.abort(compensated_ns, aborts);
    }

    /// Records an event that does not concern an outgoing response.
    pub fn record(&self, owner: ResourceOwner, event: SlowPeerEvent) {
        self.state().statistics.record(owner, event);
    }

    /// Returns the events since the last call with at most `max_owners` owners, and resets the statistics.
    pub fn take_report(&self, max_owners: usize) -> Report {
        let mut state = self.state();
        let summary = state.statistics.take(max_owners);
        Report {
            counts: summary.counts,
            owners: summary.owners,
            unsent_bytes: state.outgoing.unsent_bytes().total(),
            max_unsent_bytes: state.outgoing.unsent_bytes().take_peak(),
        }
    }
}
