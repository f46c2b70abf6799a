//! The state machine of a registry watch: what to do next, from what happened.
//!
//! One thing at a time: connect, read the whole list once (or resume from the position that the last watch reached),
//! watch from the next revision on, and request progress at every `progress_interval_ns` as a proof that the watch is
//! alive. A watch that has gone silent is found by a proof that does not come back within `response_timeout_ns`. This
//! does not read the list: the registry answers a progress request from memory.
//!
//! A fleet must not overload a registry that comes back. Only a compaction, or a registry that began anew, needs a full
//! read; every other reconnect resumes, which costs the registry only what changed. Waits before a reconnect are drawn
//! evenly up to a bound that doubles ("full jitter", Brooker 2015). A full read after a compaction waits for a draw of
//! its own, since a compaction affects every node at the same moment; the first read of a process does not wait.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::Position;

/// For this long after a watch was last alive, reconnects stay close together: the time budget of a drain that is
/// written meanwhile is running. Later that budget is spent, and the registry is spared.
const FAST_RECONNECT_PERIOD_NS: u64 = 400_000_000;

/// Bound on the wait before a reconnect within [`FAST_RECONNECT_PERIOD_NS`], in initial backoffs.
const FAST_RECONNECT_BACKOFFS: u64 = 2;

/// This many answers in a row from before the known position mean a registry that went back, as after a restore from a
/// backup. A cluster member that lags for a moment gives fewer.
const MAX_CONSECUTIVE_LAGGING_ANSWERS: u32 = 3;

/// A full list may take this many times the timeout of any other answer.
const FULL_LIST_TIMEOUT_FACTOR: u64 = 10;

/// The first endpoint is drawn from this many numbers, which the caller counts round; enough that the draw is even for
/// any number of endpoints that a registry has.
const ENDPOINT_DRAW_RANGE: usize = 1 << 16;

/// Times of a watch, in nanoseconds.
#[derive(Clone, Copy, Debug)]
pub struct WatchTiming {
    /// Between two proofs that the watch is alive.
    pub progress_interval_ns: u64,
    /// How long any answer but a full list may take.
    pub response_timeout_ns: u64,
    /// The first bound on the wait before a reconnect.
    pub initial_backoff_ns: u64,
    /// The largest bound on that wait.
    pub max_backoff_ns: u64,
    /// The bound on the wait before a full read that a whole fleet needs at once.
    pub full_read_jitter_ns: u64,
}

/// Why a connection is given up, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// It broke, or was never established.
    ConnectionLost,
    /// An answer did not come in time.
    TimedOut,
    /// The registry's answer does not follow on what is known.
    Inconsistent,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchInput {
    /// The connection is established.
    Connected,
    /// The whole list was read as it was at this position.
    ListRead(Position),
    /// The registry accepted the watch.
    WatchCreated,
    /// The watch reported everything up to this position: changes, or a proof that there are none.
    Progress(Position),
    /// A part of a fragmented answer came; the rest is on its way.
    Fragment,
    /// The revision to resume from is compacted.
    Compacted,
    /// The connection broke.
    ConnectionLost,
    /// Time has passed; due at [`WatchMachine::next_deadline`], and harmless at any other time.
    Tick,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEffect {
    /// Drop any connection and connect to the endpoint of this number, counted round.
    Connect {
        /// The endpoint's number.
        endpoint: usize,
    },
    /// Read the whole list.
    ReadList,
    /// Create a watch.
    Watch {
        /// The first revision that is wanted.
        from: u64,
    },
    /// Request a proof that the watch is alive.
    RequestProgress,
    /// Drop the connection; a `Connect` follows in time.
    Disconnect {
        /// Why.
        reason: DisconnectReason,
    },
}

/// What the machine waits for, until its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The time of the next connection attempt.
    Backoff,
    Connecting,
    /// Connected; the time of a full read that is spread over a fleet.
    ReadDelayed,
    Reading,
    CreatingWatch,
    /// The watch is alive; the time of the next progress request.
    Live,
    AwaitingProgress,
}

/// One registry's watch.
#[derive(Debug)]
pub struct WatchMachine {
    timing: WatchTiming,
    stage: Stage,
    /// When the present stage ends, or is given up.
    deadline_ns: u64,
    endpoint: usize,
    /// Up to which everything is known.
    position: Option<Position>,
    /// The next full read is one that a whole fleet makes.
    delays_full_read: bool,
    /// The present bound on the wait before a reconnect.
    backoff_ns: u64,
    /// When the watch was last alive.
    last_alive_ns: Option<u64>,
    consecutive_lagging_answers: u32,
    rng: SmallRng,
}

impl WatchMachine {
    /// Connects at the first tick, to the endpoint that the seed draws, so that a fleet spreads evenly. `position` is
    /// where an earlier process got to, if a snapshot tells.
    pub fn new(timing: WatchTiming, seed: u64, position: Option<Position>) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let endpoint = rng.random_range(0..ENDPOINT_DRAW_RANGE);
        WatchMachine {
            timing,
            stage: Stage::Backoff,
            deadline_ns: 0,
            endpoint,
            position,
            delays_full_read: false,
            backoff_ns: timing.initial_backoff_ns,
            last_alive_ns: None,
            consecutive_lagging_answers: 0,
            rng,
        }
    }

    /// When a [`WatchInput::Tick`] is due, if nothing happens before.
    pub fn next_deadline(&self) -> u64 {
        self.deadline_ns
    }

    /// True while the watch is alive, as far as is known.
    pub fn is_live(&self) -> bool {
        matches!(self.stage, Stage::Live | Stage::AwaitingProgress)
    }

    /// Takes an input; returns what to do, in order.
    pub fn handle(&mut self, now_ns: u64, input: WatchInput) -> Vec<WatchEffect> {
        match (input, self.stage) {
            (WatchInput::Tick, _) if now_ns < self.deadline_ns => Vec::new(),
            (WatchInput::Tick, _) => self.deadline_reached(now_ns),
            (WatchInput::Connected, Stage::Connecting) => match self.position {
                Some(position) => self.create_watch(now_ns, position),
                None => self.request_full_read(now_ns),
            },
            (WatchInput::ListRead(position), Stage::Reading) => {
                self.position = Some(position);
                self.create_watch(now_ns, position)
            }
            (WatchInput::WatchCreated, Stage::CreatingWatch) => {
                // Here and no earlier: a connection that is established proves nothing, an accepted watch does.
                self.backoff_ns = self.timing.initial_backoff_ns;
                self.proven_alive(now_ns)
            }
            (WatchInput::Progress(position), Stage::Live | Stage::AwaitingProgress) => {
                self.progressed(now_ns, position)
            }
            (WatchInput::Fragment, Stage::Live | Stage::AwaitingProgress) => {
                self.await_answer(now_ns, Stage::AwaitingProgress);
                Vec::new()
            }
            (
                WatchInput::Compacted,
                Stage::CreatingWatch | Stage::Live | Stage::AwaitingProgress,
            ) => {
                // Every node's revision was compacted, at the same moment.
                (self.position, self.delays_full_read) = (None, true);
                self.request_full_read(now_ns)
            }
            // Late reports of a connection that was given up.
            (
                WatchInput::ConnectionLost
                | WatchInput::Progress(_)
                | WatchInput::Fragment
                | WatchInput::Compacted
                | WatchInput::WatchCreated,
                Stage::Backoff,
            ) => Vec::new(),
            (WatchInput::ConnectionLost, _) => {
                self.disconnect(now_ns, DisconnectReason::ConnectionLost)
            }
            _ => self.disconnect(now_ns, DisconnectReason::Inconsistent),
        }
    }

    /// The list that is held turned out to be of no use: it is read again.
    pub fn invalidate(&mut self, now_ns: u64) -> Vec<WatchEffect> {
        (self.position, self.consecutive_lagging_answers) = (None, 0);
        self.delays_full_read = true;
        self.disconnect(now_ns, DisconnectReason::Inconsistent)
    }

    fn deadline_reached(&mut self, now_ns: u64) -> Vec<WatchEffect> {
        match self.stage {
            Stage::Backoff => {
                self.await_answer(now_ns, Stage::Connecting);
                let endpoint = self.endpoint;
                vec![WatchEffect::Connect { endpoint }]
            }
            Stage::ReadDelayed => self.read_list(now_ns),
            Stage::Live => {
                self.await_answer(now_ns, Stage::AwaitingProgress);
                vec![WatchEffect::RequestProgress]
            }
            Stage::Connecting | Stage::Reading | Stage::CreatingWatch | Stage::AwaitingProgress => {
                self.disconnect(now_ns, DisconnectReason::TimedOut)
            }
        }
    }

    fn progressed(&mut self, now_ns: u64, position: Position) -> Vec<WatchEffect> {
        let Some(known) = self
            .position
            .filter(|known| known.cluster == position.cluster)
        else {
            // Another cluster answers at the same address now.
            return self.invalidate(now_ns);
        };
        self.consecutive_lagging_answers = if position.revision < known.revision {
            self.consecutive_lagging_answers + 1
        } else {
            0
        };
        if self.consecutive_lagging_answers >= MAX_CONSECUTIVE_LAGGING_ANSWERS {
            return self.invalidate(now_ns);
        }
        self.position = Some(Position {
            cluster: known.cluster,
            revision: position.revision.max(known.revision),
        });
        self.proven_alive(now_ns)
    }

    fn proven_alive(&mut self, now_ns: u64) -> Vec<WatchEffect> {
        self.last_alive_ns = Some(now_ns);
        self.stage = Stage::Live;
        self.deadline_ns = now_ns.saturating_add(self.timing.progress_interval_ns);
        Vec::new()
    }

    fn await_answer(&mut self, now_ns: u64, stage: Stage) {
        self.stage = stage;
        self.deadline_ns = now_ns.saturating_add(self.timing.response_timeout_ns);
    }

    /// Reads the list, at once or after the wait that spreads the reads of a fleet.
    fn request_full_read(&mut self, now_ns: u64) -> Vec<WatchEffect> {
        if std::mem::take(&mut self.delays_full_read) {
            let wait_ns = self.rng.random_range(0..=self.timing.full_read_jitter_ns);
            self.stage = Stage::ReadDelayed;
            self.deadline_ns = now_ns.saturating_add(wait_ns);
            return Vec::new();
        }
        self.read_list(now_ns)
    }

    fn read_list(&mut self, now_ns: u64) -> Vec<WatchEffect> {
        let timeout_ns = self
            .timing
            .response_timeout_ns
            .saturating_mul(FULL_LIST_TIMEOUT_FACTOR);
        self.stage = Stage::Reading;
        self.deadline_ns = now_ns.saturating_add(timeout_ns);
        vec![WatchEffect::ReadList]
    }

    fn create_watch(&mut self, now_ns: u64, known: Position) -> Vec<WatchEffect> {
        self.await_answer(now_ns, Stage::CreatingWatch);
        vec![WatchEffect::Watch {
            from: known.revision.saturating_add(1),
        }]
    }

    fn disconnect(&mut self, now_ns: u64, reason: DisconnectReason) -> Vec<WatchEffect> {
        let fast = self.last_alive_ns.is_some_and(|last_alive_ns| {
            now_ns.saturating_sub(last_alive_ns) < FAST_RECONNECT_PERIOD_NS
        });
        // A watch that was alive is resumed at another endpoint at once: the time budget of a drain is running.
        let wait_ns = if self.is_live() {
            0
        } else if fast {
            let bound_ns = self.timing.initial_backoff_ns * FAST_RECONNECT_BACKOFFS;
            self.rng.random_range(0..=bound_ns)
        } else {
            let bound_ns = self.backoff_ns;
            self.backoff_ns = (bound_ns * 2).min(self.timing.max_backoff_ns);
            self.rng.random_range(0..=bound_ns)
        };
        self.endpoint = self.endpoint.wrapping_add(1);
        self.stage = Stage::Backoff;
        self.deadline_ns = now_ns.saturating_add(wait_ns);
        vec![WatchEffect::Disconnect { reason }]
    }
}

#[cfg(test)]
mod tests;
