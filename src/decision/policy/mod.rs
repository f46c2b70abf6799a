//! The decision policy: its components and how each event is dispatched to them.
//!
//! A request is recorded in the quota ledger, admitted or rejected, and sent as an attempt to a selected endpoint.
//! The end of an attempt updates the estimates of latency, load and endpoint health, and either completes the request
//! or is followed by a retry. The monitor timer evaluates the load and sends the gossip that is due.

mod hot_restart;

use applewall_node_types::{TimeSpan, Timestamp};
use rand::{rngs::SmallRng, SeedableRng};

use super::admission::{expected_latency, Admission};
use super::context::Context;
use super::endpoint_watch::EndpointWatch;
use super::endpoints::{EndpointTable, FinishedAttempt, SelectionLoad};
use super::event_clock::EventClock;
use super::hashing::CustomerFingerprint;
use super::latency::LatencyEstimator;
use super::overload::{OverloadControl, MONITOR_INTERVAL};
use super::pending::{PendingRequest, PendingRequests};
use super::quota::QuotaLedger;
use super::rejection::{Rejection, RejectionCounts};
use super::retry::{attempt_timeout, final_failure, may_retry, RetryBudget};
use super::timers::{set_timer, MONITOR_TIMER, WATCH_TIMER};
use crate::api::{
    Action, AttemptResult, Endpoint, EndpointUpdateKind, Event, NodeId, Outcome, PolicySettings,
    Request, RequestId,
};
use crate::gossip::codec::Record;
use crate::gossip::Gossip;

/// Maximum number of log events that one process writes.
const MAX_LOG_EVENTS: u32 = 60;

/// The decision policy of one node: events in, actions out. It performs no I/O and reads no clock.
pub struct DecisionPolicy {
    settings: PolicySettings,
    rng: SmallRng,
    clock: EventClock,
    components: Components,
}

/// The components of the policy. Each owns its state, which is accessed only through its methods.
struct Components {
    quotas: QuotaLedger,
    overload: OverloadControl,
    endpoints: EndpointTable,
    latency: LatencyEstimator,
    retry_budget: RetryBudget,
    pending: PendingRequests,
    gossip: Gossip,
    watch: EndpointWatch,
    log_events: u32,
    rejections: RejectionCounts,
}

impl DecisionPolicy {
    /// Creates the policy of a node that starts now.
    pub fn new(settings: PolicySettings, seed: u64, now_ns: u64) -> Self {
        let now = Timestamp::from_nanoseconds(now_ns);
        let mut rng = SmallRng::seed_from_u64(seed);
        let gossip = Gossip::new(now, &mut rng);
        let classes = settings.classes.len();
        DecisionPolicy {
            clock: EventClock::new(now),
            components: Components {
                quotas: QuotaLedger::new(now),
                overload: OverloadControl::new(settings.plans.len() * classes),
                endpoints: EndpointTable::default(),
                latency: LatencyEstimator::new(classes, settings.machine_type_count),
                retry_budget: RetryBudget::new(),
                pending: PendingRequests::default(),
                gossip,
                watch: EndpointWatch::new(),
                log_events: 0,
                rejections: RejectionCounts::default(),
            },
            settings,
            rng,
        }
    }

    /// Applies one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now_ns: u64, event: Event, actions: &mut Vec<Action>) {
        let now = Timestamp::from_nanoseconds(now_ns);
        let is_first_event = self.clock.advance(now);
        let has_just_resumed = self.clock.has_just_resumed(now);
        let started_at = self.clock.started_at();
        let context = &mut Context::new(&self.settings, now, started_at, &mut self.rng);
        let components = &mut self.components;
        if is_first_event {
            components.start(context, actions);
        }
        match event {
            Event::EndpointUpdate(EndpointUpdateKind::Failed, _) => {
                components.watch.failed(context, actions);
            }
            Event::EndpointUpdate(kind, entries) => {
                components.endpoints_updated(context, kind, &entries);
            }
            Event::ReturnedToService(endpoint) => components.returned_to_service(context, endpoint),
            Event::ZoneTrafficShares(shares) => components.endpoints.set_zone_shares(shares),
            Event::Request(request) => components.request_received(context, &request, actions),
            Event::ResponseStarted { request, .. } => components.pending.remove_deadline(request),
            Event::AttemptFinished(result) => {
                components.attempt_finished(context, has_just_resumed, &result, actions);
            }
            Event::ClientDisconnected(request) => {
                components.client_disconnected(context, request, actions);
            }
            Event::TimerExpired(MONITOR_TIMER) => components.monitor(context, actions),
            Event::TimerExpired(WATCH_TIMER) => actions.push(Action::WatchEndpoints),
            Event::TimerExpired(_) => {}
            Event::PeerMessage { from, text } => {
                components.peer_message(context, from, &text, actions);
            }
        }
        components
            .gossip
            .send_due_reports(context, &mut components.quotas, actions);
    }

    /// Returns the counts of requests rejected since the last call and resets them.
    pub fn take_rejection_counts(&mut self) -> RejectionCounts {
        std::mem::take(&mut self.components.rejections)
    }

    /// Number of entries in all tables of the policy, for checking that its memory is bounded, however many customers
    /// and endpoints come and go.
    pub fn entry_count(&self) -> usize {
        let components = &self.components;
        components.endpoints.entry_count()
            + components.quotas.entry_count()
            + components.pending.len()
            + components.gossip.entry_count()
    }
}

impl Components {
    fn start(&mut self, context: &Context<'_>, actions: &mut Vec<Action>) {
        actions.push(set_timer(MONITOR_INTERVAL, MONITOR_TIMER));
        if context.settings().watch_endpoints {
            actions.push(Action::WatchEndpoints);
        }
    }

    /// Records a request in the quota ledger, and rejects it or sends its first attempt.
    fn request_received(
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
    fn attempt_finished(
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
    fn client_disconnected(
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

    fn endpoints_updated(
        &mut self,
        context: &Context<'_>,
        kind: EndpointUpdateKind,
        entries: &[Endpoint],
    ) {
        self.endpoints.update(context, &self.pending, kind, entries);
        self.watch.updated();
    }

    fn returned_to_service(&mut self, context: &Context<'_>, endpoint: Endpoint) {
        self.endpoints
            .return_to_service(context, &self.pending, endpoint);
        self.watch.updated();
    }

    /// Runs once per monitor interval: evaluates the load, sends the gossip that is due and discards expired state.
    fn monitor(&mut self, context: &mut Context<'_>, actions: &mut Vec<Action>) {
        actions.push(set_timer(MONITOR_INTERVAL, MONITOR_TIMER));
        let work_in_flight = self.pending.work_in_flight(context);
        let effective_endpoints = self.endpoints.effective_count(context);
        let log_event = self
            .overload
            .end_interval(context, work_in_flight, effective_endpoints);
        if let Some(event) = log_event {
            self.log_events += 1;
            if self.log_events <= MAX_LOG_EVENTS {
                actions.push(Action::Log(event));
            }
        }
        self.endpoints.expire_recent_attempts(context);
        self.gossip
            .send_due_round(context, &mut self.quotas, &mut self.overload, actions);
        self.quotas.evict_idle(context);
    }

    /// Applies a peer's message. A message that is malformed in any part changes nothing.
    fn peer_message(
        &mut self,
        context: &mut Context<'_>,
        from: NodeId,
        text: &str,
        actions: &mut Vec<Action>,
    ) {
        let accepted = self.gossip.accept(context, from, text, &mut self.quotas);
        for received in accepted.into_iter().flat_map(|message| message.records) {
            if let Record::Statistics(statistics) = &received.record {
                self.overload.receive_statistics(context.now(), statistics);
                continue;
            }
            let customer = received.customer;
            self.gossip
                .receive_customer_record(context, from, received, &mut self.quotas, actions);
            self.send_due_aggregate(context, customer, actions);
        }
    }

    /// As a customer's aggregator, sends its nodes the aggregate if the one sent last is outdated.
    fn send_due_aggregate(
        &mut self,
        context: &Context<'_>,
        customer: CustomerFingerprint,
        actions: &mut Vec<Action>,
    ) {
        let latency = expected_latency(context, &self.overload, &self.latency);
        self.gossip
            .send_due_aggregate(context, &mut self.quotas, customer, latency, actions);
    }
}
