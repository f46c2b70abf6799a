//! The deadlines of a shutdown, counted from SIGTERM.
//!
//! The platform sends new connections for 0.2 to 0.4 s after SIGTERM, and kills the process at SIGTERM plus the longest
//! request deadline plus [`KILL_MARGIN`]. All deadlines are derived from these two facts and from the longest request
//! deadline in the settings.
//!
//! None of them ends the process: a request that is accepted just before SIGTERM has its full deadline, which may be
//! later than the kill, and its response may take longer still to write. The process exits with its last connection.

use std::time::Duration;

/// How long new connections are accepted after SIGTERM, unless another process has taken over. The platform sends them
/// for up to 0.4 s; the rest is a margin.
pub(crate) const TERMINATION_ACCEPT_PERIOD: Duration = Duration::from_millis(600);

/// Time that the platform adds to the longest request deadline before it kills the process.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// Upper bound of the longest request deadline that the platform takes into account when it schedules the kill, which
/// is therefore no later than this plus [`KILL_MARGIN`].
const PLATFORM_DEADLINE_BOUND: Duration = Duration::from_secs(3);

/// If another process has taken over: time between the closing of idle connections and the kill, so that a client can
/// still send a last request and receive the response.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// If no process has taken over: time between the last response to a late request and the kill. The process may be held up for
/// 0.15 s between reading its clock and writing.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);

/// If another process has taken over: like [`RESPONSE_MARGIN`], but larger. The other process serves all new
/// connections, so that there is no benefit in using all the time up to the kill.
const REPLACED_RESPONSE_MARGIN: Duration = Duration::from_millis(400);

/// Time to write the response to a request after the request's own deadline.
const RESPONSE_WRITE_MARGIN: Duration = Duration::from_millis(300);

/// Whether another process has taken over when the shutdown begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownMode {
    /// No other process has taken over; the platform still sends new connections for a short time.
    Standalone,
    /// Another process has taken over and accepts all new connections.
    Replaced,
}

/// Limits for requests that arrive late in a shutdown. Their responses are due at a fixed time even if their own
/// deadline is later, because the kill would lose them. Both times count from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateRequestWindow {
    /// Requests that are accepted after this time are late.
    pub begins_after: Duration,
    /// The response to a late request is due at this time.
    pub respond_within: Duration,
}

/// The deadlines of a shutdown, derived from the longest request deadline.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownDeadlines {
    longest_request_deadline: Duration,
}

impl ShutdownDeadlines {
    /// Creates the deadlines for the longest request deadline of all classes.
    pub fn new(longest_request_deadline: Duration) -> Self {
        ShutdownDeadlines {
            longest_request_deadline,
        }
    }

    /// The earliest time after SIGTERM at which the platform kills the process.
    fn kill_after(self) -> Duration {
        self.longest_request_deadline.min(PLATFORM_DEADLINE_BOUND) + KILL_MARGIN
    }

    /// How long after SIGTERM idle connections are kept open for another request.
    pub fn keep_alive_for(self, mode: ShutdownMode) -> Duration {
        match mode {
            ShutdownMode::Standalone => TERMINATION_ACCEPT_PERIOD,
            ShutdownMode::Replaced => self.kill_after().saturating_sub(KEEP_ALIVE_MARGIN),
        }
    }

    /// Which requests are late, and when their responses are due.
    pub fn late_requests(self, mode: ShutdownMode) -> LateRequestWindow {
        match mode {
            ShutdownMode::Standalone => LateRequestWindow {
                begins_after: TERMINATION_ACCEPT_PERIOD,
                respond_within: self.kill_after() - RESPONSE_MARGIN,
            },
            ShutdownMode::Replaced => LateRequestWindow {
                begins_after: Duration::ZERO,
                respond_within: self.kill_after() - REPLACED_RESPONSE_MARGIN,
            },
        }
    }

    /// The time after SIGTERM at which every accepted request has reached its own deadline and the platform may have killed
    /// the process. A connection that is still open then is writing a long response.
    pub fn responses_due_after(self) -> Duration {
        let longest = self.longest_request_deadline.max(PLATFORM_DEADLINE_BOUND);
        TERMINATION_ACCEPT_PERIOD + longest + RESPONSE_WRITE_MARGIN
    }
}

#[cfg(test)]
mod tests;
