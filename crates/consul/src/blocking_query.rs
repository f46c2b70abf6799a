//! State machine of blocking queries, without I/O and without a clock. It determines the next query and how each
//! response is used.
//!
//! It follows Consul's published rules for clients of blocking queries:
//! - if the index of a response is below the last one, the next query has no index, so that the agent responds at once;
//!   a response without an index counts as one with index 0;
//! - each wait time is extended by a random amount of up to a sixteenth, so that the queries of a fleet do not end at
//!   the same time.
//!
//! Queries are in `stale` mode, which allows any server to respond from its own store. A stale response whose index is
//! below the last one is dropped, and the query is repeated in `consistent` mode: a stale response does not show
//! whether the history of the store was reset or the server lags.

use std::time::Duration;

use applewall_membership::{full_jitter, Backoff, ReadConsistency};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The random extension of a wait time is at most the wait time divided by this, as in Consul's own agents.
const WAIT_JITTER_DIVISOR: u64 = 16;

/// Wait times and delays of the queries.
#[derive(Clone, Copy, Debug)]
pub struct QueryTiming {
    /// The wait time of a blocking query without jitter, in milliseconds, the unit of the query parameter.
    pub wait_ms: u64,
    /// Upper bounds of the random delay after a failure.
    pub backoff: Backoff,
}

/// A query for all keys with the prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockingQuery {
    /// The agent waits for a change after this index; if it is `None`, the agent responds immediately.
    pub index: Option<u64>,
    /// How long the agent may wait for a change, in milliseconds, with jitter. Not sent without an index.
    pub wait_ms: u64,
    /// Whether any server may respond from its own store, or the leader has to confirm the response.
    pub consistency: ReadConsistency,
}

/// The part of a query's result that determines how to continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryInput {
    /// The response is a list, which may be empty.
    List {
        /// The index of the list; 0 if the response had none.
        index: u64,
        /// Whether there is a known leader. If not, the list may be of any age.
        leader_known: bool,
    },
    /// No response was received, or it was not a list.
    Failed,
}

/// How to use the list of a response, and when to send the next query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueryOutput {
    /// The consistency with which the list is reported; `None` if there is no list or it is dropped.
    pub apply_list: Option<ReadConsistency>,
    /// The delay before the next query.
    pub next_query_after: Duration,
}

impl QueryOutput {
    fn apply(consistency: ReadConsistency) -> Self {
        QueryOutput {
            apply_list: Some(consistency),
            next_query_after: Duration::ZERO,
        }
    }

    fn retry_after(delay: Duration) -> Self {
        QueryOutput {
            apply_list: None,
            next_query_after: delay,
        }
    }
}

/// The state machine of the blocking queries to one store; see the module documentation.
#[derive(Debug)]
pub struct BlockingQueryMachine {
    timing: QueryTiming,
    /// Number of consecutive failures; a stale list from an agent without a known leader counts as one.
    failures: u32,
    /// Index of the last list that was used; 0 if there is none.
    index: u64,
    /// The consistency of the next query.
    consistency: ReadConsistency,
    rng: SmallRng,
}

impl BlockingQueryMachine {
    /// Starts with a consistent query without an index, to which the agent responds immediately. `seed` determines the
    /// random delays.
    pub fn new(timing: QueryTiming, seed: u64) -> Self {
        BlockingQueryMachine {
            timing,
            failures: 0,
            index: 0,
            consistency: ReadConsistency::Consistent,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the next query.
    pub fn next_query(&mut self) -> BlockingQuery {
        let wait_ms = self.timing.wait_ms;
        let jitter_ms = self.rng.random_range(0..=wait_ms / WAIT_JITTER_DIVISOR);
        BlockingQuery {
            index: Some(self.index).filter(|index| *index > 0),
            wait_ms: wait_ms + jitter_ms,
            consistency: self.consistency,
        }
    }

    /// Handles the result of the last query; returns how to continue. The current time is not needed, because all
    /// delays count from the result.
    pub fn handle(&mut self, input: QueryInput) -> QueryOutput {
        match input {
            QueryInput::Failed => self.back_off(),
            QueryInput::List {
                index,
                leader_known,
            } => self.handle_list(index, leader_known),
        }
    }

    fn handle_list(&mut self, index: u64, leader_known: bool) -> QueryOutput {
        let consistency = self.consistency;
        // Without a leader, a stale list may be of any age. A consistent list was confirmed by a leader in any case.
        if !leader_known && consistency == ReadConsistency::Stale {
            return self.back_off();
        }
        self.failures = 0;
        if index < self.index && consistency == ReadConsistency::Stale {
            self.index = 0;
            self.consistency = ReadConsistency::Consistent;
            return QueryOutput::retry_after(Duration::ZERO);
        }
        self.index = index;
        self.consistency = ReadConsistency::Stale;
        QueryOutput::apply(consistency)
    }

    /// Delays the next query. The index is kept, so that the agent responds immediately if the list changes in the
    /// meantime.
    fn back_off(&mut self) -> QueryOutput {
        let bound = self.timing.backoff.delay(self.failures);
        self.failures = self.failures.saturating_add(1);
        QueryOutput::retry_after(full_jitter(bound, &mut self.rng))
    }
}

#[cfg(test)]
mod tests;
