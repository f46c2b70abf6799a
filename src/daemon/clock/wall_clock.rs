//! Conversion of Unix times to moments of the monotonic clock, also after a step of the wall clock.
//!
//! Owner: [`crate::clock::Clock`], one history a process. Input: both clocks, read at the same time. Output: moments of the
//! monotonic clock for Unix times that other hosts measured. Invariants: a Unix time that was converted once has the same
//! moment until the process exits, so that a step does not change known moments; no moment is in the future.

use std::collections::BTreeMap;

const NANOS_PER_MILLISECOND: i64 = 1_000_000;
/// Minimum change of the offset that counts as a step. Smaller changes are drift.
const MIN_STEP_NS: i64 = 100 * NANOS_PER_MILLISECOND;
/// Drift up to which the offset stays as it is, so that Unix times that are converted one after the other keep their distances.
const MAX_IGNORED_DRIFT_NS: i64 = 2 * NANOS_PER_MILLISECOND;
/// How accurately the time of a step is known: twice the interval at which the wall clock is read, for a busy process.
const ACCURACY_NS: i64 = 1_000 * NANOS_PER_MILLISECOND;
/// Maximum number of offsets in the history, for a wall clock that is stepped often; the oldest is dropped.
const MAX_PERIODS: usize = 16;
/// Maximum number of converted times: above the number of endpoints of the largest fleet. The earliest is dropped.
const MAX_CONVERTED: usize = 8_192;

/// A period in which the offset between the two clocks did not change.
/// The wall clock, read between two readings of the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockReading {
    /// The monotonic clock before.
    pub before_ns: i64,
    /// The wall clock: Unix time.
    pub unix_ns: i64,
    /// The monotonic clock after it.
    pub after_ns: i64,
}

impl ClockReading {
    /// Time between the two readings of the monotonic clock.
    pub(crate) fn span_ns(&self) -> i64 {
        self.after_ns - self.before_ns
    }

    /// The offset that is consistent with the reading and nearest to another.
    fn nearest_offset_ns(&self, offset_ns: i64) -> i64 {
        let (least, greatest) = (self.unix_ns - self.after_ns, self.greatest_offset_ns());
        offset_ns.clamp(least, greatest)
    }

    /// The greatest offset that is consistent with the reading: by it no moment of the past is one of the future.
    fn greatest_offset_ns(&self) -> i64 {
        self.unix_ns - self.before_ns
    }
}

#[derive(Clone, Copy, Debug)]
struct OffsetPeriod {
    /// Unix time minus monotonic time.
    offset_ns: i64,
    first_seen_ns: i64,
    last_seen_ns: i64,
}

impl OffsetPeriod {
    /// True if the offset may have been valid at a moment.
    fn may_hold_at(&self, moment_ns: i64) -> bool {
        moment_ns >= self.first_seen_ns.saturating_sub(ACCURACY_NS)
            && moment_ns <= self.last_seen_ns + ACCURACY_NS
    }
}

/// The history of the wall clock's offset. All moments are nanoseconds of the monotonic clock.
#[derive(Debug, Default)]
pub(crate) struct WallClockHistory {
    /// Oldest first.
    periods: Vec<OffsetPeriod>,
    /// Unix times that were converted before, with their moments.
    converted: BTreeMap<u64, i64>,
}

impl WallClockHistory {
    /// Records a reading of both clocks. The offset changes only where it is not consistent with the reading: how long the
    /// process was stopped between the clocks is no change of theirs.
    pub(crate) fn observe(&mut self, reading: ClockReading) {
        let Some(last) = self.periods.last_mut() else {
            // The first known offset is assumed for all time before this process.
            return self.begin_period(reading.greatest_offset_ns(), i64::MIN, reading.after_ns);
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

    /// The present offset: Unix time minus monotonic time, in nanoseconds.
    pub(crate) fn offset_ns(&self) -> i64 {
        self.periods.last().map_or(0, |period| period.offset_ns)
    }

    /// The moment of a Unix time that another host measured. If the wall clock was set back, two moments may have had this
    /// time; the result is the later one, since an endpoint that started then has had less time to warm up.
    pub(crate) fn moment_of(&mut self, now_ns: i64, unix_ms: u64) -> i64 {
        if let Some(moment) = self.converted.get(&unix_ms) {
            return *moment;
        }
        let unix_ns = i64::try_from(unix_ms)
            .unwrap_or(i64::MAX)
            .saturating_mul(NANOS_PER_MILLISECOND);
        let moment_in = |period: &OffsetPeriod| unix_ns.saturating_sub(period.offset_ns);
        let newest_first = || self.periods.iter().rev();
        let consistent = newest_first().find(|period| period.may_hold_at(moment_in(period)));
        // No offset is consistent if the other host's clock differs from this one's; the latest candidate counts then.
        let moment = consistent
            .map(moment_in)
            .or_else(|| newest_first().map(moment_in).max())
            .unwrap_or(now_ns);
        let moment = moment.min(now_ns);
        if self.converted.len() == MAX_CONVERTED {
            self.converted.pop_first();
        }
        self.converted.insert(unix_ms, moment);
        moment
    }
}

#[cfg(test)]
mod tests;
