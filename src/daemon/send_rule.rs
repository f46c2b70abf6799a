//! The single place that decides whether a request may be sent to an endpoint. The rule is checked when the engine
//! starts an attempt, and again right before the attempt's first byte, since the situation may have changed while the
//! connection was established.
//!
//! The checks are pure functions; the caller counts refusals. A refusal at the start of an attempt indicates a fault in
//! the decision policy, and prevents a request from being executed twice or after its deadline.

use std::time::Instant;

use applewall::api::{Idempotency, Outcome};

use crate::observability::event_counts::CountedEvent;

/// Why a request may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendRefusal {
    /// The request already has its final response.
    Answered,
    /// Another attempt of the request is in flight.
    AnotherInFlight,
    /// The settings allow no further attempt.
    TooManyAttempts,
    /// An earlier attempt may have been executed, and the request is not idempotent.
    MayHaveExecuted,
    /// The attempt's deadline has passed.
    Expired,
    /// The endpoint began to drain, or was removed from the list, after the attempt had started.
    Draining,
    /// The client has disconnected, so the response would be discarded.
    ClientDisconnected,
    /// The endpoints' deduplication window has passed, so they may not recognize the attempt as a retry.
    DeduplicationWindowOver,
}

impl SendRefusal {
    /// The event as which the refusal is counted.
    pub(crate) fn counted_as(self) -> CountedEvent {
        match self {
            SendRefusal::Draining => CountedEvent::NotSentDraining,
            SendRefusal::ClientDisconnected => CountedEvent::NotSentClientLeft,
            SendRefusal::DeduplicationWindowOver => CountedEvent::NotSentWindowOver,
            SendRefusal::Expired => CountedEvent::NotSentExpired,
            SendRefusal::Answered
            | SendRefusal::AnotherInFlight
            | SendRefusal::TooManyAttempts
            | SendRefusal::MayHaveExecuted => CountedEvent::ActionRefused,
        }
    }

    /// The outcome reported to the policy. It is no evidence about the endpoint; only a draining endpoint allows a
    /// retry at another one.
    pub(crate) fn outcome(self) -> Outcome {
        match self {
            SendRefusal::Draining => Outcome::NotSentRetryable,
            _ => Outcome::NotSent,
        }
    }
}

/// Input of the check at the start of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartFacts {
    /// The request has no final response yet.
    pub awaits_response: bool,
    /// Another attempt of the request is in flight.
    pub has_attempt_in_flight: bool,
    /// An earlier attempt may have been executed.
    pub may_have_executed: bool,
    /// Whether the request may be executed more than once.
    pub idempotency: Idempotency,
    /// The attempt's number within its request, from 0.
    pub number: u32,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// The attempt's deadline has not passed.
    pub has_time_left: bool,
}

impl StartFacts {
    /// True if another attempt is allowed after this one.
    pub(crate) fn allows_retry(&self) -> bool {
        self.number + 1 < self.max_attempts
    }
}

/// Checks whether an attempt may start.
pub(crate) fn check_start(facts: &StartFacts) -> Result<(), SendRefusal> {
    let is_non_idempotent = facts.idempotency == Idempotency::NonIdempotent;
    let refusals = [
        (!facts.awaits_response, SendRefusal::Answered),
        (facts.has_attempt_in_flight, SendRefusal::AnotherInFlight),
        (
            facts.number >= facts.max_attempts,
            SendRefusal::TooManyAttempts,
        ),
        (
            facts.may_have_executed && is_non_idempotent,
            SendRefusal::MayHaveExecuted,
        ),
        (!facts.has_time_left, SendRefusal::Expired),
    ];
    first_refusal(&refusals)
}

/// Input of the check right before the first byte of an attempt is written.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WriteFacts {
    /// Time of the check, compared with both deadlines.
    pub now: Instant,
    /// Deadline for the attempt's response.
    pub response_by: Instant,
    /// Deadline for the first byte, if an earlier attempt may have been executed.
    pub first_byte_by: Option<Instant>,
    /// See [`SendRefusal::Draining`].
    pub is_draining: bool,
    /// See [`SendRefusal::ClientDisconnected`].
    pub client_disconnected: bool,
}

/// Checks whether the first byte may be written.
pub(crate) fn check_write(facts: &WriteFacts) -> Result<(), SendRefusal> {
    let window_over = facts
        .first_byte_by
        .is_some_and(|first_byte_by| facts.now >= first_byte_by);
    let refusals = [
        (facts.is_draining, SendRefusal::Draining),
        (facts.client_disconnected, SendRefusal::ClientDisconnected),
        (window_over, SendRefusal::DeduplicationWindowOver),
        (facts.now >= facts.response_by, SendRefusal::Expired),
    ];
    first_refusal(&refusals)
}

fn first_refusal(refusals: &[(bool, SendRefusal)]) -> Result<(), SendRefusal> {
    let refused = refusals.iter().find(|(applies, _)| *applies);
    refused.map_or(Ok(()), |(_, refusal)| Err(*refusal))
}

#[cfg(test)]
mod tests;
