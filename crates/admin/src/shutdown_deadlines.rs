//! How long each part of a shutdown may take, counted from SIGTERM.
//!
//! The platform keeps sending new connections for 0.2 to 0.4 s after SIGTERM, and kills the process
//! [`KILL_MARGIN`] after SIGTERM and the longest request deadline. Everything here follows from these two facts and from
//! the longest deadline in the settings: a request that was accepted just before SIGTERM has its whole deadline, and is
//! lost if the process exits earlier; what the kill finds unanswered is lost as well.

use std::time::Duration;

/// How long new connections are served as usual after SIGTERM without a successor. The platform sends them for up to
/// 0.4 s; the rest is a margin.
pub(crate) const TERMINATION_ACCEPT_PERIOD: Duration = Duration::from_millis(600);

/// The kill comes this long after SIGTERM and the longest deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// The platform counts at most this much of the longest deadline when it schedules the kill.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);

/// With a successor: kept-alive connections are closed this long before the kill, so that the client of the last one
/// still has time to send its last request and to read the response.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// Without a successor: the last response to a late request is written this long before the kill.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// With a successor, which takes all new connections: a larger [`RESPONSE_MARGIN`], since nothing is gained by using the
/// time to the end.
const REPLACED_RESPONSE_MARGIN: Duration = Duration::from_millis(400);

/// A request that is in flight when the process terminates has its own deadline, and this long on top for its response
/// to be written.
const RESPONSE_WRITE_MARGIN: Duration = Duration::from_millis(300);

/// Whether another process has taken over when a shutdown begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownMode {
    /// No process has taken over: new connections still come here for a moment.
    Standalone,
    /// Another process has taken over and accepts all new connections.
    Replaced,
}

/// Requests that arrive late in a shutdown have to be answered by a fixed time, whatever deadline they have left: the
/// kill would lose them otherwise. Both times count from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateRequestWindow {
    /// Requests accepted from this time on are late.
    pub begins_after: Duration,
    /// A late request has to be answered by this time.
    pub answer_within: Duration,
}

/// The deadlines of a shutdown, for a given longest request deadline.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownDeadlines {
    longest_request_deadline: Duration,
}

impl ShutdownDeadlines {
    /// For settings under which no request waits longer than `longest_request_deadline`.
    pub fn new(longest_request_deadline: Duration) -> Self {
        ShutdownDeadlines {
            longest_request_deadline,
        }
    }

    /// The earliest time of the kill.
    fn kill_after(self) -> Duration {
        self.longest_request_deadline.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN
    }

    /// How long connections are kept open for a further request before the process begins to close idle ones.
    pub fn keep_alive_for(self, mode: ShutdownMode) -> Duration {
        match mode {
            ShutdownMode::Standalone => TERMINATION_ACCEPT_PERIOD,
            ShutdownMode::Replaced => self.kill_after().saturating_sub(KEEP_ALIVE_MARGIN),
        }
    }

    /// Which requests are late, and by when they have to be answered.
    pub fn late_requests(self, mode: ShutdownMode) -> LateRequestWindow {
        match mode {
            ShutdownMode::Standalone => LateRequestWindow {
                begins_after: TERMINATION_ACCEPT_PERIOD,
                answer_within: self.kill_after() - RESPONSE_MARGIN,
            },
            ShutdownMode::Replaced => LateRequestWindow {
                begins_after: Duration::ZERO,
                answer_within: self.kill_after() - REPLACED_RESPONSE_MARGIN,
            },
        }
    }

    /// The process exits at this time, whatever is still open: by then every accepted request is answered.
    pub fn exit_after(self, mode: ShutdownMode) -> Duration {
        match mode {
            ShutdownMode::Standalone => {
                let longest = self.longest_request_deadline.max(MAX_COUNTED_DEADLINE);
                TERMINATION_ACCEPT_PERIOD + longest + RESPONSE_WRITE_MARGIN
            }
            ShutdownMode::Replaced => self.kill_after() - REPLACED_RESPONSE_MARGIN / 2,
        }
    }
}

#[cfg(test)]
mod tests;
