//! The state of one upstream endpoint as this node knows it.

use std::collections::VecDeque;

use applewall_node_types::{TimeSpan, Timestamp};

use super::outcome_history::OutcomeHistory;
use crate::api::{ClassId, Endpoint, EndpointState, PlanId, RequestId};
use crate::decision::latency::RequestKind;
use crate::decision::pending::PendingRequest;

/// Minimum time between two starts of an endpoint. A reported start time that is later by less is the same start,
/// whose Unix time was converted again after a hot restart or with a drifting clock.
const MIN_RESTART_DISTANCE: TimeSpan = TimeSpan::from_seconds(0.1);

/// An attempt in flight.
#[derive(Clone)]
pub(crate) struct InFlightAttempt {
    request: RequestId,
    /// Number of the attempt within its request, from 0.
    number: u32,
    sent_at: Timestamp,
    /// Relative to a mean request.
    cost: f64,
    class: ClassId,
    plan: PlanId,
    kind: RequestKind,
}

impl InFlightAttempt {
    /// Creates the next attempt of a request, which is sent now.
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

    pub(crate) fn sent_at(&self) -> Timestamp {
        self.sent_at
    }

    pub(crate) fn cost(&self) -> f64 {
        self.cost
    }

    pub(crate) fn class(&self) -> ClassId {
        self.class
    }

    pub(crate) fn plan(&self) -> PlanId {
        self.plan
    }

    pub(crate) fn kind(&self) -> RequestKind {
        self.kind
    }

    /// Its number, from 0, if it is an attempt of this request.
    pub(super) fn number_for(&self, request: RequestId) -> Option<u32> {
        (self.request == request).then_some(self.number)
    }
}

/// An attempt that was sent to an endpoint during its slow start, within the window in which overload is counted.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecentAttempt {
    pub(super) sent_at: Timestamp,
    /// Relative to a mean request.
    pub(super) cost: f64,
}

/// An upstream endpoint as this node knows it.
#[derive(Clone)]
pub(super) struct EndpointRecord {
    /// Its latest entry in the endpoint list.
    pub(super) endpoint: Endpoint,
    /// Whether it takes requests according to the list.
    pub(super) is_ready: bool,
    /// Whether the list no longer contains it, or marks it as removed.
    pub(super) is_removed: bool,
    /// Whether it is in this node's subset of endpoints.
    pub(super) in_subset: bool,
    /// When its slow start began or, if it is not known to have started, the distant past.
    pub(super) slow_start_from: Timestamp,
    /// Whether it has been returned to service after maintenance and has had no attempt since.
    pub(super) awaits_first_attempt: bool,
    /// Attempts in flight from this process.
    pub(super) in_flight: Vec<InFlightAttempt>,
    /// Its latency as a multiple of the usual latency; 1 before the first response.
    pub(super) latency_factor: f64,
    /// Time of its last response, also if that was an error or a rejection.
    pub(super) last_response_at: Option<Timestamp>,
    /// Number of consecutive attempts that could not connect, were reset or timed out.
    pub(super) consecutive_failures: u32,
    /// When its ejection ends; `None` if it has responded since.
    pub(super) ejected_until: Option<Timestamp>,
    pub(super) recent_attempts: VecDeque<RecentAttempt>,
    /// Outcomes by class and by plan.
    pub(super) outcomes: OutcomeHistory,
}

impl EndpointRecord {
    /// Creates the record of an endpoint of which only the list entry is known.
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

    /// Applies an entry of the list. If the endpoint was restarted, its slow start begins, and the latency factor,
    /// failures and outcomes are reset.
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
    pub(super) fn time_without_response(&self, now: Timestamp) -> TimeSpan {
        self.in_flight
            .iter()
            .map(InFlightAttempt::sent_at)
            .reduce(Timestamp::min)
            .map_or(TimeSpan::ZERO, |oldest| now - self.wait_start(oldest))
    }

    /// Start of the wait for the response of an attempt: the time it was sent, or the last response if that is later.
    pub(super) fn wait_start(&self, sent_at: Timestamp) -> Timestamp {
        self.last_response_at
            .map_or(sent_at, |response| sent_at.max(response))
    }

    /// Cost of this node's attempts in flight.
    pub(super) fn in_flight_cost(&self) -> f64 {
        self.in_flight.iter().map(InFlightAttempt::cost).sum()
    }

    /// Records an attempt that is sent. `slow_start`: duration of slow start.
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

    /// Removes an attempt from those in flight and returns it.
    pub(super) fn finish(&mut self, request: RequestId, number: u32) -> Option<InFlightAttempt> {
        let matches = |attempt: &InFlightAttempt| attempt.number_for(request) == Some(number);
        let position = self.in_flight.iter().position(matches)?;
        Some(self.in_flight.remove(position))
    }
}

#[cfg(test)]
mod tests;
