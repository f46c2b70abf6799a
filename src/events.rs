//! The events of one node, each led to the decisions and the records that it concerns. Chooses
//! nothing by itself.

use std::collections::BTreeMap;

use rand::{rngs::SmallRng, Rng, SeedableRng};

use crate::api::{Action, Endpoint, EndpointUpdateKind, Event, PolicySettings, RequestId};
use crate::decision_state::{
    nanoseconds, seconds, DecayingRate, DecisionPolicy, EndpointTable, Ladder, LatencyEstimator,
    PeerState, PooledLoad, QuotaTable, RetryBudget, Seconds, MAX_CUSTOMERS, MONITOR_INTERVAL,
    RATE_MEMORY,
};
use crate::gossip::codec::{self, Record};
use crate::gossip::dissemination::{grant_ceiling, report_usage, send_aggregate};
use crate::gossip::load_statistics::send_load_statistics;
use crate::gossip::receive::receive_customer_record;
use crate::gossip::GossipContext;

/// First wait before a failed watch is opened again; doubles.
const FIRST_WATCH_BACKOFF: Seconds = 0.5;
/// Longest wait before a failed watch is opened again.
const LONGEST_WATCH_BACKOFF: Seconds = 8.0;
/// Interval of pool messages to one peer: mixed among hundreds of nodes in 2 s.
const POOL_INTERVAL: Seconds = 0.2;
/// Customers not seen for longer may be forgotten once their quotas are full.
const CUSTOMER_IDLE_TIME: Seconds = 10.0;
/// A longer gap in this node's own clock is a stall: timers come every monitor interval.
const STALL: Seconds = 0.4;
/// Log lines that a process may write.
const MAX_LOG_LINES: u32 = 60;
/// Incarnations are drawn below this: 24 bits, as messages carry them.
const INCARNATIONS: u32 = 1 << 24;

/// Timer of the monitor interval.
const MONITOR_TIMER: u64 = 1;
/// Timer after which a failed watch is opened again.
const WATCH_TIMER: u64 = 2;

impl DecisionPolicy {
    /// The policy of a node that starts now.
    pub fn new(settings: PolicySettings, seed: u64, now_ns: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let now = seconds(now_ns);
        let incarnation = rng.random_range(0..INCARNATIONS);
        let next_gossip_at = now + POOL_INTERVAL * rng.random::<f64>();
        let tiers = settings.plans.len() * settings.classes.len();
        DecisionPolicy {
            started_at: now,
            last_event_at: 0.0,
            resumed_at: 0.0,
            ladder: Ladder::at_first_filter(tiers, RATE_MEMORY),
            quotas: QuotaTable {
                next_report_at: now,
                next_aggregate_at: now,
                next_sweep_at: now + CUSTOMER_IDLE_TIME,
                ..QuotaTable::default()
            },
            endpoints: EndpointTable::default(),
            pending: BTreeMap::new(),
            latency: LatencyEstimator::new(settings.classes.len(), settings.machine_type_count),
            retry_budget: RetryBudget::new(),
            arrivals: DecayingRate::default(),
            load: PooledLoad {
                next_gossip_at,
                ..PooledLoad::default()
            },
            peers: PeerState {
                incarnation,
                ..PeerState::default()
            },
            watch_backoff: FIRST_WATCH_BACKOFF,
            log_lines: 0,
            settings,
            rng,
        }
    }

    /// Takes in one event; what is to be done is appended to `actions`.
    pub fn handle(&mut self, now_ns: u64, event: Event, actions: &mut Vec<Action>) {
        let now = seconds(now_ns);
        if self.last_event_at == 0.0 {
            self.start(now, actions);
        }
        if now - self.last_event_at > STALL {
            self.resumed_at = now;
        }
        self.last_event_at = now;
        match event {
            Event::EndpointUpdate(EndpointUpdateKind::Failed, _) => self.watch_failed(actions),
            Event::EndpointUpdate(kind, entries) => self.endpoints_updated(now, kind, &entries),
            Event::ReturnedToService(endpoint) => self.returned_to_service(now, endpoint),
            Event::ZoneTrafficShares(shares) => self.endpoints.zone_shares = shares,
            Event::Request(request) => self.request_received(now, &request, actions),
            Event::AttemptFinished(result) => self.attempt_finished(now, &result, actions),
            Event::ClientDisconnected(request) => self.client_disconnected(request, actions),
            Event::TimerExpired(MONITOR_TIMER) => self.monitor(now, actions),
            Event::TimerExpired(WATCH_TIMER) => actions.push(Action::WatchEndpoints(true)),
            Event::PeerMessage { from, text } => self.peer_message(now, from, &text, actions),
            Event::ResponseStarted { request, .. } => {
                if let Some(pending) = self.pending.get_mut(&request) {
                    pending.deadline = f64::INFINITY;
                }
            }
            Event::TimerExpired(_) | Event::HealthChecked { .. } | Event::CounterRead { .. } => {}
        }
        if !self.quotas.unreported.is_empty() && now >= self.quotas.next_report_at {
            let context = GossipContext::new(&self.settings, &self.peers, now);
            report_usage(context, &mut self.quotas, actions);
        }
    }

    fn start(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        self.last_event_at = now;
        actions.push(Action::SetTimer {
            after_ns: nanoseconds(MONITOR_INTERVAL),
            token: MONITOR_TIMER,
        });
        if self.settings.watch_endpoints {
            actions.push(Action::WatchEndpoints(true));
        }
    }

    fn endpoints_updated(&mut self, now: Seconds, kind: EndpointUpdateKind, entries: &[Endpoint]) {
        self.update_endpoints(now, kind, entries);
        self.assign_subset();
        self.watch_backoff = FIRST_WATCH_BACKOFF;
    }

    fn watch_failed(&mut self, actions: &mut Vec<Action>) {
        let after_ns = nanoseconds(self.watch_backoff);
        self.watch_backoff = (self.watch_backoff * 2.0).min(LONGEST_WATCH_BACKOFF);
        if self.settings.watch_endpoints {
            actions.push(Action::SetTimer {
                after_ns,
                token: WATCH_TIMER,
            });
        }
    }

    /// An endpoint that was in maintenance: it was restarted, so it is in slow start; and it is due
    /// an attempt if it ever had one.
    fn returned_to_service(&mut self, now: Seconds, endpoint: Endpoint) {
        let endpoint = Endpoint {
            started_at_ns: Some(nanoseconds(now)),
            ..endpoint
        };
        let index = self.endpoints.indexes.get(&endpoint.id).copied();
        self.endpoints_updated(now, EndpointUpdateKind::Delta, &[endpoint]);
        if let Some(index) = index {
            let record = &mut self.endpoints.records[index];
            record.awaits_first_attempt = record.last_response_at > 0.0;
            record.ejected_until = 0.0;
        }
    }

    /// Each monitor interval: the load, gossip that is due, and what can be forgotten.
    fn monitor(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer {
            after_ns: nanoseconds(MONITOR_INTERVAL),
            token: MONITOR_TIMER,
        });
        self.measure_interval(now);
        let seen = self.load_seen(now);
        let is_pooled = self.is_large_fleet();
        if let Some(change) = self.ladder.end_interval(now, &seen, is_pooled) {
            self.log(change.to_string(), actions);
        }
        let window = seconds(self.settings.overload_window_ns);
        for record in &mut self.endpoints.records {
            record.forget_attempts_before(now, window);
        }
        let has_peers = self.settings.gossip_enabled && self.settings.node_count > 1;
        if has_peers && now >= self.load.next_gossip_at {
            self.load.next_gossip_at = now + POOL_INTERVAL;
            let is_large_fleet = self.is_large_fleet();
            let context = GossipContext::new(&self.settings, &self.peers, now);
            if is_large_fleet {
                send_load_statistics(context, &mut self.load, &mut self.rng, actions);
            }
            grant_ceiling(context, &mut self.quotas, actions);
        }
        let is_full = self.quotas.customers.len() > MAX_CUSTOMERS;
        if now >= self.quotas.next_sweep_at || is_full {
            self.quotas.next_sweep_at = now + CUSTOMER_IDLE_TIME;
            let plans = &self.settings.plans;
            self.quotas.forget_idle(now, CUSTOMER_IDLE_TIME, plans);
        }
    }

    /// Cancels what is in flight for a client that has gone.
    fn client_disconnected(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.pending.remove(&id) else {
            return;
        };
        self.release(&request);
        if !self.settings.cancellation_allowed {
            return;
        }
        for index in request.attempted_endpoints {
            for attempt in &self.endpoints.records[index].in_flight {
                if attempt.request == id {
                    actions.push(Action::CancelAttempt {
                        request: id,
                        attempt: attempt.attempt,
                    });
                }
            }
        }
    }

    /// Takes in a peer's message; one that is malformed in any part changes nothing.
    fn peer_message(&mut self, now: Seconds, from: u32, text: &str, actions: &mut Vec<Action>) {
        let Some(message) = codec::decode(text) else {
            return;
        };
        if from >= self.settings.node_count || from == self.settings.node {
            return;
        }
        if self.peers.peer_restarted(from, message.incarnation) {
            self.quotas.restart_totals_of(from);
        }
        for received in message.records {
            if let Record::Statistics(statistics) = received.record {
                self.receive_load_statistics(now, &statistics);
                continue;
            }
            let context = GossipContext::new(&self.settings, &self.peers, now);
            let (quotas, rng) = (&mut self.quotas, &mut self.rng);
            let started_at = self.started_at;
            receive_customer_record(context, quotas, from, received, started_at, rng, actions);
            self.send_aggregate_if_due(now, received.customer, actions);
        }
    }

    /// As a customer's aggregator, sends its nodes the sum where what they were sent no longer
    /// holds.
    pub(crate) fn send_aggregate_if_due(
        &mut self,
        now: Seconds,
        customer: u32,
        actions: &mut Vec<Action>,
    ) {
        let record = self.quotas.customers.get(&customer);
        let Some(plan) = record.and_then(|record| record.plan) else {
            return;
        };
        let pace = self.concurrency_pace(&self.settings.plans[plan]);
        let context = GossipContext::new(&self.settings, &self.peers, now);
        send_aggregate(context, &mut self.quotas, customer, pace, actions);
    }

    fn log(&mut self, line: String, actions: &mut Vec<Action>) {
        self.log_lines += 1;
        if self.log_lines <= MAX_LOG_LINES {
            actions.push(Action::Log(line));
        }
    }
}
