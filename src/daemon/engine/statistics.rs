//! The engine's counters, and the two log events that report them at a fixed interval. An event is omitted if there is
//! nothing to report.

use applewall::decision::RejectionCounts;

use super::Engine;
use crate::observability::event_counts::{CountedEvent, EventCounts};

/// Counters since the statistics were last logged.
#[derive(Default)]
pub(super) struct Statistics {
    /// Requests that reached the engine.
    pub requests: u64,
    /// Requests served by an endpoint.
    pub served: u64,
    /// Requests that the policy rejected.
    pub rejected: u64,
    /// Requests that failed: without a usable response, without a decision in time, or with the id of a pending one.
    pub failed: u64,
    /// Requests whose client disconnected before the response.
    pub disconnected: u64,
    /// Attempts that the connection pool started, including those that the send rule refused before the first byte.
    pub attempts: u64,
    /// Last-resort responses sent; each also counts as failed.
    pub last_resort: u64,
}

impl Engine {
    /// Logs and resets the counters.
    pub(super) fn log_statistics(&mut self) {
        let counts = EventCounts::take();
        let rejections = self.policy.take_rejection_counts();
        if !counts.is_empty() || rejections != RejectionCounts::default() {
            log_counts_by_reason(&counts, &rejections);
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

/// Logs the reasons for which connections were closed, attempts not sent and requests rejected. Reasons with a count of
/// zero are omitted.
fn log_counts_by_reason(counts: &EventCounts, rejections: &RejectionCounts) {
    let counted = |count: u64| Some(count).filter(|count| *count > 0);
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
        rejected_queue_full = counts.of(CountedEvent::RejectedQueueFull),
        rejected_body_memory = counts.of(CountedEvent::RejectedBodyMemory),
        rejected_already_executed = counts.of(CountedEvent::RejectedAlreadyExecuted),
        rejected_customer_limit = counted(rejections.customer_limit),
        rejected_too_many_customers = counted(rejections.too_many_customers),
        rejected_backlog = counted(rejections.backlog),
        rejected_ladder = counted(rejections.ladder),
        rejected_no_endpoint = counted(rejections.no_endpoint),
        gossip_not_sent = counts.of(CountedEvent::GossipNotSent),
        gossip_dropped = counts.of(CountedEvent::GossipDropped),
        action_refused = counts.of(CountedEvent::ActionRefused),
        "counts by reason"
    );
}
