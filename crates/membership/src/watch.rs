//! State machine of a registry watch, without I/O and without a clock.
//!
//! The machine connects, reads the full list once (or resumes at the position of a restored snapshot), watches from the
//! next revision on, and sends a progress request whenever nothing was received for `progress_interval`, to check that
//! the watch is alive. The registry answers a progress request from memory, without reading the list. If the response
//! does not arrive within `response_timeout`, the watch is considered dead and is resumed at the next endpoint.
//!
//! A fleet must not overload a restarting registry. Only a compaction or a reset of the registry's history requires a
//! full read; every other reconnect resumes the watch, which costs the registry only the changes. Reconnect delays have
//! full jitter. A full read after a compaction has a random delay of its own, because a compaction affects all nodes at
//! the same time; the first full read of a process is not delayed.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::backoff::{full_jitter, Backoff};
use crate::Position;

/// For this long after the watch was last alive, reconnects have short delays: the drain of a member that was written
/// in the meantime must be received before its notice period ends. Later reconnects back off to limit the load on the
/// registry.
const FAST_RECONNECT_PERIOD: Duration = Duration::from_millis(400);

/// Upper bound of the delay before a reconnect within [`FAST_RECONNECT_PERIOD`], as a multiple of the initial backoff.
const FAST_RECONNECT_BACKOFFS: u32 = 2;

/// After this many consecutive responses with a revision below the known one, the registry's history is assumed to have
/// been reset, for example by a restore from a backup. A cluster member that lags briefly sends fewer.
const MAX_CONSECUTIVE_LAGGING_RESPONSES: u32 = 3;

/// Timeout of a full read, as a multiple of the timeout of any other response.
const FULL_LIST_TIMEOUT_FACTOR: u32 = 10;

/// The number of the first endpoint is drawn from 0 to this, exclusive, and the caller reduces it modulo the number of
/// endpoints. The range is much larger than any number of endpoints, so that all have nearly the same probability.
const INITIAL_ENDPOINT_RANGE: usize = 1 << 16;

/// Intervals, timeouts and delays of a watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchTiming {
    /// Time without a response on the watch after which a progress request is sent.
    pub progress_interval: Duration,
    /// Timeout of any response except a full list.
    pub response_timeout: Duration,
    /// Upper bounds of the random delay before a reconnect.
    pub backoff: Backoff,
    /// Upper bound of the random delay before a full read that all nodes of a fleet need at the same time.
    pub full_read_jitter: Duration,
}

/// Why a connection is closed, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// The connection was lost, or could not be established.
    ConnectionLost,
    /// A response did not arrive within its timeout.
    TimedOut,
    /// The registry's response does not continue from the known position.
    Inconsistent,
}

/// What the caller reports to [`WatchMachine::handle`]: a change of the connection, a response of the registry, or the
/// passing of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchInput {
    /// The connection that the last [`WatchOutput::Connect`] requested is established.
    Connected,
    /// The full list was read; it is the one at this position.
    ListRead(Position),
    /// The registry confirmed that it created the watch. Changes are reported from now on.
    WatchCreated,
    /// All changes up to this position were reported; there may have been none.
    Progress(Position),
    /// A fragment of a response arrived; at least one more follows.
    Fragment,
    /// The revision to resume from was compacted.
    Compacted,
    /// The connection was lost, or could not be established.
    ConnectionLost,
    /// Time has passed; due at [`WatchMachine::next_deadline`], ignored before it.
    Tick,
}

/// An action for the caller to perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchOutput {
    /// Close any open connection and connect to the endpoint with this number.
    Connect {
        /// The endpoint's number; the caller reduces it modulo the number of endpoints.
        endpoint: usize,
    },
    /// Read the full list, and return its position as [`WatchInput::ListRead`].
    ReadList,
    /// Create a watch.
    Watch {
        /// Revision of the first change to report: the one after the known position.
        from: u64,
    },
    /// Request a progress notification to check that the watch is alive.
    RequestProgress,
    /// Close the connection; a `Connect` follows after a delay.
    Disconnect {
        /// Why the connection is closed.
        reason: DisconnectReason,
    },
}

/// The state of the watch. Each state has a deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchState {
    /// Not connected; the next attempt is made at the deadline.
    BackingOff,
    /// A connection is being established; the attempt times out at the deadline.
    Connecting,
    /// Connected; the full read, which all nodes of a fleet need, starts at the deadline.
    ReadDelayed,
    /// The full list is being read; the read times out at the deadline.
    ReadingList,
    /// The creation of the watch was requested; the request times out at the deadline.
    CreatingWatch,
    /// The watch is alive; a progress request is sent at the deadline.
    Live,
    /// A progress request was sent, or a fragment was received; the watch is considered dead at the deadline.
    AwaitingProgress,
}

/// The state machine of one watch; see the module documentation.
#[derive(Debug)]
pub struct WatchMachine {
    timing: WatchTiming,
    state: WatchState,
    /// When the state ends or times out.
    deadline: Instant,
    /// Number of the endpoint of the connection or of the next attempt.
    endpoint: usize,
    /// The position up to which all changes were reported; `None` if a full read is needed.
    position: Option<Position>,
    /// Whether the next full read is delayed at random, because all nodes of a fleet need it at the same time.
    delays_full_read: bool,
    /// Number of lost connections since the registry last created a watch, not counting those that led to an immediate
    /// or a fast reconnect.
    failures: u32,
    /// When the watch was last alive.
    last_alive_at: Option<Instant>,
    consecutive_lagging_responses: u32,
    rng: SmallRng,
}

impl WatchMachine {
    /// Creates a watch that connects at the first tick. The seed selects the first endpoint, so that the nodes of a
    /// fleet are distributed over the endpoints. `position` is that of the restored snapshot, if there is one.
    pub fn new(now: Instant, timing: WatchTiming, seed: u64, position: Option<Position>) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let endpoint = rng.random_range(0..INITIAL_ENDPOINT_RANGE);
        WatchMachine {
            timing,
            state: WatchState::BackingOff,
            deadline: now,
            endpoint,
            position,
            delays_full_read: false,
            failures: 0,
            last_alive_at: None,
            consecutive_lagging_responses: 0,
            rng,
        }
    }

    /// When a [`WatchInput::Tick`] is due, unless another input arrives first.
    pub fn next_deadline(&self) -> Instant {
        self.deadline
    }

    /// True while the watch is alive: created, and not lost or timed out since.
    pub fn is_live(&self) -> bool {
        matches!(self.state, WatchState::Live | WatchState::AwaitingProgress)
    }

    /// Handles an input; returns the actions to perform, in order.
    pub fn handle(&mut self, now: Instant, input: WatchInput) -> Vec<WatchOutput> {
        match (input, self.state) {
            (WatchInput::Tick, _) if now < self.deadline => Vec::new(),
            (WatchInput::Tick, _) => self.handle_deadline(now),
            (WatchInput::Connected, WatchState::Connecting) => match self.position {
                Some(position) => self.create_watch(now, position),
                None => self.request_full_read(now),
            },
            (WatchInput::ListRead(position), WatchState::ReadingList) => {
                self.position = Some(position);
                self.create_watch(now, position)
            }
            (WatchInput::WatchCreated, WatchState::CreatingWatch) => {
                // A created watch proves that the registry is serving; an established connection does not.
                self.failures = 0;
                self.mark_alive(now)
            }
            (WatchInput::Progress(position), WatchState::Live | WatchState::AwaitingProgress) => {
                self.handle_progress(now, position)
            }
            (WatchInput::Fragment, WatchState::Live | WatchState::AwaitingProgress) => {
                self.await_response(now, WatchState::AwaitingProgress);
                Vec::new()
            }
            (
                WatchInput::Compacted,
                WatchState::CreatingWatch | WatchState::Live | WatchState::AwaitingProgress,
            ) => {
                // The compaction affects every node of the fleet at the same time.
                self.position = None;
                self.delays_full_read = true;
                self.request_full_read(now)
            }
            // Late responses on a connection that was closed.
            (
                WatchInput::ConnectionLost
                | WatchInput::Progress(_)
                | WatchInput::Fragment
                | WatchInput::Compacted
                | WatchInput::WatchCreated,
                WatchState::BackingOff,
            ) => Vec::new(),
            (WatchInput::ConnectionLost, _) => {
                self.disconnect(now, DisconnectReason::ConnectionLost)
            }
            _ => self.disconnect(now, DisconnectReason::Inconsistent),
        }
    }

    /// Discards the known position, so that the full list is read again. The caller found a gap between its list and
    /// the registry's history.
    pub fn invalidate(&mut self, now: Instant) -> Vec<WatchOutput> {
        self.position = None;
        self.consecutive_lagging_responses = 0;
        self.delays_full_read = true;
        self.disconnect(now, DisconnectReason::Inconsistent)
    }

    fn handle_deadline(&mut self, now: Instant) -> Vec<WatchOutput> {
        match self.state {
            WatchState::BackingOff => {
                self.await_response(now, WatchState::Connecting);
                let endpoint = self.endpoint;
                vec![WatchOutput::Connect { endpoint }]
            }
            WatchState::ReadDelayed => self.read_list(now),
            WatchState::Live => {
                self.await_response(now, WatchState::AwaitingProgress);
                vec![WatchOutput::RequestProgress]
            }
            WatchState::Connecting
            | WatchState::ReadingList
            | WatchState::CreatingWatch
            | WatchState::AwaitingProgress => self.disconnect(now, DisconnectReason::TimedOut),
        }
    }

    fn handle_progress(&mut self, now: Instant, position: Position) -> Vec<WatchOutput> {
        let Some(known) = self
            .position
            .filter(|known| known.cluster == position.cluster)
        else {
            // Another cluster now responds at this address.
            return self.invalidate(now);
        };
        self.consecutive_lagging_responses = if position.revision < known.revision {
            self.consecutive_lagging_responses + 1
        } else {
            0
        };
        if self.consecutive_lagging_responses >= MAX_CONSECUTIVE_LAGGING_RESPONSES {
            return self.invalidate(now);
        }
        self.position = Some(Position {
            cluster: known.cluster,
            revision: position.revision.max(known.revision),
        });
        self.mark_alive(now)
    }

    fn mark_alive(&mut self, now: Instant) -> Vec<WatchOutput> {
        self.last_alive_at = Some(now);
        self.enter(WatchState::Live, now + self.timing.progress_interval);
        Vec::new()
    }

    /// Starts a full read, immediately or after a random delay that distributes the reads of a fleet.
    fn request_full_read(&mut self, now: Instant) -> Vec<WatchOutput> {
        if std::mem::take(&mut self.delays_full_read) {
            let delay = full_jitter(self.timing.full_read_jitter, &mut self.rng);
            self.enter(WatchState::ReadDelayed, now + delay);
            return Vec::new();
        }
        self.read_list(now)
    }

    fn read_list(&mut self, now: Instant) -> Vec<WatchOutput> {
        let timeout = self.timing.response_timeout * FULL_LIST_TIMEOUT_FACTOR;
        self.enter(WatchState::ReadingList, now + timeout);
        vec![WatchOutput::ReadList]
    }

    fn create_watch(&mut self, now: Instant, known: Position) -> Vec<WatchOutput> {
        self.await_response(now, WatchState::CreatingWatch);
        vec![WatchOutput::Watch {
            from: known.revision.saturating_add(1),
        }]
    }

    fn disconnect(&mut self, now: Instant, reason: DisconnectReason) -> Vec<WatchOutput> {
        let delay = self.reconnect_delay(now);
        self.endpoint = self.endpoint.wrapping_add(1);
        self.enter(WatchState::BackingOff, now + delay);
        vec![WatchOutput::Disconnect { reason }]
    }

    /// The delay before the next connection attempt. There is none if the watch was alive until now: a drain may have
    /// been written that must be received before its notice period ends.
    fn reconnect_delay(&mut self, now: Instant) -> Duration {
        if self.is_live() {
            return Duration::ZERO;
        }
        let is_fast = self.last_alive_at.is_some_and(|last_alive_at| {
            now.saturating_duration_since(last_alive_at) < FAST_RECONNECT_PERIOD
        });
        let backoff = self.timing.backoff;
        if is_fast {
            return full_jitter(backoff.initial * FAST_RECONNECT_BACKOFFS, &mut self.rng);
        }
        let bound = backoff.delay(self.failures);
        self.failures = self.failures.saturating_add(1);
        full_jitter(bound, &mut self.rng)
    }

    fn await_response(&mut self, now: Instant, state: WatchState) {
        self.enter(state, now + self.timing.response_timeout);
    }

    fn enter(&mut self, state: WatchState, deadline: Instant) {
        self.state = state;
        self.deadline = deadline;
    }
}

#[cfg(test)]
mod tests;
