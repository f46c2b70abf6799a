//! Many nodes of the decision policy with their network and endpoints, without the daemon, in virtual time.

use std::collections::VecDeque;

use applewall::api::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};

use super::policy::{endpoint, PolicyDriver, MILLISECOND};

pub(crate) const NODES: u32 = 160;
pub(crate) const STEP_NS: u64 = 20 * MILLISECOND;

/// Delay of a gossip message.
const GOSSIP_DELAY_NS: u64 = 20 * MILLISECOND;
/// Fraction of gossip messages that are lost.
const GOSSIP_LOSS: f64 = 0.05;

/// An attempt in flight, with its end.
#[derive(Clone)]
pub(crate) struct PendingAttempt {
    pub(crate) ends_at_ns: u64,
    pub(crate) node: usize,
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
    pub(crate) endpoint: EndpointId,
    pub(crate) outcome: Outcome,
    pub(crate) latency_ms: u64,
}

/// A gossip message on its way.
pub(crate) struct GossipMessage {
    pub(crate) arrives_at_ns: u64,
    pub(crate) from: NodeId,
    pub(crate) to: NodeId,
    pub(crate) text: String,
}

/// How the attempt of a request at an endpoint ends, and after how many milliseconds.
pub(crate) type AttemptEnd<'a> = dyn Fn(&EndpointId, RequestId) -> (Outcome, u64) + 'a;

/// Nodes with a slow and lossy network between them, and endpoints that respond after a latency.
pub(crate) struct PolicyFleet {
    pub(crate) rng: SmallRng,
    pub(crate) settings: PolicySettings,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) nodes: Vec<PolicyDriver>,
    pub(crate) gossip_in_flight: VecDeque<GossipMessage>,
    pub(crate) attempts: Vec<PendingAttempt>,
    pub(crate) gossip_delivered: u32,
}

impl PolicyFleet {
    pub(crate) fn new(seed: u64, settings: PolicySettings, endpoint_count: usize) -> Self {
        PolicyFleet::with_nodes(NODES, seed, settings, endpoint_count)
    }

    /// A fleet of `node_count` nodes.
    pub(crate) fn with_nodes(
        node_count: u32,
        seed: u64,
        settings: PolicySettings,
        endpoint_count: usize,
    ) -> Self {
        let endpoints: Vec<Endpoint> = (0..endpoint_count)
            .map(|number| endpoint(&format!("b{number}"), number as u32 % 3))
            .collect();
        let settings = PolicySettings {
            node_count,
            gossip_messages_per_second: 40.0,
            ..settings
        };
        let node = |number| {
            let settings = PolicySettings {
                node: NodeId(number),
                ..settings.clone()
            };
            PolicyDriver::new(settings, seed << 16 | u64::from(number), &endpoints)
        };
        let nodes = (0..node_count).map(node).collect();
        let rng = SmallRng::seed_from_u64(seed);
        PolicyFleet {
            rng,
            settings,
            endpoints,
            nodes,
            gossip_in_flight: VecDeque::new(),
            attempts: vec![],
            gossip_delivered: 0,
        }
    }

    pub(crate) fn now(&self) -> u64 {
        self.nodes[0].now
    }

    /// Restarts a node without any state.
    pub(crate) fn restart(&mut self, node: usize) {
        let settings = PolicySettings {
            node: NodeId(node as u32),
            ..self.settings.clone()
        };
        self.nodes[node] =
            PolicyDriver::at(self.now(), settings, self.rng.random(), &self.endpoints);
        self.attempts.retain(|attempt| attempt.node != node);
    }

    /// Starts the attempts among the actions of a node; `end` decides how they end.
    pub(crate) fn start_attempts(&mut self, node: usize, actions: &[Action], end: &AttemptEnd<'_>) {
        for action in actions {
            let Action::StartAttempt {
                request, endpoint, ..
            } = action
            else {
                continue;
            };
            let same =
                |attempt: &&PendingAttempt| attempt.node == node && attempt.request == *request;
            let attempt = self.attempts.iter().filter(same).count() as u32;
            let (outcome, latency_ms) = end(endpoint, *request);
            self.attempts.push(PendingAttempt {
                ends_at_ns: self.now() + latency_ms * MILLISECOND,
                node,
                request: *request,
                attempt,
                endpoint: endpoint.clone(),
                outcome,
                latency_ms,
            });
        }
    }

    /// Moves the clock by one step: timers expire, attempts end, gossip messages are sent and delivered.
    pub(crate) fn step(&mut self, end: &AttemptEnd<'_>) {
        for node in 0..self.nodes.len() {
            let actions = self.nodes[node].advance(STEP_NS);
            self.start_attempts(node, &actions, end);
        }
        let now = self.now();
        let due = |attempt: &&PendingAttempt| attempt.ends_at_ns <= now;
        let due: Vec<_> = self.attempts.iter().filter(due).cloned().collect();
        self.attempts.retain(|attempt| attempt.ends_at_ns > now);
        for ended in due {
            let actions = self.nodes[ended.node].finish_attempt(
                ended.request,
                ended.attempt,
                &ended.endpoint,
                ended.outcome,
                ended.latency_ms,
            );
            self.start_attempts(ended.node, &actions, end);
        }
        self.send_gossip(now);
        self.deliver_gossip(now);
    }

    fn send_gossip(&mut self, now: u64) {
        for from in 0..self.nodes.len() {
            for (peer, text) in std::mem::take(&mut self.nodes[from].gossip) {
                self.gossip_in_flight.push_back(GossipMessage {
                    arrives_at_ns: now + GOSSIP_DELAY_NS,
                    from: NodeId(from as u32),
                    to: peer.expect("no message goes to all of a large fleet"),
                    text,
                });
            }
        }
    }

    fn deliver_gossip(&mut self, now: u64) {
        let arrived = |message: &GossipMessage| message.arrives_at_ns <= now;
        while self.gossip_in_flight.front().is_some_and(arrived) {
            let Some(message) = self.gossip_in_flight.pop_front() else {
                break;
            };
            if self.rng.random::<f64>() > GOSSIP_LOSS {
                self.gossip_delivered += 1;
                let GossipMessage { from, to, text, .. } = message;
                self.nodes[to.0 as usize].handle(Event::PeerMessage { from, text });
            }
        }
    }
}

pub(crate) fn always_succeeds(_: &EndpointId, _: RequestId) -> (Outcome, u64) {
    (Outcome::Success, 60)
}

/// Encodes a gossip message with the nine numbers of load statistics.
pub(crate) fn encode_load_statistics(values: [f64; 9]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    let code = |value: f64| {
        if value < 0.001 {
            0
        } else {
            ((value / 0.001).ln() / 1.005f64.ln()).round() as usize + 1
        }
    };
    let digits =
        |value: &f64| [code(*value) >> 6, code(*value) & 63].map(|digit| char::from(DIGITS[digit]));
    "pAAAAAAAAA"
        .chars()
        .chain(values.iter().flat_map(digits))
        .collect()
}
