//! What this node knows of one upstream endpoint.

use std::collections::VecDeque;

use applewall_node_types::{TimeSpan, Timestamp};

use super::outcome_history::OutcomeHistory;
use crate::api::{ClassId, Endpoint, EndpointState, PlanId, RequestId};
use crate::decision::latency::RequestKind;
use crate::decision::pending::PendingRequest;

/// Shortest time between two starts of an endpoint. A start that the list names less later is the same one, whose Unix time was
/// converted again: after a hot restart, or with a clock that drifts.
const MIN_RESTART_DISTANCE: TimeSpan = TimeSpan::from_seconds(0.1);

/// An attempt in flight.
#[derive(Clone)]
pub(crate) struct InFlightAttempt {
    request: RequestId,
    number: u32,
    sent_at: Timestamp,
    cost: f64,
    class: ClassId,
    plan: PlanId,
    kind: RequestKind,
}

impl InFlightAttempt {
    /// The next attempt of a request.
    pub(super) fn next(id: RequestId, request: &PendingRequest, now: Timestamp) -> Self {
        InFlightAttempt {
            request: id,
            number: request.attempts(),
            sent_at: now,
            cost: request.cost(),
            class: request.class(),
            plan: request.plan(),
            kind: request.kind(),
        }
    }

    /// When it was sent.
    pub(crate) fn sent_at(&self) -> Timestamp {
        self.sent_at
    }

    /// Its cost, in requests of the mean.
    pub(crate) fn cost(&self) -> f64 {
        self.cost
    }

    /// The class of its request.
    pub(crate) fn class(&self) -> ClassId {
        self.class
    }

    /// The plan of its request's customer.
    pub(crate) fn plan(&self) -> PlanId {
        self.plan
    }

    /// The kind of its request.
    pub(crate) fn kind(&self) -> RequestKind {
        self.kind
    }

    /// Its number, from 0, where it is of a request.
    pub(super) fn number_of(&self, request: RequestId) -> Option<u32> {
        (self.request == request).then_some(self.number)
    }
}

/// An attempt that was sent to an endpoint in its slow start.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecentAttempt {
    pub(super) sent_at: Timestamp,
    /// Its cost, in requests of the mean.
    pub(super) cost: f64,
}

/// An upstream endpoint as this node knows it.
#[derive(Clone)]
pub(super) struct EndpointRecord {
    /// Its entry in the list.
    pub(super) endpoint: Endpoint,
    /// Takes requests.
    pub(super) is_ready: bool,
    /// The list no longer names it, or names it as removed.
    pub(super) is_removed: bool,
    /// A member of this node's subset of endpoints.
    pub(super) in_subset: bool,
    /// Start of its slow start.
    pub(super) slow_start_from: Timestamp,
    /// Returned to service after maintenance, with no attempt since.
    pub(super) awaits_first_attempt: bool,
    /// Attempts in flight from this process.
    pub(super) in_flight: Vec<InFlightAttempt>,
    /// Its latency as a multiple of the usual one.
    pub(super) latency_factor: f64,
    /// When it answered last.
    pub(super) last_response_at: Option<Timestamp>,
    /// Failures in a row.
    pub(super) consecutive_failures: u32,
    /// Until when it is ejected.
    pub(super) ejected_until: Option<Timestamp>,
    /// Attempts sent during its slow start.
    pub(super) recent_attempts: VecDeque<RecentAttempt>,
    /// Outcomes by class and by plan.
    pub(super) outcomes: OutcomeHistory,
}

impl EndpointRecord {
    /// A record of which nothing is known but its entry in the list.
    pub(super) fn new(
        endpoint: Endpoint,
        slow_start_from: Timestamp,
        outcomes: OutcomeHistory,
    ) -> Self {
        EndpointRecord {
            is_ready: endpoint.state == EndpointState::Ready,
            is_removed: false,
            in_subset: false,
            endpoint,
            slow_start_from,
            awaits_first_attempt: false,
            in_flight: Vec::new(),
            latency_factor: 1.0,
            last_response_at: None,
            consecutive_failures: 0,
            ejected_until: None,
            recent_attempts: VecDeque::new(),
            outcomes,
        }
    }

    /// Applies an entry of the list. An endpoint that was restarted begins its slow start; its latency, failures and
    /// outcomes are forgotten.
    pub(super) fn update(&mut self, endpoint: &Endpoint, started_at: Timestamp) {
        self.is_ready = endpoint.state == EndpointState::Ready;
        self.is_removed = endpoint.state == EndpointState::Removed;
        if started_at - self.slow_start_from >= MIN_RESTART_DISTANCE {
            self.slow_start_from = started_at;
            self.latency_factor = 1.0;
            self.consecutive_failures = 0;
            self.outcomes.clear();
        }
        self.endpoint = endpoint.clone();
    }

    /// Time without a response while attempts are in flight.
    pub(super) fn silence(&self, now: Timestamp) -> TimeSpan {
        self.in_flight
            .iter()
            .map(InFlightAttempt::sent_at)
            .reduce(Timestamp::min)
            .map_or(TimeSpan::ZERO, |oldest| {
                now - self.later_of_response(oldest)
            })
    }

    /// A moment, or the last response where it is later.
    pub(super) fn later_of_response(&self, moment: Timestamp) -> Timestamp {
        self.last_response_at
            .map_or(moment, |response| moment.max(response))
    }

    /// Cost in flight from this node.
    pub(super) fn in_flight_cost(&self) -> f64 {
        self.in_flight.iter().map(InFlightAttempt::cost).sum()
    }

    /// Records an attempt that is sent. `slow_start`: how long the endpoint takes to warm up.
    pub(super) fn start_attempt(&mut self, attempt: InFlightAttempt, slow_start: TimeSpan) {
        self.awaits_first_attempt = false;
        if attempt.sent_at - self.slow_start_from < slow_start {
            self.recent_attempts.push_back(RecentAttempt {
                sent_at: attempt.sent_at,
                cost: attempt.cost,
            });
        }
        self.in_flight.push(attempt);
    }

    /// Takes an attempt out of those in flight.
    pub(super) fn finish(&mut self, request: RequestId, number: u32) -> Option<InFlightAttempt> {
        let is_it = |attempt: &InFlightAttempt| attempt.number_of(request) == Some(number);
        let position = self.in_flight.iter().position(is_it)?;
        Some(self.in_flight.remove(position))
    }
}

#[cfg(test)]
mod tests;
