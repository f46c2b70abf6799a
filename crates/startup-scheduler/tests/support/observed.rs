//! Results of a simulation.

use std::collections::{BTreeMap, BTreeSet};

/// The observed events of one simulation.
#[derive(Debug, Default)]
pub(crate) struct Observed {
    /// Starting nodes that restored a list.
    pub(crate) restored: BTreeSet<u32>,
    /// When each starting node received its list.
    pub(crate) listed_at: BTreeMap<u32, f64>,
    /// Times of all calls.
    pub(crate) calls: Vec<f64>,
    /// Number of rejected calls.
    pub(crate) rejected: u32,
    /// Times at which each node received messages.
    pub(super) received: BTreeMap<u32, Vec<f64>>,
}

/// The maximum number of these times within any span of this length.
fn max_within(times: &[f64], span: f64) -> usize {
    let from = |(index, start): (usize, &f64)| {
        times[index..]
            .iter()
            .take_while(|time| **time < start + span)
            .count()
    };
    times.iter().enumerate().map(from).max().unwrap_or(0)
}

impl Observed {
    /// The maximum number of calls within any span of this length.
    pub(crate) fn max_calls(&self, span: f64) -> usize {
        max_within(&self.calls, span)
    }

    /// The maximum number of messages that one node received within a second.
    pub(crate) fn max_messages_per_second(&self) -> usize {
        self.received
            .values()
            .map(|times| max_within(times, 1.0))
            .max()
            .unwrap_or(0)
    }

    /// When the last node received its list.
    pub(crate) fn last_list_at(&self) -> f64 {
        self.listed_at.values().copied().fold(0.0, f64::max)
    }
}
