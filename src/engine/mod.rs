//! The engine: the one task that owns the module, its timers and all commands that are open.
//!
//! It takes what its queue holds, lets the module decide, carries that out, and sleeps till the next timer. It
//! never waits for anything else, so whoever waits for room in the queue gets it.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use applewall::api::{
    Action, AttemptResult, EndpointId, EndpointUpdateKind, Event, Idempotency, Outcome, RequestId,
};
use applewall::decision::DecisionPolicy;
use applewall::platform_settings::PlatformSettings;
use applewall_admin::Ledger;
use hyper::StatusCode;
use tokio::sync::{mpsc, oneshot};

use crate::admin::listener::Order;
use crate::admin::maintenance::Withheld;
use crate::clock::Clock;
use crate::config::platform::Config;
use crate::discovery::zone_failover::{self, Zoning};
use crate::engine::message::{
    AttemptEnded, ClientDisconnected, ClientRequest, EndpointEntry, EndpointUpdate,
    ForwardedRequest, Message, PeerDatagram,
};
use crate::lifecycle::process_role::Estate;
use crate::peer_socket::PeerSocket;
use crate::resource_budget::ConnectionBudget;
use crate::server::response::ClientResponse;
use crate::server::slow_peers::{self, Pacers};
use crate::upstream::pool::{Attempt, Fleet};

mod figures;
pub(crate) mod message;
mod orders;

use figures::Figures;

/// Messages taken from the queue at one go.
const GO: usize = 128;
/// By which an attempt ends before its service client gives up: the answer has to get there in time.
const ATTEMPT_MARGIN: u64 = 20_000_000;
/// By which the last-resort answer comes before that.
const LAST_MARGIN: u64 = 8_000_000;
/// Part of a key's time in which a repeat is begun to be written: the rest is its way to the instance.
const KNOWN: (u64, u64) = (19, 20);
/// By which the engine may wake late before that counts as a gap in the program's own clock.
const STALL: u64 = 30_000_000;
/// Part of the memory that answers read ahead may hold together.
const AHEAD_PART: usize = 8;
/// Between closings of connections that have been idle for long.
const SWEEP: u64 = 500_000_000;
/// Between lines of figures.
const FIGURES: u64 = 10_000_000_000;

/// A command that is open: unanswered, or with an attempt still out.
struct Open {
    serial: u64,
    /// Gone once the command is answered or its service client left.
    reply: Option<oneshot::Sender<ClientResponse>>,
    passed: Arc<ForwardedRequest>,
    /// When the service client gives up, on the module's clock.
    deadline: u64,
    class: usize,
    attempts: u32,
    /// The attempt that is out; dropping the sender cancels it.
    out: Option<(u32, Option<oneshot::Sender<()>>)>,
    /// When that one, or the last, was started; and the same of the first one that may have run.
    sent: u64,
    tainted: Option<u64>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    Zones,
    Sweep,
    Figures,
}

/// What was before this process.
pub(crate) enum Before {
    /// Nothing that matters: there is no second address.
    Nothing,
    /// The ledger at most.
    Ledger(Ledger),
    /// All that another one handed over.
    Estate(Estate),
}

/// See the module's page.
pub(crate) struct Engine {
    brain: DecisionPolicy,
    facts: Arc<PlatformSettings>,
    clock: Clock,
    fleet: Fleet,
    peers: Option<Arc<PeerSocket>>,
    open: HashMap<RequestId, Open>,
    /// Commands without an answer, by the time of the last-resort answer.
    last_resorts: BTreeSet<(u64, RequestId)>,
    timers: BinaryHeap<Reverse<(u64, Due)>>,
    /// Events that follow from carrying out actions.
    events: VecDeque<Event>,
    /// Kept for its room.
    actions: Vec<Action>,
    now: u64,
    /// How long commands that are taken before the second moment may have waited unseen.
    stall: (u64, u64),
    figures: Figures,
    pacers: Pacers,
    /// Where there is a second address.
    withheld: Option<Withheld>,
    /// Where the operators switched it on.
    zones: Option<Zoning>,
    /// Another process speaks to the peers.
    handed: bool,
}

impl Engine {
    /// One that has decided from the known name table alone; attempts report to the queue.
    pub(crate) fn new(
        config: &Config,
        clock: Clock,
        peers: Option<Arc<PeerSocket>>,
        pacers: Pacers,
        queue: mpsc::Sender<Message>,
        (before, zones): (Before, Option<Zoning>),
    ) -> Self {
        let now = clock.now();
        let sizes = (
            ConnectionBudget::new(config.sockets).instances,
            config.memory / AHEAD_PART,
        );
        let facts = config.facts.clone();
        let mut engine = Engine {
            brain: DecisionPolicy::new(facts.policy.clone(), config.seed, now),
            fleet: Fleet::new(&facts, sizes, clock, pacers.clone(), queue),
            facts,
            clock,
            peers,
            open: HashMap::new(),
            last_resorts: BTreeSet::new(),
            timers: [
                Reverse((now, Due::Sweep)),
                Reverse((now + FIGURES, Due::Figures)),
            ]
            .into(),
            events: VecDeque::new(),
            actions: Vec::new(),
            now,
            stall: (0, 0),
            figures: Figures::default(),
            pacers,
            withheld: None,
            zones,
            handed: false,
        };
        if engine.zones.is_some() {
            engine
                .timers
                .push(Reverse((now + zone_failover::EVERY, Due::Zones)));
        }
        let known = match before {
            Before::Nothing => config.known.entries(&engine.facts, &clock),
            Before::Ledger(ledger) => {
                engine.withheld = Some(Withheld::new(ledger));
                config.known.entries(&engine.facts, &clock)
            }
            Before::Estate(estate) => {
                engine.withheld = Some(Withheld::new(estate.withheld));
                if let Err(why) = engine.brain.import_snapshot(&estate.module) {
                    tracing::warn!("succession: the module begins anew: {why}");
                }
                estate
                    .listed
                    .into_iter()
                    .map(|(member, endpoint)| EndpointEntry {
                        endpoint: member,
                        address: endpoint,
                    })
                    .collect()
            }
        };
        engine.take(Message::EndpointUpdate(EndpointUpdate {
            kind: EndpointUpdateKind::Cached,
            entries: known,
        }));
        engine
    }

    /// Runs for as long as anything can reach it.
    pub(crate) async fn run(
        mut self,
        mut inbox: mpsc::Receiver<Message>,
        mut orders: mpsc::Receiver<Order>,
    ) {
        let mut batch = Vec::with_capacity(GO);
        let sleep = tokio::time::sleep(Duration::ZERO);
        tokio::pin!(sleep);
        loop {
            let due = self.next();
            let next = self.clock.instant(due).into();
            if sleep.deadline() != next {
                sleep.as_mut().reset(next);
            }
            tokio::select! {
                biased;
                // Before all else: an operator's answer is owed within a second, whatever waits here.
                Some(order) = orders.recv() => {
                    self.wake(self.clock.now(), due);
                    self.order(order);
                }
                taken = inbox.recv_many(&mut batch, GO) => if taken == 0 { return },
                () = &mut sleep => {}
            }
            // One moment for all that is taken at one go: what waited here together came together.
            self.wake(self.clock.now(), due);
            batch.drain(..).for_each(|message| self.take(message));
            self.fall_due();
        }
    }

    /// Goes on at `now`, where something was due. If that is long past, the program stood still: what is taken
    /// right after may have waited in the kernel for as long as nothing was done here, and its service client
    /// has counted that time.
    fn wake(&mut self, now: u64, due: u64) {
        if now.saturating_sub(due) > STALL {
            self.stall = (now - self.now, now + STALL);
        }
        self.now = now;
    }

    /// When something falls due next.
    fn next(&self) -> u64 {
        let timer = self.timers.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
        self.last_resorts
            .first()
            .map_or(timer, |(at, _)| timer.min(*at))
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Request(command) => self.command(command),
            Message::ClientDisconnected(ClientDisconnected {
                request: id,
                serial,
            }) => {
                if self
                    .open
                    .get(&id)
                    .is_some_and(|o| o.serial == serial && o.reply.is_some())
                {
                    self.figures.left += 1;
                    self.leave(id);
                }
            }
            Message::AttemptEnded(ended) => self.ended(ended),
            Message::EndpointUpdate(EndpointUpdate { kind, mut entries }) => {
                if let Some(withheld) = &mut self.withheld {
                    withheld.mask(kind, &mut entries);
                }
                self.fleet.update(kind, &entries);
                if let Some(zones) = &mut self.zones {
                    zones.listed(kind, &entries);
                }
                self.event(Event::EndpointUpdate(
                    kind,
                    entries.into_iter().map(|e| e.endpoint).collect(),
                ));
            }
            Message::PeerDatagram(PeerDatagram { from, text })
                if self
                    .zones
                    .as_mut()
                    .is_some_and(|zones| zones.hear(self.now, from, &text)) => {}
            Message::PeerDatagram(PeerDatagram { from, text }) => {
                self.event(Event::PeerMessage { from, text });
            }
        }
    }

    fn fall_due(&mut self) {
        while let Some((_, id)) = self
            .last_resorts
            .first()
            .copied()
            .filter(|(at, _)| *at <= self.now)
        {
            // The module owes an answer and has not given it: should never happen, and is counted.
            self.figures.last_resort += 1;
            tracing::error!("last-resort answer to {:016x}", id.0);
            self.answer(
                id,
                ClientResponse::Failed {
                    status: StatusCode::GATEWAY_TIMEOUT,
                    reason: "no answer in time",
                },
            );
            self.leave(id);
        }
        while self
            .timers
            .peek()
            .is_some_and(|Reverse((at, _))| *at <= self.now)
        {
            let Some(Reverse((_, due))) = self.timers.pop() else {
                return;
            };
            match due {
                Due::Module(token) => self.event(Event::TimerExpired(token)),
                Due::Zones => {
                    let peers = self.peers.as_deref().filter(|_| !self.handed);
                    if let Some(shares) = self
                        .zones
                        .as_mut()
                        .and_then(|zones| zones.tick(self.now, peers))
                    {
                        self.event(Event::ZoneTrafficShares(shares));
                    }
                    self.timers
                        .push(Reverse((self.now + zone_failover::EVERY, due)));
                }
                Due::Sweep => {
                    self.fleet.sweep();
                    self.timers.push(Reverse((self.now + SWEEP, due)));
                }
                Due::Figures => {
                    self.tell_figures();
                    slow_peers::tell(&self.pacers);
                    self.timers.push(Reverse((self.now + FIGURES, due)));
                }
            }
        }
    }

    fn command(&mut self, command: ClientRequest) {
        self.figures.commands += 1;
        let ClientRequest {
            mut request,
            serial,
            deadline,
            forwarded: passed,
            responder: reply,
        } = command;
        let id = request.id;
        // Whoever left while the command waited in the queue needs nothing of it.
        if passed.client_disconnected() {
            self.figures.left += 1;
            return;
        }
        if self.open.contains_key(&id) {
            // Two with one id would be two attempts of one request to an instance.
            self.figures.failed += 1;
            let _ = reply.send(ClientResponse::Failed {
                status: StatusCode::CONFLICT,
                reason: "a command with this id is open",
            });
            return;
        }
        let waited = if self.now <= self.stall.1 {
            self.stall.0
        } else {
            0
        };
        let deadline = self.clock.nanos_at(deadline).saturating_sub(waited);
        request.time_left_ns = request.time_left_ns.saturating_sub(waited);
        let reply = Some(reply);
        self.open.insert(
            id,
            Open {
                serial,
                reply,
                passed,
                deadline,
                class: request.class,
                attempts: 0,
                out: None,
                sent: 0,
                tainted: None,
            },
        );
        self.last_resorts
            .insert((deadline.saturating_sub(LAST_MARGIN), id));
        self.event(Event::Request(request));
    }

    /// The service client needs no answer any more.
    fn leave(&mut self, id: RequestId) {
        if let Some(open) = self.open.get_mut(&id) {
            open.reply = None;
            self.last_resorts
                .remove(&(open.deadline.saturating_sub(LAST_MARGIN), id));
        }
        self.event(Event::ClientDisconnected(id));
        self.forget(id);
    }

    fn ended(&mut self, ended: AttemptEnded) {
        let AttemptEnded {
            request: id,
            attempt: number,
            endpoint: backend,
            outcome,
            latency,
            load_report: load,
            response: served,
        } = ended;
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        // A late result of an attempt that is over already.
        if open.out.as_ref().is_none_or(|(out, _)| *out != number) {
            return;
        }
        open.out = None;
        if !outcome.never_executed() {
            open.tainted.get_or_insert(open.sent);
        }
        if let Some(zones) = &mut self.zones {
            zones.ended(self.now, id, outcome);
        }
        if let Some(served) = served {
            self.answer(id, ClientResponse::Served(served));
        } else if self
            .open
            .get(&id)
            .is_some_and(|o| o.reply.is_some() && o.passed.client_disconnected())
        {
            // The word of it may still be on its way, or lost: no further attempt is made for nobody.
            self.figures.left += 1;
            self.leave(id);
        }
        let latency = latency.as_nanos() as u64;
        let finished = self.finished(id, number, backend, outcome);
        self.event(Event::AttemptFinished(AttemptResult {
            latency_ns: latency,
            load_report: load,
            ..finished
        }));
        self.forget(id);
    }

    /// The module's news of an attempt.
    fn finished(
        &self,
        request: RequestId,
        attempt: u32,
        backend: EndpointId,
        outcome: Outcome,
    ) -> AttemptResult {
        let closed = self.open.get(&request).is_none_or(|o| o.reply.is_none());
        AttemptResult {
            request,
            attempt,
            endpoint: backend,
            outcome,
            latency_ns: 0,
            request_complete: closed,
            settled_units: 0.0,
            load_report: Vec::new(),
        }
    }

    /// Gives the one answer to a command, if it is still owed.
    fn answer(&mut self, id: RequestId, answer: ClientResponse) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let Some(reply) = open.reply.take() else {
            return;
        };
        self.last_resorts
            .remove(&(open.deadline.saturating_sub(LAST_MARGIN), id));
        match answer {
            ClientResponse::Served(..) => self.figures.served += 1,
            ClientResponse::Rejected { .. } => self.figures.nacks += 1,
            ClientResponse::Failed { .. } => self.figures.failed += 1,
        }
        // A service client that left meanwhile is told of by its own message.
        let _ = reply.send(answer);
        self.forget(id);
    }

    /// Drops a command that is answered and has nothing out.
    fn forget(&mut self, id: RequestId) {
        if self
            .open
            .get(&id)
            .is_some_and(|o| o.reply.is_none() && o.out.is_none())
        {
            self.open.remove(&id);
        }
    }

    /// Lets the module see an event, and what follows from it.
    fn event(&mut self, event: Event) {
        self.events.push_back(event);
        let mut actions = std::mem::take(&mut self.actions);
        while let Some(event) = self.events.pop_front() {
            self.brain.handle(self.now, event, &mut actions);
            actions.drain(..).for_each(|action| self.act(action));
        }
        self.actions = actions;
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                request,
                endpoint: backend,
                timeout_ns: timeout,
            } => self.send(request, backend, timeout),
            Action::CancelAttempt { request, attempt } => {
                let out = self.open.get_mut(&request).and_then(|o| o.out.as_mut());
                if let Some((_, cancel)) = out.filter(|(number, _)| *number == attempt) {
                    *cancel = None;
                }
            }
            Action::Reject {
                request,
                retry_after_ns: retry_after,
            } => {
                let tried = self.open.get(&request).is_some_and(|o| o.attempts > 0);
                let status = if tried {
                    StatusCode::SERVICE_UNAVAILABLE
                } else {
                    StatusCode::TOO_MANY_REQUESTS
                };
                self.answer(
                    request,
                    ClientResponse::Rejected {
                        status,
                        retry_after_ns: retry_after,
                    },
                );
            }
            Action::Fail(request) => {
                self.answer(
                    request,
                    ClientResponse::Failed {
                        status: StatusCode::BAD_GATEWAY,
                        reason: "no answer from an instance",
                    },
                );
            }
            Action::SetTimer {
                after_ns: after,
                token,
            } => {
                self.timers
                    .push(Reverse((self.now + after, Due::Module(token))));
            }
            Action::CloseIdleConnections(backend) => self.fleet.close(&backend),
            Action::SendGossip { peer, text } => {
                self.peers
                    .iter()
                    .filter(|_| !self.handed)
                    .for_each(|peers| peers.send(peer, &text));
            }
            Action::Log(line) => tracing::info!("module: {line}"),
            // The name table is always followed; probes and counts are not asked for by this module.
            Action::WatchEndpoints(_)
            | Action::FetchEndpoints
            | Action::HealthCheck(_)
            | Action::AddToCounter { .. } => {}
        }
    }

    fn send(&mut self, request: RequestId, backend: EndpointId, timeout: u64) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let number = open.attempts;
        open.attempts += 1;
        let most = self.facts.policy.max_attempts;
        let last = open.deadline.saturating_sub(ATTEMPT_MARGIN);
        let until = if timeout == 0 {
            last
        } else {
            last.min(self.now + timeout)
        };
        // Whatever the module asks for: one attempt at a time, no more than allowed, none after its time.
        let may = open.reply.is_some() && open.out.is_none() && number < most && until > self.now;
        // What may have run goes out again only while instances know its key: a connection may come up late.
        let write_by = match (
            self.facts.policy.classes[open.class].idempotency,
            open.tainted,
        ) {
            (
                Idempotency::IdempotencyKey {
                    deduplication_window_ns: window,
                    ..
                },
                Some(first),
            ) => Some(first + window / KNOWN.1 * KNOWN.0),
            _ => None,
        };
        open.sent = self.now;
        let zoned = self.zones.is_some().then(|| backend.clone());
        let attempt = Attempt {
            request,
            number,
            backend,
            passed: open.passed.clone(),
            until: self.clock.instant(until),
            write_by: write_by.map(|by| self.clock.instant(by)),
            again: (number + 1 < most).then(|| self.clock.instant(last)),
        };
        let started = if may {
            self.fleet.start(attempt)
        } else {
            Err(attempt)
        };
        match started {
            Ok(cancel) => {
                if let (Some(zones), Some(backend)) = (&mut self.zones, zoned) {
                    zones.sent(self.now, request, open.class, &backend);
                }
                self.figures.attempts += 1;
                open.out = Some((number, Some(cancel)));
            }
            Err(Attempt { backend, .. }) => {
                // Told once all that the module has just decided is carried out.
                let finished = self.finished(request, number, backend, Outcome::NotSent);
                self.events.push_back(Event::AttemptFinished(finished));
            }
        }
    }
}

#[cfg(test)]
mod tests;
