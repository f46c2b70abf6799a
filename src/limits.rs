//! Bounds that several parts of the process share.

/// Most bytes of a request body or of a buffered response body.
pub(crate) const BODY_MOST: usize = 64 * 1024;
/// Messages that may wait for the engine; senders wait for capacity, or drop what may be lost.
pub(crate) const QUEUE: usize = 1024;
