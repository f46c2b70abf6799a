//! Who sits where: the connections of service clients that wait for a command, in the order in which they have to
//! go when places are short.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::{Duration, Instant};

use applewall_slow_peer::socket::TransferMonitor;
use applewall_slow_peer::{ConnectionId, ResourceOwner};
use ipnet::IpNet;
use tokio::sync::{Notify, OwnedSemaphorePermit};

/// Where the answers on a connection are looked at: by whom, and as what.
pub struct Paced {
    pub pacer: Arc<TransferMonitor>,
    pub id: ConnectionId,
    pub peer: Option<IpNet>,
}

impl Paced {
    /// On whose behalf an answer to a customer is held here.
    pub fn holder(&self, customer: Option<u64>) -> ResourceOwner {
        ResourceOwner {
            customer,
            peer_network: self.peer,
        }
    }
}

/// One connection of a service client. Its place in the budget comes back when it is dropped.
pub struct Seat {
    seats: Arc<Seats>,
    /// The time of its last turn to wait, in turns of all; 0 while a command is open on it.
    turn: AtomicU64,
    asked: AtomicBool,
    unread: AtomicBool,
    halfway: AtomicBool,
    /// Something waits for room to be written.
    blocked: AtomicBool,
    /// When it was last heard, or answered, in nanoseconds since the seats were set up.
    since: AtomicU64,
    distrusted: AtomicBool,
    /// A command of it has been read whole and has no answer yet.
    answering: AtomicBool,
    /// Told when the connection has to go.
    pub go: Notify,
    /// Told when it has to go at once, with whatever still waits on it.
    pub cut: Arc<Notify>,
    pub paced: Option<Paced>,
    _place: OwnedSemaphorePermit,
}

impl Seat {
    /// A command has begun.
    pub fn begin(&self) {
        self.asked.store(true, Ordering::Relaxed);
        self.stand_up();
    }

    /// The command is whole: until its answer is known, what comes is not to be read as part of it.
    pub fn answering(&self) {
        self.answering.store(true, Ordering::Relaxed);
    }

    /// True between [`Seat::answering`] and [`Seat::wait`].
    pub fn is_answering(&self) -> bool {
        self.answering.load(Ordering::Relaxed)
    }

    /// The answer is known: from now on the connection may have to go.
    pub fn wait(self: &Arc<Self>) {
        self.answering.store(false, Ordering::Relaxed);
        let mut waiting = self.seats.lock();
        waiting.turn += 1;
        let turn = waiting.turn;
        self.turn.store(turn, Ordering::Relaxed);
        self.touch();
        waiting
            .seats
            .insert((self.asked(), turn), (Arc::downgrade(self), Instant::now()));
    }

    /// It waits no more.
    fn stand_up(&self) {
        let turn = self.turn.swap(0, Ordering::Relaxed);
        if turn > 0 {
            let mut waiting = self.seats.lock();
            // Not under the other key that it may have had meanwhile: turns are given once.
            waiting.seats.remove(&(false, turn));
            waiting.seats.remove(&(true, turn));
        }
    }

    /// True once a command has begun on it.
    pub fn asked(&self) -> bool {
        self.asked.load(Ordering::Relaxed)
    }

    /// Notes whether part of a head has been read, and not its end.
    pub fn reading(&self, halfway: bool) {
        if self.halfway.swap(halfway, Ordering::Relaxed) != halfway {
            self.touch();
        }
    }

    /// Notes whether something waits for room to be written.
    pub fn writing(&self, blocked: bool) {
        self.blocked.store(blocked, Ordering::Relaxed);
    }

    /// From here on its silence counts.
    fn touch(&self) {
        let since = self.seats.origin.elapsed().as_nanos() as u64;
        self.since.store(since, Ordering::Relaxed);
    }

    /// Ends once the connection has been silent for so long, or half way through a head. The two are told apart: the
    /// time of a head counts from its first byte.
    pub async fn silent(&self, most: Duration) {
        loop {
            let since = self.since.load(Ordering::Relaxed);
            tokio::time::sleep_until(
                (self.seats.origin + Duration::from_nanos(since) + most).into(),
            )
            .await;
            if self.since.load(Ordering::Relaxed) != since {
                continue;
            }
            let waits = self.turn.load(Ordering::Relaxed) > 0;
            if waits && !self.blocked.load(Ordering::Relaxed) {
                return;
            }
            self.touch();
        }
    }

    /// True where a head is half here: its command is about to be taken.
    pub fn halfway(&self) -> bool {
        self.halfway.load(Ordering::Relaxed)
    }

    /// The last answer left a body unread.
    pub fn leave_unread(&self) {
        self.unread.store(true, Ordering::Relaxed);
    }

    /// True where a body was left unread.
    pub fn unread(&self) -> bool {
        self.unread.load(Ordering::Relaxed)
    }

    /// A head on it can be read in two ways: nothing that comes on it is served.
    pub fn distrust(&self) {
        self.distrusted.store(true, Ordering::Relaxed);
    }

    /// True after [`Seat::distrust`].
    pub fn distrusted(&self) -> bool {
        self.distrusted.load(Ordering::Relaxed)
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.stand_up();
    }
}

#[derive(Default)]
struct Waiting {
    turn: u64,
    /// By whether a command ever came, then by when the wait began; and that moment.
    seats: BTreeMap<(bool, u64), (Weak<Seat>, Instant)>,
}

/// All connections that wait for a command.
pub(crate) struct Seats {
    waiting: Mutex<Waiting>,
    origin: Instant,
}

impl Default for Seats {
    fn default() -> Self {
        Seats {
            waiting: Mutex::default(),
            origin: Instant::now(),
        }
    }
}

impl Seats {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        // Nothing panics while it holds the lock; if it did, the state would still be whole.
        self.waiting
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// A new connection, which has not asked yet.
    pub(crate) fn sit(
        self: &Arc<Self>,
        place: OwnedSemaphorePermit,
        cut: Arc<Notify>,
        paced: Option<Paced>,
    ) -> Arc<Seat> {
        let seat = Arc::new(Seat {
            seats: self.clone(),
            turn: AtomicU64::new(0),
            asked: AtomicBool::new(false),
            unread: AtomicBool::new(false),
            halfway: AtomicBool::new(false),
            blocked: AtomicBool::new(false),
            since: AtomicU64::new(0),
            distrusted: AtomicBool::new(false),
            answering: AtomicBool::new(false),
            go: Notify::new(),
            cut,
            paced,
            _place: place,
        });
        seat.wait();
        seat
    }

    /// Tells the connection to go that has been silent for longest: one that never asked, else one whose last
    /// command is longest ago. The first command of a new one may be on its way: for a while those that asked go
    /// before it. One whose answer is still on its way, at this moment of its pacer's clock, is not silent: told to
    /// go, it would first write on, for as long as its reader likes. False where none waits.
    pub(crate) fn make_room(&self, grace: Duration, now: u64) -> bool {
        self.make_room_of(grace, now, true)
    }

    /// The same; new ones only where they may go too.
    pub(crate) fn make_room_of(&self, grace: Duration, now: u64, new_ones: bool) -> bool {
        let idle = |seat: &Weak<Seat>| {
            let seat = seat.upgrade()?;
            let going = seat
                .paced
                .as_ref()
                .is_some_and(|p| p.pacer.has_unsent_response(now, p.id));
            (!going).then_some(seat)
        };
        let mut waiting = self.lock();
        let silent = |from: (bool, u64)| {
            let found = |(key, (seat, since)): (&(bool, u64), &(Weak<Seat>, Instant))| {
                idle(seat).map(|seat| (*key, seat, *since))
            };
            waiting.seats.range(from..).find_map(found)
        };
        let Some(first) = silent((false, 0)) else {
            return false;
        };
        let new = !first.0 .0 && first.2.elapsed() < grace;
        let asked = if new { silent((true, 0)) } else { None };
        if new && asked.is_none() && !new_ones {
            return false;
        }
        let (key, seat, _) = asked.unwrap_or(first);
        waiting.seats.remove(&key);
        drop(waiting);
        seat.turn.store(0, Ordering::Relaxed);
        seat.go.notify_one();
        true
    }
}

#[cfg(test)]
mod tests;
