//! A simulated fleet in virtual time: nodes send requests to three zones and lossy, delayed messages to each other.

use std::collections::BTreeMap;

use applewall_zone_failover::{
    EndpointId, Input, NodeId, Observation, Settings, Start, Timestamp, ZoneEndpoints,
    ZoneFailover, ZoneId, ZoneMessage, ZonePhase, ZoneTransition,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time step of the simulation, s.
const STEP: f64 = 0.01;
/// Steps per evaluation interval of the core.
const STEPS_PER_INTERVAL: u64 = 10;
/// Number of zones.
pub(crate) const ZONES: usize = 3;
/// Number of endpoints in each zone.
const ENDPOINTS: u32 = 7;
/// Requests per second of the whole fleet, so that fleets of different sizes observe each endpoint about equally often.
const ALL_REQUESTS_PER_SECOND: f64 = 192.0;
/// Virtual time during which all zones serve before a test begins, s. Longer than a node's grace period.
const WARM_UP: f64 = 4.0;
/// Minimum delay of a message, s.
const MIN_DELAY: f64 = 0.002;

/// How an endpoint responds to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Behavior {
    Serves,
    /// Does not respond; overdue after 0.5 s.
    Silent,
    /// Responds after 2 s; known to be late after 0.8 s.
    Slow,
    /// Responds immediately with a failure.
    Fails,
}

impl Behavior {
    /// Time from sending a request until its outcome is known, s, and the outcome.
    fn outcome(self) -> (f64, Observation) {
        match self {
            Behavior::Serves => (0.08, Observation::Good),
            Behavior::Silent => (0.5, Observation::Dead),
            Behavior::Slow => (0.8, Observation::Failing),
            Behavior::Fails => (0.05, Observation::Failing),
        }
    }
}

/// The sending node of a request, and its destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Route {
    pub(crate) node: usize,
    pub(crate) zone: usize,
    pub(crate) endpoint: u32,
}

/// How the endpoints respond, depending on the route of the request.
pub(crate) type Behaviors<'a> = &'a dyn Fn(Route) -> Behavior;

/// An outcome that the sending node does not know yet.
struct PendingOutcome {
    route: Route,
    observation: Observation,
    sent_at: Timestamp,
}

/// A message in flight.
struct Datagram {
    from: usize,
    to: usize,
    text: String,
}

/// A phase transition on one node.
#[derive(Debug)]
pub(crate) struct LoggedTransition {
    pub(crate) node: usize,
    pub(crate) change: ZoneTransition,
    #[expect(
        dead_code,
        reason = "printed by failed assertions, by way of Debug alone"
    )]
    at: f64,
}

pub(crate) struct Fleet {
    pub(crate) now: f64,
    pub(crate) nodes: Vec<ZoneFailover>,
    /// Time until which each node is suspended.
    pub(crate) suspended_until: Vec<f64>,
    rng: SmallRng,
    /// Requests per second of one node.
    request_rate: f64,
    /// Fraction of messages that are lost.
    pub(crate) loss: f64,
    /// Maximum additional delay of a message, s.
    pub(crate) max_delay: f64,
    /// Ordered by time in microseconds, with a random number as tie-breaker.
    outcomes: BTreeMap<(u64, u64), PendingOutcome>,
    datagrams: BTreeMap<(u64, u64), Datagram>,
    /// Requests to each zone, per second of virtual time.
    pub(crate) requests: Vec<[u32; ZONES]>,
    /// Number of messages sent, lost ones included.
    pub(crate) messages: u64,
    pub(crate) transitions: Vec<LoggedTransition>,
}

impl Fleet {
    /// A fleet in which all zones are in use.
    pub(crate) fn new(size: usize, seed: u64) -> Self {
        let node_seed = |node: usize| seed ^ (node as u64) << 8;
        Fleet {
            now: 0.0,
            nodes: (0..size)
                .map(|node| new_node(size, node, node_seed(node), 0.0))
                .collect(),
            suspended_until: vec![0.0; size],
            rng: SmallRng::seed_from_u64(seed),
            request_rate: (ALL_REQUESTS_PER_SECOND / size as f64).max(1.0),
            loss: 0.05,
            max_delay: 0.035,
            outcomes: BTreeMap::new(),
            datagrams: BTreeMap::new(),
            requests: Vec::new(),
            messages: 0,
            transitions: Vec::new(),
        }
    }

    /// A fleet after the warm-up, in which all zones have served for longer than the grace period.
    pub(crate) fn serving(size: usize, seed: u64) -> Self {
        let mut fleet = Fleet::new(size, seed);
        fleet.run(WARM_UP, &|_| Behavior::Serves);
        fleet
    }

    /// Replaces a node by one that starts now.
    pub(crate) fn restart(&mut self, node: usize) {
        let seed: u64 = self.rng.random();
        let node_seed = seed ^ (node as u64) << 8;
        self.nodes[node] = new_node(self.nodes.len(), node, node_seed, self.now);
    }

    /// Simulates this many seconds.
    pub(crate) fn run(&mut self, seconds: f64, behaviors: Behaviors<'_>) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += STEP;
            let second = self.now as usize;
            let seconds = (second + 1).max(self.requests.len());
            self.requests.resize(seconds, [0; ZONES]);
            for node in 0..self.nodes.len() {
                let is_suspended = self.suspended_until[node] > self.now;
                if !is_suspended && self.rng.random_bool(self.request_rate * STEP) {
                    self.send_request(node, behaviors);
                }
            }
            self.observe_outcomes();
            self.deliver_messages();
            if ((self.now / STEP).round() as u64).is_multiple_of(STEPS_PER_INTERVAL) {
                self.end_interval();
            }
        }
    }

    /// The queue key of an event at this time.
    fn key(&mut self, at: f64) -> (u64, u64) {
        ((at * 1e6) as u64, self.rng.random())
    }

    fn send_request(&mut self, node: usize, behaviors: Behaviors<'_>) {
        let shares: Vec<f64> = (0..ZONES)
            .map(|zone| self.nodes[node].traffic_share(ZoneId(zone)))
            .collect();
        let mut draw = self.rng.random::<f64>() * shares.iter().sum::<f64>();
        let is_drawn = |zone: &usize| {
            draw -= shares[*zone];
            draw < 0.0
        };
        let zone = (0..ZONES).find(is_drawn).unwrap_or(0);
        let endpoint = self.rng.random_range(0..ENDPOINTS);
        self.requests[self.now as usize][zone] += 1;
        let route = Route {
            node,
            zone,
            endpoint,
        };
        let (after, observation) = behaviors(route).outcome();
        let key = self.key(self.now + after);
        let outcome = PendingOutcome {
            route,
            observation,
            sent_at: Timestamp::from_seconds(self.now),
        };
        self.outcomes.insert(key, outcome);
    }

    fn observe_outcomes(&mut self) {
        let now = self.now;
        let is_due = |key: &(u64, u64)| key.0 as f64 <= now * 1e6;
        while let Some(first) = self
            .outcomes
            .first_entry()
            .filter(|entry| is_due(entry.key()))
        {
            let PendingOutcome {
                route,
                observation,
                sent_at,
            } = first.remove();
            if self.suspended_until[route.node] <= now {
                let input = Input::AttemptObserved {
                    zone: ZoneId(route.zone),
                    endpoint: EndpointId(route.endpoint),
                    observation,
                    sent_at,
                };
                self.nodes[route.node].handle(Timestamp::from_seconds(now), input);
            }
        }
    }

    fn deliver_messages(&mut self) {
        let now = self.now;
        let is_due = |key: &(u64, u64)| key.0 as f64 <= now * 1e6;
        while let Some(first) = self
            .datagrams
            .first_entry()
            .filter(|entry| is_due(entry.key()))
        {
            let Datagram { from, to, text } = first.remove();
            if self.suspended_until[to] <= now {
                let message = ZoneMessage::decode(&text).expect("well-formed");
                self.receive(to, from as u32, message);
            }
        }
    }

    /// Delivers a message to a node.
    pub(crate) fn receive(&mut self, node: usize, from: u32, message: ZoneMessage) {
        let from = NodeId(from);
        let received = Input::MessageReceived { from, message };
        self.nodes[node].handle(Timestamp::from_seconds(self.now), received);
    }

    fn end_interval(&mut self) {
        for node in 0..self.nodes.len() {
            if self.suspended_until[node] > self.now {
                continue;
            }
            let output =
                self.nodes[node].handle(Timestamp::from_seconds(self.now), Input::IntervalElapsed);
            let logged = output
                .transitions
                .into_iter()
                .map(|change| LoggedTransition {
                    node,
                    change,
                    at: self.now,
                });
            self.transitions.extend(logged);
            for outgoing in output.messages {
                self.send(node, outgoing.to.index(), &outgoing.message);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &ZoneMessage) {
        self.messages += 1;
        let text = message.encode();
        assert!(text.len() <= 256);
        if self.rng.random_bool(self.loss) {
            return;
        }
        let delay = self.rng.random::<f64>() * self.max_delay;
        let key = self.key(self.now + MIN_DELAY + delay);
        self.datagrams.insert(key, Datagram { from, to, text });
    }

    /// Number of nodes that have ejected a zone.
    pub(crate) fn ejected(&self, zone: usize) -> usize {
        self.nodes
            .iter()
            .filter(|node| node.phase(ZoneId(zone)) == ZonePhase::Ejected)
            .count()
    }

    /// Number of transitions on all nodes except one.
    pub(crate) fn transitions_without(&self, node: usize) -> usize {
        let of_others = |logged: &&LoggedTransition| logged.node != node;
        self.transitions.iter().filter(of_others).count()
    }
}

fn new_node(fleet_size: usize, node: usize, seed: u64, now: f64) -> ZoneFailover {
    let names: Vec<String> = (0..ZONES).map(|zone| format!("z{zone}")).collect();
    let settings = Settings {
        most_out: 0.4,
        ..Settings::default()
    };
    let now = Timestamp::from_seconds(now);
    let start = Start {
        zone_names: &names,
        fleet_size: fleet_size as u32,
        node: NodeId(node as u32),
        seed,
        now,
    };
    let mut failover = ZoneFailover::new(&settings, start);
    let endpoints = names.into_iter().map(|zone| ZoneEndpoints {
        zone,
        endpoints: ENDPOINTS,
    });
    failover.handle(now, Input::EndpointsListed(endpoints.collect()));
    failover
}
