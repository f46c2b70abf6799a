//! Timestamps and time spans in seconds.
//!
//! Both are based on `f64` instead of the `std::time` types: decisions are computed in `f64`, and rounding to integer
//! nanoseconds would change the last digits of the results and invalidate recorded ones.

use std::ops::{Add, AddAssign, Div, Mul, Sub};

use serde::{Deserialize, Serialize};

const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// A point in time, in seconds since an origin that the caller chooses. The default value is the origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(f64);

/// A span of time in seconds. May be negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimeSpan(f64);

impl Timestamp {
    /// Earlier than every other timestamp.
    pub const DISTANT_PAST: Timestamp = Timestamp(f64::NEG_INFINITY);
    /// Later than every other timestamp.
    pub const DISTANT_FUTURE: Timestamp = Timestamp(f64::INFINITY);

    /// Creates a timestamp from nanoseconds since the origin.
    pub fn from_nanoseconds(nanoseconds: u64) -> Self {
        Timestamp(nanoseconds as f64 / NANOSECONDS_PER_SECOND)
    }

    /// Whole nanoseconds since the origin, rounded down; 0 for timestamps before it.
    pub fn as_nanoseconds(self) -> u64 {
        TimeSpan(self.0).as_nanoseconds()
    }

    /// The number of periods since the origin, as a fraction.
    pub fn in_periods_of(self, period: TimeSpan) -> f64 {
        self.0 / period.0
    }

    /// Creates a timestamp from seconds since the origin.
    pub const fn from_seconds(seconds: f64) -> Self {
        Timestamp(seconds)
    }

    /// Seconds since the origin.
    pub const fn as_seconds(self) -> f64 {
        self.0
    }

    /// The later of two timestamps. Defined here because `f64` has no total order, as [`Ord::max`] would need.
    #[must_use]
    pub fn max(self, other: Timestamp) -> Timestamp {
        Timestamp(self.0.max(other.0))
    }

    /// The earlier of two timestamps; see [`Self::max`].
    #[must_use]
    pub fn min(self, other: Timestamp) -> Timestamp {
        Timestamp(self.0.min(other.0))
    }
}

impl TimeSpan {
    /// The time between two equal timestamps.
    pub const ZERO: TimeSpan = TimeSpan(0.0);
    /// Longer than every other span.
    pub const INFINITE: TimeSpan = TimeSpan(f64::INFINITY);

    /// Creates a span from nanoseconds.
    pub fn from_nanoseconds(nanoseconds: u64) -> Self {
        TimeSpan(nanoseconds as f64 / NANOSECONDS_PER_SECOND)
    }

    /// The span in whole nanoseconds, rounded down; 0 for negative spans, and `u64::MAX` for those that exceed it.
    pub fn as_nanoseconds(self) -> u64 {
        (self.0.max(0.0) * NANOSECONDS_PER_SECOND) as u64
    }

    /// Fraction of a quantity that remains after exponential decay over this span: 1/e after one time constant.
    pub fn decay(self, time_constant: TimeSpan) -> f64 {
        (-(self / time_constant)).exp()
    }

    /// Creates a span from seconds.
    pub const fn from_seconds(seconds: f64) -> Self {
        TimeSpan(seconds)
    }

    /// The span in seconds, not rounded.
    pub const fn as_seconds(self) -> f64 {
        self.0
    }

    /// The absolute value of the span.
    #[must_use]
    pub fn abs(self) -> TimeSpan {
        TimeSpan(self.0.abs())
    }

    /// The longer of two spans; see [`Timestamp::max`].
    #[must_use]
    pub fn max(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0.max(other.0))
    }

    /// The shorter of two spans; a negative span is shorter than a positive one.
    #[must_use]
    pub fn min(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0.min(other.0))
    }

    /// Restricts the span to the range from `min` to `max`.
    ///
    /// # Panics
    ///
    /// Panics if `min` is longer than `max`.
    #[must_use]
    pub fn clamp(self, min: TimeSpan, max: TimeSpan) -> TimeSpan {
        TimeSpan(self.0.clamp(min.0, max.0))
    }
}

impl Add<TimeSpan> for Timestamp {
    type Output = Timestamp;

    fn add(self, span: TimeSpan) -> Timestamp {
        Timestamp(self.0 + span.0)
    }
}

impl AddAssign<TimeSpan> for Timestamp {
    fn add_assign(&mut self, span: TimeSpan) {
        self.0 += span.0;
    }
}

impl Sub<TimeSpan> for Timestamp {
    type Output = Timestamp;

    fn sub(self, span: TimeSpan) -> Timestamp {
        Timestamp(self.0 - span.0)
    }
}

impl Sub for Timestamp {
    type Output = TimeSpan;

    fn sub(self, earlier: Timestamp) -> TimeSpan {
        TimeSpan(self.0 - earlier.0)
    }
}

impl Add for TimeSpan {
    type Output = TimeSpan;

    fn add(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0 + other.0)
    }
}

impl Sub for TimeSpan {
    type Output = TimeSpan;

    fn sub(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0 - other.0)
    }
}

impl AddAssign for TimeSpan {
    fn add_assign(&mut self, other: TimeSpan) {
        self.0 += other.0;
    }
}

impl Mul<f64> for TimeSpan {
    type Output = TimeSpan;

    fn mul(self, factor: f64) -> TimeSpan {
        TimeSpan(self.0 * factor)
    }
}

impl Div<f64> for TimeSpan {
    type Output = TimeSpan;

    fn div(self, divisor: f64) -> TimeSpan {
        TimeSpan(self.0 / divisor)
    }
}

impl Div for TimeSpan {
    type Output = f64;

    fn div(self, other: TimeSpan) -> f64 {
        self.0 / other.0
    }
}
