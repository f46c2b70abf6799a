//! How far the ingress is from serving: the one owner of what a drain, a stop and an upgrade have in common.

use std::time::Duration;

/// After `DRAIN`, the front asks every 0.1 s and sends new connections for 0.2 s after the first no; they are served
/// as usual for a little longer.
pub const DRAIN_NOTICE_PERIOD: Duration = Duration::from_millis(500);
/// New connections keep coming for 0.2 to 0.4 s after SIGTERM; they are served for a little longer.
pub const TERMINATION_ACCEPT_PERIOD: Duration = Duration::from_millis(600);
/// The kill comes this long after SIGTERM and the longest deadline, of which no more than [`LONGEST`] counts.
const KILL: Duration = Duration::from_millis(700);
const LONGEST: Duration = Duration::from_secs(3);
/// Before the kill: the last connection that another process's clients keep is told to close, the last answer to what
/// came late goes out.
const STAYING_MARGIN: Duration = Duration::from_secs(1);
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// The same with another process in place, which takes what is new from here: no hurry is worth a lost answer.
const SUCCEEDED_MARGIN: Duration = Duration::from_millis(400);
/// What is open has its own deadline to be answered, and so long on top to be written.
const END_MARGIN: Duration = Duration::from_millis(300);

/// How long each part of the way out may take, from SIGTERM on. All of it follows from the longest deadline that the
/// settings give a class: a command that was taken just before SIGTERM has all of it, and is lost if the program ends
/// before, while what the kill finds of it is not.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownDeadlines {
    longest: Duration,
}

impl ShutdownDeadlines {
    /// Where no command waits for longer than this.
    pub fn new(longest: Duration) -> Self {
        ShutdownDeadlines { longest }
    }

    /// The kill comes no sooner.
    fn kill(self) -> Duration {
        self.longest.min(LONGEST) + KILL
    }

    /// Connections are kept for so long.
    pub fn keep_alive_for(self, how: ShutdownMode) -> Duration {
        match how {
            ShutdownMode::Standalone => TERMINATION_ACCEPT_PERIOD,
            ShutdownMode::Replaced => self.kill().saturating_sub(STAYING_MARGIN),
        }
    }

    /// What is taken from the first moment on has to be answered by the second one, however much time it has left: the
    /// kill takes it otherwise.
    pub fn late_requests(self, how: ShutdownMode) -> (Duration, Duration) {
        match how {
            ShutdownMode::Standalone => (TERMINATION_ACCEPT_PERIOD, self.kill() - ANSWER_MARGIN),
            ShutdownMode::Replaced => (Duration::ZERO, self.kill() - SUCCEEDED_MARGIN),
        }
    }

    /// The program ends, whatever is still open: by then all that was taken is answered.
    pub fn exit_after(self, how: ShutdownMode) -> Duration {
        match how {
            ShutdownMode::Standalone => {
                TERMINATION_ACCEPT_PERIOD + self.longest.max(LONGEST) + END_MARGIN
            }
            ShutdownMode::Replaced => self.kill() - SUCCEEDED_MARGIN / 2,
        }
    }
}

/// How far it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecyclePhase {
    /// All as usual.
    Serving,
    /// Told to drain: `/healthz` says no, all else as usual while the front still sends.
    Draining,
    /// Each answer closes its connection, idle connections go; whoever comes is still served.
    Drained,
    /// Told to stop: takes and answers, and closes each connection with its next answer.
    Terminating,
    /// The same, and another process takes what is new.
    TerminatingReplaced,
    /// Closes what is idle and ends with the last answer.
    Closing,
}

impl LifecyclePhase {
    /// True where each answer is the last of its connection.
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

    /// What `/healthz` says.
    pub fn reports_healthy(self) -> bool {
        // A stop is the platform's own doing, which knows of it.
        !matches!(self, LifecyclePhase::Draining | LifecyclePhase::Drained)
    }

    /// One word for the log and for callers.
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

/// How the program leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownMode {
    /// Nobody takes its place yet.
    Standalone,
    /// Another process has taken over.
    Replaced,
}

/// The stages, and when the next one is due.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    stage: LifecyclePhase,
    due: Option<Duration>,
    termination: ShutdownDeadlines,
}

impl Lifecycle {
    /// At work.
    pub fn new(termination: ShutdownDeadlines) -> Self {
        Lifecycle {
            stage: LifecyclePhase::Serving,
            due: None,
            termination,
        }
    }

    /// The present one.
    pub fn phase(&self) -> LifecyclePhase {
        self.stage
    }

    /// When [`Lifecycle::advance`] has to be called next.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.due
    }

    /// Told to drain at `now`; a second call changes nothing.
    ///
    /// # Errors
    ///
    /// It stops already: nothing is left to drain.
    pub fn drain(&mut self, now: Duration) -> Result<(), &'static str> {
        if self.stage.is_stopping() {
            return Err("this process was told to stop and ends by itself");
        }
        if self.stage == LifecyclePhase::Serving {
            (self.stage, self.due) = (LifecyclePhase::Draining, Some(now + DRAIN_NOTICE_PERIOD));
        }
        Ok(())
    }

    /// Back to work.
    ///
    /// # Errors
    ///
    /// It stops: there is no way back.
    pub fn undrain(&mut self) -> Result<(), &'static str> {
        if self.stage.is_stopping() {
            return Err("this process was told to stop; there is no way back");
        }
        *self = Lifecycle::new(self.termination);
        Ok(())
    }

    /// Told to stop, from whatever stage; a second call changes nothing.
    pub fn stop(&mut self, now: Duration, how: ShutdownMode) {
        if self.stage.is_stopping() {
            return;
        }
        let stage = match how {
            ShutdownMode::Standalone => LifecyclePhase::Terminating,
            ShutdownMode::Replaced => LifecyclePhase::TerminatingReplaced,
        };
        (self.stage, self.due) = (stage, Some(now + self.termination.keep_alive_for(how)));
    }

    /// Goes on where the time has come; true where that changed the stage.
    pub fn advance(&mut self, now: Duration) -> bool {
        if self.due.is_none_or(|due| now < due) {
            return false;
        }
        self.due = None;
        self.stage = match self.stage {
            LifecyclePhase::Draining => LifecyclePhase::Drained,
            LifecyclePhase::Terminating | LifecyclePhase::TerminatingReplaced => {
                LifecyclePhase::Closing
            }
            stage => stage,
        };
        true
    }
}

#[cfg(test)]
mod tests;
