//! Limits shared by several modules.

/// Maximum length of a request body or of a buffered response body. Bodies on the platform are far shorter, and all of
/// them together have to fit into the memory of the smallest node.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;
/// Capacity of the engine's queue, which bounds the memory and the waiting time of messages. If the queue is full,
/// senders wait, reject the request, or drop a message that may be lost.
pub(crate) const ENGINE_QUEUE_CAPACITY: usize = 1024;
