//! The decision policy: its components and how each event is dispatched to them.
//!
//! A request is recorded in the quota ledger, admitted or rejected, and sent as an attempt to a selected endpoint.
//! The end of an attempt updates the estimates of latency, load and endpoint health, and either completes the request
//! or is followed by a retry. The monitor timer evaluates the load and sends the gossip that is due.

mod hot_restart;
mod requests;

use applewall_node_types::Timestamp;
use rand::{rngs::SmallRng, SeedableRng};

use super::admission::expected_latency;
use super::context::Context;
use super::endpoint_watch::EndpointWatch;
use super::endpoints::EndpointTable;
use super::event_clock::EventClock;
use super::hashing::CustomerFingerprint;
use super::latency::LatencyEstimator;
use super::overload::{OverloadControl, MONITOR_INTERVAL};
use super::pending::PendingRequests;
use super::quota::QuotaLedger;
use super::rejection::RejectionCounts;
use super::retry::RetryBudget;
use super::timers::{set_timer, MONITOR_TIMER, WATCH_TIMER};
use crate::api::{Action, Endpoint, EndpointUpdateKind, Event, NodeId, PolicySettings};
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
