//! A clock that stands still while the program does.

/// Time as peers can be held to it.
///
/// Whoever uses it ticks at times announced in advance. Where a tick is later than its slack, the program was not
/// running, bytes lay in the kernel unseen, and that time is left out. Between ticks the clock runs no further than
/// to the next tick and its slack, so a stall is left out from the first event after it, not from the next tick on.
#[derive(Clone, Debug)]
pub struct StallCompensatedClock {
    skipped: u64,
    due: u64,
    slack: u64,
}

impl StallCompensatedClock {
    /// Starts at `now`, with the first tick due at `due`; ticks may be late by `slack` (all in nanoseconds).
    pub fn new(due: u64, slack: u64) -> Self {
        StallCompensatedClock {
            skipped: 0,
            due,
            slack,
        }
    }

    /// The fair time at `now`; never runs back as long as `now` does not.
    pub fn now(&self, now: u64) -> u64 {
        now.min(self.due.saturating_add(self.slack))
            .saturating_sub(self.skipped)
    }

    /// A tick came at `now`, the next one is due at `due`; returns what was left out, in nanoseconds.
    pub fn tick(&mut self, now: u64, due: u64) -> u64 {
        let late = now.saturating_sub(self.due.saturating_add(self.slack));
        self.skipped += late;
        self.due = due.max(now);
        late
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_stall_is_left_out_from_the_first_event_after_it() {
        let mut clock = StallCompensatedClock::new(50, 30);
        assert_eq!(clock.now(40), 40);
        assert_eq!(clock.tick(60, 110), 0);
        // Nothing ran from 60 to 2,000: an event before the tick sees no more than the tick's slack of it.
        assert_eq!(clock.now(2_000), 140);
        assert_eq!(clock.tick(2_000, 2_050), 1_860);
        assert_eq!(clock.now(2_000), 140);
        assert_eq!(clock.now(2_010), 150);
    }
}
