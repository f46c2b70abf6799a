//! The connections of service clients whose answers are looked at, and what is done about slow ones.

use std::collections::HashMap;
use std::net::IpAddr;
use std::os::fd::{AsFd, BorrowedFd};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use ipnet::IpNet;

use super::kernel;
use crate::{
    BulkheadSettings, Bulkheads, Counts, Cut, FairClock, Full, Holder, Id, Moved, Need, Networked,
    Outgoing, Reason, Row, Settings, Tally,
};

/// A tick may be this late, in nanoseconds, before the time beyond counts as one in which the program stood still.
const SLACK: u64 = 30_000_000;
/// Looks at sockets that are asked for between ticks are this far apart at least, in nanoseconds.
const APART: u64 = 5_000_000;

/// A connection whose answers are looked at. Gone from the list when it is dropped, which has to be no later than
/// its socket is closed: the number of the descriptor is somebody else's after that.
pub struct Ticket {
    pacer: Arc<Pacer>,
    id: Id,
    peer: Option<IpNet>,
    written: Arc<AtomicU64>,
    /// A place is held on behalf of the set of addresses.
    placed: bool,
}

impl Ticket {
    /// Names the connection to its pacer.
    pub fn id(&self) -> Id {
        self.id
    }

    /// Its set of addresses, where that is bounded.
    pub fn peer(&self) -> Option<IpNet> {
        self.peer
    }

    /// False where its set of addresses holds its share of places already: it is to be told no.
    pub fn placed(&self) -> bool {
        self.placed
    }

    /// So many bytes were written on it.
    pub fn wrote(&self, bytes: usize) {
        self.written.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.pacer.state();
        state.outgoing.end(self.id);
        state.connections.remove(&self.id);
        if self.placed {
            state.peers.leave(Holder {
                customer: None,
                peer: self.peer,
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
    cut: Box<dyn Fn() + Send>,
}

struct State {
    clock: FairClock,
    looked: u64,
    next: Id,
    outgoing: Outgoing,
    connections: HashMap<Id, Connection>,
    customers: Bulkheads,
    peers: Bulkheads,
    tally: Tally,
}

/// All of them. Shared by the door, the commands and one ticking task; every call is short and awaits nothing.
pub struct Pacer {
    settings: Settings,
    networked: Networked,
    state: Mutex<State>,
}

impl Pacer {
    /// None yet, with room for so many connections in a program that has so many bytes of memory; `now` is
    /// nanoseconds of a clock that only advances.
    pub fn new(
        settings: &Settings,
        bulkheads: &BulkheadSettings,
        (places, memory): (usize, u64),
        now: u64,
    ) -> Arc<Self> {
        let state = State {
            clock: FairClock::new(now + settings.tick.as_nanos(), SLACK),
            looked: 0,
            next: 0,
            outgoing: Outgoing::new(settings, bulkheads, memory),
            connections: HashMap::new(),
            customers: Bulkheads::new(bulkheads, places),
            peers: Bulkheads::new(bulkheads, places),
            tally: Tally::default(),
        };
        let networked = Networked::new(bulkheads);
        Arc::new(Pacer {
            settings: settings.clone(),
            networked,
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
    pub fn join(
        self: &Arc<Self>,
        now: u64,
        address: IpAddr,
        socket: impl Fn(&mut dyn FnMut(BorrowedFd<'_>)) + Send + 'static,
        cut: impl Fn() + Send + 'static,
    ) -> Ticket {
        let peer = self.networked.of(address);
        let holder = Holder {
            customer: None,
            peer,
        };
        let mut state = self.state();
        state.next += 1;
        let (id, written) = (state.next, Arc::new(AtomicU64::new(0)));
        let fair = state.clock.now(now);
        let placed = state.peers.enter(fair, holder).is_ok();
        if !placed {
            state.tally.note(holder, Reason::PeerPlaces, 0, 0);
        }
        let connection = Connection {
            socket: Box::new(socket),
            written: written.clone(),
            cut: Box::new(cut),
        };
        state.connections.insert(id, connection);
        Ticket {
            pacer: self.clone(),
            id,
            peer,
            written,
            placed,
        }
    }

    /// A command was read on a connection.
    pub fn command(&self, id: Id) {
        self.state().outgoing.command(id);
    }

    /// That command has its answer, one too short to be held.
    pub fn answered(&self, id: Id) {
        self.state().outgoing.answered(id);
    }

    /// A customer opens a command.
    ///
    /// # Errors
    ///
    /// Where it holds its share of places already.
    pub fn enter(&self, now: u64, customer: u64) -> Result<(), Full> {
        let holder = Holder {
            customer: Some(customer),
            peer: None,
        };
        let mut state = self.state();
        let fair = state.clock.now(now);
        let entered = state.customers.enter(fair, holder);
        if entered.is_err() {
            state.tally.note(holder, Reason::CustomerPlaces, 0, 0);
        }
        entered
    }

    /// That command is over.
    pub fn leave(&self, customer: u64) {
        self.state().customers.leave(Holder {
            customer: Some(customer),
            peer: None,
        });
    }

    /// An answer of so many bytes is about to go out. Where there is no room for it, the worst offenders are cut.
    ///
    /// # Errors
    ///
    /// No room, and nobody to blame for it: a short answer has to go in its place.
    pub fn begin(&self, now: u64, id: Id, holder: Holder, bytes: u64) -> Result<(), Full> {
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
        let (fair, moved) = (clock.now(now), connection.moved(false));
        // What was delivered since the last look belongs to the answer before this one.
        outgoing.progress(fair, id, moved);
        let Err(full) = outgoing.begin(fair, id, holder, bytes, moved) else {
            return Ok(());
        };
        state.look(now, APART);
        // The look alone may have found room.
        let again = state.outgoing.begin(fair, id, holder, bytes, moved);
        let Err(full) = again.map_err(|_| full) else {
            return Ok(());
        };
        let cuts = state
            .outgoing
            .make_room(fair, Need::Bytes(holder, full, bytes));
        state.carry_out(fair, cuts);
        let begun = state.outgoing.begin(fair, id, holder, bytes, moved);
        begun.inspect_err(|full| state.tally.note(holder, Reason::NoRoom(*full), bytes, 0))
    }

    /// True while an answer waits on a connection: it is not idle.
    pub fn is_going(&self, now: u64, id: Id) -> bool {
        let mut state = self.state();
        if state.outgoing.is_going(id) {
            state.look(now, APART);
        }
        state.outgoing.is_going(id)
    }

    /// Cuts the worst offender for a place; false where there is none.
    pub fn make_place(&self, now: u64) -> bool {
        let mut state = self.state();
        state.look(now, APART);
        let fair = state.clock.now(now);
        let cuts = state.outgoing.make_room(fair, Need::Place);
        let found = !cuts.is_empty();
        state.carry_out(fair, cuts);
        found
    }

    /// Looks at all answers that go out, and cuts those that do not keep the least rate. `places` is the share of
    /// places that is taken. Comes as often as the settings say.
    pub fn tick(&self, now: u64, places: f64) {
        let mut state = self.state();
        state.clock.tick(now, now + self.settings.tick.as_nanos());
        state.look(now, 0);
        let fair = state.clock.now(now);
        let cuts = state.outgoing.judge(fair, places);
        state.carry_out(fair, cuts);
    }

    /// Something happened that is to be counted.
    pub fn note(&self, holder: Holder, reason: Reason) {
        self.state().tally.note(holder, reason, 0, 0);
    }

    /// Counts and the worst rows since the last call, what waits now and the most that did.
    pub fn report(&self, rows: usize) -> (Counts, Vec<Row>, u64, u64) {
        let mut state = self.state();
        let (counts, rows) = state.tally.take(rows);
        let waiting = state.outgoing.account().total();
        (counts, rows, waiting, state.outgoing.account().take_most())
    }
}

impl Connection {
    /// What is known of its bytes. Where the kernel does not tell, what is written is taken for delivered: nobody is
    /// cut for what is not known. The round trip is asked for only where it is `wanted`: it costs as much again.
    fn moved(&self, wanted: bool) -> Moved {
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
        Moved {
            written,
            delivered: written.saturating_sub(waiting),
            round_trip,
        }
    }
}

impl State {
    fn look(&mut self, now: u64, apart: u64) {
        if now.saturating_sub(self.looked) < apart {
            return;
        }
        self.looked = now;
        let fair = self.clock.now(now);
        for id in self.outgoing.ids() {
            if let Some(connection) = self.connections.get(&id) {
                self.outgoing.progress(fair, id, connection.moved(true));
            }
        }
    }

    fn carry_out(&mut self, fair: u64, cuts: Vec<Cut>) {
        for cut in cuts {
            // Who is cut comes back at once, more often than not.
            self.peers.distrust(
                fair,
                Holder {
                    customer: None,
                    peer: cut.holder.peer,
                },
            );
            self.tally
                .note(cut.holder, Reason::Cut(cut.why), cut.waiting, cut.age);
            if let Some(connection) = self.connections.get(&cut.id) {
                (connection.socket)(&mut |socket| kernel::reset_at_close(socket));
                (connection.cut)();
            }
        }
    }
}

/// A descriptor to look at, lent by number.
///
/// # Safety
///
/// The descriptor has to stay open, and the same socket, until the [`Ticket`] that comes of it is dropped.
pub unsafe fn lend(socket: &impl AsFd) -> impl Fn(&mut dyn FnMut(BorrowedFd<'_>)) + Send + 'static {
    use std::os::fd::AsRawFd;
    let number = socket.as_fd().as_raw_fd();
    move |look| {
        // SAFETY: the caller's promise above.
        look(unsafe { BorrowedFd::borrow_raw(number) });
    }
}
