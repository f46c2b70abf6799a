//! Times of events: when the process started, when it last handled an event, and whether it has just resumed from a
//! stall.

use applewall_node_types::{TimeSpan, Timestamp};

/// Minimum gap between events that counts as a stall of the process: the monitor timer expires every 0.1 s.
const MIN_STALL: TimeSpan = TimeSpan::from_seconds(0.4);

/// The event times of this process.
pub(super) struct EventClock {
    started_at: Timestamp,
    last_event_at: Option<Timestamp>,
    /// When the first event after the last stall was handled.
    resumed_at: Option<Timestamp>,
}

impl EventClock {
    /// Creates the clock of a process that starts now.
    pub(super) fn new(now: Timestamp) -> Self {
        EventClock {
            started_at: now,
            last_event_at: None,
            resumed_at: None,
        }
    }

    /// When this process started, or the process whose state it took over.
    pub(super) fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// When the last event was handled; the clock's origin before the first one.
    pub(super) fn last_event_at(&self) -> Timestamp {
        self.last_event_at.unwrap_or_default()
    }

    /// Advances to the time of an event; returns true for the first one.
    pub(super) fn advance(&mut self, now: Timestamp) -> bool {
        let before = self.last_event_at.replace(now);
        if before.is_some_and(|before| now - before > MIN_STALL) {
            self.resumed_at = Some(now);
        }
        before.is_none()
    }

    /// Returns true at the time of the first event after a stall. Outcomes reported then may have waited in this
    /// process, so they are no evidence about their endpoints.
    pub(super) fn has_just_resumed(&self, now: Timestamp) -> bool {
        self.resumed_at == Some(now)
    }

    /// Takes over the start time of another process.
    pub(super) fn take_over(&mut self, started_at: Timestamp) {
        self.started_at = started_at;
    }

    /// Sets the start time to that of the last event, after a hot restart has failed: in the meantime requests went to
    /// another process.
    pub(super) fn restart(&mut self) {
        self.started_at = self.last_event_at();
    }
}
