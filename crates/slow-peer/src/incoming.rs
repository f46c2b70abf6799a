//! Incoming transfers: upstream responses and request bodies.
//!
//! A transfer is to be aborted in two cases:
//!
//! - It is *stalled*: no bytes arrived for the maximum pause.
//! - It is *too slow*: at its recent rate, even multiplied by the configured slack, the remaining bytes would not arrive
//!   before the deadline.
//!
//! The rate is measured over the last few arrivals, however long these took, so that it covers both the bursts and the
//! pauses of a transfer that arrives in bursts. A transfer with fewer arrivals has no rate yet and is not too slow. If the
//! length is not known (chunked encoding), only a stall aborts the transfer.

#[cfg(test)]
mod tests;

use crate::clock::StallCompensatedClock;
use crate::settings::Settings;

/// Arrivals over which the rate is measured: fewer may be a single burst, and more take longer to observe.
const ARRIVALS: usize = 4;
/// Arrivals that are stored: those over which the rate is measured, and the one before them, where the measurement starts.
const STORED_ARRIVALS: usize = ARRIVALS + 1;
/// Gap, in nanoseconds, below which bytes belong to the same arrival: a burst may take several reads.
const MIN_ARRIVAL_GAP_NS: u64 = 10_000_000;
/// Delay of an evaluation, in nanoseconds, beyond which the process counts as stalled.
const EVALUATION_SLACK_NS: u64 = 30_000_000;
/// Time, in nanoseconds, before a transfer is evaluated again after a stall of the process: bytes that the kernel received
/// during the stall are read first.
const REEVALUATION_DELAY_NS: u64 = 50_000_000;

/// Status of an incoming transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncomingStatus {
    /// The transfer may continue. It has to be evaluated again at this time (in nanoseconds), or when bytes arrive.
    CheckAgainAt(u64),
    /// No bytes arrived for the maximum pause.
    Stalled,
    /// The transfer cannot complete before its deadline.
    TooSlow,
}

/// Bytes that arrived close together.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    /// Compensated time at which the first of them arrived.
    at_ns: u64,
    /// Bytes of the transfer up to and including this arrival.
    bytes_so_far: u64,
}

/// An incoming transfer. All times are nanoseconds of one monotonic clock.
#[derive(Clone, Debug)]
pub struct IncomingTransfer {
    total_bytes: Option<u64>,
    deadline_ns: u64,
    bytes_so_far: u64,
    /// Ring buffer of the last arrivals; the newest is at `arrival_count` modulo its length.
    arrivals: [Arrival; STORED_ARRIVALS],
    arrival_count: usize,
    started_ns: u64,
    max_pause_ns: u64,
    /// Age from which the rate is checked.
    min_age_for_rate_ns: u64,
    rate_slack: f64,
    clock: StallCompensatedClock,
    /// How far the compensated clock is behind the monotonic clock.
    stalled_ns: u64,
}

impl IncomingTransfer {
    /// Creates a transfer that begins at `now_ns` and has to be complete by `deadline_ns`. `total_bytes` is its length, if
    /// that is known.
    pub fn new(
        settings: &Settings,
        now_ns: u64,
        deadline_ns: u64,
        total_bytes: Option<u64>,
    ) -> Self {
        let max_pause_ns = settings.pause.as_nanos();
        let first_evaluation_ns = now_ns.saturating_add(max_pause_ns);
        let start = Arrival {
            at_ns: now_ns,
            bytes_so_far: 0,
        };
        IncomingTransfer {
            total_bytes,
            deadline_ns,
            bytes_so_far: 0,
            arrivals: [start; STORED_ARRIVALS],
            arrival_count: 0,
            started_ns: now_ns,
            max_pause_ns,
            min_age_for_rate_ns: settings.forecast_after.as_nanos(),
            rate_slack: settings.forecast_slack,
            clock: StallCompensatedClock::new(first_evaluation_ns, EVALUATION_SLACK_NS),
            stalled_ns: 0,
        }
    }

    /// Records bytes that arrived.
    pub fn bytes_received(&mut self, now_ns: u64, bytes: u64) {
        if bytes == 0 {
            return;
        }
        let at_ns = self.clock.now(now_ns);
        self.bytes_so_far = self.bytes_so_far.saturating_add(bytes);
        let last = &mut self.arrivals[self.arrival_count % STORED_ARRIVALS];
        // Entry 0 marks the start of the transfer; the first bytes are not merged into it.
        if self.arrival_count > 0 && at_ns.saturating_sub(last.at_ns) < MIN_ARRIVAL_GAP_NS {
            last.bytes_so_far = self.bytes_so_far;
            return;
        }
        self.arrival_count += 1;
        self.arrivals[self.arrival_count % STORED_ARRIVALS] = Arrival {
            at_ns,
            bytes_so_far: self.bytes_so_far,
        };
    }

    /// Evaluates the transfer. If this is called much later than the last returned time, the process was stalled, and the
    /// time of the stall does not count against the transfer.
    pub fn evaluate(&mut self, now_ns: u64) -> IncomingStatus {
        let compensated_now_ns = self.clock.now(now_ns);
        let left_ns = self.deadline_ns.saturating_sub(now_ns);
        let status = self.status(compensated_now_ns, left_ns);
        let next_ns = match status {
            IncomingStatus::CheckAgainAt(next_ns) => {
                next_ns.saturating_add(self.stalled_ns).max(now_ns + 1)
            }
            _ => now_ns.saturating_add(REEVALUATION_DELAY_NS),
        };
        let late_ns = self.clock.tick(now_ns, next_ns);
        self.stalled_ns += late_ns;
        match status {
            IncomingStatus::CheckAgainAt(_) => IncomingStatus::CheckAgainAt(next_ns),
            _ if late_ns > 0 => IncomingStatus::CheckAgainAt(next_ns),
            status => status,
        }
    }

    /// The status at a compensated time, with `left_ns` left until the deadline.
    fn status(&self, now_ns: u64, left_ns: u64) -> IncomingStatus {
        let last_ns = self.arrivals[self.arrival_count % STORED_ARRIVALS].at_ns;
        let is_complete = self
            .total_bytes
            .is_some_and(|total| self.bytes_so_far >= total);
        if !is_complete && now_ns.saturating_sub(last_ns) >= self.max_pause_ns {
            return IncomingStatus::Stalled;
        }
        if !is_complete && self.is_too_slow(now_ns, left_ns) {
            return IncomingStatus::TooSlow;
        }
        IncomingStatus::CheckAgainAt(last_ns.saturating_add(self.max_pause_ns))
    }

    /// True if the remaining bytes would not arrive in the time left at the rate of the last arrivals times the slack:
    /// `remaining_bytes > rate * left_ns * slack`.
    fn is_too_slow(&self, now_ns: u64, left_ns: u64) -> bool {
        let Some(total) = self.total_bytes else {
            return false;
        };
        let age_ns = now_ns.saturating_sub(self.started_ns);
        if self.arrival_count < ARRIVALS || age_ns < self.min_age_for_rate_ns {
            return false;
        }
        let oldest = self.arrivals[(self.arrival_count + 1) % STORED_ARRIVALS];
        let bytes = (self.bytes_so_far - oldest.bytes_so_far) as f64;
        let bytes_per_ns = bytes / now_ns.saturating_sub(oldest.at_ns).max(1) as f64;
        (total - self.bytes_so_far) as f64 > bytes_per_ns * left_ns as f64 * self.rate_slack
    }

    /// Bytes received so far.
    pub fn bytes_so_far(&self) -> u64 {
        self.bytes_so_far
    }
}
