//! The way of a request through the policy's components: admission, its attempts, retries, and its end.

use applewall_node_types::TimeSpan;

use super::Components;
use crate::api::{Action, AttemptResult, Outcome, Request, RequestId};
use crate::decision::admission::Admission;
use crate::decision::context::Context;
use crate::decision::endpoints::{FinishedAttempt, SelectionLoad};
use crate::decision::hashing::CustomerFingerprint;
use crate::decision::pending::PendingRequest;
use crate::decision::rejection::Rejection;
use crate::decision::retry::{attempt_timeout, final_failure, may_retry};

impl Components {
    /// Records a request in the quota ledger, and rejects it or sends its first attempt.
    pub(super) fn request_received(
        &mut self,
        context: &mut Context<'_>,
        request: &Request,
        actions: &mut Vec<Action>,
    ) {
        let customer = CustomerFingerprint::of(&request.customer);
        let requests_per_second = self.overload.record_arrival(context.now());
        self.retry_budget.deposit(requests_per_second);
        match self.record_and_send(context, customer, request, actions) {
            Err(rejection) => {
                self.rejections.count(rejection);
                actions.push(rejection.to_action(context, request.id, request.class));
            }
            Ok(pending) => {
                let within_quota = pending.is_within_quota();
                self.quotas.charge(context, customer, request, within_quota);
                self.pending.insert(request.id, pending);
                self.send_due_aggregate(context, customer, actions);
            }
        }
    }

    /// Records a request in the quota ledger, and sends its first attempt if admission lets it pass.
    fn record_and_send(
        &mut self,
        context: &mut Context<'_>,
        customer: CustomerFingerprint,
        request: &Request,
        actions: &mut Vec<Action>,
    ) -> Result<PendingRequest, Rejection> {
        if !self.quotas.may_track(customer) {
            return Err(Rejection::TooManyCustomers);
        }
        self.quotas.record_request(context, customer, request);
        self.admit_and_send(context, customer, request, actions)
    }

    /// Sends the first attempt of a request that admission lets pass.
    fn admit_and_send(
        &mut self,
        context: &mut Context<'_>,
        customer: CustomerFingerprint,
        request: &Request,
        actions: &mut Vec<Action>,
    ) -> Result<PendingRequest, Rejection> {
        let mut admission = Admission {
            quotas: &self.quotas,
            overload: &mut self.overload,
            latency: &self.latency,
            pending: &self.pending,
            endpoints: &self.endpoints,
        };
        let mut pending = admission.decide(context, customer, request)?;
        if self.send_attempt(context, request.id, &mut pending, actions) {
            Ok(pending)
        } else {
            Err(Rejection::NoEndpoint)
        }
    }

    /// Sends a request's next attempt; returns false if no endpoint can take it.
    fn send_attempt(
        &mut self,
        context: &mut Context<'_>,
        id: RequestId,
        request: &mut PendingRequest,
        actions: &mut Vec<Action>,
    ) -> bool {
        let load = SelectionLoad {
            latency: &self.latency,
            rate_time_constant: self.overload.rate_time_constant(),
            completed_per_second: self.overload.completed_per_second(context.now()),
            work_in_flight: self.pending.work_in_flight(context),
        };
        let Some(index) = self.endpoints.select(context, request, &load) else {
            return false;
        };
        let usual_latency = self.latency.usual(request.kind());
        let timeout = attempt_timeout(context, request, usual_latency);
        let endpoint = self.endpoints.start_attempt(context, index, id, request);
        request.record_attempt(context.now(), index);
        actions.push(Action::StartAttempt {
            request: id,
            endpoint,
            timeout_ns: timeout.map(TimeSpan::as_nanoseconds),
        });
        true
    }

    /// Handles the end of an attempt: updates the estimates, then completes the request or sends another attempt.
    pub(super) fn attempt_finished(
        &mut self,
        context: &mut Context<'_>,
        has_just_resumed: bool,
        result: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(finished) = self.endpoints.finish_attempt(result) else {
            return;
        };
        self.update_estimates(context, has_just_resumed, &finished, result);
        let Some(mut request) = self.pending.remove(result.request) else {
            return;
        };
        self.settle(context, &request, result);
        if result.request_complete || result.outcome == Outcome::Success {
            return self.quotas.release(request.customer());
        }
        if !result.outcome.never_executed() {
            request.record_possible_execution(finished.possible_execution());
        }
        if self.retry(context, result, &mut request, actions) {
            self.pending.insert(result.request, request);
            return;
        }
        self.quotas.release(request.customer());
        actions.push(final_failure(context, result.request, &request));
    }

    /// Updates the estimates from the end of an attempt. An attempt that was cancelled or never sent is no evidence
    /// about its endpoint.
    fn update_estimates(
        &mut self,
        context: &Context<'_>,
        has_just_resumed: bool,
        finished: &FinishedAttempt,
        result: &AttemptResult,
    ) {
        let outcome = result.outcome;
        self.overload
            .record_completed(context.now(), outcome, finished.attempt.cost());
        if has_just_resumed || !outcome.is_evidence() {
            return;
        }
        let rate_time_constant = self.overload.rate_time_constant();
        let statistics = self.endpoints.record_outcome(
            context,
            &mut self.latency,
            rate_time_constant,
            finished,
            result,
        );
        if let Some(statistics) = statistics {
            self.overload.record_outcome(&statistics);
        }
        self.endpoints
            .apply_outlier_detection(context, finished, outcome);
    }

    /// Replaces the estimated units of a request within the quota by those that the response reports.
    fn settle(&mut self, context: &Context<'_>, request: &PendingRequest, result: &AttemptResult) {
        let Some(settled_units) = result.settled_units.filter(|units| *units > 0.0) else {
            return;
        };
        if context.settings().cost_settled_after_response && request.is_within_quota() {
            let difference = settled_units - request.units();
            self.quotas
                .settle(context, request.customer(), request.plan(), difference);
        }
    }

    /// Sends another attempt if the request may have one, the retry budget has a token for it and an endpoint can take
    /// it. Returns true if the attempt was sent.
    fn retry(
        &mut self,
        context: &mut Context<'_>,
        result: &AttemptResult,
        request: &mut PendingRequest,
        actions: &mut Vec<Action>,
    ) -> bool {
        let usual_latency = self.latency.usual(request.kind());
        let is_retried = result.outcome != Outcome::NotSent
            && may_retry(context, request, usual_latency)
            && self.retry_budget.has_token()
            && self.send_attempt(context, result.request, request, actions);
        if is_retried {
            self.retry_budget.withdraw();
        }
        is_retried
    }

    /// Cancels the attempts in flight of a client that has disconnected.
    pub(super) fn client_disconnected(
        &mut self,
        context: &Context<'_>,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.pending.remove(id) else {
            return;
        };
        self.quotas.release(request.customer());
        if !context.settings().cancellation_allowed {
            return;
        }
        for endpoint in request.attempted_endpoints() {
            let attempts = self.endpoints.attempts_in_flight(*endpoint, id);
            actions.extend(attempts.map(|attempt| Action::CancelAttempt {
                request: id,
                attempt,
            }));
        }
    }
}
