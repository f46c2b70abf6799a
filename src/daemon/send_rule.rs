//! The one place that decides whether a request may be sent to an endpoint now: when the engine starts an attempt, and again
//! right before the attempt's first byte, as anything may have happened in between.
//!
//! Pure: facts in, a verdict out; the caller counts refusals. A refusal at an attempt's start shows a fault of the decision
//! policy, and prevents that a request is executed twice or after its deadline.

use std::time::Instant;

use applewall::api::{Idempotency, Outcome};

use crate::observability::event_counts::CountedEvent;

/// Why a request may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendRefusal {
    /// The request has its final response already.
    Answered,
    /// Another attempt of the request is in flight.
    AnotherInFlight,
    /// The settings allow no further attempt.
    TooManyAttempts,
    /// A former attempt may have been executed, and the request is not idempotent.
    MayHaveExecuted,
    /// The attempt's deadline has passed.
    Expired,
    /// The endpoint is draining.
    Draining,
    /// The client has disconnected.
    ClientDisconnected,
    /// The endpoints' deduplication window has passed: they may no longer recognize a repeat.
    DeduplicationWindowOver,
}

impl SendRefusal {
    /// The event that it is counted as.
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

    /// What the policy learns: nothing about the endpoint, and whether to try another one.
    pub(crate) fn outcome(self) -> Outcome {
        match self {
            SendRefusal::Draining => Outcome::NotSentRetryable,
            _ => Outcome::NotSent,
        }
    }
}

/// What the engine knows when an attempt is to start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartFacts {
    /// The request has no final response yet.
    pub awaits_response: bool,
    /// Another attempt of the request is in flight.
    pub has_attempt_in_flight: bool,
    /// A former attempt may have been executed.
    pub may_have_executed: bool,
    /// Whether the request may be executed again.
    pub idempotency: Idempotency,
    /// The number of the attempt within its request, from 0.
    pub number: u32,
    /// How many attempts the settings allow for one request.
    pub max_attempts: u32,
    /// The attempt's deadline is ahead.
    pub has_time_left: bool,
}

impl StartFacts {
    /// True where the settings allow another attempt after this one.
    pub(crate) fn allows_retry(&self) -> bool {
        self.number + 1 < self.max_attempts
    }
}

/// Whether an attempt may start.
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

/// What an attempt knows right before its first byte.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WriteFacts {
    /// The present moment.
    pub now: Instant,
    /// By when the attempt's response has to be there.
    pub response_by: Instant,
    /// By when the first byte of a repeat has to be written.
    pub first_byte_by: Option<Instant>,
    /// The endpoint is draining.
    pub is_draining: bool,
    /// The client has disconnected.
    pub client_disconnected: bool,
}

/// Whether the first byte may be written.
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
