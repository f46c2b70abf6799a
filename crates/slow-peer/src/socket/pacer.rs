//! The connections of service clients whose answers are looked at, and what is done about slow ones.

use std::collections::HashMap;
use std::net::IpAddr;
use std::os::fd::{AsFd, BorrowedFd};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use ipnet::IpNet;

use super::kernel;
use crate::{
    Abort, BulkheadSettings, Bulkheads, ConnectionId, EventCounts, LimitExceeded,
    NetworkClassifier, OutgoingTransfers, OwnerStatistics, ResourceNeed, ResourceOwner, Settings,
    SlowPeerEvent, SlowPeerStatistics, StallCompensatedClock, TransferProgress,
};

/// A tick may be this late, in nanoseconds, before the time beyond counts as one in which the program stood still.
const SLACK: u64 = 30_000_000;
/// Looks at sockets that are asked for between ticks are this far apart at least, in nanoseconds.
const APART: u64 = 5_000_000;

/// A connection whose answers are looked at. Gone from the list when it is dropped, which has to be no later than
/// its socket is closed: the number of the descriptor is somebody else's after that.
pub struct MonitoredConnection {
    monitor: Arc<TransferMonitor>,
    id: ConnectionId,
    peer_network: Option<IpNet>,
    written: Arc<AtomicU64>,
    /// A place is held on behalf of the set of addresses.
    has_slot: bool,
}

impl MonitoredConnection {
    /// Names the connection to its pacer.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// Its set of addresses, where that is bounded.
    pub fn peer_network(&self) -> Option<IpNet> {
        self.peer_network
    }

    /// False where its set of addresses holds its share of places already: it is to be told no.
    pub fn has_slot(&self) -> bool {
        self.has_slot
    }

    /// So many bytes were written on it.
    pub fn record_written(&self, bytes: usize) {
        self.written.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl Drop for MonitoredConnection {
    fn drop(&mut self) {
        let mut state = self.monitor.state();
        state.outgoing.connection_closed(self.id);
        state.connections.remove(&self.id);
        if self.has_slot {
            state.peer_network_slots.release(ResourceOwner {
                customer: None,
                peer_network: self.peer_network,
            });
        }
    }
}

/// Lends a socket for a look.
type Lend = Box<dyn Fn(&mut dyn FnMut(BorrowedFd<'_>)) + Send>;

struct Connection {
    /// The socket's own; borrowed for a look only, under the lock, while the ticket lives.
    socket: Lend,
    written: Arc<AtomicU64>,
    abort: Box<dyn Fn() + Send>,
}

struct State {
    clock: StallCompensatedClock,
    polled_at_ns: u64,
    next: ConnectionId,
    outgoing: OutgoingTransfers,
    connections: HashMap<ConnectionId, Connection>,
    customer_slots: Bulkheads,
    peer_network_slots: Bulkheads,
    statistics: SlowPeerStatistics,
}

/// All of them. Shared by the door, the commands and one ticking task; every call is short and awaits nothing.
pub struct TransferMonitor {
    settings: Settings,
    network_classifier: NetworkClassifier,
    state: Mutex<State>,
}

impl TransferMonitor {
    /// None yet, with room for so many connections in a program that has so many bytes of memory; `now` is
    /// nanoseconds of a clock that only advances.
    pub fn new(
        settings: &Settings,
        bulkheads: &BulkheadSettings,
        (places, memory): (usize, u64),
        now: u64,
    ) -> Arc<Self> {
        let state = State {
            clock: StallCompensatedClock::new(now + settings.tick.as_nanos(), SLACK),
            polled_at_ns: 0,
            next: 0,
            outgoing: OutgoingTransfers::new(settings, bulkheads, memory),
            connections: HashMap::new(),
            customer_slots: Bulkheads::new(bulkheads, places),
            peer_network_slots: Bulkheads::new(bulkheads, places),
            statistics: SlowPeerStatistics::default(),
        };
        let networked = NetworkClassifier::new(bulkheads);
        Arc::new(TransferMonitor {
            settings: settings.clone(),
            network_classifier: networked,
            state: Mutex::new(state),
        })
    }

    /// The settings that it was made with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // Nothing panics while it holds the lock; if it did, the state would still be whole.
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// A connection came in from an address; `socket` lends its descriptor, and `cut` is called once if it has to
    /// go: it only tells, the connection's owner closes it.
    pub fn register(
        self: &Arc<Self>,
        now: u64,
        address: IpAddr,
        socket: impl Fn(&mut dyn FnMut(BorrowedFd<'_>)) + Send + 'static,
        cut: impl Fn() + Send + 'static,
    ) -> MonitoredConnection {
        let peer = self.network_classifier.network_of(address);
        let holder = ResourceOwner {
            customer: None,
            peer_network: peer,
        };
        let mut state = self.state();
        state.next += 1;
        let (id, written) = (state.next, Arc::new(AtomicU64::new(0)));
        let fair = state.clock.now(now);
        let placed = state.peer_network_slots.acquire(fair, holder).is_ok();
        if !placed {
            state
                .statistics
                .record(holder, SlowPeerEvent::PeerNetworkSlotsExhausted, 0, 0);
        }
        let connection = Connection {
            socket: Box::new(socket),
            written: written.clone(),
            abort: Box::new(cut),
        };
        state.connections.insert(id, connection);
        MonitoredConnection {
            monitor: self.clone(),
            id,
            peer_network: peer,
            written,
            has_slot: placed,
        }
    }

    /// A command was read on a connection.
    pub fn request_started(&self, id: ConnectionId) {
        self.state().outgoing.request_started(id);
    }

    /// That command has its answer, one too short to be held.
    pub fn response_needs_no_monitoring(&self, id: ConnectionId) {
        self.state().outgoing.response_needs_no_monitoring(id);
    }

    /// A customer opens a command.
    ///
    /// # Errors
    ///
    /// Where it holds its share of places already.
    pub fn acquire_request_slot(&self, now: u64, customer: u64) -> Result<(), LimitExceeded> {
        let holder = ResourceOwner {
            customer: Some(customer),
            peer_network: None,
        };
        let mut state = self.state();
        let fair = state.clock.now(now);
        let entered = state.customer_slots.acquire(fair, holder);
        if entered.is_err() {
            state
                .statistics
                .record(holder, SlowPeerEvent::CustomerSlotsExhausted, 0, 0);
        }
        entered
    }

    /// That command is over.
    pub fn release_request_slot(&self, customer: u64) {
        self.state().customer_slots.release(ResourceOwner {
            customer: Some(customer),
            peer_network: None,
        });
    }

    /// An answer of so many bytes is about to go out. Where there is no room for it, the worst offenders are cut.
    ///
    /// # Errors
    ///
    /// No room, and nobody to blame for it: a short answer has to go in its place.
    pub fn begin_response(
        &self,
        now: u64,
        id: ConnectionId,
        holder: ResourceOwner,
        bytes: u64,
    ) -> Result<(), LimitExceeded> {
        let mut state = self.state();
        let State {
            clock,
            outgoing,
            connections,
            ..
        } = &mut *state;
        let Some(connection) = connections.get(&id) else {
            return Ok(());
        };
        let (fair, moved) = (clock.now(now), connection.progress(false));
        // What was delivered since the last look belongs to the answer before this one.
        outgoing.record_progress(fair, id, moved);
        let Err(full) = outgoing.begin_response(fair, id, holder, bytes, moved) else {
            return Ok(());
        };
        state.poll_progress(now, APART);
        // The look alone may have found room.
        let again = state
            .outgoing
            .begin_response(fair, id, holder, bytes, moved);
        let Err(full) = again.map_err(|_| full) else {
            return Ok(());
        };
        let cuts = state
            .outgoing
            .abort_for_resources(fair, ResourceNeed::Bytes(holder, full, bytes));
        state.abort(fair, cuts);
        let begun = state
            .outgoing
            .begin_response(fair, id, holder, bytes, moved);
        begun.inspect_err(|full| {
            state
                .statistics
                .record(holder, SlowPeerEvent::ResponseReplaced(*full), bytes, 0);
        })
    }

    /// True while an answer waits on a connection: it is not idle.
    pub fn has_unsent_response(&self, now: u64, id: ConnectionId) -> bool {
        let mut state = self.state();
        if state.outgoing.is_sending(id) {
            state.poll_progress(now, APART);
        }
        state.outgoing.is_sending(id)
    }

    /// Cuts the worst offender for a place; false where there is none.
    pub fn abort_one_for_connection_slot(&self, now: u64) -> bool {
        let mut state = self.state();
        state.poll_progress(now, APART);
        let fair = state.clock.now(now);
        let cuts = state
            .outgoing
            .abort_for_resources(fair, ResourceNeed::ConnectionSlot);
        let found = !cuts.is_empty();
        state.abort(fair, cuts);
        found
    }

    /// Looks at all answers that go out, and cuts those that do not keep the least rate. `places` is the share of
    /// places that is taken. Comes as often as the settings say.
    pub fn tick(&self, now: u64, places: f64) {
        let mut state = self.state();
        state.clock.tick(now, now + self.settings.tick.as_nanos());
        state.poll_progress(now, 0);
        let fair = state.clock.now(now);
        let cuts = state.outgoing.abort_below_minimum_rate(fair, places);
        state.abort(fair, cuts);
    }

    /// Something happened that is to be counted.
    pub fn record(&self, holder: ResourceOwner, reason: SlowPeerEvent) {
        self.state().statistics.record(holder, reason, 0, 0);
    }

    /// Counts and the worst rows since the last call, what waits now and the most that did.
    pub fn take_report(&self, rows: usize) -> (EventCounts, Vec<OwnerStatistics>, u64, u64) {
        let mut state = self.state();
        let (counts, rows) = state.statistics.take(rows);
        let waiting = state.outgoing.unsent_bytes().total();
        (
            counts,
            rows,
            waiting,
            state.outgoing.unsent_bytes().take_peak(),
        )
    }
}

impl Connection {
    /// What is known of its bytes. Where the kernel does not tell, what is written is taken for delivered: nobody is
    /// cut for what is not known. The round trip is asked for only where it is `wanted`: it costs as much again.
    fn progress(&self, wanted: bool) -> TransferProgress {
        let written = self.written.load(Ordering::Relaxed);
        let (mut waiting, mut round_trip) = (0, 0);
        (self.socket)(&mut |socket| {
            waiting = kernel::unacknowledged(socket).unwrap_or(0);
            round_trip = if wanted {
                kernel::round_trip(socket)
            } else {
                0
            };
        });
        TransferProgress {
            written_bytes: written,
            acknowledged_bytes: written.saturating_sub(waiting),
            round_trip_ns: round_trip,
        }
    }
}

impl State {
    fn poll_progress(&mut self, now: u64, apart: u64) {
        if now.saturating_sub(self.polled_at_ns) < apart {
            return;
        }
        self.polled_at_ns = now;
        let fair = self.clock.now(now);
        for id in self.outgoing.connection_ids() {
            if let Some(connection) = self.connections.get(&id) {
                self.outgoing
                    .record_progress(fair, id, connection.progress(true));
            }
        }
    }

    fn abort(&mut self, fair: u64, cuts: Vec<Abort>) {
        for cut in cuts {
            // Who is cut comes back at once, more often than not.
            self.peer_network_slots.penalize(
                fair,
                ResourceOwner {
                    customer: None,
                    peer_network: cut.owner.peer_network,
                },
            );
            self.statistics.record(
                cut.owner,
                SlowPeerEvent::ResponseAborted(cut.reason),
                cut.unsent_bytes,
                cut.age_ns,
            );
            if let Some(connection) = self.connections.get(&cut.id) {
                (connection.socket)(&mut |socket| kernel::reset_at_close(socket));
                (connection.abort)();
            }
        }
    }
}

/// A descriptor to look at, lent by number.
///
/// # Safety
///
/// The descriptor has to stay open, and the same socket, until the [`MonitoredConnection`] that comes of it is dropped.
pub unsafe fn borrow_descriptor(
    socket: &impl AsFd,
) -> impl Fn(&mut dyn FnMut(BorrowedFd<'_>)) + Send + 'static {
    use std::os::fd::AsRawFd;
    let number = socket.as_fd().as_raw_fd();
    move |look| {
        // SAFETY: the caller's promise above.
        look(unsafe { BorrowedFd::borrow_raw(number) });
    }
}
