//! Performs the actions that the decision policy returns for an event.
//!
//! Events caused by performing actions are queued, and handled in order after the actions of the current event.

use applewall::api::{Action, Event, LogEvent, NodeId, RequestId};
use hyper::StatusCode;

use super::timers::Timer;
use super::Engine;
use crate::server::response::ClientResponse;

impl Engine {
    /// Passes an event to the policy, then performs the returned actions and handles the events caused by them.
    pub(super) fn handle_event(&mut self, event: Event) {
        self.follow_up_events.push_back(event);
        let mut actions = std::mem::take(&mut self.actions);
        while let Some(event) = self.follow_up_events.pop_front() {
            self.policy.handle(self.now, event, &mut actions);
            actions.drain(..).for_each(|action| self.perform(action));
        }
        self.actions = actions;
    }

    pub(super) fn perform(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                request,
                endpoint,
                timeout_ns,
            } => self.start_attempt(request, endpoint, timeout_ns),
            Action::CancelAttempt { request, attempt } => self.cancel_attempt(request, attempt),
            Action::Reject {
                request,
                retry_after_ns,
            } => self.reject(request, retry_after_ns),
            Action::Fail(request) => self.fail(request),
            Action::SetTimer { after_ns, token } => self
                .timers
                .schedule(self.now + after_ns, Timer::Policy(token)),
            Action::SendGossip { peer, text } => self.send_gossip(peer, &text),
            Action::Log(event) => log(&event),
            // The endpoint list has been watched since the process started.
            Action::WatchEndpoints => {}
        }
    }

    /// Rejects a request with status 503 if the policy had decided on an attempt, even one that could not be sent, and with
    /// status 429 otherwise.
    fn reject(&mut self, request: RequestId, retry_after_ns: Option<u64>) {
        let is_attempted = self
            .pending
            .get(&request)
            .is_some_and(|pending| pending.attempts > 0);
        let status = if is_attempted {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::TOO_MANY_REQUESTS
        };
        self.respond(
            request,
            ClientResponse::Rejected {
                status,
                retry_after_ns,
            },
        );
    }

    /// Fails a request that got no usable response from any attempt.
    fn fail(&mut self, request: RequestId) {
        self.respond(
            request,
            ClientResponse::Failed {
                status: StatusCode::BAD_GATEWAY,
                reason: "no answer from an instance",
            },
        );
    }

    /// Sends a datagram to one peer, or to all of them, unless another process of this node has taken over gossip.
    fn send_gossip(&self, peer: Option<NodeId>, text: &str) {
        if let Some(peers) = self.peers.as_deref().filter(|_| !self.gossip_handed_over) {
            peers.send(peer, text);
        }
    }
}

fn log(event: &LogEvent) {
    match event {
        LogEvent::FilterChanged {
            filter,
            load_index,
            focal_rate,
        } => tracing::info!(
            filter,
            load_index,
            // The estimate is not more precise than one decimal place.
            focal_rate_per_second = (focal_rate * 10.0).round() / 10.0,
            "load ladder changed its filter"
        ),
    }
}
