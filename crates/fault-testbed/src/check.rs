//! The checkers of a trial: they find the violations of the platform's rules in a journal and compute its metrics.
//!
//! Input: the entries of a journal and the settings of the trial; nothing else. Output: one line per violation
//! ([`violations`]) and the trial's metrics ([`metrics()`]). Each rule is a separate function.

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

/// The ceiling of each customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ceiling {
    /// Units per second; 0: no ceiling.
    pub units_per_second: f64,
    /// Burst in units.
    pub burst_units: f64,
    /// Excess in units that the platform tolerates.
    pub tolerated_units: f64,
}

/// Input of the checkers besides the journal.
#[derive(Clone, Copy, Debug)]
pub struct CheckerSettings {
    /// The model of the limit servers.
    pub model: ServerModel,
    /// Seconds after a list response that reports an instance as draining from which on no request may go to it.
    pub drain_seconds: f64,
    /// The ceiling of each customer.
    pub ceiling: Ceiling,
    /// Whether the arrival times of attempts and their deadlines are checked: off where a fault delays links to limit servers,
    /// since the daemon is not responsible for that delay.
    pub checks_arrivals: bool,
    /// Seconds after which clients give up on a response.
    pub timeout_seconds: f64,
    /// Seconds within which a response counts as served in time.
    pub wanted_seconds: f64,
    /// Scheduling delay of the testbed up to which the trial's verdict is valid, in milliseconds.
    pub max_scheduling_delay_ms: u64,
}

/// Violations of all rules, one line each.
pub fn violations(entries: &[Entry], settings: &CheckerSettings) -> Vec<String> {
    let mut violations = final_responses(entries);
    violations.extend(forwarded_without_response(entries));
    violations.extend(overlapping_attempts(entries));
    violations.extend(requests_after_removal(entries, settings.drain_seconds));
    violations.extend(warmup_overloads(entries, &settings.model));
    violations.extend(requests_over_ceiling(entries, settings.ceiling));
    violations.extend(process_exits(entries));
    violations.extend(overdue_half_requests(entries));
    if settings.checks_arrivals {
        violations.extend(attempts_after_client_left(entries));
        violations.extend(deadlines_beyond_clients(entries, settings.timeout_seconds));
    }
    violations
}

#[cfg(test)]
mod tests;
