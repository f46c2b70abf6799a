//! Several nodes of the decision policy in virtual time: requests, attempts, datagrams and timers are drawn from a seed, and
//! all actions are hashed in their order.

mod digest;

use std::fmt::Write as _;

use applewall::api::*;
use applewall::decision::DecisionPolicy;
use rand::{rngs::SmallRng, Rng, SeedableRng};

use crate::support::policy::{endpoint, settings, MILLISECOND, SECOND};
use digest::Digest;

const ENDPOINTS: u32 = 9;
pub(crate) const TICK: u64 = 10 * MILLISECOND;

/// An attempt in flight, with its end.
pub(crate) struct InFlightAttempt {
    pub(crate) ends_at: u64,
    pub(crate) node: usize,
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
    pub(crate) endpoint: EndpointId,
    pub(crate) outcome: Outcome,
    pub(crate) latency: u64,
}

pub(crate) struct Datagram {
    pub(crate) arrives_at: u64,
    pub(crate) from: NodeId,
    pub(crate) to: NodeId,
    pub(crate) text: String,
}

/// Behavior of endpoints, network and clients during a section. Fractions are in percent.
#[derive(Clone, Copy, Default)]
pub(crate) struct Conditions {
    /// Attempts that end as overloaded.
    pub(crate) overloaded: u32,
    /// Attempts that end in failure.
    pub(crate) failed: u32,
    /// Attempts that time out.
    pub(crate) timed_out: u32,
    /// Attempts whose connection is reset.
    pub(crate) reset: u32,
    /// Attempts whose connection is not established.
    pub(crate) connect_failed: u32,
    /// Latency added to every response.
    pub(crate) added_latency_ms: u64,
    /// Datagrams that are lost.
    pub(crate) datagrams_lost: u32,
    /// Longest delay of a datagram.
    pub(crate) max_datagram_delay_ms: u64,
    /// Requests that a node gets in each tick.
    pub(crate) demand: u32,
    /// Number of an endpoint that fails all attempts.
    pub(crate) failing_endpoint: Option<u32>,
    /// Clients that disconnect before their response.
    pub(crate) disconnecting: u32,
}

/// A simulated fleet of decision policies.
pub(crate) struct Simulation {
    pub(crate) rng: SmallRng,
    pub(crate) settings: PolicySettings,
    pub(crate) policies: Vec<DecisionPolicy>,
    pub(crate) now: u64,
    pub(crate) last_request: u64,
    /// Times, nodes and tokens.
    pub(crate) timers: Vec<(u64, usize, u64)>,
    pub(crate) in_flight: Vec<InFlightAttempt>,
    pub(crate) datagrams: Vec<Datagram>,
    pub(crate) digest: Digest,
    /// Attempts, rejections, failures and gossip messages of the section.
    pub(crate) counts: [u32; 4],
}

pub(crate) fn plans() -> Vec<Plan> {
    let plan = |rate, burst, weight| Plan {
        quota_units_per_second: rate,
        quota_burst_units: burst,
        weight_multiplier: weight,
        over_quota_penalty_fraction: 0.5,
        ..Plan::default()
    };
    vec![
        plan(10.0, 20.0, 1.0),
        plan(1e6, 1e6, 3.0),
        Plan {
            ceiling_units_per_second: 20.0,
            ceiling_burst_units: 30.0,
            ceiling_slack_units: 4.0,
            ..plan(8.0, 12.0, 2.0)
        },
        Plan {
            max_concurrency: Some(3),
            over_quota_weight_fraction: 0.9,
            ..plan(15.0, 30.0, 1.5)
        },
    ]
}

/// All endpoints; `started` has the number of one with a start time, and that time.
pub(crate) fn endpoints(started: Option<(u32, u64)>, draining: &[u32]) -> Vec<Endpoint> {
    let endpoint = |number: u32| Endpoint {
        weight: 1.0 + f64::from(number % 3),
        machine_type: MachineTypeId(number % 2),
        cell: CellId(i64::from(number % 5)),
        started_at_ns: started
            .filter(|(which, _)| *which == number)
            .map(|(_, at)| at),
        state: if draining.contains(&number) {
            EndpointState::Draining
        } else {
            EndpointState::Ready
        },
        ..endpoint(&format!("b{number}"), number % 3)
    };
    (0..ENDPOINTS).map(endpoint).collect()
}

impl Simulation {
    /// A fleet of `node_count` nodes, of which the first `active_nodes` are simulated; the others are silent.
    pub(crate) fn new(
        seed: u64,
        node_count: u32,
        active_nodes: u32,
        messages_per_second: f64,
    ) -> Self {
        let settings = PolicySettings {
            node_count,
            plans: plans(),
            machine_type_count: 2,
            weighted_endpoints: true,
            watch_endpoints: true,
            gossip_messages_per_second: messages_per_second,
            cost_settled_after_response: true,
            max_retry_after_ns: Some(SECOND),
            ..settings()
        };
        let now = 1000 * SECOND;
        let settings_of = |node: u32| PolicySettings {
            node: NodeId(node),
            zone: ZoneId(node % 3),
            ..settings.clone()
        };
        let policies = (0..active_nodes)
            .map(|node| DecisionPolicy::new(settings_of(node), seed + u64::from(node), now))
            .collect();
        let mut simulation = Simulation {
            rng: SmallRng::seed_from_u64(seed),
            settings,
            policies,
            now,
            last_request: 0,
            timers: vec![],
            in_flight: vec![],
            datagrams: vec![],
            digest: Digest::new(),
            counts: [0; 4],
        };
        simulation.handle_at_all(|| {
            Event::EndpointUpdate(EndpointUpdateKind::Cached, endpoints(None, &[]).into())
        });
        simulation.handle_at_all(|| {
            Event::EndpointUpdate(EndpointUpdateKind::Snapshot, endpoints(None, &[]).into())
        });
        simulation
    }

    /// Handles an event at all nodes.
    pub(crate) fn handle_at_all(&mut self, event: impl Fn() -> Event) {
        for node in 0..self.policies.len() {
            self.handle(node, event(), Conditions::default());
        }
    }

    /// Handles an event at a node, and performs its actions.
    pub(crate) fn handle(&mut self, node: usize, event: Event, conditions: Conditions) {
        let mut actions = Vec::new();
        self.policies[node].handle(self.now, event, &mut actions);
        for action in actions {
            self.digest.number(node as u64);
            self.digest.action(&action);
            match action {
                Action::SetTimer { after_ns, token } => {
                    self.timers.push((self.now + after_ns, node, token));
                }
                Action::StartAttempt {
                    request,
                    endpoint,
                    timeout_ns,
                } => {
                    self.counts[0] += 1;
                    self.start_attempt(node, request, endpoint, timeout_ns, conditions);
                }
                Action::Reject { .. } => self.counts[1] += 1,
                Action::Fail(_) => self.counts[2] += 1,
                Action::SendGossip { peer, text } => {
                    self.counts[3] += 1;
                    let lost = self.rng.random_range(0..100) < conditions.datagrams_lost;
                    let delay_ms = self.rng.random_range(0..=conditions.max_datagram_delay_ms);
                    let receiver = peer.filter(|to| to.0 < self.policies.len() as u32 && !lost);
                    let arrives_at = self.now + (5 + delay_ms) * MILLISECOND;
                    let from = NodeId(node as u32);
                    self.datagrams.extend(receiver.map(|to| Datagram {
                        arrives_at,
                        from,
                        to,
                        text,
                    }));
                }
                _ => {}
            }
        }
    }

    /// Draws how an attempt ends and when.
    pub(crate) fn start_attempt(
        &mut self,
        node: usize,
        request: RequestId,
        endpoint: EndpointId,
        timeout_ns: Option<u64>,
        conditions: Conditions,
    ) {
        let is_of_request =
            |other: &&InFlightAttempt| other.node == node && other.request == request;
        let attempt = self
            .in_flight
            .iter()
            .filter(is_of_request)
            .map(|other| other.attempt + 1)
            .max()
            .unwrap_or(0);
        let draw = self.rng.random_range(0..100);
        let is_failing_endpoint = conditions
            .failing_endpoint
            .is_some_and(|number| *endpoint == *format!("b{number}"));
        let mut bound = 0;
        let mut within = |percent: u32| {
            bound += percent;
            draw < bound
        };
        let outcome = if is_failing_endpoint || within(conditions.failed) {
            Outcome::Failure
        } else if within(conditions.overloaded) {
            Outcome::Overloaded
        } else if within(conditions.timed_out) {
            Outcome::TimedOut
        } else if within(conditions.reset) {
            Outcome::ConnectionReset
        } else if within(conditions.connect_failed) {
            Outcome::ConnectFailed
        } else {
            Outcome::Success
        };
        let latency =
            (20 + self.rng.random_range(0..60) + conditions.added_latency_ms) * MILLISECOND;
        let latency = match outcome {
            Outcome::TimedOut => timeout_ns.unwrap_or(1900 * MILLISECOND),
            _ => timeout_ns.map_or(latency, |timeout| latency.min(timeout)),
        };
        let ends_at = self.now + latency;
        self.in_flight.push(InFlightAttempt {
            ends_at,
            node,
            request,
            attempt,
            endpoint,
            outcome,
            latency,
        });
    }

    /// Sends a random request through a node.
    pub(crate) fn send_request(&mut self, node: usize, conditions: Conditions) {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let plan = self.rng.random_range(0..4usize);
        // Node sets by plan: one node, the active nodes, or all.
        let node_set_size = [
            self.settings.node_count,
            1,
            self.policies.len() as u32,
            self.settings.node_count,
        ][plan];
        let request = Request {
            id,
            class: ClassId(self.rng.random_range(0..3)),
            plan: PlanId(plan),
            customer: format!("c{}-{plan}", self.rng.random_range(0..5)).into(),
            units: f64::from(self.rng.random_range(1..9u32)) / 2.0,
            time_left_ns: (500 + self.rng.random_range(0..1500)) * MILLISECOND,
            is_retry: self.rng.random_range(0..10) == 0,
            nodes: NodeSet {
                size: node_set_size,
                first: NodeId(if plan == 1 { node as u32 } else { 0 }),
            },
        };
        self.handle(node, Event::Request(request), conditions);
        if self.rng.random_range(0..100) < conditions.disconnecting {
            self.handle(node, Event::ClientDisconnected(id), conditions);
        }
    }

    /// Ends an attempt.
    pub(crate) fn finish_attempt(&mut self, ended: InFlightAttempt, conditions: Conditions) {
        let finished = AttemptResult {
            request: ended.request,
            attempt: ended.attempt,
            endpoint: ended.endpoint,
            outcome: ended.outcome,
            latency_ns: ended.latency,
            request_complete: ended.outcome == Outcome::Success,
            settled_units: (self.rng.random_range(0..4) == 0).then_some(2.5),
            load_report: vec![],
        };
        self.handle(ended.node, Event::AttemptFinished(finished), conditions);
    }

    /// Moves the clock; timers, datagrams and attempts that are due are handled, and requests are sent.
    pub(crate) fn advance(&mut self, time: u64, conditions: Conditions) {
        for _ in 0..time / TICK {
            self.now += TICK;
            while let Some(first) = (0..self.timers.len()).min_by_key(|index| self.timers[*index]) {
                if self.timers[first].0 > self.now {
                    break;
                }
                let (_, node, token) = self.timers.swap_remove(first);
                self.handle(node, Event::TimerExpired(token), conditions);
            }
            while let Some(index) = self
                .datagrams
                .iter()
                .position(|datagram| datagram.arrives_at <= self.now)
            {
                let Datagram { from, to, text, .. } = self.datagrams.remove(index);
                self.handle(to.0 as usize, Event::PeerMessage { from, text }, conditions);
            }
            while let Some(index) = self
                .in_flight
                .iter()
                .position(|attempt| attempt.ends_at <= self.now)
            {
                let ended = self.in_flight.remove(index);
                self.finish_attempt(ended, conditions);
            }
            for node in 0..self.policies.len() {
                let more = u32::from(self.rng.random_range(0..100) < conditions.demand % 100);
                (0..conditions.demand / 100 + more)
                    .for_each(|_| self.send_request(node, conditions));
            }
        }
    }

    /// Hot restart of a node: a first new process fails, and the old one resumes; a second one replaces it.
    pub(crate) fn hot_restart(&mut self, node: usize) {
        let _ = self.policies[node].export_snapshot().expect("exported");
        self.advance(
            300 * MILLISECOND,
            Conditions {
                demand: 30,
                ..Conditions::default()
            },
        );
        self.policies[node].resume();
        self.advance(
            300 * MILLISECOND,
            Conditions {
                demand: 30,
                ..Conditions::default()
            },
        );
        let bytes = self.policies[node].export_snapshot().expect("exported");
        self.digest.number(bytes.len() as u64);
        self.digest.bytes(&bytes);
        let number = node as u32;
        let settings = PolicySettings {
            node: NodeId(number),
            zone: ZoneId(number % 3),
            ..self.settings.clone()
        };
        let mut new_policy = DecisionPolicy::new(settings, 77, self.now);
        new_policy.import_snapshot(&bytes).expect("imported");
        self.policies[node] = new_policy;
        self.timers.retain(|timer| timer.1 != node);
        self.in_flight.retain(|attempt| attempt.node != node);
        self.handle(
            node,
            Event::EndpointUpdate(EndpointUpdateKind::Snapshot, endpoints(None, &[]).into()),
            Conditions::default(),
        );
    }

    /// Ends a section, and adds a line with its hash and counts.
    pub(crate) fn section(&mut self, lines: &mut String, name: &str) {
        let [attempts, rejections, failures, messages] = std::mem::take(&mut self.counts);
        let entries: usize = self.policies.iter().map(DecisionPolicy::entry_count).sum();
        self.digest.number(entries as u64);
        let hash = std::mem::replace(&mut self.digest, Digest::new()).0;
        let _ = writeln!(
            lines,
            "{name} {hash:016x} sent {attempts} refused {rejections} failed {failures} told {messages}"
        );
    }
}
