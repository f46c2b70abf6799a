//! How far the ingress is from serving: the one owner of what a drain, a stop and an upgrade have in common.

use std::time::Duration;

/// After `DRAIN`, the front asks every 0.1 s and sends new connections for 0.2 s after the first no; they are served
/// as usual for a little longer.
pub const DRAINING: Duration = Duration::from_millis(500);
/// New connections keep coming for 0.2 to 0.4 s after SIGTERM; they are served for a little longer.
pub const LEAVING: Duration = Duration::from_millis(600);
/// The same where another process has taken over: kept connections carry one last answer rather than be closed under
/// a request, and there is time for that until shortly before the kill.
pub const STAYING: Duration = Duration::from_millis(2_700);
/// After [`LEAVING`], what was taken has the longest deadline to be answered; then the program ends in any case.
pub const CLOSING: Duration = Duration::from_millis(3_100);

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
}

impl Default for Stages {
    fn default() -> Self {
        Stages { stage: Stage::Serving, due: None }
    }
}

impl Stages {
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
        *self = Stages::default();
        Ok(())
    }

    /// Told to stop, from whatever stage; a second call changes nothing.
    pub fn stop(&mut self, now: Duration, how: Leave) {
        if self.stage.stops() {
            return;
        }
        let (stage, time) = match how {
            Leave::Alone => (Stage::Leaving, LEAVING),
            Leave::Succeeded => (Stage::Staying, STAYING),
        };
        (self.stage, self.due) = (stage, Some(now + time));
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
mod tests {
    use super::*;

    const T: fn(u64) -> Duration = Duration::from_millis;

    #[test]
    fn a_drain_says_no_first_and_closes_later() {
        let mut stages = Stages::default();
        stages.drain(T(100)).unwrap();
        assert!(!stages.stage().healthy() && !stages.stage().last_answers());
        assert!(!stages.step(T(599)));
        // The same call again does not begin anew.
        stages.drain(T(550)).unwrap();
        assert!(stages.step(T(600)));
        assert_eq!((stages.stage(), stages.due()), (Stage::Drained, None));
        assert!(stages.stage().last_answers());
        stages.drain(T(900)).unwrap();
        assert_eq!(stages.stage(), Stage::Drained);
    }

    #[test]
    fn undrain_leads_back_from_each_stage_and_is_nothing_to_one_that_serves() {
        for steps in 0..3 {
            let mut stages = Stages::default();
            if steps > 0 {
                stages.drain(T(0)).unwrap();
            }
            if steps > 1 {
                stages.step(T(500));
            }
            stages.undrain().unwrap();
            assert_eq!(stages.stage(), Stage::Serving);
            // What was due before the call does not come after it.
            assert!(!stages.step(T(10_000)));
        }
    }

    #[test]
    fn a_stop_goes_before_a_drain_and_there_is_no_way_back() {
        for (how, time) in [(Leave::Alone, 600), (Leave::Succeeded, 2_700)] {
            let mut stages = Stages::default();
            stages.drain(T(0)).unwrap();
            stages.stop(T(100), how);
            assert!(stages.stage().stops() && stages.stage().healthy());
            assert!(stages.undrain().is_err() && stages.drain(T(200)).is_err());
            stages.stop(T(300), Leave::Alone);
            assert!(!stages.step(T(99 + time)));
            assert!(stages.step(T(100 + time)));
            assert_eq!(stages.stage(), Stage::Closing);
        }
    }
}
