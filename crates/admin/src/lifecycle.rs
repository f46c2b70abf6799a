//! State machine of the process's lifecycle, from serving through drain to shutdown, without a clock.
//!
//! ```text
//! Serving --drain--> Draining --0.5 s--> Drained        undrain returns to Serving
//!    any of these --stop--> Terminating or TerminatingReplaced --deadline--> Closing
//! ```
//!
//! Drain, SIGTERM and hot restart all change this one state, so that all connections follow the same rules. A stop
//! overrides a drain; a process that is stopping never returns to service.

use std::time::Duration;

use crate::{ShutdownDeadlines, ShutdownMode};

/// How long a draining process serves as usual. The load balancer in front polls `/healthz` every 0.1 s, and sends new
/// connections for 0.2 s after the first failed check; the rest is a margin.
const DRAIN_NOTICE_PERIOD: Duration = Duration::from_millis(500);

/// The phase of the process between serving and its exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecyclePhase {
    /// Serves requests without restrictions.
    Serving,
    /// Reports failure at `/healthz`, and serves requests as before while the load balancer still sends connections.
    Draining,
    /// Closes each connection after its next response, and closes idle connections. New connections are still served.
    Drained,
    /// Told to stop, and no other process has taken over: accepts new connections, and closes each connection after its
    /// next response.
    Terminating,
    /// Like [`LifecyclePhase::Terminating`], but another process has taken over and accepts the new connections.
    TerminatingReplaced,
    /// Closes idle connections, and exits after the last response.
    Closing,
}

impl LifecyclePhase {
    /// True if each connection is closed after its next response.
    pub fn closes_after_response(self) -> bool {
        !matches!(self, LifecyclePhase::Serving | LifecyclePhase::Draining)
    }

    /// True from [`LifecycleInput::Stop`] until the process exits.
    pub fn is_stopping(self) -> bool {
        matches!(
            self,
            LifecyclePhase::Terminating
                | LifecyclePhase::TerminatingReplaced
                | LifecyclePhase::Closing
        )
    }

    /// True if `/healthz` reports success. It also does during a stop, since the platform itself initiated the stop.
    pub fn reports_healthy(self) -> bool {
        !matches!(self, LifecyclePhase::Draining | LifecyclePhase::Drained)
    }

    /// The word for the phase in the log and in the response to `READY`.
    pub fn as_str(self) -> &'static str {
        match self {
            LifecyclePhase::Serving => "serving",
            LifecyclePhase::Draining => "draining",
            LifecyclePhase::Drained => "drained",
            LifecyclePhase::Terminating | LifecyclePhase::TerminatingReplaced => "leaving",
            LifecyclePhase::Closing => "closing",
        }
    }
}

/// An input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleInput {
    /// An operator starts a drain. No effect if the process is draining already.
    Drain,
    /// An operator ends a drain. A process that is not draining stays in `Serving`, which is still reported as entered.
    Undrain,
    /// The process is told to stop. No effect if the process is stopping already.
    Stop(ShutdownMode),
    /// Time has passed; due at [`Lifecycle::next_deadline`], without effect before it.
    Tick,
}

/// Why an input is rejected. The text is sent to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LifecycleError {
    /// A process that is stopping exits without a drain.
    #[error("this process was told to stop and ends by itself")]
    DrainWhileStopping,
    /// A process that is stopping does not return to service.
    #[error("this process was told to stop; there is no way back")]
    UndrainWhileStopping,
}

/// The effect of an input on the phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PhaseChange {
    /// The input had no effect, such as a `Tick` before the deadline.
    Unchanged,
    /// The input led to this phase. It is the previous one only after an `Undrain` while serving.
    Entered(LifecyclePhase),
}

/// The phase with the data that it needs. Only the phases that end after some time have a deadline.
#[derive(Clone, Copy, Debug)]
enum State {
    Serving,
    Draining { until: Duration },
    Drained,
    Stopping { mode: ShutdownMode, until: Duration },
    Closing,
}

/// The state machine of the lifecycle; see the module documentation.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    state: State,
    shutdown_deadlines: ShutdownDeadlines,
}

impl Lifecycle {
    /// Creates the lifecycle of a process that is serving.
    pub fn new(shutdown_deadlines: ShutdownDeadlines) -> Self {
        Lifecycle {
            state: State::Serving,
            shutdown_deadlines,
        }
    }

    /// The phase since the last input; a passed deadline has no effect before the next [`LifecycleInput::Tick`].
    pub fn phase(&self) -> LifecyclePhase {
        match self.state {
            State::Serving => LifecyclePhase::Serving,
            State::Draining { .. } => LifecyclePhase::Draining,
            State::Drained => LifecyclePhase::Drained,
            State::Stopping { mode, .. } => match mode {
                ShutdownMode::Standalone => LifecyclePhase::Terminating,
                ShutdownMode::Replaced => LifecyclePhase::TerminatingReplaced,
            },
            State::Closing => LifecyclePhase::Closing,
        }
    }

    /// When the next [`LifecycleInput::Tick`] is due; `None` if the phase has no deadline.
    pub fn next_deadline(&self) -> Option<Duration> {
        match self.state {
            State::Draining { until } | State::Stopping { until, .. } => Some(until),
            State::Serving | State::Drained | State::Closing => None,
        }
    }

    /// Handles an input. `now` is the time since any fixed origin.
    ///
    /// # Errors
    ///
    /// The input starts or ends a drain, but the process is stopping.
    pub fn handle(
        &mut self,
        now: Duration,
        input: LifecycleInput,
    ) -> Result<PhaseChange, LifecycleError> {
        let entered = match input {
            LifecycleInput::Drain => self.after_drain(now)?,
            LifecycleInput::Undrain => Some(self.after_undrain()?),
            LifecycleInput::Stop(mode) => self.after_stop(now, mode),
            LifecycleInput::Tick => self.after_tick(now),
        };
        let Some(state) = entered else {
            return Ok(PhaseChange::Unchanged);
        };
        self.state = state;
        Ok(PhaseChange::Entered(self.phase()))
    }

    /// The state after the start of a drain; `None` if the process is draining already.
    fn after_drain(&self, now: Duration) -> Result<Option<State>, LifecycleError> {
        match self.state {
            State::Serving => Ok(Some(State::Draining {
                until: now + DRAIN_NOTICE_PERIOD,
            })),
            State::Draining { .. } | State::Drained => Ok(None),
            State::Stopping { .. } | State::Closing => Err(LifecycleError::DrainWhileStopping),
        }
    }

    /// The state after the end of a drain.
    fn after_undrain(&self) -> Result<State, LifecycleError> {
        match self.state {
            State::Serving | State::Draining { .. } | State::Drained => Ok(State::Serving),
            State::Stopping { .. } | State::Closing => Err(LifecycleError::UndrainWhileStopping),
        }
    }

    /// The state after a stop; `None` if the process is stopping already.
    fn after_stop(&self, now: Duration, mode: ShutdownMode) -> Option<State> {
        match self.state {
            State::Serving | State::Draining { .. } | State::Drained => Some(State::Stopping {
                mode,
                until: now + self.shutdown_deadlines.keep_alive_for(mode),
            }),
            State::Stopping { .. } | State::Closing => None,
        }
    }

    /// The state after the deadline of the current one; `None` if that has not passed.
    fn after_tick(&self, now: Duration) -> Option<State> {
        match self.state {
            State::Draining { until } if now >= until => Some(State::Drained),
            State::Stopping { until, .. } if now >= until => Some(State::Closing),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
