//! The lifecycle of a request in the engine, from its arrival to its response or the client's disconnect.
//!
//! A request gets at most one response, and nothing is sent for a client that has disconnected.

use std::fmt;

use applewall::api::{AttemptResult, ClassId, EndpointId, Event, Outcome, Request, RequestId};
use hyper::StatusCode;

use super::executed_requests::ExecutedRequests;
use super::pending_request::PendingRequest;
use super::Engine;
use crate::engine::message::{AttemptEnded, ClientDisconnected, ClientRequest};
use crate::observability::event_counts::{self, CountedEvent};
use crate::server::response::ClientResponse;

/// Displays a request id as the client sent it: 16 hexadecimal digits.
pub(super) struct CorrelationId(pub RequestId);

impl fmt::Display for CorrelationId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0 .0)
    }
}

impl Engine {
    pub(super) fn handle_request(&mut self, request: ClientRequest) {
        self.statistics.requests += 1;
        let ClientRequest {
            mut request,
            serial,
            deadline,
            forwarded,
            responder,
        } = request;
        let id = request.id;
        // The client disconnected while the request was queued.
        if forwarded.client_disconnected() {
            self.statistics.disconnected += 1;
            return;
        }
        if let Some(reason) = self.conflict_of(&request) {
            self.statistics.failed += 1;
            // Fails if the client has disconnected meanwhile.
            let _ = responder.send(ClientResponse::Failed {
                status: StatusCode::CONFLICT,
                reason,
            });
            return;
        }
        let waited_ns = self.possible_kernel_wait_ns();
        request.time_left_ns = request.time_left_ns.saturating_sub(waited_ns);
        let pending = PendingRequest {
            serial,
            responder: Some(responder),
            forwarded,
            deadline_ns: self.clock.nanos_at(deadline).saturating_sub(waited_ns),
            class: request.class,
            attempts: 0,
            in_flight: None,
            first_possibly_executed_at_ns: None,
        };
        self.timers
            .schedule_last_resort(pending.last_resort_at_ns(), id);
        self.pending.insert(id, pending);
        self.handle_event(Event::Request(request));
    }

    /// Why a request must not be forwarded under its id, if so.
    fn conflict_of(&self, request: &Request) -> Option<&'static str> {
        // Endpoints could not distinguish the attempts of two requests with the same id.
        if self.pending.contains_key(&request.id) {
            return Some("a command with this id is open");
        }
        let idempotency = self.settings.policy.class(request.class).idempotency;
        if ExecutedRequests::applies_to(idempotency) && self.executed.contains(request.id) {
            event_counts::count(CountedEvent::RejectedAlreadyExecuted);
            return Some("a command with this id may have been executed");
        }
        None
    }

    /// The requests that may have been executed and must not be executed again, including those in flight.
    pub(super) fn executed_requests(&self) -> Vec<RequestId> {
        let in_flight = self.pending.iter().filter(|(_, pending)| {
            pending.in_flight.is_some() && self.must_not_repeat(pending.class)
        });
        let in_flight = in_flight.map(|(request, _)| *request);
        self.executed.all().chain(in_flight).collect()
    }

    /// True if the requests of a class must not be executed twice.
    pub(super) fn must_not_repeat(&self, class: ClassId) -> bool {
        ExecutedRequests::applies_to(self.settings.policy.class(class).idempotency)
    }

    /// How long a request accepted now may have waited in the kernel while the process was stalled.
    fn possible_kernel_wait_ns(&self) -> u64 {
        if self.now <= self.stall.applies_until_ns {
            self.stall.lost_ns
        } else {
            0
        }
    }

    pub(super) fn handle_disconnect(&mut self, disconnected: ClientDisconnected) {
        let ClientDisconnected { request, serial } = disconnected;
        let awaited = self
            .pending
            .get(&request)
            .is_some_and(|pending| pending.serial == serial && pending.awaits_response());
        if awaited {
            tracing::debug!(correlation_id = %CorrelationId(request), "client disconnected before its response");
            self.statistics.disconnected += 1;
            self.abandon(request);
        }
    }

    /// Stops processing a request whose client no longer needs a response.
    fn abandon(&mut self, request: RequestId) {
        if let Some(pending) = self.pending.get_mut(&request) {
            pending.responder = None;
            self.timers
                .cancel_last_resort(pending.last_resort_at_ns(), request);
        }
        self.handle_event(Event::ClientDisconnected(request));
        self.remove_if_finished(request);
    }

    /// Responds to a request that the policy has left without a response until shortly before its deadline. This is a
    /// fault of the policy, so it is counted and logged as an error.
    pub(super) fn send_last_resort(&mut self, request: RequestId) {
        self.statistics.last_resort += 1;
        tracing::error!(correlation_id = %CorrelationId(request), "last-resort response sent");
        self.respond(
            request,
            ClientResponse::Failed {
                status: StatusCode::GATEWAY_TIMEOUT,
                reason: "no answer in time",
            },
        );
        self.abandon(request);
    }

    pub(super) fn handle_attempt_ended(&mut self, ended: AttemptEnded) {
        let AttemptEnded {
            request,
            attempt,
            endpoint,
            outcome,
            latency,
            load_report,
            response,
        } = ended;
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        // Ignore a duplicate report of an attempt that has already ended.
        let Some(in_flight) = pending.take_in_flight(attempt) else {
            return;
        };
        tracing::debug!(
            correlation_id = %CorrelationId(request),
            attempt,
            %endpoint,
            ?outcome,
            latency_us = latency.as_micros() as u64,
            "attempt ended"
        );
        if !outcome.never_executed() {
            self.record_possible_execution(request, in_flight.started_at_ns);
        }
        if let Some(zones) = &mut self.zones {
            zones.attempt_ended(self.now, request, outcome);
        }
        if let Some(response) = response {
            self.respond(request, ClientResponse::Served(response));
        } else if self.client_disconnected_unnoticed(request) {
            self.statistics.disconnected += 1;
            self.abandon(request);
        }
        let result = self.attempt_result(request, attempt, endpoint, outcome);
        self.handle_event(Event::AttemptFinished(AttemptResult {
            latency_ns: latency.as_nanos() as u64,
            load_report,
            ..result
        }));
        self.remove_if_finished(request);
    }

    /// Records that an attempt may have executed its request.
    fn record_possible_execution(&mut self, request: RequestId, started_at_ns: u64) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        pending
            .first_possibly_executed_at_ns
            .get_or_insert(started_at_ns);
        let class = pending.class;
        if self.must_not_repeat(class) {
            self.executed.record(self.now, request);
        }
    }

    /// True if the client has disconnected but the message about it is still queued or was lost. No further attempt is
    /// made for such a client.
    fn client_disconnected_unnoticed(&self, request: RequestId) -> bool {
        self.pending.get(&request).is_some_and(|pending| {
            pending.awaits_response() && pending.forwarded.client_disconnected()
        })
    }

    /// Builds the policy's event for the result of an attempt, without latency and load report.
    pub(super) fn attempt_result(
        &self,
        request: RequestId,
        attempt: u32,
        endpoint: EndpointId,
        outcome: Outcome,
    ) -> AttemptResult {
        let request_complete = self
            .pending
            .get(&request)
            .is_none_or(|pending| !pending.awaits_response());
        AttemptResult {
            request,
            attempt,
            endpoint,
            outcome,
            latency_ns: 0,
            request_complete,
            settled_units: None,
            load_report: Vec::new(),
        }
    }

    /// Sends the response to a request, unless it has one already or its client has disconnected.
    pub(super) fn respond(&mut self, request: RequestId, response: ClientResponse) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let Some(responder) = pending.responder.take() else {
            return;
        };
        self.timers
            .cancel_last_resort(pending.last_resort_at_ns(), request);
        tracing::debug!(
            correlation_id = %CorrelationId(request),
            response = %response.summary(),
            "request answered"
        );
        match response {
            ClientResponse::Served(..) => self.statistics.served += 1,
            ClientResponse::Rejected { .. } => self.statistics.rejected += 1,
            ClientResponse::Failed { .. } => self.statistics.failed += 1,
        }
        // Fails if the client has disconnected meanwhile, which is reported by a message of its own.
        let _ = responder.send(response);
        self.remove_if_finished(request);
    }

    /// Removes a request if it needs no response and has no attempt in flight.
    fn remove_if_finished(&mut self, request: RequestId) {
        if self
            .pending
            .get(&request)
            .is_some_and(PendingRequest::is_finished)
        {
            self.pending.remove(&request);
        }
    }
}
