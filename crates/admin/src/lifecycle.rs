//! The lifecycle of the process from serving through drain to shutdown, as a state machine without a clock.
//!
//! ```text
//! Serving --drain--> Draining --0.5 s--> Drained        undrain leads back to Serving
//!    any of these --stop--> Terminating or TerminatingReplaced --deadline--> Closing
//! ```
//!
//! There is one owner of this state: drain, SIGTERM and hot restart all go through it, so that no two of them disagree
//! about what connections should do. A stop overrides a drain, and nothing leads back from a stop.

use std::time::Duration;

use crate::{ShutdownDeadlines, ShutdownMode};

/// How long a draining process serves as usual. After `DRAIN` the load balancer in front polls `/healthz` every 0.1 s
/// and sends new connections for 0.2 s after the first failure; the rest is a margin.
const DRAIN_NOTICE_PERIOD: Duration = Duration::from_millis(500);

/// How far the process is from serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecyclePhase {
    /// All as usual.
    Serving,
    /// `/healthz` reports failure; all else as usual while the load balancer still sends.
    Draining,
    /// Each response closes its connection and idle connections are closed; new connections are still served.
    Drained,
    /// Told to stop without a successor: accepts and answers, and closes each connection with its next response.
    Terminating,
    /// Told to stop, and another process accepts new connections: as [`LifecyclePhase::Terminating`] otherwise.
    TerminatingReplaced,
    /// Idle connections are closed, and the process exits with the last response.
    Closing,
}

impl LifecyclePhase {
    /// True where each response is the last one of its connection.
    pub fn closes_after_response(self) -> bool {
        !matches!(self, LifecyclePhase::Serving | LifecyclePhase::Draining)
    }

    /// True from SIGTERM on.
    pub fn is_stopping(self) -> bool {
        matches!(
            self,
            LifecyclePhase::Terminating
                | LifecyclePhase::TerminatingReplaced
                | LifecyclePhase::Closing
        )
    }

    /// True where `/healthz` reports success. It does during a stop: the platform ordered it and needs no notice.
    pub fn reports_healthy(self) -> bool {
        !matches!(self, LifecyclePhase::Draining | LifecyclePhase::Drained)
    }

    /// One word for the log and for the response to `READY`.
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

/// What happens to the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleInput {
    /// An operator asks for a drain. Has no effect on a process that drains already.
    Drain,
    /// An operator ends a drain, in whatever phase it is.
    Undrain,
    /// The process is told to stop, in whatever phase it is. Has no effect on one that stops already.
    Stop(ShutdownMode),
    /// Time has passed; due at [`Lifecycle::next_deadline`], and harmless at any other time.
    Tick,
}

/// Why an input is rejected; the text goes to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LifecycleError {
    /// A drain of a process that stops: it ends in any case.
    #[error("this process was told to stop and ends by itself")]
    DrainWhileStopping,
    /// A process that stops does not return to service.
    #[error("this process was told to stop; there is no way back")]
    UndrainWhileStopping,
}

/// What an input did to the phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PhaseChange {
    /// The phase is as before.
    Unchanged,
    /// Another phase, or `Serving` begun anew, is in force.
    Entered(LifecyclePhase),
}

/// The present phase, and when the next one is due.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    phase: LifecyclePhase,
    next_deadline: Option<Duration>,
    shutdown_deadlines: ShutdownDeadlines,
}

impl Lifecycle {
    /// A process that serves.
    pub fn new(shutdown_deadlines: ShutdownDeadlines) -> Self {
        Lifecycle {
            phase: LifecyclePhase::Serving,
            next_deadline: None,
            shutdown_deadlines,
        }
    }

    /// The present phase.
    pub fn phase(&self) -> LifecyclePhase {
        self.phase
    }

    /// When the next [`LifecycleInput::Tick`] is due.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.next_deadline
    }

    /// Takes an input; `now` counts from any fixed moment.
    ///
    /// # Errors
    ///
    /// A drain or its end is asked of a process that stops.
    pub fn handle(
        &mut self,
        now: Duration,
        input: LifecycleInput,
    ) -> Result<PhaseChange, LifecycleError> {
        let stopping = self.phase.is_stopping();
        match input {
            LifecycleInput::Drain if stopping => Err(LifecycleError::DrainWhileStopping),
            LifecycleInput::Undrain if stopping => Err(LifecycleError::UndrainWhileStopping),
            LifecycleInput::Drain if self.phase == LifecyclePhase::Serving => {
                Ok(self.enter(LifecyclePhase::Draining, Some(now + DRAIN_NOTICE_PERIOD)))
            }
            // A deadline of the drain must not fire after it.
            LifecycleInput::Undrain => Ok(self.enter(LifecyclePhase::Serving, None)),
            LifecycleInput::Stop(mode) if !stopping => {
                let phase = match mode {
                    ShutdownMode::Standalone => LifecyclePhase::Terminating,
                    ShutdownMode::Replaced => LifecyclePhase::TerminatingReplaced,
                };
                let deadline = now + self.shutdown_deadlines.keep_alive_for(mode);
                Ok(self.enter(phase, Some(deadline)))
            }
            LifecycleInput::Tick => Ok(self.tick(now)),
            LifecycleInput::Drain | LifecycleInput::Stop(_) => Ok(PhaseChange::Unchanged),
        }
    }

    /// Enters the next phase where its time has come.
    fn tick(&mut self, now: Duration) -> PhaseChange {
        if self.next_deadline.is_none_or(|deadline| now < deadline) {
            return PhaseChange::Unchanged;
        }
        let next = match self.phase {
            LifecyclePhase::Draining => LifecyclePhase::Drained,
            LifecyclePhase::Terminating | LifecyclePhase::TerminatingReplaced => {
                LifecyclePhase::Closing
            }
            phase => phase,
        };
        self.enter(next, None)
    }

    fn enter(&mut self, phase: LifecyclePhase, next_deadline: Option<Duration>) -> PhaseChange {
        (self.phase, self.next_deadline) = (phase, next_deadline);
        PhaseChange::Entered(phase)
    }
}

#[cfg(test)]
mod tests;
