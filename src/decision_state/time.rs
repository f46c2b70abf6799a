//! The one representation of time inside the policy, and its conversion at the interface.

/// Seconds of the caller's clock: a moment, or a span between two.
pub(crate) type Seconds = f64;

const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// A moment or a span of the interface, in seconds.
pub(crate) fn seconds(nanoseconds: u64) -> Seconds {
    nanoseconds as f64 / NANOSECONDS_PER_SECOND
}

/// A moment or a span for the interface; negative ones become 0.
pub(crate) fn nanoseconds(seconds: Seconds) -> u64 {
    (seconds.max(0.0) * NANOSECONDS_PER_SECOND) as u64
}

/// Interval at which the load is judged: holds a few outcomes at tens of requests a second.
pub(crate) const MONITOR_INTERVAL: Seconds = 0.1;
