//! How far the ingress is from serving: the one owner of what a drain, a stop and an upgrade have in common.

use std::time::Duration;

/// After `DRAIN`, the front asks every 0.1 s and sends new connections for 0.2 s after the first no; they are served
/// as usual for a little longer.
pub const DRAINING: Duration = Duration::from_millis(500);
/// New connections keep coming for 0.2 to 0.4 s after SIGTERM; they are served for a little longer.
pub const LEAVING: Duration = Duration::from_millis(600);
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
pub struct Termination {
    longest: Duration,
}

impl Termination {
    /// Where no command waits for longer than this.
    pub fn new(longest: Duration) -> Self {
        Termination { longest }
    }

    /// The kill comes no sooner.
    fn kill(self) -> Duration {
        self.longest.min(LONGEST) + KILL
    }

    /// Connections are kept for so long.
    pub fn keeps(self, how: Leave) -> Duration {
        match how {
            Leave::Alone => LEAVING,
            Leave::Succeeded => self.kill().saturating_sub(STAYING_MARGIN),
        }
    }

    /// What is taken from the first moment on has to be answered by the second one, however much time it has left: the
    /// kill takes it otherwise.
    pub fn late(self, how: Leave) -> (Duration, Duration) {
        match how {
            Leave::Alone => (LEAVING, self.kill() - ANSWER_MARGIN),
            Leave::Succeeded => (Duration::ZERO, self.kill() - SUCCEEDED_MARGIN),
        }
    }

    /// The program ends, whatever is still open: by then all that was taken is answered.
    pub fn ends(self, how: Leave) -> Duration {
        match how {
            Leave::Alone => LEAVING + self.longest.max(LONGEST) + END_MARGIN,
            Leave::Succeeded => self.kill() - SUCCEEDED_MARGIN / 2,
        }
    }
}

/// How far it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// All as usual.
    Serving,
    /// Told to drain: `/healthz` says no, all else as usual while the front still sends.
    Draining,
    /// Each answer closes its connection, idle connections go; whoever comes is still served.
    Drained,
    /// Told to stop: takes and answers, and closes each connection with its next answer.
    Leaving,
    /// The same, and another process takes what is new.
    Staying,
    /// Closes what is idle and ends with the last answer.
    Closing,
}

impl Stage {
    /// True where each answer is the last of its connection.
    pub fn last_answers(self) -> bool {
        !matches!(self, Stage::Serving | Stage::Draining)
    }

    /// True from SIGTERM on.
    pub fn stops(self) -> bool {
        matches!(self, Stage::Leaving | Stage::Staying | Stage::Closing)
    }

    /// What `/healthz` says.
    pub fn healthy(self) -> bool {
        // A stop is the platform's own doing, which knows of it.
        !matches!(self, Stage::Draining | Stage::Drained)
    }

    /// One word for the log and for callers.
    pub fn word(self) -> &'static str {
        match self {
            Stage::Serving => "serving",
            Stage::Draining => "draining",
            Stage::Drained => "drained",
            Stage::Leaving | Stage::Staying => "leaving",
            Stage::Closing => "closing",
        }
    }
}

/// How the program leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leave {
    /// Nobody takes its place yet.
    Alone,
    /// Another process has taken over.
    Succeeded,
}

/// The stages, and when the next one is due.
#[derive(Clone, Copy, Debug)]
pub struct Stages {
    stage: Stage,
    due: Option<Duration>,
    termination: Termination,
}

impl Stages {
    /// At work.
    pub fn new(termination: Termination) -> Self {
        Stages {
            stage: Stage::Serving,
            due: None,
            termination,
        }
    }

    /// The present one.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// When [`Stages::step`] has to be called next.
    pub fn due(&self) -> Option<Duration> {
        self.due
    }

    /// Told to drain at `now`; a second call changes nothing.
    ///
    /// # Errors
    ///
    /// It stops already: nothing is left to drain.
    pub fn drain(&mut self, now: Duration) -> Result<(), &'static str> {
        if self.stage.stops() {
            return Err("this process was told to stop and ends by itself");
        }
        if self.stage == Stage::Serving {
            (self.stage, self.due) = (Stage::Draining, Some(now + DRAINING));
        }
        Ok(())
    }

    /// Back to work.
    ///
    /// # Errors
    ///
    /// It stops: there is no way back.
    pub fn undrain(&mut self) -> Result<(), &'static str> {
        if self.stage.stops() {
            return Err("this process was told to stop; there is no way back");
        }
        *self = Stages::new(self.termination);
        Ok(())
    }

    /// Told to stop, from whatever stage; a second call changes nothing.
    pub fn stop(&mut self, now: Duration, how: Leave) {
        if self.stage.stops() {
            return;
        }
        let stage = match how {
            Leave::Alone => Stage::Leaving,
            Leave::Succeeded => Stage::Staying,
        };
        (self.stage, self.due) = (stage, Some(now + self.termination.keeps(how)));
    }

    /// Goes on where the time has come; true where that changed the stage.
    pub fn step(&mut self, now: Duration) -> bool {
        if self.due.is_none_or(|due| now < due) {
            return false;
        }
        self.due = None;
        self.stage = match self.stage {
            Stage::Draining => Stage::Drained,
            Stage::Leaving | Stage::Staying => Stage::Closing,
            stage => stage,
        };
        true
    }
}

#[cfg(test)]
mod tests;
