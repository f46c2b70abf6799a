//! The engine's clock: nanoseconds of a monotonic clock, and conversion of Unix times to them.
//!
//! Owner: each subsystem has a copy. Input: the system's monotonic clock and its wall clock. Output: moments in nanoseconds.
//! Invariants: all copies agree, also across a hot restart; a step of the wall clock does not change any moment.

mod wall_clock;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use self::wall_clock::{ClockReading, WallClockHistory};

/// The clock's moment at the start, in nanoseconds: far above 0, so that moments before the start can be expressed.
const START_NS: u64 = 1_000_000_000_000_000;
const NANOS_PER_SECOND: f64 = 1e9;
/// Time between two readings of the monotonic clock, with one of the wall clock between them, above which all three are
/// read again: the process was stopped meanwhile.
const MAX_READING_SPAN_NS: i64 = 1_000_000;
/// How often both clocks are read for one reading, at most.
const MAX_READINGS: usize = 5;

/// A copy of the engine's clock.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    /// The instant of the moment [`START_NS`].
    origin: Instant,
    /// The history of the wall clock, shared by all copies until the process exits. Locked for one conversion at a time.
    wall: &'static Mutex<WallClockHistory>,
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Self {
        Clock::with_origin(Instant::now())
    }

    /// A clock that continues the old process's, whose present moment was `now_ns`.
    pub(crate) fn resume_at(now_ns: u64) -> Self {
        let elapsed = Duration::from_nanos(now_ns.saturating_sub(START_NS));
        let present = Instant::now();
        // The subtraction fails only if the host has run for less time than the old process, which cannot be.
        Clock::with_origin(present.checked_sub(elapsed).unwrap_or(present))
    }

    fn with_origin(origin: Instant) -> Self {
        let clock = Clock {
            origin,
            wall: Box::leak(Box::default()),
        };
        clock.observe_wall_clock();
        clock
    }

    /// The present moment, in nanoseconds.
    pub(crate) fn now(&self) -> u64 {
        self.nanos_at(Instant::now())
    }

    /// Converts an instant of the system's monotonic clock.
    pub(crate) fn nanos_at(&self, instant: Instant) -> u64 {
        START_NS + instant.saturating_duration_since(self.origin).as_nanos() as u64
    }

    /// Converts a moment of this clock to an instant of the system's monotonic clock.
    pub(crate) fn instant(&self, nanos: u64) -> Instant {
        self.origin + Duration::from_nanos(nanos.saturating_sub(START_NS))
    }

    /// Records the offset of the wall clock. Called regularly, so that the time of a step is known.
    pub(crate) fn observe_wall_clock(&self) {
        drop(self.observed_history());
    }

    /// The Unix time of this clock's moment 0, in seconds.
    pub(crate) fn unix_offset_seconds(&self) -> f64 {
        self.observed_history().offset_ns() as f64 / NANOS_PER_SECOND
    }

    /// Converts a Unix time in milliseconds that another host measured. `None` for 0, which the platform uses for an unknown
    /// moment. A moment that this clock cannot express, long before its start, becomes 1: known, and long past.
    pub(crate) fn nanos_of_unix_ms(&self, unix_ms: u64) -> Option<u64> {
        if unix_ms == 0 {
            return None;
        }
        let mut history = self.observed_history();
        let moment_ns = history.moment_of(self.now() as i64, unix_ms);
        Some(u64::try_from(moment_ns).unwrap_or(0).max(1))
    }

    /// The history, after the present offset of the wall clock was recorded.
    fn observed_history(&self) -> MutexGuard<'static, WallClockHistory> {
        let reading = self.read_clocks();
        // No code panics while it holds the lock, and the history would be consistent if it did.
        let mut history = self.wall.lock().unwrap_or_else(PoisonError::into_inner);
        history.observe(reading);
        history
    }

    /// Reads both clocks as nearly at the same time as the scheduler lets it.
    fn read_clocks(&self) -> ClockReading {
        let mut reading = self.read_clocks_once();
        for _ in 1..MAX_READINGS {
            if reading.span_ns() <= MAX_READING_SPAN_NS {
                break;
            }
            reading = self.read_clocks_once();
        }
        reading
    }

    fn read_clocks_once(&self) -> ClockReading {
        let before_ns = self.now() as i64;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        ClockReading {
            before_ns,
            unix_ns: unix.unwrap_or_default().as_nanos() as i64,
            after_ns: self.now() as i64,
        }
    }
}

#[cfg(test)]
mod tests;
