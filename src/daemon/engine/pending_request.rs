//! The engine's entry for a request that still needs its response or has an attempt in flight.
//!
//! At most one attempt is in flight at a time, and the responder is used once.

use std::sync::Arc;

use applewall::api::ClassId;
use tokio::sync::oneshot;

use crate::engine::message::ForwardedRequest;
use crate::server::response::ClientResponse;

/// The last-resort response is sent this long before the client's deadline, so that it can still reach the client.
pub(super) const LAST_RESORT_MARGIN_NS: u64 = 8_000_000;

/// An attempt that has not ended.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    /// The attempt's number within the request, from 0.
    pub number: u32,
    /// Start time on the engine's clock.
    pub started_at_ns: u64,
    /// Dropping the sender cancels the attempt; `None` once it has been cancelled.
    pub cancel: Option<oneshot::Sender<()>>,
}

/// A request that still needs its response or has an attempt in flight.
pub(super) struct PendingRequest {
    /// Distinguishes this request from others with the same client-supplied id.
    pub serial: u64,
    /// `None` once the response has been sent or the client has disconnected.
    pub responder: Option<oneshot::Sender<ClientResponse>>,
    /// The parts of the request that each attempt forwards to its endpoint.
    pub forwarded: Arc<ForwardedRequest>,
    /// Deadline for the response, on the engine's clock. Earlier than the client's if the request may have waited in the
    /// kernel during a stall of the process, or if a shutdown limits it.
    pub deadline_ns: u64,
    pub class: ClassId,
    /// Number of attempts that the policy has decided on, including those that were not started; also the number of the
    /// next attempt.
    pub attempts: u32,
    /// `None` before the first attempt, between attempts, and after the last one.
    pub in_flight: Option<InFlightAttempt>,
    /// Start time of the first attempt that may have been executed.
    pub first_possibly_executed_at_ns: Option<u64>,
}

impl PendingRequest {
    /// When the last-resort response is due.
    pub(super) fn last_resort_at_ns(&self) -> u64 {
        self.deadline_ns.saturating_sub(LAST_RESORT_MARGIN_NS)
    }

    /// True until the response has been sent or the client has disconnected.
    pub(super) fn awaits_response(&self) -> bool {
        self.responder.is_some()
    }

    /// True once the request needs no response and has no attempt in flight.
    pub(super) fn is_finished(&self) -> bool {
        self.responder.is_none() && self.in_flight.is_none()
    }

    /// Assigns the number of the next attempt. The number is used up even if the attempt is not started.
    pub(super) fn take_attempt_number(&mut self) -> u32 {
        let number = self.attempts;
        self.attempts += 1;
        number
    }

    /// Records that the attempt with this number has been started.
    pub(super) fn attempt_started(
        &mut self,
        number: u32,
        started_at_ns: u64,
        cancel: oneshot::Sender<()>,
    ) {
        self.in_flight = Some(InFlightAttempt {
            number,
            started_at_ns,
            cancel: Some(cancel),
        });
    }

    /// Cancels the attempt with this number, if it is in flight.
    pub(super) fn cancel_attempt(&mut self, number: u32) {
        let in_flight = self.in_flight.as_mut();
        if let Some(in_flight) = in_flight.filter(|in_flight| in_flight.number == number) {
            in_flight.cancel = None;
        }
    }

    /// Removes and returns the attempt with this number; `None` if it is no longer in flight.
    pub(super) fn take_in_flight(&mut self, number: u32) -> Option<InFlightAttempt> {
        self.in_flight
            .take_if(|in_flight| in_flight.number == number)
    }
}
