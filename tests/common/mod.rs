//! A small stage for the module alone: settings, a clock and shorthand for events.
#![allow(dead_code)]
#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

pub(crate) mod fleet;

use applewall::api::*;
use applewall::decision::DecisionPolicy;

pub(crate) const MS: u64 = 1_000_000;
pub(crate) const S: u64 = 1_000_000_000;

pub(crate) const SAFE: usize = 0;
pub(crate) const KEYED: usize = 1;
pub(crate) const UNSAFE: usize = 2;

pub(crate) fn settings() -> PolicySettings {
    let class = |repeats| Class {
        latency_objective_ns: 500 * MS,
        deadline_ns: 2 * S,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
        idempotency: repeats,
        streaming: false,
    };
    let keyed = Idempotency::IdempotencyKey {
        scope: KeyScope::Zone,
        deduplication_window_ns: 3 * S,
    };
    PolicySettings {
        node: 0,
        node_count: 3,
        zone: 0,
        classes: vec![
            class(Idempotency::Idempotent),
            class(keyed),
            class(Idempotency::NonIdempotent),
        ],
        plans: vec![
            Plan {
                quota_units_per_second: 10.0,
                quota_burst_units: 20.0,
                weight_multiplier: 1.0,
                over_quota_penalty_fraction: 0.5,
                ..Plan::default()
            },
            Plan {
                quota_units_per_second: 1e6,
                quota_burst_units: 1e6,
                weight_multiplier: 3.0,
                over_quota_penalty_fraction: 0.5,
                ..Plan::default()
            },
        ],
        slow_start_fraction: 0.2,
        slow_start_ns: 15 * S,
        overload_multiple: 3.0,
        overload_window_ns: S,
        max_attempts: 3,
        max_retry_after_ns: 2 * S,
        gossip_enabled: true,
        cancellation_allowed: true,
        gossip_messages_per_second: 100.0,
        max_request_units: 4.0,
        ..PolicySettings::default()
    }
}

pub(crate) fn member(name: &str, zone: u32) -> Endpoint {
    Endpoint {
        id: name.into(),
        weight: 1.0,
        started_at_ns: None,
        zone,
        cell: i64::from(zone),
        machine_type: 0,
        state: EndpointState::Ready,
    }
}

/// One gateway with a clock; timers are kept and fall due as the clock moves.
pub(crate) struct Stage {
    pub brain: DecisionPolicy,
    pub now: u64,
    pub timers: Vec<(u64, u64)>,
    pub told: Vec<String>,
    /// Messages with their addressees, as `told`.
    pub letters: Vec<(Option<u32>, String)>,
    pub other: Vec<Action>,
    next: u64,
}

impl Stage {
    pub(crate) fn new(settings: PolicySettings, seed: u64, backends: &[Endpoint]) -> Self {
        Stage::at(1000 * S, settings, seed, backends)
    }

    pub(crate) fn at(now: u64, settings: PolicySettings, seed: u64, backends: &[Endpoint]) -> Self {
        let brain = DecisionPolicy::new(settings, seed, now);
        let mut stage = Stage {
            brain,
            now,
            timers: vec![],
            told: vec![],
            letters: vec![],
            other: vec![],
            next: 0,
        };
        stage.give(Event::EndpointUpdate(
            EndpointUpdateKind::Cached,
            backends.into(),
        ));
        stage
    }

    /// Gives an event; timers and messages are put aside, the rest is returned.
    pub(crate) fn give(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.brain.handle(self.now, event, &mut actions);
        let mut rest = Vec::new();
        for action in actions {
            match action {
                Action::SetTimer {
                    after_ns: after,
                    token,
                } => self.timers.push((self.now + after, token)),
                Action::SendGossip { peer, text } => {
                    self.told.push(text.clone());
                    self.letters.push((peer, text));
                }
                Action::Log(_) => self.other.push(action),
                action => rest.push(action),
            }
        }
        rest
    }

    /// Moves the clock, letting timers fall due on the way.
    pub(crate) fn pass(&mut self, time: u64) -> Vec<Action> {
        let end = self.now + time;
        let mut all = Vec::new();
        while let Some(i) = (0..self.timers.len()).min_by_key(|i| self.timers[*i]) {
            if self.timers[i].0 > end {
                break;
            }
            let (at, token) = self.timers.swap_remove(i);
            self.now = self.now.max(at);
            all.extend(self.give(Event::TimerExpired(token)));
        }
        self.now = end;
        all
    }

    pub(crate) fn ask(
        &mut self,
        class: usize,
        plan: usize,
        customer: &str,
        units: f64,
    ) -> (RequestId, Vec<Action>) {
        self.ask_of(3, class, plan, customer, units)
    }

    /// The same for a customer whose set is the first `spread` gateways.
    pub(crate) fn ask_of(
        &mut self,
        spread: u32,
        class: usize,
        plan: usize,
        customer: &str,
        units: f64,
    ) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        let request = Request {
            id,
            class,
            plan,
            customer: customer.into(),
            units,
            time_left_ns: 2 * S,
            is_retry: false,
            node_set_size: spread,
            first_node: 0,
        };
        (id, self.give(Event::Request(request)))
    }

    pub(crate) fn end(
        &mut self,
        request: RequestId,
        attempt: u32,
        to: &EndpointId,
        how: Outcome,
        ms: u64,
    ) -> Vec<Action> {
        let ok = how == Outcome::Success;
        self.give(Event::AttemptFinished(AttemptResult {
            request,
            attempt,
            endpoint: to.clone(),
            outcome: how,
            latency_ns: ms * MS,
            request_complete: ok,
            settled_units: 0.0,
            load_report: vec![],
        }))
    }

    /// Asks once every `gap` for `time`, each sent attempt ending `ms` later as `how`. Returns sent and refused.
    pub(crate) fn run(
        &mut self,
        class: usize,
        plan: usize,
        gap: u64,
        time: u64,
        how: Outcome,
        ms: u64,
    ) -> (u32, u32) {
        let (mut sent, mut refused) = (0, 0);
        let mut out: Vec<(u64, RequestId, u32, EndpointId)> = Vec::new();
        let end = self.now + time;
        let mut number = 0;
        while self.now < end {
            number += 1;
            let (id, actions) = self.ask(class, plan, &format!("c{}", number % 7), 1.0);
            let mut todo = actions;
            let due: Vec<_> = out.iter().filter(|o| o.0 <= self.now).cloned().collect();
            out.retain(|o| o.0 > self.now);
            for (_, id, attempt, to) in due {
                todo.extend(self.end(id, attempt, &to, how, ms));
            }
            for action in todo {
                match action {
                    Action::StartAttempt {
                        request,
                        endpoint: backend,
                        ..
                    } => {
                        sent += u32::from(request == id);
                        let attempt = u32::from(request != id);
                        out.push((self.now + ms * MS, request, attempt, backend));
                    }
                    Action::Reject { request, .. } => refused += u32::from(request == id),
                    _ => {}
                }
            }
            self.pass(gap);
        }
        for (_, id, attempt, to) in out {
            self.end(id, attempt, &to, how, ms);
        }
        (sent, refused)
    }
}

pub(crate) fn target(actions: &[Action]) -> Option<EndpointId> {
    actions.iter().find_map(|a| match a {
        Action::StartAttempt {
            endpoint: backend, ..
        } => Some(backend.clone()),
        _ => None,
    })
}

pub(crate) fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}
