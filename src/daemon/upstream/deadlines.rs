//! The deadlines of an attempt, on the system's monotonic clock.

use std::time::Instant;

/// Set by the engine when the attempt starts, and never extended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptDeadlines {
    /// The attempt times out unless its response is complete, or the head of a long one has arrived, by this time.
    pub response_by: Instant,
    /// Deadline for the response of the request's last attempt. The forwarding of a long response begins by this time.
    pub last_response_by: Instant,
    /// Deadline for the first byte of the request if an earlier attempt may have been executed: after it, endpoints may
    /// not recognize the request as a retry.
    pub first_byte_by: Option<Instant>,
    /// Whether a retry is allowed after this attempt.
    pub allows_retry: bool,
}
