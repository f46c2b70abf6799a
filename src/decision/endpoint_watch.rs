//! Backoff between attempts to reopen the watch of the endpoint list.

use applewall_node_types::TimeSpan;

use super::context::Context;
use super::timers::{set_timer, WATCH_TIMER};
use crate::api::Action;

/// Delay before a failed watch is reopened for the first time; it doubles with each failure.
const MIN_BACKOFF: TimeSpan = TimeSpan::from_seconds(0.5);
/// Maximum delay before a failed watch is reopened.
const MAX_BACKOFF: TimeSpan = TimeSpan::from_seconds(8.0);

/// The watch of the endpoint list, with exponential backoff after failures.
pub(super) struct EndpointWatch {
    /// Delay after the next failure.
    backoff: TimeSpan,
}

impl EndpointWatch {
    /// Creates a watch that has not failed yet.
    pub(super) fn new() -> Self {
        EndpointWatch {
            backoff: MIN_BACKOFF,
        }
    }

    /// Doubles the next delay and, if the list has to be watched, sets the timer for reopening the watch.
    pub(super) fn failed(&mut self, context: &Context<'_>, actions: &mut Vec<Action>) {
        let wait = self.backoff;
        self.backoff = (wait * 2.0).min(MAX_BACKOFF);
        if context.settings().watch_endpoints {
            actions.push(set_timer(wait, WATCH_TIMER));
        }
    }

    /// Resets the backoff after an update.
    pub(super) fn updated(&mut self) {
        self.backoff = MIN_BACKOFF;
    }
}
