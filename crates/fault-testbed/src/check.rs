//! The checkers of a trial: which rules its journal breaks, and its metrics.
//!
//! Input: the entries of a journal and the settings of the trial; nothing else. Output: one line per violation
//! ([`violations`]) and the figures of the report ([`metrics()`]). Each rule is a function of its own.

mod limit_servers;
mod metrics;
mod processes;
mod requests;
mod start_notices;

pub use limit_servers::{
    peak_warmup_overload, requests_after_removal, requests_over_ceiling, warmup_overloads,
};
pub use metrics::{metrics, DatagramCounts, Metrics, SecondCounts};
pub use processes::{process_exits, scheduling_delay_ms};
pub use requests::{
    attempts_after_client_left, deadlines_beyond_clients, final_responses,
    forwarded_without_response, overdue_half_requests, overlapping_attempts,
};

use crate::capacity::ServerModel;
use crate::journal::Entry;

/// The platform's tolerance on every time limit on sockets, in seconds.
pub const SOCKET_TOLERANCE_SECONDS: f64 = 0.05;

/// A ceiling of each customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ceiling {
    /// Units per second; 0: no ceiling.
    pub units_per_second: f64,
    /// Units at once.
    pub burst_units: f64,
    /// Units beyond it that the platform tolerates.
    pub tolerated_units: f64,
}

/// What the checkers have to know besides the journal.
#[derive(Clone, Copy, Debug)]
pub struct CheckerSettings {
    /// The limit servers.
    pub model: ServerModel,
    /// Seconds after which no request may go to an instance that a list response showed as draining.
    pub drain_seconds: f64,
    /// The ceiling of each customer.
    pub ceiling: Ceiling,
    /// Whether the times at which attempts arrive are judged: off where a link delays them, which is no fault of the
    /// program.
    pub judges_arrivals: bool,
    /// Seconds after which clients give up on a response.
    pub timeout_seconds: f64,
    /// Seconds within which a response counts as served in time.
    pub wanted_seconds: f64,
    /// Scheduling delay of the testbed up to which a trial gives a verdict, in milliseconds.
    pub max_scheduling_delay_ms: u64,
}

/// Violations of all rules, a line each.
pub fn violations(entries: &[Entry], settings: &CheckerSettings) -> Vec<String> {
    let mut violations = final_responses(entries);
    violations.extend(forwarded_without_response(entries));
    violations.extend(overlapping_attempts(entries));
    violations.extend(requests_after_removal(entries, settings.drain_seconds));
    violations.extend(warmup_overloads(entries, &settings.model));
    violations.extend(requests_over_ceiling(entries, settings.ceiling));
    violations.extend(process_exits(entries));
    violations.extend(overdue_half_requests(entries));
    if settings.judges_arrivals {
        violations.extend(attempts_after_client_left(entries));
        violations.extend(deadlines_beyond_clients(entries, settings.timeout_seconds));
    }
    violations
}

#[cfg(test)]
mod tests;
