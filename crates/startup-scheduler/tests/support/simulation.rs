//! The simulation of the nodes, their datagrams and their calls, in steps of virtual time.

use std::collections::BTreeMap;

use applewall_startup_scheduler::{
    CallFailure, Input, ListState, Message, NodeId, OutgoingMessage, Output, Settings, Start,
    StartupScheduler, TimeSpan, Timestamp,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::observed::Observed;
use super::scenario::Scenario;

/// Time step of the simulation, s.
const STEP: f64 = 0.005;
/// Maximum virtual duration of a simulation, s.
const MAX_DURATION: f64 = 600.0;
/// Unix time of virtual time 0, s.
const UNIX_TIME_OF_ORIGIN: f64 = 1.7e9;
/// Start time of the running nodes, s: long enough ago for their startup to be over.
const RUNNING_SINCE: f64 = -100.0;
/// Time after its start during which a node gossips, plus a margin, s.
const MAX_GOSSIP_PERIOD: f64 = 2.1;
/// Timeout of a call, s.
pub(crate) const CALL_TIMEOUT: f64 = 2.0;
/// Revision of the service's list.
const CURRENT_REVISION: u64 = 9;
/// Revision of the lists that nodes restore.
const RESTORED_REVISION: u64 = 7;

/// A datagram in flight.
struct Datagram {
    from: NodeId,
    to: NodeId,
    text: String,
}

pub(super) struct Simulation {
    scenario: Scenario,
    rng: SmallRng,
    now: f64,
    nodes: Vec<StartupScheduler>,
    started_at: Vec<f64>,
    /// Ordered by time of arrival in microseconds, with a random number as tie-breaker.
    datagrams: BTreeMap<(u64, u64), Datagram>,
    /// Time of the next call of each started node; `None` before its first call.
    next_calls: BTreeMap<u32, Option<Timestamp>>,
    /// Start times of the calls without an answer, by node.
    waiting_calls: BTreeMap<u32, f64>,
    /// Token bucket of the service: the number of calls that it can answer now.
    tokens: f64,
    pub(super) observed: Observed,
}

impl Simulation {
    pub(super) fn new(scenario: Scenario) -> Self {
        let mut rng = SmallRng::seed_from_u64(scenario.seed);
        let mut observed = Observed::default();
        let running = scenario.running_nodes();
        let fleet_size = scenario.fleet_size;
        let mut started_at: Vec<f64> = (0..fleet_size)
            .map(|node| {
                scenario.start_stagger * f64::from(node * 37 % fleet_size) / f64::from(fleet_size)
            })
            .collect();
        started_at[..running as usize].fill(RUNNING_SINCE);
        let settings = Settings {
            calls_per_s: scenario.calls_per_second,
            ..Settings::default()
        };
        let nodes = (0..fleet_size)
            .map(|node| {
                let list = if node < running {
                    ListState::Confirmed(CURRENT_REVISION)
                } else if rng.random_bool(scenario.restored_fraction) {
                    observed.restored.insert(node);
                    ListState::Restored(RESTORED_REVISION)
                } else {
                    ListState::Missing
                };
                let start = Start {
                    node: NodeId(node),
                    fleet_size,
                    list,
                    seed: rng.random(),
                    now: Timestamp::from_seconds(started_at[node as usize]),
                    unix_time_of_origin: TimeSpan::from_seconds(UNIX_TIME_OF_ORIGIN),
                };
                StartupScheduler::new(&settings, start)
            })
            .collect();
        Simulation {
            scenario,
            rng,
            now: 0.0,
            nodes,
            started_at,
            datagrams: BTreeMap::new(),
            next_calls: BTreeMap::new(),
            waiting_calls: BTreeMap::new(),
            tokens: 1.0,
            observed,
        }
    }

    /// Runs until all nodes have their list or the maximum duration is over.
    pub(super) fn run(&mut self) {
        let starting = self.scenario.starting_nodes() as usize;
        while self.now < MAX_DURATION && self.observed.listed_at.len() < starting {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let capacity = self.scenario.calls_per_second * self.scenario.capacity;
        self.tokens = (self.tokens + STEP * capacity).min((capacity / 10.0).max(1.0));
        self.start_nodes();
        self.deliver_datagrams();
        self.gossip();
        let started: Vec<u32> = self.next_calls.keys().copied().collect();
        for node in started {
            self.call_if_due(node);
        }
    }

    fn handle(&mut self, node: u32, input: Input) -> Output {
        self.nodes[node as usize].handle(Timestamp::from_seconds(self.now), input)
    }

    fn send(&mut self, from: NodeId, messages: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, message } in messages {
            if self.rng.random_bool(self.scenario.loss_fraction) {
                continue;
            }
            let delay = self.rng.random::<f64>() * self.scenario.max_delay;
            let arrival_us = ((self.now + delay) * 1e6) as u64;
            let text = message.encode();
            let key = (arrival_us, self.rng.random());
            self.datagrams.insert(key, Datagram { from, to, text });
        }
    }

    fn start_nodes(&mut self) {
        for node in self.scenario.running_nodes()..self.scenario.fleet_size {
            let is_up = self.started_at[node as usize] < self.now;
            if is_up && !self.next_calls.contains_key(&node) {
                let output = self.handle(node, Input::Started);
                self.send(NodeId(node), output.messages);
                self.next_calls.insert(node, None);
            }
        }
    }

    fn deliver_datagrams(&mut self) {
        loop {
            let now_us = self.now * 1e6;
            let first = self.datagrams.first_entry();
            let Some(first) = first.filter(|entry| entry.key().0 as f64 <= now_us) else {
                return;
            };
            let Datagram { from, to, text } = first.remove();
            // A node that has not started yet receives nothing.
            if self.started_at[to.index()] >= self.now {
                continue;
            }
            self.observed
                .received
                .entry(to.0)
                .or_default()
                .push(self.now);
            let message = Message::decode(&text).expect("well-formed");
            let output = self.handle(to.0, Input::MessageReceived { from, message });
            self.send(to, output.messages);
        }
    }

    fn gossip(&mut self) {
        if self.now >= self.scenario.start_stagger + MAX_GOSSIP_PERIOD {
            return;
        }
        let started: Vec<u32> = self.next_calls.keys().copied().collect();
        for node in started {
            let output = self.handle(node, Input::GossipTimer);
            self.send(NodeId(node), output.messages);
        }
    }

    fn call_if_due(&mut self, node: u32) {
        let Some(began) = self.answered_call(node) else {
            return;
        };
        self.waiting_calls.remove(&node);
        if self.tokens < 1.0 {
            self.observed.rejected += 1;
            self.fail_call(node, self.now - began, true);
            return;
        }
        self.tokens -= 1.0;
        let answered = Input::CallAnswered {
            revision: CURRENT_REVISION,
            changed: true,
        };
        let watch_at = self.handle(node, answered).next_call_at;
        // After its first answer, each node makes one watch, which is also answered as changed, and no further call.
        let is_first = !self.observed.listed_at.contains_key(&node);
        let next = if is_first {
            watch_at
        } else {
            Some(Timestamp::from_seconds(f64::INFINITY))
        };
        self.next_calls.insert(node, next);
        self.observed.listed_at.entry(node).or_insert(self.now);
    }

    fn fail_call(&mut self, node: u32, duration: f64, rejected: bool) {
        let failure = CallFailure {
            duration: TimeSpan::from_seconds(duration),
            rejected,
            retry_after: None,
        };
        let next = self.handle(node, Input::CallFailed(failure)).next_call_at;
        self.next_calls.insert(node, next);
    }

    /// Processes the node's timeouts and due calls. Returns the start time of a call that the service answers or rejects
    /// now.
    fn answered_call(&mut self, node: u32) -> Option<f64> {
        let now = Timestamp::from_seconds(self.now);
        let next = self.next_calls[&node];
        let next = next.unwrap_or_else(|| self.nodes[node as usize].first_call_at(now));
        let is_silent = self.now < self.scenario.silent_until;
        match self.waiting_calls.get(&node).copied() {
            Some(began) if self.now >= began + CALL_TIMEOUT => {
                self.waiting_calls.remove(&node);
                self.fail_call(node, CALL_TIMEOUT, false);
                None
            }
            Some(began) => (self.scenario.answers_queued_calls && !is_silent).then_some(began),
            None if next > now => None,
            None => {
                self.observed.calls.push(self.now);
                if is_silent {
                    self.waiting_calls.insert(node, self.now);
                    return None;
                }
                Some(self.now)
            }
        }
    }
}
