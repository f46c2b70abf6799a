//! A clock that stops while the process is stalled.

#[cfg(test)]
mod tests;

/// Time without the stalls of the process itself, so that peers are not held responsible for these.
///
/// The owner announces the time of each tick in advance. If a tick is late by more than the slack, the process was not
/// running, and bytes from peers were left unread in the kernel; the clock does not count that time. Between ticks the clock
/// does not advance beyond the next tick plus the slack, so a stall is already excluded for events that are handled before
/// the late tick.
#[derive(Clone, Debug)]
pub struct StallCompensatedClock {
    /// Total duration of all stalls.
    stalled_ns: u64,
    next_tick_ns: u64,
    slack_ns: u64,
}

impl StallCompensatedClock {
    /// Creates a clock whose first tick is due at `next_tick_ns`. Ticks may be late by up to `slack_ns`.
    pub fn new(next_tick_ns: u64, slack_ns: u64) -> Self {
        StallCompensatedClock {
            stalled_ns: 0,
            next_tick_ns,
            slack_ns,
        }
    }

    /// Returns the compensated time at `now_ns`. It never decreases as long as `now_ns` does not.
    pub fn now(&self, now_ns: u64) -> u64 {
        now_ns
            .min(self.next_tick_ns.saturating_add(self.slack_ns))
            .saturating_sub(self.stalled_ns)
    }

    /// Records a tick at `now_ns`; the next one is due at `next_tick_ns`. Returns the duration of the stall before this tick
    /// in nanoseconds, which is 0 if the tick was on time.
    pub fn tick(&mut self, now_ns: u64, next_tick_ns: u64) -> u64 {
        let late_ns = now_ns.saturating_sub(self.next_tick_ns.saturating_add(self.slack_ns));
        self.stalled_ns += late_ns;
        self.next_tick_ns = next_tick_ns.max(now_ns);
        late_ns
    }
}
