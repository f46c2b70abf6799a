//! The engine's timers: those set by the policy, periodic ones, and the last-resort response of each pending request.
//!
//! Timers expire in the order of their due times, even if they are checked late. At equal due times last-resort
//! responses come first, then timers in the order of [`Timer`]'s variants. A request has at most one last-resort entry.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use applewall::api::RequestId;

/// Interval of the sweep that closes idle upstream connections. It is a fraction of any endpoint's idle timeout, so
/// that no connection is reused after the timeout.
const IDLE_SWEEP_INTERVAL_NS: u64 = 500_000_000;
/// Interval at which statistics are logged.
const STATISTICS_INTERVAL_NS: u64 = 10_000_000_000;

/// A timer's purpose. Timers with equal due times expire in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Set by the decision policy, with the policy's token.
    Policy(u64),
    /// Evaluates zone failover.
    ZoneFailover,
    /// Closes idle upstream connections.
    IdleSweep,
    /// Logs statistics.
    Statistics,
}

/// An expired timer or last-resort response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Due {
    /// A request's last-resort response, which stays scheduled until it is cancelled.
    LastResort(RequestId),
    /// A timer, which has been removed from the schedule.
    Timer(Timer),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    at: u64,
    timer: Timer,
}

/// The due time of a request's last-resort response.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LastResort {
    at: u64,
    request: RequestId,
}

/// All timers and last-resort responses that are scheduled.
pub(super) struct Timers {
    scheduled: BinaryHeap<Reverse<ScheduledTimer>>,
    last_resorts: BTreeSet<LastResort>,
}

impl Timers {
    /// Schedules the periodic timers of an engine that starts at `now`; the first sweep is due immediately.
    pub(super) fn starting_at(now: u64) -> Self {
        let mut timers = Timers {
            scheduled: BinaryHeap::new(),
            last_resorts: BTreeSet::new(),
        };
        timers.schedule(now, Timer::IdleSweep);
        timers.schedule_statistics(now);
        timers
    }

    pub(super) fn schedule(&mut self, at: u64, timer: Timer) {
        self.scheduled.push(Reverse(ScheduledTimer { at, timer }));
    }

    /// Schedules the next sweep of idle upstream connections.
    pub(super) fn schedule_idle_sweep(&mut self, now: u64) {
        self.schedule(now + IDLE_SWEEP_INTERVAL_NS, Timer::IdleSweep);
    }

    /// Schedules the next logging of statistics.
    pub(super) fn schedule_statistics(&mut self, now: u64) {
        self.schedule(now + STATISTICS_INTERVAL_NS, Timer::Statistics);
    }

    pub(super) fn schedule_last_resort(&mut self, at: u64, request: RequestId) {
        self.last_resorts.insert(LastResort { at, request });
    }

    /// Cancels a request's last-resort response, if it is still scheduled.
    pub(super) fn cancel_last_resort(&mut self, at: u64, request: RequestId) {
        self.last_resorts.remove(&LastResort { at, request });
    }

    /// When the next timer is due; `u64::MAX` if none is scheduled.
    pub(super) fn next_due(&self) -> u64 {
        let timer = self
            .scheduled
            .peek()
            .map_or(u64::MAX, |Reverse(scheduled)| scheduled.at);
        self.last_resorts
            .first()
            .map_or(timer, |last_resort| timer.min(last_resort.at))
    }

    /// True if any request's last-resort response is due.
    pub(super) fn is_last_resort_due(&self, now: u64) -> bool {
        self.last_resorts
            .first()
            .is_some_and(|first| first.at <= now)
    }

    /// Returns the first expired timer or last-resort response, if any.
    pub(super) fn next_expired(&mut self, now: u64) -> Option<Due> {
        let timer_at = self.scheduled.peek().map(|Reverse(first)| first.at);
        let last_resort = self.last_resorts.first().copied();
        match last_resort {
            Some(first) if first.at <= now && timer_at.is_none_or(|at| first.at <= at) => {
                Some(Due::LastResort(first.request))
            }
            _ if timer_at.is_some_and(|at| at <= now) => self
                .scheduled
                .pop()
                .map(|Reverse(scheduled)| Due::Timer(scheduled.timer)),
            _ => None,
        }
    }

    /// True if no request has a last-resort response scheduled.
    #[cfg(test)]
    pub(super) fn no_last_resorts(&self) -> bool {
        self.last_resorts.is_empty()
    }
}
