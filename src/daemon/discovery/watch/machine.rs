//! State machine of the endpoint list watch at one address of discovery, without I/O and without a clock.
//!
//! ```text
//!            Connected                EventReceived
//! Connecting ----------> FirstCall -------------------+
//!  ^   | |                   |                        v
//!  |   | +-------------------|-------------------> Following <--+
//!  |   |  Connected          |                      |    |      | EventReceived
//!  |   | Failed              | Failed        Failed |    +------+
//!  |   v                     v                      |
//!  +-- BackingOff <----------+----------------------+
//!   DelayElapsed
//! ```
//!
//! Inputs are events of the connection and its calls; outputs are the next action, and whether discovery was lost or
//! recovered. The known revision is that of the last list or delta. Without a startup schedule, a broken connection drops
//! it, because the next answer may come from a discovery instance with other revisions.

use std::time::Duration;

use tokio::time::Instant;

use super::connection::{CallFailure, WatchEvent};
use super::timing::{WatchTiming, SERVICE_TIMING};

/// What determines when calls are made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallScheduling {
    /// The node's own [`WatchTiming`], without coordination with other nodes.
    PerNode,
    /// The startup schedule of the fleet. The first call of a connection has no timeout of its own. A broken connection
    /// keeps the known revision, because a full list after each break is the load that the schedule avoids; a discovery
    /// that restarted its revisions is detected by a lower one.
    Fleet,
}

/// A state of the diagram in the [module documentation](self).
#[derive(Clone, Copy, Debug, PartialEq)]
enum WatchState {
    /// A connection is being established: at the start, and after each delay.
    Connecting {
        /// Timeout of the connection attempt.
        timeout: Duration,
        /// Deadline of the first call's answer, if that call has a timeout of its own.
        first_call_deadline: Option<Instant>,
    },
    /// The first call on a connection. It requests an immediate answer, to verify that discovery responds before a call
    /// waits for changes.
    FirstCall {
        /// Deadline of the answer.
        deadline: Instant,
    },
    /// Calls on a connection, each made right after the answer to the previous one: for the full list if no revision is
    /// known, otherwise for the changes since that revision.
    Following,
    /// Discovery is lost; a connection attempt follows after a delay.
    BackingOff {
        /// How the last call failed.
        failure: CallFailure,
        /// The delay, before jitter.
        delay: Duration,
    },
}

/// What the caller reports to [`WatchMachine::handle`]: the result of an action.
#[derive(Clone, Copy, Debug)]
pub(super) enum WatchInput<'event> {
    /// The connection attempt succeeded.
    Connected,
    /// A call was answered with a valid list or delta, or by a discovery that restarted its revisions.
    EventReceived(&'event WatchEvent),
    /// The connection attempt or a call failed, and the connection is dropped.
    Failed(CallFailure),
    /// The delay before the next connection attempt has passed.
    DelayElapsed,
}

/// Next action of the watch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum WatchAction {
    /// Establish a connection.
    Connect {
        /// Timeout of the connection attempt.
        timeout: Duration,
    },
    /// Request an immediate answer: the changes since the known revision, or the full list if no revision is known.
    FirstCall {
        /// Revision of the list in use; `None` requests the full list.
        revision: Option<u64>,
        /// Deadline of the answer.
        deadline: Instant,
    },
    /// Request the full list.
    ReadList,
    /// Request the changes since a revision; discovery holds the call until there are some.
    AwaitChanges {
        /// Revision of the list in use.
        since: u64,
    },
    /// Wait before the next connection attempt.
    BackOff {
        /// How the last call failed.
        failure: CallFailure,
        /// The delay, before jitter.
        delay: Duration,
    },
}

/// Change of discovery's availability.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AvailabilityChange {
    /// A connection attempt or call failed while discovery counted as available.
    Lost,
    /// A list or delta was received after a loss.
    Recovered,
}

/// See the [module documentation](self).
#[derive(Debug)]
pub(super) struct WatchMachine {
    timing: WatchTiming,
    scheduling: CallScheduling,
    node_count: u32,
    state: WatchState,
    /// Revision of the list that was forwarded last; `None` if the full list is needed.
    revision: Option<u64>,
    /// Time at which discovery was lost, if it is.
    lost_since: Option<Instant>,
    /// Number of failures since the loss.
    retries: u32,
}

impl WatchMachine {
    /// Starts with a connection attempt. `revision` is that of the list already in use, if discovery at this address
    /// reported it.
    pub(super) fn new(
        now: Instant,
        timing: WatchTiming,
        scheduling: CallScheduling,
        node_count: u32,
        revision: Option<u64>,
    ) -> Self {
        let mut machine = WatchMachine {
            timing,
            scheduling,
            node_count,
            state: WatchState::Following,
            revision,
            lost_since: None,
            retries: 0,
        };
        machine.state = machine.connecting(now);
        machine
    }

    /// Returns the action for the current state.
    pub(super) fn next_action(&self) -> WatchAction {
        match (self.state, self.revision) {
            (WatchState::Connecting { timeout, .. }, _) => WatchAction::Connect { timeout },
            (WatchState::FirstCall { deadline }, revision) => {
                WatchAction::FirstCall { revision, deadline }
            }
            (WatchState::Following, None) => WatchAction::ReadList,
            (WatchState::Following, Some(since)) => WatchAction::AwaitChanges { since },
            (WatchState::BackingOff { failure, delay }, _) => {
                WatchAction::BackOff { failure, delay }
            }
        }
    }

    /// Applies an input; returns whether discovery was lost or recovered.
    pub(super) fn handle(
        &mut self,
        now: Instant,
        input: WatchInput<'_>,
    ) -> Option<AvailabilityChange> {
        match input {
            WatchInput::Connected => {
                self.state = match self.state {
                    WatchState::Connecting {
                        first_call_deadline: Some(deadline),
                        ..
                    } => WatchState::FirstCall { deadline },
                    _ => WatchState::Following,
                };
                None
            }
            WatchInput::EventReceived(event) => self.event_received(event),
            WatchInput::Failed(failure) => self.failed(now, failure),
            WatchInput::DelayElapsed => {
                self.state = self.connecting(now);
                None
            }
        }
    }

    fn connecting(&self, now: Instant) -> WatchState {
        let lost_for = self
            .lost_since
            .map_or(Duration::ZERO, |since| now.duration_since(since));
        let first_call_timeout = match self.scheduling {
            CallScheduling::PerNode => self.timing.first_call_timeout(lost_for),
            CallScheduling::Fleet => None,
        };
        WatchState::Connecting {
            timeout: first_call_timeout.unwrap_or(SERVICE_TIMING.answer_margin),
            first_call_deadline: first_call_timeout.map(|timeout| now + timeout),
        }
    }

    fn event_received(&mut self, event: &WatchEvent) -> Option<AvailabilityChange> {
        self.state = WatchState::Following;
        match event {
            WatchEvent::Snapshot(list) | WatchEvent::Delta(list) => {
                self.revision = Some(list.revision);
                let was_lost = self.lost_since.take().is_some();
                was_lost.then_some(AvailabilityChange::Recovered)
            }
            WatchEvent::RevisionsRestarted => {
                self.revision = None;
                None
            }
        }
    }

    fn failed(&mut self, now: Instant, failure: CallFailure) -> Option<AvailabilityChange> {
        let is_first = self.lost_since.is_none();
        self.retries = if is_first { 0 } else { self.retries + 1 };
        if failure == CallFailure::ConnectionLost && self.scheduling == CallScheduling::PerNode {
            self.revision = None;
        }
        self.state = WatchState::BackingOff {
            failure,
            delay: self
                .timing
                .retry_delay(self.node_count, failure, self.retries),
        };
        self.lost_since = self.lost_since.or(Some(now));
        is_first.then_some(AvailabilityChange::Lost)
    }
}

#[cfg(test)]
mod tests;
