//! Many gateways with their network and backends, the modules alone, in virtual time.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::collections::VecDeque;

use applewall::api::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};

use super::policy::{endpoint, PolicyDriver, MILLISECOND};

pub(crate) const NODES: u32 = 160;
pub(crate) const STEP_NS: u64 = 20 * MILLISECOND;

/// Gateways with a lossy, late network between them and backends that answer after a while.
pub(crate) struct PolicyFleet {
    pub rng: SmallRng,
    pub settings: PolicySettings,
    pub endpoints: Vec<Endpoint>,
    pub nodes: Vec<PolicyDriver>,
    pub gossip_in_flight: VecDeque<(u64, u32, u32, String)>,
    pub attempts: Vec<(u64, usize, RequestId, u32, EndpointId, Outcome, u64)>,
    pub gossip_delivered: u32,
}

impl PolicyFleet {
    pub(crate) fn new(seed: u64, set: PolicySettings, backends: usize) -> Self {
        PolicyFleet::with_nodes(NODES, seed, set, backends)
    }

    /// A fleet of so many gateways.
    pub(crate) fn with_nodes(
        gateways: u32,
        seed: u64,
        set: PolicySettings,
        backends: usize,
    ) -> Self {
        let list: Vec<Endpoint> = (0..backends)
            .map(|i| endpoint(&format!("b{i}"), i as u32 % 3))
            .collect();
        let set = PolicySettings {
            node_count: gateways,
            gossip_messages_per_second: 40.0,
            ..set
        };
        let door = |me| {
            PolicyDriver::new(
                PolicySettings {
                    node: me,
                    ..set.clone()
                },
                seed << 16 | u64::from(me),
                &list,
            )
        };
        let doors = (0..gateways).map(door).collect();
        let rng = SmallRng::seed_from_u64(seed);
        PolicyFleet {
            rng,
            settings: set,
            endpoints: list,
            nodes: doors,
            gossip_in_flight: VecDeque::new(),
            attempts: vec![],
            gossip_delivered: 0,
        }
    }

    pub(crate) fn now(&self) -> u64 {
        self.nodes[0].now
    }

    pub(crate) fn restart(&mut self, me: usize) {
        let set = PolicySettings {
            node: me as u32,
            ..self.settings.clone()
        };
        self.nodes[me] = PolicyDriver::at(self.now(), set, self.rng.random(), &self.endpoints);
        self.attempts.retain(|o| o.1 != me);
    }

    /// Carries out what a gateway does: how an attempt ends, and after how many milliseconds, is `end`'s.
    pub(crate) fn start_attempts(
        &mut self,
        me: usize,
        actions: &[Action],
        end: &dyn Fn(&EndpointId, RequestId) -> (Outcome, u64),
    ) {
        for action in actions {
            if let Action::StartAttempt {
                request,
                endpoint: backend,
                ..
            } = action
            {
                let attempt = self
                    .attempts
                    .iter()
                    .filter(|o| o.1 == me && o.2 == *request)
                    .count() as u32;
                let (how, ms) = end(backend, *request);
                self.attempts.push((
                    self.now() + ms * MILLISECOND,
                    me,
                    *request,
                    attempt,
                    backend.clone(),
                    how,
                    ms,
                ));
            }
        }
    }

    /// Moves the clock by a step: answers, messages (one in twenty lost), timers.
    pub(crate) fn step(&mut self, end: &dyn Fn(&EndpointId, RequestId) -> (Outcome, u64)) {
        for me in 0..self.nodes.len() {
            let actions = self.nodes[me].advance(STEP_NS);
            self.start_attempts(me, &actions, end);
        }
        let now = self.now();
        let due: Vec<_> = self
            .attempts
            .iter()
            .filter(|o| o.0 <= now)
            .cloned()
            .collect();
        self.attempts.retain(|o| o.0 > now);
        for (_, me, id, attempt, to, how, ms) in due {
            let actions = self.nodes[me].finish_attempt(id, attempt, &to, how, ms);
            self.start_attempts(me, &actions, end);
        }
        for me in 0..self.nodes.len() {
            for (peer, text) in std::mem::take(&mut self.nodes[me].gossip) {
                let to = peer.expect("nothing is told to all of a large fleet");
                self.gossip_in_flight
                    .push_back((now + 20 * MILLISECOND, me as u32, to, text));
            }
        }
        while self.gossip_in_flight.front().is_some_and(|m| m.0 <= now) {
            let Some((_, from, to, text)) = self.gossip_in_flight.pop_front() else {
                break;
            };
            if self.rng.random::<f64>() > 0.05 {
                self.gossip_delivered += 1;
                self.nodes[to as usize].handle(Event::PeerMessage { from, text });
            }
        }
    }
}

pub(crate) fn always_succeeds(_: &EndpointId, _: RequestId) -> (Outcome, u64) {
    (Outcome::Success, 60)
}

/// A part of a pool on the wire, from its nine numbers.
pub(crate) fn encode_pool(parts: [f64; 9]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    let code = |v: f64| {
        if v < 0.001 {
            0
        } else {
            ((v / 0.001).ln() / 1.005f64.ln()).round() as usize + 1
        }
    };
    let digits = |v: &f64| [code(*v) >> 6, code(*v) & 63].map(|d| char::from(DIGITS[d]));
    "pAAAAAAAAA"
        .chars()
        .chain(parts.iter().flat_map(digits))
        .collect()
}
