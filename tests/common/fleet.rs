//! Many gateways with their network and backends, the modules alone, in virtual time.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::collections::VecDeque;

use applewall::api::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};

use super::{member, Stage, MS};

pub(crate) const GATEWAYS: u32 = 160;
pub(crate) const STEP: u64 = 20 * MS;

/// Gateways with a lossy, late network between them and backends that answer after a while.
pub(crate) struct Fleet {
    pub rng: SmallRng,
    pub set: PolicySettings,
    pub list: Vec<Endpoint>,
    pub doors: Vec<Stage>,
    pub mail: VecDeque<(u64, u32, u32, String)>,
    pub out: Vec<(u64, usize, RequestId, u32, EndpointId, Outcome, u64)>,
    pub delivered: u32,
}

impl Fleet {
    pub(crate) fn new(seed: u64, set: PolicySettings, backends: usize) -> Self {
        Fleet::of(GATEWAYS, seed, set, backends)
    }

    /// A fleet of so many gateways.
    pub(crate) fn of(gateways: u32, seed: u64, set: PolicySettings, backends: usize) -> Self {
        let list: Vec<Endpoint> = (0..backends)
            .map(|i| member(&format!("b{i}"), i as u32 % 3))
            .collect();
        let set = PolicySettings {
            node_count: gateways,
            gossip_messages_per_second: 40.0,
            ..set
        };
        let door = |me| {
            Stage::new(
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
        Fleet {
            rng,
            set,
            list,
            doors,
            mail: VecDeque::new(),
            out: vec![],
            delivered: 0,
        }
    }

    pub(crate) fn now(&self) -> u64 {
        self.doors[0].now
    }

    pub(crate) fn restart(&mut self, me: usize) {
        let set = PolicySettings {
            node: me as u32,
            ..self.set.clone()
        };
        self.doors[me] = Stage::at(self.now(), set, self.rng.random(), &self.list);
        self.out.retain(|o| o.1 != me);
    }

    /// Carries out what a gateway does: how an attempt ends, and after how many milliseconds, is `end`'s.
    pub(crate) fn act(
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
                    .out
                    .iter()
                    .filter(|o| o.1 == me && o.2 == *request)
                    .count() as u32;
                let (how, ms) = end(backend, *request);
                self.out.push((
                    self.now() + ms * MS,
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
        for me in 0..self.doors.len() {
            let actions = self.doors[me].pass(STEP);
            self.act(me, &actions, end);
        }
        let now = self.now();
        let due: Vec<_> = self.out.iter().filter(|o| o.0 <= now).cloned().collect();
        self.out.retain(|o| o.0 > now);
        for (_, me, id, attempt, to, how, ms) in due {
            let actions = self.doors[me].end(id, attempt, &to, how, ms);
            self.act(me, &actions, end);
        }
        for me in 0..self.doors.len() {
            for (peer, text) in std::mem::take(&mut self.doors[me].letters) {
                let to = peer.expect("nothing is told to all of a large fleet");
                self.mail.push_back((now + 20 * MS, me as u32, to, text));
            }
        }
        while self.mail.front().is_some_and(|m| m.0 <= now) {
            let Some((_, from, to, text)) = self.mail.pop_front() else {
                break;
            };
            if self.rng.random::<f64>() > 0.05 {
                self.delivered += 1;
                self.doors[to as usize].give(Event::PeerMessage { from, text });
            }
        }
    }
}

pub(crate) fn well(_: &EndpointId, _: RequestId) -> (Outcome, u64) {
    (Outcome::Success, 60)
}

/// A part of a pool on the wire, from its nine numbers.
pub(crate) fn pool(parts: [f64; 9]) -> String {
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
