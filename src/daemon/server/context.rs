//! State shared by all client connections. Nothing in it belongs to a single connection.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use applewall::platform_settings::PlatformSettings;
use applewall_admin::LifecyclePhase;
use tokio::sync::{mpsc, watch, Semaphore};

use crate::clock::Clock;
use crate::engine::message::Message;
use crate::lifecycle::process_role::ProcessStatus;

/// State shared by all client connections.
pub(crate) struct ServerContext {
    pub settings: Arc<PlatformSettings>,
    /// The engine's queue, for requests and disconnects.
    pub queue: mpsc::Sender<Message>,
    pub phases: watch::Receiver<LifecyclePhase>,
    /// True once there is an endpoint list.
    pub has_endpoint_list: watch::Receiver<bool>,
    /// The serial of the next request.
    pub serials: AtomicU64,
    /// Bounds the memory of request bodies: one permit per byte, released when the body is dropped.
    pub body_permits: Arc<Semaphore>,
    /// The engine's clock.
    pub clock: Clock,
    /// The role of this process and the times of its shutdown.
    pub status: ProcessStatus,
}

impl ServerContext {
    /// True if the health check succeeds: the process is neither draining nor drained, and there is an endpoint list.
    pub(super) fn is_healthy(&self) -> bool {
        self.phases.borrow().reports_healthy() && *self.has_endpoint_list.borrow()
    }

    /// True while each connection is closed after its response, in the drained phase and during a shutdown.
    pub(super) fn closes_after_response(&self) -> bool {
        self.phases.borrow().closes_after_response()
    }

    /// Returns a serial that is unique among the requests of this process.
    pub(super) fn next_serial(&self) -> u64 {
        self.serials.fetch_add(1, Ordering::Relaxed)
    }

    /// Deadline for the response to a request whose head was read at `arrived`: the client's deadline, or an earlier one
    /// during a shutdown. The request may have waited in the accept queue for `accept_wait`.
    pub(super) fn response_deadline(
        &self,
        arrived: Instant,
        accept_wait: Duration,
        time_left_ns: u64,
    ) -> Instant {
        let client_gives_up_at = arrived + Duration::from_nanos(time_left_ns) - accept_wait;
        self.limited_by_shutdown(client_gives_up_at, arrived)
    }

    /// The deadline, or an earlier one if a shutdown limits requests that are complete at `complete_at`: the platform may kill
    /// the process before the deadline.
    pub(super) fn limited_by_shutdown(&self, deadline: Instant, complete_at: Instant) -> Instant {
        let shutdown_times = self.status.shutdown_times.get();
        match shutdown_times.and_then(|times| times.answer_limit(complete_at)) {
            Some(shutdown_limit) => deadline.min(shutdown_limit),
            None => deadline,
        }
    }
}
