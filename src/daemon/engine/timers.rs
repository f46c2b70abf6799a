//! All timers of the engine: the policy's, the periodic ones, and the last-resort response of each pending request.
//!
//! Owner: the engine. Input: instants on the engine's clock. Output: the timers that are due. Invariants: timers that are due at the
//! same moment come out in the order of [`Timer`]'s variants, after last resorts; whatever is due earlier comes out earlier, however
//! late the timers are looked at; a request has at most one last-resort entry.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use applewall::api::RequestId;

/// Interval between sweeps of idle upstream connections: a fraction of any endpoint's idle limit, so that no connection is
/// reused past it.
const IDLE_SWEEP_INTERVAL_NS: u64 = 500_000_000;
/// Interval between the logged statistics.
const STATISTICS_INTERVAL_NS: u64 = 10_000_000_000;

/// What a timer is for. The order of the variants is the order in which timers of one moment expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Set by the decision policy, with the token that it gave.
    Policy(u64),
    /// Zone failover evaluates its interval.
    ZoneFailover,
    /// Idle upstream connections are closed.
    IdleSweep,
    /// Statistics are logged.
    Statistics,
}

/// What is due first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Due {
    /// A request gets its last-resort response. It stays scheduled until it is cancelled.
    LastResort(RequestId),
    /// A timer, which is taken out.
    Timer(Timer),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    at: u64,
    timer: Timer,
}

/// When a pending request gets its last-resort response.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LastResort {
    at: u64,
    request: RequestId,
}

/// See the [module documentation](self).
pub(super) struct Timers {
    scheduled: BinaryHeap<Reverse<ScheduledTimer>>,
    last_resorts: BTreeSet<LastResort>,
}

impl Timers {
    /// The periodic timers of an engine that starts at `now`: the first sweep is due at once.
    pub(super) fn starting_at(now: u64) -> Self {
        let mut timers = Timers {
            scheduled: BinaryHeap::new(),
            last_resorts: BTreeSet::new(),
        };
        timers.schedule(now, Timer::IdleSweep);
        timers.schedule_statistics(now);
        timers
    }

    /// Adds a timer.
    pub(super) fn schedule(&mut self, at: u64, timer: Timer) {
        self.scheduled.push(Reverse(ScheduledTimer { at, timer }));
    }

    /// Schedules the next sweep of idle connections.
    pub(super) fn schedule_idle_sweep(&mut self, now: u64) {
        self.schedule(now + IDLE_SWEEP_INTERVAL_NS, Timer::IdleSweep);
    }

    /// Schedules the next statistics.
    pub(super) fn schedule_statistics(&mut self, now: u64) {
        self.schedule(now + STATISTICS_INTERVAL_NS, Timer::Statistics);
    }

    /// Adds a request's last-resort response.
    pub(super) fn schedule_last_resort(&mut self, at: u64, request: RequestId) {
        self.last_resorts.insert(LastResort { at, request });
    }

    /// Removes a request's last-resort response, where it is still scheduled.
    pub(super) fn cancel_last_resort(&mut self, at: u64, request: RequestId) {
        self.last_resorts.remove(&LastResort { at, request });
    }

    /// When the next timer is due; the largest instant where none is scheduled.
    pub(super) fn next_due(&self) -> u64 {
        let timer = self
            .scheduled
            .peek()
            .map_or(u64::MAX, |Reverse(scheduled)| scheduled.at);
        self.last_resorts
            .first()
            .map_or(timer, |last_resort| timer.min(last_resort.at))
    }

    /// True where a request's last-resort response is due.
    pub(super) fn is_last_resort_due(&self, now: u64) -> bool {
        self.last_resorts
            .first()
            .is_some_and(|first| first.at <= now)
    }

    /// What is due first, if anything is due.
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

    /// True where no request has a last-resort response scheduled.
    #[cfg(test)]
    pub(super) fn no_last_resorts(&self) -> bool {
        self.last_resorts.is_empty()
    }
}
