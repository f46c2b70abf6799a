//! A simulated fleet in virtual time: lossy, delayed datagrams and a list service of limited capacity.

use std::collections::BTreeMap;

use applewall_startup_scheduler::{
    CallFailure, Input, ListState, Message, OutgoingMessage, Output, Settings, Start,
    StartupScheduler,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Virtual time between two steps, s.
const STEP: f64 = 0.005;
/// Virtual time after which a simulation ends in any case, s.
const MAX_DURATION: f64 = 600.0;
/// Unix time of virtual time 0, s.
pub(crate) const UNIX_TIME_OF_ZERO: f64 = 1.7e9;
/// How long a call waits for an answer, s.
pub(crate) const CALL_TIMEOUT: f64 = 2.0;
/// Revision of the list that the service has.
const CURRENT_REVISION: u64 = 9;
/// Revision of the lists that nodes restore.
const RESTORED_REVISION: u64 = 7;

/// A scenario: a fleet, the capacity of the list service, and what goes wrong.
#[derive(Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) fleet_size: u32,
    /// The budget that the nodes are configured with.
    pub(crate) calls_per_s: f64,
    /// The service's real capacity, relative to the configured budget.
    pub(crate) capacity: f64,
    /// Fraction of datagrams that are lost.
    pub(crate) loss: f64,
    /// Longest delay of a datagram, s.
    pub(crate) max_delay: f64,
    /// Fraction of the starting nodes that restore a list.
    pub(crate) restored: f64,
    /// Fraction of the fleet that keeps running.
    pub(crate) running: f64,
    /// The service does not answer before this time, s.
    pub(crate) silent_until: f64,
    /// Whether the service then answers, or rejects, all calls that still wait.
    pub(crate) answers_held_calls: bool,
    /// The nodes start one after the other over this time, s.
    pub(crate) start_spread: f64,
    pub(crate) seed: u64,
}

/// A fleet of 300 in which all nodes start at once and without a list.
pub(crate) const ALL_COLD: Scenario = Scenario {
    fleet_size: 300,
    calls_per_s: 60.0,
    capacity: 1.1,
    loss: 0.05,
    max_delay: 0.035,
    restored: 0.0,
    running: 0.0,
    silent_until: 0.0,
    answers_held_calls: false,
    start_spread: 0.0,
    seed: 1,
};

/// What happened in a simulation.
#[derive(Debug, Default)]
pub(crate) struct Observed {
    /// When each starting node got its list.
    pub(crate) listed_at: BTreeMap<u32, f64>,
    /// Times of all calls.
    pub(crate) calls: Vec<f64>,
    /// Calls that were rejected.
    pub(crate) rejected: u32,
    /// Times at which each node received messages.
    received: BTreeMap<u32, Vec<f64>>,
}

/// The most of these times that lie within a span.
fn most_within(times: &[f64], span: f64) -> usize {
    let from = |(index, start): (usize, &f64)| {
        times[index..]
            .iter()
            .take_while(|time| **time < start + span)
            .count()
    };
    times.iter().enumerate().map(from).max().unwrap_or(0)
}

impl Observed {
    /// The most calls within a span.
    pub(crate) fn max_calls(&self, span: f64) -> usize {
        most_within(&self.calls, span)
    }

    /// The most messages that one node received within a second.
    pub(crate) fn max_messages_per_s(&self) -> usize {
        self.received
            .values()
            .map(|times| most_within(times, 1.0))
            .max()
            .unwrap_or(0)
    }

    /// When the last node got its list.
    pub(crate) fn last_list_at(&self) -> f64 {
        self.listed_at.values().copied().fold(0.0, f64::max)
    }
}

/// A datagram under way.
struct Datagram {
    from: u32,
    to: u32,
    text: String,
}

struct Simulation {
    scenario: Scenario,
    rng: SmallRng,
    now: f64,
    nodes: Vec<StartupScheduler>,
    started_at: Vec<f64>,
    /// By arrival in microseconds, and a random number.
    datagrams: BTreeMap<(u64, u64), Datagram>,
    /// Started nodes and their next call; none while the first call is to come.
    next_calls: BTreeMap<u32, Option<f64>>,
    /// When each call began that has no answer yet.
    waiting_calls: BTreeMap<u32, f64>,
    /// Calls that the service can answer now.
    tokens: f64,
    observed: Observed,
}

impl Scenario {
    /// Nodes that keep running: those with the lowest numbers.
    fn running_nodes(&self) -> u32 {
        (f64::from(self.fleet_size) * self.running) as u32
    }

    /// Simulates the scenario until all nodes have their list.
    pub(crate) fn run(self) -> Observed {
        let mut simulation = Simulation::new(self);
        let starting = (self.fleet_size - self.running_nodes()) as usize;
        while simulation.now < MAX_DURATION && simulation.observed.listed_at.len() < starting {
            simulation.step();
        }
        simulation.observed
    }
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let mut rng = SmallRng::seed_from_u64(scenario.seed);
        let running = scenario.running_nodes();
        let fleet_size = scenario.fleet_size;
        let mut started_at: Vec<f64> = (0..fleet_size)
            .map(|node| {
                scenario.start_spread * f64::from(node * 37 % fleet_size) / f64::from(fleet_size)
            })
            .collect();
        started_at[..running as usize].fill(-100.0);
        let settings = Settings {
            calls_per_s: scenario.calls_per_s,
            ..Settings::default()
        };
        let nodes = (0..fleet_size)
            .map(|node| {
                let list = if node < running {
                    ListState::Confirmed(CURRENT_REVISION)
                } else if rng.random_bool(scenario.restored) {
                    ListState::Restored(RESTORED_REVISION)
                } else {
                    ListState::Missing
                };
                let start = Start {
                    node,
                    fleet_size,
                    list,
                    seed: rng.random(),
                    now: started_at[node as usize],
                    unix_time_of_zero: UNIX_TIME_OF_ZERO,
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
            observed: Observed::default(),
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let capacity = self.scenario.calls_per_s * self.scenario.capacity;
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
        self.nodes[node as usize].handle(self.now, input)
    }

    fn send(&mut self, from: u32, messages: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, message } in messages {
            if self.rng.random_bool(self.scenario.loss) {
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
                self.send(node, output.messages);
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
            // A node that is not up yet receives nothing.
            if self.started_at[to as usize] >= self.now {
                continue;
            }
            self.observed.received.entry(to).or_default().push(self.now);
            let message = Message::decode(&text).expect("well-formed");
            let output = self.handle(to, Input::MessageReceived { from, message });
            self.send(to, output.messages);
        }
    }

    fn gossip(&mut self) {
        // No node's start lasts longer than that.
        if self.now >= self.scenario.start_spread + 2.1 {
            return;
        }
        let started: Vec<u32> = self.next_calls.keys().copied().collect();
        for node in started {
            let output = self.handle(node, Input::GossipTimer);
            self.send(node, output.messages);
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
        // After the list, one watch, whose answer counts as one with changes.
        let is_first = !self.observed.listed_at.contains_key(&node);
        let next = if is_first {
            watch_at
        } else {
            Some(f64::INFINITY)
        };
        self.next_calls.insert(node, next);
        self.observed.listed_at.entry(node).or_insert(self.now);
    }

    fn fail_call(&mut self, node: u32, duration: f64, rejected: bool) {
        let failure = CallFailure {
            duration,
            rejected,
            retry_after: None,
        };
        let next = self.handle(node, Input::CallFailed(failure)).next_call_at;
        self.next_calls.insert(node, next);
    }

    /// When the call began that the service answers or rejects now, if it does either.
    fn answered_call(&mut self, node: u32) -> Option<f64> {
        let next = self.next_calls[&node];
        let next = next.unwrap_or_else(|| self.nodes[node as usize].first_call_at(self.now));
        let is_silent = self.now < self.scenario.silent_until;
        match self.waiting_calls.get(&node).copied() {
            Some(began) if self.now >= began + CALL_TIMEOUT => {
                self.waiting_calls.remove(&node);
                self.fail_call(node, CALL_TIMEOUT, false);
                None
            }
            Some(began) => (self.scenario.answers_held_calls && !is_silent).then_some(began),
            None if next > self.now => None,
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
