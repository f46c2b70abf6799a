//! The state machine of blocking queries: what to ask next.
//!
//! By the rules that Consul publishes for blocking queries: an index that runs backwards is set back to 0, one that is
//! not greater than 0 counts as 0, and each wait is longer by up to a sixteenth, drawn, so that the waits of a fleet do
//! not end together. Any agent may answer (`stale`). An answer whose index ran backwards is asked for again
//! consistently, since only that tells a store that began anew from an agent that lags.

use applewall_membership::ReadConsistency;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A wait is longer than the configured one by up to this part of it, as Consul's agents do too.
const WAIT_JITTER_DIVISOR: u64 = 16;

/// A query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockingQuery {
    /// Wait for something newer than this index; 0: answer at once.
    pub index: u64,
    /// The longest wait, in milliseconds, with its jitter.
    pub wait_ms: u64,
    /// Which agents may answer: any one from what it has, or only with a leader's consent.
    pub consistency: ReadConsistency,
}

/// What came of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryOutcome {
    /// A list.
    List {
        /// The index of the list.
        index: u64,
        /// False where the agent knows no leader: the list may be of any age.
        leader_known: bool,
    },
    /// No answer, or no proper one.
    Failed,
}

/// What to do with the list of an outcome, and when to ask again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueryEffect {
    /// How the list is to be applied; none: there is no list, or it is to be dropped.
    pub apply_list: Option<ReadConsistency>,
    /// The wait before the next query, in nanoseconds.
    pub next_query_after_ns: u64,
}

/// The blocking queries to one store.
#[derive(Debug)]
pub struct BlockingQueries {
    wait_ms: u64,
    initial_backoff_ns: u64,
    max_backoff_ns: u64,
    /// The present bound on the wait after a failure.
    backoff_ns: u64,
    index: u64,
    /// How the next query is asked.
    consistency: ReadConsistency,
    rng: SmallRng,
}

impl BlockingQueries {
    /// Begins with a consistent query that is answered at once. `wait_ms` is the wait of a blocking query without its
    /// jitter; the backoffs bound the wait after a failure, at first and at most.
    pub fn new(wait_ms: u64, initial_backoff_ns: u64, max_backoff_ns: u64, seed: u64) -> Self {
        BlockingQueries {
            wait_ms,
            initial_backoff_ns,
            max_backoff_ns,
            backoff_ns: initial_backoff_ns,
            index: 0,
            consistency: ReadConsistency::Consistent,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// The next query.
    pub fn next_query(&mut self) -> BlockingQuery {
        let jitter_ms = self
            .rng
            .random_range(0..=self.wait_ms / WAIT_JITTER_DIVISOR);
        BlockingQuery {
            index: self.index,
            wait_ms: self.wait_ms + jitter_ms,
            consistency: self.consistency,
        }
    }

    /// Takes the outcome of the last query.
    pub fn handle(&mut self, outcome: QueryOutcome) -> QueryEffect {
        let QueryOutcome::List {
            index,
            leader_known,
        } = outcome
        else {
            return self.failed();
        };
        let consistency = self.consistency;
        // An agent that knows no leader may have a list of any age: the answer is dropped, and asked for again after a backoff.
        if !leader_known && consistency == ReadConsistency::Stale {
            return self.failed();
        }
        self.backoff_ns = self.initial_backoff_ns;
        if index < self.index && consistency == ReadConsistency::Stale {
            (self.index, self.consistency) = (0, ReadConsistency::Consistent);
            return QueryEffect {
                apply_list: None,
                next_query_after_ns: 0,
            };
        }
        (self.index, self.consistency) = (index, ReadConsistency::Stale);
        QueryEffect {
            apply_list: Some(consistency),
            next_query_after_ns: 0,
        }
    }

    /// The index is kept: the next answer tells what changed meanwhile.
    fn failed(&mut self) -> QueryEffect {
        let next_query_after_ns = self.rng.random_range(0..=self.backoff_ns);
        self.backoff_ns = (self.backoff_ns * 2).min(self.max_backoff_ns);
        QueryEffect {
            apply_list: None,
            next_query_after_ns,
        }
    }
}

#[cfg(test)]
mod tests;
