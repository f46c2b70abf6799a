//! The engine's clock: nanoseconds that only advance, and Unix time converted to them.
//!
//! Owner: each part has a copy. Input: the system's monotonic clock, and Unix time once at the start. Output: moments in
//! nanoseconds. Invariant: all copies agree, also across a hot restart.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Where the clock stands at the start, in nanoseconds: far from 0, so that moments before the start can be expressed.
const START_NS: u64 = 1_000_000_000_000_000;
const NANOS_PER_MILLISECOND: i128 = 1_000_000;
const MILLISECONDS_PER_SECOND: f64 = 1e3;
const NANOS_PER_SECOND: f64 = 1e9;

/// See the module's page.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    origin: Instant,
    unix_ms: u64,
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            origin: Instant::now(),
            unix_ms: unix.as_millis() as u64,
        }
    }

    /// A clock that continues another process's, which stood at `now` a moment ago.
    pub(crate) fn resume_at(now: u64) -> Self {
        let elapsed = Duration::from_nanos(now.saturating_sub(START_NS));
        let started = Clock::start();
        // The machine can't have run for less than the other process.
        let origin = started
            .origin
            .checked_sub(elapsed)
            .unwrap_or(started.origin);
        Clock {
            origin,
            unix_ms: started.unix_ms.saturating_sub(elapsed.as_millis() as u64),
        }
    }

    /// The present moment.
    pub(crate) fn now(&self) -> u64 {
        self.nanos_at(Instant::now())
    }

    /// A moment of the system's monotonic clock on this clock.
    pub(crate) fn nanos_at(&self, instant: Instant) -> u64 {
        START_NS + instant.saturating_duration_since(self.origin).as_nanos() as u64
    }

    /// A moment of this clock on the system's monotonic clock.
    pub(crate) fn instant(&self, nanos: u64) -> Instant {
        self.origin + Duration::from_nanos(nanos.saturating_sub(START_NS))
    }

    /// The Unix time of this clock's moment 0, in seconds: the offset from its seconds to Unix time.
    pub(crate) fn unix_offset_seconds(&self) -> f64 {
        self.unix_ms as f64 / MILLISECONDS_PER_SECOND - START_NS as f64 / NANOS_PER_SECOND
    }

    /// A Unix time in milliseconds on this clock; 0 stands for a moment long past, which is not known. A moment before
    /// the clock's beginning becomes that beginning: known, and long past.
    pub(crate) fn nanos_of_unix_ms(&self, unix_ms: u64) -> Option<u64> {
        let since_start_ms = i128::from(unix_ms) - i128::from(self.unix_ms);
        let nanos = i128::from(START_NS) + since_start_ms * NANOS_PER_MILLISECOND;
        (unix_ms > 0).then(|| u64::try_from(nanos.max(1)).unwrap_or(u64::MAX))
    }
}

#[cfg(test)]
mod tests;
