//! Counters of why connections were closed, attempts not sent and requests rejected, one for each reason.
//!
//! Owner: the process; the code that ends a connection, an attempt or a request counts it here. Output: the counts since the
//! last statistics event. The counters are independent of each other, so relaxed ordering is
//! enough.

use std::sync::atomic::{AtomicU64, Ordering};

/// An event that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CountedEvent {
    /// A client connection ended as usual: its client closed it, or a response had `Connection: close`.
    ConnectionEnded,
    /// A client connection was evicted for a new one.
    ConnectionEvicted,
    /// A client connection was idle for too long.
    ConnectionIdle,
    /// A request head did not become complete in time.
    HeadTooSlow,
    /// A client connection was closed by a shutdown or a drain.
    ConnectionShutDown,
    /// A client connection was aborted by slow-peer protection.
    ConnectionAborted,
    /// A connection was about to be closed when a request, or the beginning of one, arrived on it; it was rejected.
    RejectedAtClose,
    /// An accepted connection could not be served because a system call failed.
    AcceptedConnectionFailed,
    /// An attempt was not sent because its endpoint drains.
    NotSentDraining,
    /// An attempt was not sent because its client had disconnected.
    NotSentClientLeft,
    /// A retry was not sent because the window in which endpoints recognize the idempotency key had expired.
    NotSentWindowOver,
    /// An attempt was not sent because its deadline had expired.
    NotSentExpired,
    /// An attempt was not sent because this node could not open a connection: it was short of sockets, ports or memory.
    NotSentLocalShortage,
    /// A request was rejected because the engine's queue was full.
    RejectedQueueFull,
    /// A request was rejected because there was no memory for its body.
    RejectedBodyMemory,
    /// A datagram to a peer was dropped because the system did not take it.
    GossipNotSent,
    /// A datagram of a peer was dropped because the engine's queue was full.
    GossipDropped,
    /// The engine refused an action of the policy that would have broken an invariant of the protocol.
    ActionRefused,
}

/// All events, in the order of their discriminants.
const EVENTS: [CountedEvent; 18] = [
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

/// The counts of one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EventCounts([u64; EVENTS.len()]);

impl EventCounts {
    /// Takes the counts since the last call.
    pub(crate) fn take() -> Self {
        EventCounts(std::array::from_fn(|index| {
            COUNTS[index].swap(0, Ordering::Relaxed)
        }))
    }

    /// True where no event was counted.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.iter().all(|count| *count == 0)
    }

    /// How often an event was counted; `None` for never, which leaves its field out of the log.
    pub(crate) fn of(&self, event: CountedEvent) -> Option<u64> {
        Some(self.0[event as usize]).filter(|count| *count > 0)
    }
}

#[cfg(test)]
mod tests;
