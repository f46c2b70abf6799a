//! The deadlines of an attempt, on the system's monotonic clock.

use std::time::Instant;

/// Set by the engine when the attempt starts, and never extended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptDeadlines {
    /// The attempt times out unless its response is complete, or has begun to stream, by this time.
    pub response_by: Instant,
    /// Deadline for the first byte of the request if an earlier attempt may have been executed: after it, endpoints may
    /// not recognize the request as a retry.
    pub first_byte_by: Option<Instant>,
    /// Deadline for the response of a retry; `None` if no retry is allowed.
    pub retry_response_by: Option<Instant>,
}
