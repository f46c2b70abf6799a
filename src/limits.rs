//! Bounds that several parts of the process share.

/// Most bytes of a request body or of a buffered response body.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;
/// Messages that may wait for the engine; senders wait for capacity, or drop what may be lost.
pub(crate) const ENGINE_QUEUE_CAPACITY: usize = 1024;
