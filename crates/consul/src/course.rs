//! What to ask next.
//!
//! By the rules that Consul publishes for blocking queries: an index goes back to 0 when it runs backwards, one that is
//! not greater than 0 counts as 0, and each wait is longer by up to a sixteenth, drawn, so that a fleet's waits don't
//! end together. Reads are answered by any agent (`stale`); one whose index ran backwards is asked again consistently,
//! since only that tells a store that began anew from an agent that lags.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Wait for something newer than this; 0: answer at once.
    pub index: u64,
    /// For so long at most, in milliseconds, of which the last sixteenth is drawn.
    pub wait_ms: u64,
    /// Any agent may answer from what it has.
    pub stale: bool,
    /// Not before this, in nanoseconds of the caller's clock.
    pub at: u64,
}

/// How a question was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// With a list, at this index; the agent says whether it knows a leader.
    List {
        /// The index.
        index: u64,
        /// False: what it has may be of any age.
        led: bool,
    },
    /// Not at all, or not properly.
    Failed,
}

/// The course of one store's blocking reads.
#[derive(Debug)]
pub struct Course {
    wait_ms: u64,
    backoff: (u64, u64),
    bound: u64,
    index: u64,
    consistent: bool,
    rng: SmallRng,
}

impl Course {
    /// Begins with a read at once. `backoff` is the first and the longest bound on the wait after a failure, in
    /// nanoseconds.
    pub fn new(wait_ms: u64, backoff: (u64, u64), seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Course {
            wait_ms,
            backoff,
            bound: backoff.0,
            index: 0,
            consistent: true,
            rng,
        }
    }

    /// The next question.
    pub fn ask(&mut self, now: u64) -> Ask {
        let extra = self.rng.random_range(0..=self.wait_ms / 16);
        Ask {
            index: self.index,
            wait_ms: self.wait_ms + extra,
            stale: !self.consistent,
            at: now,
        }
    }

    /// The answer to the last question: whether its list is to be taken, and whether it is consistent; none: it is not
    /// to be taken. The next question may be asked after so many nanoseconds.
    pub fn answered(&mut self, answer: Answer) -> (Option<bool>, u64) {
        let Answer::List { index, led } = answer else {
            return (None, self.fail());
        };
        if !led && !self.consistent {
            // An agent that knows no leader has a list of any age: another look, and later.
            return (None, self.fail());
        }
        self.bound = self.backoff.0;
        let consistent = self.consistent;
        if index < self.index && !consistent {
            (self.index, self.consistent) = (0, true);
            return (None, 0);
        }
        (self.index, self.consistent) = (index, false);
        (Some(consistent), 0)
    }

    fn fail(&mut self) -> u64 {
        let wait = self.rng.random_range(0..=self.bound);
        self.bound = (self.bound * 2).min(self.backoff.1);
        // What happened meanwhile is unknown: by the index that is held, the next answer tells.
        wait
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn list(index: u64) -> Answer {
        Answer::List { index, led: true }
    }

    #[test]
    fn an_index_that_runs_backwards_is_settled_by_a_consistent_read() {
        let mut course = Course::new(1_000, (10, 80), 1);
        assert_eq!((course.ask(0).index, course.ask(0).stale), (0, false));
        assert_eq!(course.answered(list(40)), (Some(true), 0));
        assert_eq!((course.ask(0).index, course.ask(0).stale), (40, true));
        assert_eq!(course.answered(list(30)), (None, 0));
        let ask = course.ask(0);
        assert_eq!((ask.index, ask.stale), (0, false));
        // Either it lagged, or the store began anew: both are as told now.
        assert_eq!(course.answered(list(3)), (Some(true), 0));
        assert_eq!(course.ask(0).index, 3);
    }

    #[test]
    fn failures_wait_longer_each_time_and_an_agent_without_leader_counts_as_one() {
        let mut course = Course::new(1_000, (1_000, 8_000), 1);
        course.answered(list(40));
        let mut longest = 0;
        for _ in 0..50 {
            longest = longest.max(course.answered(Answer::Failed).1);
        }
        assert!((4_000..=8_000).contains(&longest));
        assert_eq!(
            course
                .answered(Answer::List {
                    index: 41,
                    led: false
                })
                .0,
            None
        );
        // The index is kept: what is newer is told by the next answer.
        assert_eq!(course.ask(0).index, 40);
        let waits: std::collections::BTreeSet<u64> =
            (0..100).map(|_| course.ask(0).wait_ms).collect();
        assert!(waits.len() > 20 && waits.iter().all(|w| (1_000..=1_062).contains(w)));
    }
}
