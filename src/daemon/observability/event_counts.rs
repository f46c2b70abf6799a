//! Counters of the reasons why connections were closed, attempts were not sent and requests were rejected.
//!
//! The code that ends a connection, an attempt or a request counts the event here; the statistics event logs the counts
//! since the previous one. The counters are independent of each other, so relaxed ordering is sufficient.

use std::sync::atomic::{AtomicU64, Ordering};

/// An event whose count is a field of the log event `counts by reason`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CountedEvent {
    /// A client connection ended normally: the client closed it, or a response had `Connection: close`.
    ConnectionEnded,
    /// A client connection was evicted for a new one.
    ConnectionEvicted,
    /// A client connection was idle for too long.
    ConnectionIdle,
    /// A request head was not complete in time.
    HeadTooSlow,
    /// A client connection was closed by a shutdown or a drain.
    ConnectionShutDown,
    /// A client connection was aborted by slow-peer protection.
    ConnectionAborted,
    /// A rejection was written on a connection that was about to be closed: for a request that had arrived at least in
    /// part, or, on a new connection, for a first request that might still arrive.
    RejectedAtClose,
    /// An accepted connection could not be served because a system call failed.
    AcceptedConnectionFailed,
    /// An attempt was not sent because its endpoint is draining.
    NotSentDraining,
    /// An attempt was not sent because its client had disconnected.
    NotSentClientLeft,
    /// A retry was not sent because the window in which endpoints recognize the idempotency key had expired.
    NotSentWindowOver,
    /// An attempt was not sent because its deadline had expired.
    NotSentExpired,
    /// An attempt was not sent because this node lacked the sockets, ports or memory to open a connection.
    NotSentLocalShortage,
    /// A request was rejected because the engine's queue was full.
    RejectedQueueFull,
    /// A request was rejected because there was no memory for its body.
    RejectedBodyMemory,
    /// A request failed because one with its id may have been executed, and must not be executed twice.
    RejectedAlreadyExecuted,
    /// A datagram to a peer was dropped because the operating system did not accept it.
    GossipNotSent,
    /// A datagram from a peer was dropped because the engine's queue was full.
    GossipDropped,
    /// The engine refused an action of the policy that would have violated an invariant of the protocol.
    ActionRefused,
}

/// All events, in the order of their discriminants.
const EVENTS: [CountedEvent; 19] = [
    CountedEvent::ConnectionEnded,
    CountedEvent::ConnectionEvicted,
    CountedEvent::ConnectionIdle,
    CountedEvent::HeadTooSlow,
    CountedEvent::ConnectionShutDown,
    CountedEvent::ConnectionAborted,
    CountedEvent::RejectedAtClose,
    CountedEvent::AcceptedConnectionFailed,
    CountedEvent::NotSentDraining,
    CountedEvent::NotSentClientLeft,
    CountedEvent::NotSentWindowOver,
    CountedEvent::NotSentExpired,
    CountedEvent::NotSentLocalShortage,
    CountedEvent::RejectedQueueFull,
    CountedEvent::RejectedBodyMemory,
    CountedEvent::RejectedAlreadyExecuted,
    CountedEvent::GossipNotSent,
    CountedEvent::GossipDropped,
    CountedEvent::ActionRefused,
];

/// One counter for each event.
static COUNTS: [AtomicU64; EVENTS.len()] = [const { AtomicU64::new(0) }; EVENTS.len()];

/// Adds one to the count of an event.
pub(crate) fn count(event: CountedEvent) {
    COUNTS[event as usize].fetch_add(1, Ordering::Relaxed);
}

/// The counts between two calls of [`EventCounts::take`], in the order of [`EVENTS`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EventCounts([u64; EVENTS.len()]);

impl EventCounts {
    /// Takes the counts since the last call.
    pub(crate) fn take() -> Self {
        EventCounts(std::array::from_fn(|index| {
            COUNTS[index].swap(0, Ordering::Relaxed)
        }))
    }

    /// Whether no event was counted.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.iter().all(|count| *count == 0)
    }

    /// The count of an event, or `None` for 0, so that its field is left out of the log.
    pub(crate) fn of(&self, event: CountedEvent) -> Option<u64> {
        Some(self.0[event as usize]).filter(|count| *count > 0)
    }
}

#[cfg(test)]
mod tests;
