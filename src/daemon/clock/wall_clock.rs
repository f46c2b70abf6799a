//! Converts Unix times that other hosts measured to times of the monotonic clock, even after a step of the wall clock.
//!
//! [`crate::clock::Clock`] has one history per process, and feeds it with simultaneous readings of both clocks. A Unix time
//! is always converted to the same monotonic time while it is in the cache, so that a step of the wall clock does not change
//! known times. No converted time is in the future.

use std::collections::BTreeMap;

const NANOS_PER_MILLISECOND: i64 = 1_000_000;
/// Minimum change of the offset that counts as a step. Smaller changes are drift.
const MIN_STEP_NS: i64 = 100 * NANOS_PER_MILLISECOND;
/// Drift up to which the offset is not updated, so that Unix times that are converted shortly after each other keep their
/// differences.
const MAX_IGNORED_DRIFT_NS: i64 = 2 * NANOS_PER_MILLISECOND;
/// Uncertainty of the time of a step: twice the interval at which the wall clock is read, to allow for a busy process.
const STEP_TIME_UNCERTAINTY_NS: i64 = 1_000 * NANOS_PER_MILLISECOND;
/// Maximum number of offsets in the history, in case the wall clock is stepped often; the oldest is dropped.
const MAX_PERIODS: usize = 16;
/// Maximum number of cached conversions, which is above the number of endpoints of the largest fleet. The earliest time is
/// dropped.
const MAX_CACHED_CONVERSIONS: usize = 8_192;

/// A reading of the wall clock between two readings of the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockReading {
    /// The monotonic clock before the wall clock was read.
    pub before_ns: i64,
    /// The wall clock, as Unix time.
    pub unix_ns: i64,
    /// The monotonic clock after the wall clock was read.
    pub after_ns: i64,
}

impl ClockReading {
    /// Time between the two readings of the monotonic clock.
    pub(crate) fn span_ns(&self) -> i64 {
        self.after_ns - self.before_ns
    }

    /// The offset nearest to `offset_ns` that is consistent with the reading.
    fn nearest_offset_ns(&self, offset_ns: i64) -> i64 {
        let (min, max) = (self.unix_ns - self.after_ns, self.max_offset_ns());
        offset_ns.clamp(min, max)
    }

    /// The largest offset that is consistent with the reading. With it, no past Unix time is converted to a future time.
    fn max_offset_ns(&self) -> i64 {
        self.unix_ns - self.before_ns
    }
}

/// A period in which the offset between the two clocks did not change.
#[derive(Clone, Copy, Debug)]
struct OffsetPeriod {
    /// Unix time minus monotonic time.
    offset_ns: i64,
    first_seen_ns: i64,
    last_seen_ns: i64,
}

impl OffsetPeriod {
    /// Whether the offset may have been valid at a monotonic time.
    fn may_be_valid_at(&self, monotonic_ns: i64) -> bool {
        monotonic_ns >= self.first_seen_ns.saturating_sub(STEP_TIME_UNCERTAINTY_NS)
            && monotonic_ns <= self.last_seen_ns + STEP_TIME_UNCERTAINTY_NS
    }
}

/// The history of the wall clock's offset to the monotonic clock.
#[derive(Debug, Default)]
pub(crate) struct WallClockHistory {
    /// Oldest first.
    periods: Vec<OffsetPeriod>,
    /// Unix times that were converted before, in milliseconds, with their monotonic times in nanoseconds.
    converted: BTreeMap<u64, i64>,
}

impl WallClockHistory {
    /// Records a reading of both clocks. The offset changes only if it is inconsistent with the reading, so that a pause of
    /// the process between the readings is not taken for a step.
    pub(crate) fn observe(&mut self, reading: ClockReading) {
        let Some(last) = self.periods.last_mut() else {
            // The first known offset is assumed for all times before this process.
            return self.begin_period(reading.max_offset_ns(), i64::MIN, reading.after_ns);
        };
        let offset_ns = reading.nearest_offset_ns(last.offset_ns);
        let change_ns = (offset_ns - last.offset_ns).abs();
        if change_ns >= MIN_STEP_NS {
            return self.begin_period(offset_ns, reading.after_ns, reading.after_ns);
        }
        if change_ns > MAX_IGNORED_DRIFT_NS {
            last.offset_ns = offset_ns;
        }
        last.last_seen_ns = reading.after_ns;
    }

    fn begin_period(&mut self, offset_ns: i64, first_seen_ns: i64, last_seen_ns: i64) {
        if self.periods.len() == MAX_PERIODS {
            self.periods.remove(0);
        }
        self.periods.push(OffsetPeriod {
            offset_ns,
            first_seen_ns,
            last_seen_ns,
        });
    }

    /// The current offset: Unix time minus monotonic time, in nanoseconds.
    pub(crate) fn offset_ns(&self) -> i64 {
        self.periods.last().map_or(0, |period| period.offset_ns)
    }

    /// Converts a Unix time that another host measured to a monotonic time, in nanoseconds. If the wall clock was set back,
    /// two monotonic times may correspond to this Unix time; the result is the later one, because an endpoint that started
    /// then has had less time to warm up.
    pub(crate) fn monotonic_ns(&mut self, now_ns: i64, unix_ms: u64) -> i64 {
        if let Some(monotonic_ns) = self.converted.get(&unix_ms) {
            return *monotonic_ns;
        }
        let unix_ns = i64::try_from(unix_ms)
            .unwrap_or(i64::MAX)
            .saturating_mul(NANOS_PER_MILLISECOND);
        let convert = |period: &OffsetPeriod| unix_ns.saturating_sub(period.offset_ns);
        let newest_first = || self.periods.iter().rev();
        let consistent = newest_first().find(|period| period.may_be_valid_at(convert(period)));
        // No offset is consistent if the other host's clock differs from this one's. The latest result is used then.
        let monotonic_ns = consistent
            .map(convert)
            .or_else(|| newest_first().map(convert).max())
            .unwrap_or(now_ns);
        let monotonic_ns = monotonic_ns.min(now_ns);
        if self.converted.len() == MAX_CACHED_CONVERSIONS {
            self.converted.pop_first();
        }
        self.converted.insert(unix_ms, monotonic_ns);
        monotonic_ns
    }
}

#[cfg(test)]
mod tests;
