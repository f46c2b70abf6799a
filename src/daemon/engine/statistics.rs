//! What the engine counts, and the log events that report it.
//!
//! Owner: the engine. Input: the engine's steps. Output: two log events an interval, each only where it has a count.

use super::Engine;
use crate::observability::event_counts::{CountedEvent, EventCounts};

/// Counts since the statistics were logged last.
#[derive(Default)]
pub(super) struct Statistics {
    /// Requests that reached the engine.
    pub requests: u64,
    /// Requests that an endpoint served.
    pub served: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose client disconnected before its response.
    pub disconnected: u64,
    /// Attempts that were started.
    pub attempts: u64,
    /// Requests that got the last-resort response.
    pub last_resort: u64,
}

impl Engine {
    /// Logs the counts of the last interval, and starts the next one.
    pub(super) fn log_statistics(&mut self) {
        let counts = EventCounts::take();
        if !counts.is_empty() {
            log_event_counts(&counts);
        }
        let Statistics {
            requests,
            served,
            rejected,
            failed,
            disconnected,
            attempts,
            last_resort,
        } = std::mem::take(&mut self.statistics);
        if requests + last_resort == 0 {
            return;
        }
        tracing::info!(
            requests,
            served,
            rejected,
            failed,
            disconnected,
            attempts,
            last_resort,
            pending = self.pending.len(),
            idle_connections = self.pool.idle_connections(),
            "statistics"
        );
    }
}

/// Logs why connections closed, attempts were not sent and requests were rejected. An event that was not counted has no
/// field.
fn log_event_counts(counts: &EventCounts) {
    tracing::info!(
        connection_ended = counts.of(CountedEvent::ConnectionEnded),
        connection_evicted = counts.of(CountedEvent::ConnectionEvicted),
        connection_idle = counts.of(CountedEvent::ConnectionIdle),
        head_too_slow = counts.of(CountedEvent::HeadTooSlow),
        connection_shut_down = counts.of(CountedEvent::ConnectionShutDown),
        connection_aborted = counts.of(CountedEvent::ConnectionAborted),
        rejected_at_close = counts.of(CountedEvent::RejectedAtClose),
        accepted_connection_failed = counts.of(CountedEvent::AcceptedConnectionFailed),
        not_sent_draining = counts.of(CountedEvent::NotSentDraining),
        not_sent_client_left = counts.of(CountedEvent::NotSentClientLeft),
        not_sent_window_over = counts.of(CountedEvent::NotSentWindowOver),
        not_sent_expired = counts.of(CountedEvent::NotSentExpired),
        not_sent_local_shortage = counts.of(CountedEvent::NotSentLocalShortage),
        action_refused = counts.of(CountedEvent::ActionRefused),
        "counts by reason"
    );
}
