//! The engine's clock: monotonic time in nanoseconds, and conversion of Unix times to it.
//!
//! Each subsystem has a copy. All copies agree, even across a hot restart, and a step of the wall clock does not change a
//! time that was converted before.

mod wall_clock;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use self::wall_clock::{ClockReading, WallClockHistory};

/// The clock's time at the start, in nanoseconds. Far above 0, so that times before the start can be expressed.
const START_NS: u64 = 1_000_000_000_000_000;
const NANOS_PER_SECOND: f64 = 1e9;
/// Maximum time between the readings of the monotonic clock before and after that of the wall clock. If it is longer, the
/// process was paused in between, and the clocks are read again.
const MAX_READING_SPAN_NS: i64 = 1_000_000;
/// Maximum number of attempts to read both clocks within [`MAX_READING_SPAN_NS`].
const MAX_READ_ATTEMPTS: usize = 5;

/// A copy of the engine's clock.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    /// The instant at which the clock reads [`START_NS`].
    origin: Instant,
    /// The history of the wall clock, shared by all copies until the process exits. Locked for one conversion at a time.
    wall: &'static Mutex<WallClockHistory>,
}

impl Clock {
    /// Creates a clock that starts now.
    pub(crate) fn start() -> Self {
        Clock::with_origin(Instant::now())
    }

    /// Creates a clock that continues the old process's clock, which reads `now_ns` now.
    pub(crate) fn resume_at(now_ns: u64) -> Self {
        let elapsed = Duration::from_nanos(now_ns.saturating_sub(START_NS));
        let now = Instant::now();
        // The subtraction would fail only if the host had run for less time than the old process, which is impossible.
        Clock::with_origin(now.checked_sub(elapsed).unwrap_or(now))
    }

    fn with_origin(origin: Instant) -> Self {
        let clock = Clock {
            origin,
            wall: Box::leak(Box::default()),
        };
        clock.observe_wall_clock();
        clock
    }

    /// The current time, in nanoseconds.
    pub(crate) fn now(&self) -> u64 {
        self.nanos_at(Instant::now())
    }

    /// Converts an instant of the system's monotonic clock to a time of this clock.
    pub(crate) fn nanos_at(&self, instant: Instant) -> u64 {
        START_NS + instant.saturating_duration_since(self.origin).as_nanos() as u64
    }

    /// Converts a time of this clock to an instant of the system's monotonic clock.
    pub(crate) fn instant(&self, nanos: u64) -> Instant {
        self.origin + Duration::from_nanos(nanos.saturating_sub(START_NS))
    }

    /// Records the offset of the wall clock. Called periodically, so that the time of a step is known.
    pub(crate) fn observe_wall_clock(&self) {
        drop(self.observed_history());
    }

    /// The Unix time, in seconds, at which this clock would read 0.
    pub(crate) fn unix_offset_seconds(&self) -> f64 {
        self.observed_history().offset_ns() as f64 / NANOS_PER_SECOND
    }

    /// Converts a Unix time in milliseconds that another host measured. Returns `None` for 0, which the platform uses for an
    /// unknown time. A time too long before the start for this clock becomes 1, which stands for long past.
    pub(crate) fn nanos_of_unix_ms(&self, unix_ms: u64) -> Option<u64> {
        if unix_ms == 0 {
            return None;
        }
        let mut history = self.observed_history();
        let monotonic_ns = history.monotonic_ns(self.now() as i64, unix_ms);
        Some(u64::try_from(monotonic_ns).unwrap_or(0).max(1))
    }

    /// Records the current offset of the wall clock, and returns the history.
    fn observed_history(&self) -> MutexGuard<'static, WallClockHistory> {
        let reading = self.read_clocks();
        // No code panics while it holds the lock; if one did, the history would still be consistent.
        let mut history = self.wall.lock().unwrap_or_else(PoisonError::into_inner);
        history.observe(reading);
        history
    }

    /// Reads both clocks as close together as scheduling allows.
    fn read_clocks(&self) -> ClockReading {
        let mut reading = self.read_clocks_once();
        for _ in 1..MAX_READ_ATTEMPTS {
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
