//! A small stage for the module alone: settings, a clock and shorthand for events.
#![allow(dead_code)]

pub mod fleet;

use applewall::api::*;
use applewall::brain::Brain;

pub const MS: u64 = 1_000_000;
pub const S: u64 = 1_000_000_000;

pub const SAFE: usize = 0;
pub const KEYED: usize = 1;
pub const UNSAFE: usize = 2;

pub fn settings() -> Settings {
    let class = |repeats| Class {
        aim: 500 * MS,
        deadline: 2 * S,
        worth: 1.0,
        late_worth: 0.0,
        repeats,
        stream: false,
    };
    let keyed = Repeats::Keyed {
        scope: KeyScope::Zone,
        window: 3 * S,
    };
    Settings {
        me: 0,
        gateways: 3,
        zone: 0,
        classes: vec![class(Repeats::Safe), class(keyed), class(Repeats::Unsafe)],
        plans: vec![
            Plan {
                rate: 10.0,
                burst: 20.0,
                price: 1.0,
                over_cost: 0.5,
                ..Plan::default()
            },
            Plan {
                rate: 1e6,
                burst: 1e6,
                price: 3.0,
                over_cost: 0.5,
                ..Plan::default()
            },
        ],
        cold_share: 0.2,
        cold_time: 15 * S,
        fall_multiple: 3.0,
        fall_window: S,
        max_attempts: 3,
        max_retry_after: 2 * S,
        peer_messages: true,
        may_cancel: true,
        mail_per_s: 100.0,
        most_units: 4.0,
        ..Settings::default()
    }
}

pub fn member(name: &str, zone: u32) -> Member {
    Member {
        backend: name.into(),
        scale: 1.0,
        started: None,
        zone,
        cell: i64::from(zone),
        kind: 0,
        state: MemberState::Ready,
    }
}

/// One gateway with a clock; timers are kept and fall due as the clock moves.
pub struct Stage {
    pub brain: Brain,
    pub now: u64,
    pub timers: Vec<(u64, u64)>,
    pub told: Vec<String>,
    /// Messages with their addressees, as `told`.
    pub letters: Vec<(Option<u32>, String)>,
    pub other: Vec<Action>,
    next: u64,
}

impl Stage {
    pub fn new(settings: Settings, seed: u64, backends: &[Member]) -> Self {
        Stage::at(1000 * S, settings, seed, backends)
    }

    pub fn at(now: u64, settings: Settings, seed: u64, backends: &[Member]) -> Self {
        let brain = Brain::new(settings, seed, now);
        let mut stage = Stage {
            brain,
            now,
            timers: vec![],
            told: vec![],
            letters: vec![],
            other: vec![],
            next: 0,
        };
        stage.give(Event::Members(ListKind::Cached, backends.into()));
        stage
    }

    /// Gives an event; timers and messages are put aside, the rest is returned.
    pub fn give(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.brain.handle(self.now, event, &mut actions);
        let mut rest = Vec::new();
        for action in actions {
            match action {
                Action::Timer { after, token } => self.timers.push((self.now + after, token)),
                Action::Tell { peer, text } => {
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
    pub fn pass(&mut self, time: u64) -> Vec<Action> {
        let end = self.now + time;
        let mut all = Vec::new();
        while let Some(i) = (0..self.timers.len()).min_by_key(|i| self.timers[*i]) {
            if self.timers[i].0 > end {
                break;
            }
            let (at, token) = self.timers.swap_remove(i);
            self.now = self.now.max(at);
            all.extend(self.give(Event::Timer(token)));
        }
        self.now = end;
        all
    }

    pub fn ask(
        &mut self,
        class: usize,
        plan: usize,
        customer: &str,
        units: f64,
    ) -> (RequestId, Vec<Action>) {
        self.ask_of(3, class, plan, customer, units)
    }

    /// The same for a customer whose set is the first `spread` gateways.
    pub fn ask_of(
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
            left: 2 * S,
            repeat: false,
            spread,
            first: 0,
        };
        (id, self.give(Event::Request(request)))
    }

    pub fn end(
        &mut self,
        request: RequestId,
        attempt: u32,
        to: &BackendId,
        how: Outcome,
        ms: u64,
    ) -> Vec<Action> {
        let ok = how == Outcome::Ok;
        self.give(Event::Finished(Finished {
            request,
            attempt,
            backend: to.clone(),
            outcome: how,
            latency: ms * MS,
            closed: ok,
            cost: 0.0,
            load: vec![],
        }))
    }

    /// Asks once every `gap` for `time`, each sent attempt ending `ms` later as `how`. Returns sent and refused.
    pub fn run(
        &mut self,
        class: usize,
        plan: usize,
        gap: u64,
        time: u64,
        how: Outcome,
        ms: u64,
    ) -> (u32, u32) {
        let (mut sent, mut refused) = (0, 0);
        let mut out: Vec<(u64, RequestId, u32, BackendId)> = Vec::new();
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
                    Action::Send {
                        request, backend, ..
                    } => {
                        sent += u32::from(request == id);
                        let attempt = u32::from(request != id);
                        out.push((self.now + ms * MS, request, attempt, backend));
                    }
                    Action::Refuse { request, .. } => refused += u32::from(request == id),
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

pub fn target(actions: &[Action]) -> Option<BackendId> {
    actions.iter().find_map(|a| match a {
        Action::Send { backend, .. } => Some(backend.clone()),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}
