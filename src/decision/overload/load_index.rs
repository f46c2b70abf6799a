//! The load index of the QGuard paper: how overloaded the endpoints are, judged by the outcomes of attempts.

use super::statistics::LoadStatistics;
use crate::api::Outcome;

/// Latency, in objectives, above which a response signals overload.
pub(super) const OVERLOAD_LATENCY: f64 = 0.45;
/// Latency, in objectives, below which a response signals underload.
const UNDERLOAD_LATENCY: f64 = 0.30;
/// Fraction of the outcomes that must be rejected or unconnected, or else timed out, to signal overload. Up to half of
/// it signals underload.
const OVERLOAD_FAILURES: f64 = 0.05;

/// Statistics of one outcome at a healthy endpoint. `relative_latency`: its latency, in objectives.
///
/// A timeout before the objective is counted as an outcome but not as a timeout: it results from the cost of one
/// request.
pub(crate) fn outcome_statistics(outcome: Outcome, relative_latency: f64) -> LoadStatistics {
    let count = |condition: bool| f64::from(u8::from(condition));
    let succeeded = outcome == Outcome::Success;
    let rejected = matches!(outcome, Outcome::Overloaded | Outcome::ConnectFailed);
    LoadStatistics {
        outcomes: 1.0,
        rejected: count(rejected),
        timed_out: count(outcome == Outcome::TimedOut && relative_latency >= 1.0),
        slow: count(succeeded && relative_latency > OVERLOAD_LATENCY),
        fast: count(succeeded && relative_latency < UNDERLOAD_LATENCY),
        ..LoadStatistics::default()
    }
}

/// The load index, from -3 to 3: +1 for each signal of overload (slow, rejected, timed out), -1 for each signal of
/// underload.
pub(super) fn load_index(statistics: &LoadStatistics) -> i32 {
    // Without rejections and timeouts: the attempts that some endpoints reject or lose are no evidence about the
    // latency of the others.
    let responses = statistics.outcomes - statistics.rejected - statistics.timed_out;
    let is_mostly_fast = statistics.fast * 2.0 >= responses;
    // The absence of failures signals underload only if at least half of the responses are fast; otherwise it would
    // cancel the overload signal of the latencies.
    let signal = |is_overload: bool, is_underload: bool| {
        i32::from(is_overload) - i32::from(is_mostly_fast && is_underload && !is_overload)
    };
    let failure_signal = |count: f64| {
        signal(
            count > (OVERLOAD_FAILURES * statistics.outcomes).max(1.0),
            count <= OVERLOAD_FAILURES / 2.0 * statistics.outcomes,
        )
    };
    let latency_signal = signal(statistics.slow * 2.0 > responses, true);
    failure_signal(statistics.rejected) + failure_signal(statistics.timed_out) + latency_signal
}
