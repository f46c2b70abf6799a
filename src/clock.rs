//! The module's clock: nanoseconds that only advance, and Unix time brought onto them.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Where the module's clock stands at the start: far from 0, so that earlier moments can be told.
const START: u64 = 1_000_000_000_000_000;

/// The module's clock.
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

    /// One that goes on with another process's, which stood at `now` a moment ago.
    pub(crate) fn resume_at(now: u64) -> Self {
        let since = Duration::from_nanos(now.saturating_sub(START));
        let start = Clock::start();
        // A machine that has run for less than the other process can't be.
        let origin = start.origin.checked_sub(since).unwrap_or(start.origin);
        Clock {
            origin,
            unix_ms: start.unix_ms.saturating_sub(since.as_millis() as u64),
        }
    }

    /// The present moment.
    pub(crate) fn now(&self) -> u64 {
        self.nanos_at(Instant::now())
    }

    /// A moment of the system's monotonic clock.
    pub(crate) fn nanos_at(&self, instant: Instant) -> u64 {
        START + instant.saturating_duration_since(self.origin).as_nanos() as u64
    }

    /// The system's moment for one of ours.
    pub(crate) fn instant(&self, at: u64) -> Instant {
        self.origin + Duration::from_nanos(at.saturating_sub(START))
    }

    /// The Unix time of this clock's moment 0, s: what is added to a moment in seconds.
    pub(crate) fn unix_offset_seconds(&self) -> f64 {
        self.unix_ms as f64 / 1e3 - START as f64 / 1e9
    }

    /// Brings a Unix time in milliseconds onto this clock; 0 means long ago. What lies before the clock's
    /// beginning is its beginning: known, and long past.
    pub(crate) fn nanos_of_unix_ms(&self, unix_ms: u64) -> Option<u64> {
        let since = i128::from(unix_ms) - i128::from(self.unix_ms);
        let at = i128::from(START) + since * 1_000_000;
        (unix_ms > 0).then(|| u64::try_from(at.max(1)).unwrap_or(u64::MAX))
    }
}

#[cfg(test)]
mod tests;
