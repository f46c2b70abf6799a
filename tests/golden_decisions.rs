//! A seeded play of several gateways over the decision library. Everything that goes in and everything that comes out is
//! hashed by section, and the hashes are compared with `tests/golden/decisions.txt`: a change of names or shape may not
//! change one digit of what is decided, nor the order in which random numbers are drawn.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

mod common;

use std::fmt::Write as _;

use applewall::api::*;
use applewall::decision::DecisionPolicy;
use common::fleet::pool;
use common::{member, settings, MS, S};
use rand::{rngs::SmallRng, Rng, SeedableRng};

const GOLDEN: &str = include_str!("golden/decisions.txt");
const BACKENDS: u32 = 9;
const TICK: u64 = 10 * MS;

/// 64 bits of FNV-1a over everything written to it.
struct Digest(u64);

impl Digest {
    fn new() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }
    fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
        }
    }
    fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }
    fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        self.bytes(text.as_bytes());
    }
    /// Spells an action out by hand: names of types and fields may change, their values may not.
    fn action(&mut self, action: &Action) {
        match action {
            Action::StartAttempt {
                request,
                endpoint: backend,
                timeout_ns: timeout,
            } => {
                self.number(1);
                self.number(request.0);
                self.text(backend);
                self.number(*timeout);
            }
            Action::CancelAttempt { request, attempt } => {
                self.number(2);
                self.number(request.0);
                self.number(u64::from(*attempt));
            }
            Action::Reject {
                request,
                retry_after_ns: retry_after,
            } => {
                self.number(3);
                self.number(request.0);
                self.number(*retry_after);
            }
            Action::Fail(request) => {
                self.number(4);
                self.number(request.0);
            }
            Action::SetTimer {
                after_ns: after,
                token,
            } => {
                self.number(5);
                self.number(*after);
                self.number(*token);
            }
            Action::SendGossip { peer, text } => {
                self.number(6);
                self.number(peer.map_or(u64::MAX, u64::from));
                self.text(text);
            }
            Action::WatchEndpoints(on) => self.number(if *on { 7 } else { 8 }),
            // The wording of a log line may change; that there is one, and what is hashed of it, its figures, may not.
            Action::Log(line) => {
                self.number(9);
                let figures: String = line.chars().filter(char::is_ascii_digit).collect();
                self.text(&figures);
            }
            Action::HealthCheck(_)
            | Action::CloseIdleConnections(_)
            | Action::FetchEndpoints
            | Action::AddToCounter { .. } => self.number(10),
        }
    }
}

/// An attempt on its way, and how it will end.
struct Flight {
    due: u64,
    gateway: usize,
    request: RequestId,
    attempt: u32,
    backend: EndpointId,
    outcome: Outcome,
    latency: u64,
}

struct Datagram {
    due: u64,
    from: u32,
    to: u32,
    text: String,
}

/// What the backends and the network do in one section.
#[derive(Clone, Copy, Default)]
struct Weather {
    /// Percent of attempts that end in each way other than well.
    full: u32,
    error: u32,
    timed_out: u32,
    reset: u32,
    no_connection: u32,
    /// Latency added to every answer, ms.
    slow_ms: u64,
    /// Percent of datagrams lost, and the most that one is late, ms.
    lost: u32,
    late_ms: u64,
    /// Requests a gateway gets each tick, in percent.
    demand: u32,
    /// A backend that fails whatever it gets.
    sick: Option<u32>,
    /// Percent of clients that leave early.
    leave: u32,
}

struct Play {
    rng: SmallRng,
    set: PolicySettings,
    brains: Vec<DecisionPolicy>,
    now: u64,
    next: u64,
    timers: Vec<(u64, usize, u64)>,
    flights: Vec<Flight>,
    mail: Vec<Datagram>,
    digest: Digest,
    counts: [u32; 4],
}

fn plans() -> Vec<Plan> {
    let plan = |rate, burst, price| Plan {
        quota_units_per_second: rate,
        quota_burst_units: burst,
        weight_multiplier: price,
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
            max_concurrency: 3,
            over_quota_weight_fraction: 0.9,
            ..plan(15.0, 30.0, 1.5)
        },
    ]
}

fn list(cold: Option<(u32, u64)>, draining: &[u32]) -> Vec<Endpoint> {
    let one = |i: u32| Endpoint {
        weight: 1.0 + f64::from(i % 3),
        machine_type: i % 2,
        cell: i64::from(i % 5),
        started_at_ns: cold.filter(|(which, _)| *which == i).map(|(_, at)| at),
        state: if draining.contains(&i) {
            EndpointState::Draining
        } else {
            EndpointState::Ready
        },
        ..member(&format!("b{i}"), i % 3)
    };
    (0..BACKENDS).map(one).collect()
}

impl Play {
    /// A fleet of so many gateways, of which the first `played` take part; the others are silent.
    fn new(seed: u64, fleet: u32, played: u32, mail_per_s: f64) -> Self {
        let set = PolicySettings {
            node_count: fleet,
            plans: plans(),
            machine_type_count: 2,
            weighted_endpoints: true,
            watch_endpoints: true,
            gossip_messages_per_second: mail_per_s,
            cost_settled_after_response: true,
            max_retry_after_ns: S,
            ..settings()
        };
        let now = 1000 * S;
        let own = |me: u32| PolicySettings {
            node: me,
            zone: me % 3,
            ..set.clone()
        };
        let brains = (0..played)
            .map(|me| DecisionPolicy::new(own(me), seed + u64::from(me), now))
            .collect();
        let mut play = Play {
            rng: SmallRng::seed_from_u64(seed),
            set,
            brains,
            now,
            next: 0,
            timers: vec![],
            flights: vec![],
            mail: vec![],
            digest: Digest::new(),
            counts: [0; 4],
        };
        play.all(|| Event::EndpointUpdate(EndpointUpdateKind::Cached, list(None, &[]).into()));
        play.all(|| Event::EndpointUpdate(EndpointUpdateKind::Snapshot, list(None, &[]).into()));
        play
    }

    fn all(&mut self, event: impl Fn() -> Event) {
        (0..self.brains.len()).for_each(|i| self.give(i, event(), Weather::default()));
    }

    fn give(&mut self, gateway: usize, event: Event, weather: Weather) {
        let mut actions = Vec::new();
        self.brains[gateway].handle(self.now, event, &mut actions);
        for action in actions {
            self.digest.number(gateway as u64);
            self.digest.action(&action);
            match action {
                Action::SetTimer {
                    after_ns: after,
                    token,
                } => self.timers.push((self.now + after, gateway, token)),
                Action::StartAttempt {
                    request,
                    endpoint: backend,
                    timeout_ns: timeout,
                } => {
                    self.counts[0] += 1;
                    self.fly(gateway, request, backend, timeout, weather);
                }
                Action::Reject { .. } => self.counts[1] += 1,
                Action::Fail(_) => self.counts[2] += 1,
                Action::SendGossip { peer, text } => {
                    self.counts[3] += 1;
                    let lost = self.rng.random_range(0..100) < weather.lost;
                    let late = self.rng.random_range(0..=weather.late_ms) * MS;
                    let played = peer.filter(|to| *to < self.brains.len() as u32 && !lost);
                    let due = self.now + 5 * MS + late;
                    let from = gateway as u32;
                    self.mail.extend(played.map(|to| Datagram {
                        due,
                        from,
                        to,
                        text,
                    }));
                }
                _ => {}
            }
        }
    }

    fn fly(
        &mut self,
        gateway: usize,
        request: RequestId,
        backend: EndpointId,
        timeout: u64,
        weather: Weather,
    ) {
        let of = |f: &&Flight| f.gateway == gateway && f.request == request;
        let attempt = self
            .flights
            .iter()
            .filter(of)
            .map(|f| f.attempt + 1)
            .max()
            .unwrap_or(0);
        let draw = self.rng.random_range(0..100);
        let sick = weather.sick.is_some_and(|i| *backend == *format!("b{i}"));
        let mut bound = 0;
        let mut within = |percent: u32| {
            bound += percent;
            draw < bound
        };
        let outcome = if sick || within(weather.error) {
            Outcome::Failure
        } else if within(weather.full) {
            Outcome::Overloaded
        } else if within(weather.timed_out) {
            Outcome::TimedOut
        } else if within(weather.reset) {
            Outcome::ConnectionReset
        } else if within(weather.no_connection) {
            Outcome::ConnectFailed
        } else {
            Outcome::Success
        };
        let usual = (20 + self.rng.random_range(0..60) + weather.slow_ms) * MS;
        let latency = match outcome {
            Outcome::TimedOut => {
                if timeout > 0 {
                    timeout
                } else {
                    1900 * MS
                }
            }
            _ if timeout > 0 => usual.min(timeout),
            _ => usual,
        };
        let due = self.now + latency;
        self.flights.push(Flight {
            due,
            gateway,
            request,
            attempt,
            backend,
            outcome,
            latency,
        });
    }

    fn ask(&mut self, gateway: usize, weather: Weather) {
        self.next += 1;
        let id = RequestId(self.next);
        let plan = self.rng.random_range(0..4usize);
        // One plan's customers come in through one gateway, one's through the played ones, the others through all.
        let spread = [
            self.set.node_count,
            1,
            self.brains.len() as u32,
            self.set.node_count,
        ][plan];
        let request = Request {
            id,
            class: self.rng.random_range(0..3),
            plan,
            customer: format!("c{}-{plan}", self.rng.random_range(0..5)).into(),
            units: f64::from(self.rng.random_range(1..9u32)) / 2.0,
            time_left_ns: (500 + self.rng.random_range(0..1500)) * MS,
            is_retry: self.rng.random_range(0..10) == 0,
            node_set_size: spread,
            first_node: if plan == 1 { gateway as u32 } else { 0 },
        };
        self.give(gateway, Event::Request(request), weather);
        if self.rng.random_range(0..100) < weather.leave {
            self.give(gateway, Event::ClientDisconnected(id), weather);
        }
    }

    fn end(&mut self, flight: Flight, weather: Weather) {
        let finished = AttemptResult {
            request: flight.request,
            attempt: flight.attempt,
            endpoint: flight.backend,
            outcome: flight.outcome,
            latency_ns: flight.latency,
            request_complete: flight.outcome == Outcome::Success,
            settled_units: if self.rng.random_range(0..4) == 0 {
                2.5
            } else {
                0.0
            },
            load_report: vec![],
        };
        self.give(flight.gateway, Event::AttemptFinished(finished), weather);
    }

    fn pass(&mut self, time: u64, weather: Weather) {
        for _ in 0..time / TICK {
            self.now += TICK;
            while let Some(i) = (0..self.timers.len()).min_by_key(|i| self.timers[*i]) {
                if self.timers[i].0 > self.now {
                    break;
                }
                let (_, gateway, token) = self.timers.swap_remove(i);
                self.give(gateway, Event::TimerExpired(token), weather);
            }
            while let Some(i) = self.mail.iter().position(|m| m.due <= self.now) {
                let Datagram { from, to, text, .. } = self.mail.remove(i);
                self.give(to as usize, Event::PeerMessage { from, text }, weather);
            }
            while let Some(i) = self.flights.iter().position(|f| f.due <= self.now) {
                let flight = self.flights.remove(i);
                self.end(flight, weather);
            }
            for gateway in 0..self.brains.len() {
                let more = u32::from(self.rng.random_range(0..100) < weather.demand % 100);
                (0..weather.demand / 100 + more).for_each(|_| self.ask(gateway, weather));
            }
        }
    }

    /// One gateway hands over to a new process, which fails, hands over again, and is replaced.
    fn hand_over(&mut self, gateway: usize) {
        let _ = self.brains[gateway].export_snapshot().expect("written");
        self.pass(
            300 * MS,
            Weather {
                demand: 30,
                ..Weather::default()
            },
        );
        self.brains[gateway].resume();
        self.pass(
            300 * MS,
            Weather {
                demand: 30,
                ..Weather::default()
            },
        );
        let bytes = self.brains[gateway].export_snapshot().expect("written");
        self.digest.number(bytes.len() as u64);
        self.digest.bytes(&bytes);
        let me = gateway as u32;
        let set = PolicySettings {
            node: me,
            zone: me % 3,
            ..self.set.clone()
        };
        let mut next = DecisionPolicy::new(set, 77, self.now);
        next.import_snapshot(&bytes).expect("read");
        self.brains[gateway] = next;
        self.timers.retain(|t| t.1 != gateway);
        self.flights.retain(|f| f.gateway != gateway);
        self.give(
            gateway,
            Event::EndpointUpdate(EndpointUpdateKind::Snapshot, list(None, &[]).into()),
            Weather::default(),
        );
    }

    /// Closes a section: its line is its hash and what was counted in it.
    fn section(&mut self, name: &str, lines: &mut String) {
        let [sent, refused, failed, told] = std::mem::take(&mut self.counts);
        let kept: usize = self.brains.iter().map(DecisionPolicy::entry_count).sum();
        self.digest.number(kept as u64);
        let hash = std::mem::replace(&mut self.digest, Digest::new()).0;
        let _ = writeln!(
            lines,
            "{name} {hash:016x} sent {sent} refused {refused} failed {failed} told {told}"
        );
    }
}

/// All sections, for one size of fleet.
fn play(name: &str, seed: u64, fleet: u32, played: u32, mail_per_s: f64, lines: &mut String) {
    let usual = Weather {
        demand: 40,
        lost: 5,
        late_ms: 40,
        ..Weather::default()
    };
    let mut play = Play::new(seed, fleet, played, mail_per_s);
    let mut section = |play: &mut Play, what: &str| play.section(&format!("{name} {what}"), lines);
    play.pass(4 * S, usual);
    section(&mut play, "calm");
    play.pass(
        4 * S,
        Weather {
            error: 8,
            full: 5,
            timed_out: 5,
            reset: 4,
            no_connection: 4,
            leave: 10,
            ..usual
        },
    );
    section(&mut play, "faults");
    play.pass(
        3 * S,
        Weather {
            sick: Some(4),
            slow_ms: 30,
            ..usual
        },
    );
    section(&mut play, "one backend fails");
    play.pass(
        5 * S,
        Weather {
            demand: 250,
            slow_ms: 500,
            full: 10,
            timed_out: 10,
            ..usual
        },
    );
    section(&mut play, "overload");
    play.pass(4 * S, usual);
    section(&mut play, "recovery");
    let started = play.now;
    play.all(|| {
        Event::EndpointUpdate(
            EndpointUpdateKind::Delta,
            list(Some((2, started)), &[0, 5])[..6].into(),
        )
    });
    play.pass(
        3 * S,
        Weather {
            demand: 80,
            ..usual
        },
    );
    play.all(|| Event::EndpointUpdate(EndpointUpdateKind::Failed, [].into()));
    play.pass(S, usual);
    section(&mut play, "drain and slow start");
    play.all(|| Event::EndpointUpdate(EndpointUpdateKind::Snapshot, list(None, &[])[3..].into()));
    let back = list(None, &[])[7].clone();
    play.give(1, Event::ReturnedToService(back), usual);
    play.give(2, Event::ZoneTrafficShares(vec![0.25, 1.0]), usual);
    play.pass(
        3 * S,
        Weather {
            demand: 60,
            ..usual
        },
    );
    section(&mut play, "full list, maintenance, zone shares");
    play.pass(
        3 * S,
        Weather {
            lost: 60,
            late_ms: 900,
            demand: 90,
            ..usual
        },
    );
    section(&mut play, "lost and late datagrams");
    play.hand_over(1);
    play.pass(
        3 * S,
        Weather {
            demand: 70,
            ..usual
        },
    );
    section(&mut play, "hand-over");
    // A gap in the clock, then customers never seen again until they are forgotten.
    play.now += 2 * S;
    play.pass(12 * S, Weather { demand: 2, ..usual });
    play.pass(
        2 * S,
        Weather {
            demand: 120,
            slow_ms: 200,
            ..usual
        },
    );
    section(&mut play, "gap, forgetting, surge");
}

/// Many backends, a subset of them to each gateway, and the rarer conditions.
fn play_wide(name: &str, seed: u64, fleet: u32, played: u32, lines: &mut String) {
    let usual = Weather {
        demand: 60,
        lost: 5,
        late_ms: 40,
        ..Weather::default()
    };
    let mut play = Play::new(seed, fleet, played, 40.0);
    let wide = |started: Option<u64>, ready: u32| -> Vec<Endpoint> {
        let one = |i: u32| Endpoint {
            machine_type: i % 2,
            cell: i64::from(i % 7),
            started_at_ns: started,
            state: if i < ready {
                EndpointState::Ready
            } else {
                EndpointState::Removed
            },
            ..member(&format!("w{i}"), i % 3)
        };
        (0..48).map(one).collect()
    };
    let mut section = |play: &mut Play, what: &str| play.section(&format!("{name} {what}"), lines);
    let started = play.now;
    play.all(|| {
        Event::EndpointUpdate(EndpointUpdateKind::Snapshot, wide(Some(started), 48).into())
    });
    play.pass(
        5 * S,
        Weather {
            demand: 150,
            slow_ms: 60,
            ..usual
        },
    );
    section(&mut play, "all backends start at once");
    play.pass(
        5 * S,
        Weather {
            reset: 70,
            no_connection: 5,
            demand: 20,
            ..usual
        },
    );
    section(&mut play, "connections break");
    play.pass(
        5 * S,
        Weather {
            error: 75,
            demand: 60,
            ..usual
        },
    );
    section(&mut play, "retries run out");
    play.pass(
        5 * S,
        Weather {
            error: 40,
            slow_ms: 900,
            demand: 30,
            ..usual
        },
    );
    section(&mut play, "late failures of keyed requests");
    play.all(|| Event::EndpointUpdate(EndpointUpdateKind::Snapshot, wide(None, 10).into()));
    play.pass(
        4 * S,
        Weather {
            timed_out: 15,
            ..usual
        },
    );
    play.all(|| Event::EndpointUpdate(EndpointUpdateKind::Delta, wide(None, 31).into()));
    play.pass(3 * S, usual);
    section(&mut play, "most backends go, some come back");
    for _ in 0..6 {
        play.now += 450 * MS;
        play.pass(
            500 * MS,
            Weather {
                demand: 80,
                timed_out: 20,
                ..usual
            },
        );
    }
    section(&mut play, "the clock jumps");
    let wild = pool([900.0, 700.0, 0.0, 0.0, 0.0, 100.0, 400.0, 90.0, 700.0]);
    for _ in 0..20 {
        play.all(|| Event::PeerMessage {
            from: fleet - 1,
            text: wild.clone(),
        });
        play.pass(200 * MS, usual);
    }
    section(&mut play, "a peer's wild statistics");
    play.pass(
        12 * S,
        Weather {
            demand: 3,
            full: 50,
            slow_ms: 400,
            ..usual
        },
    );
    play.pass(8 * S, Weather { demand: 3, ..usual });
    section(&mut play, "little traffic");
    play.pass(
        3 * S,
        Weather {
            demand: 300,
            ..usual
        },
    );
    play.pass(
        6 * S,
        Weather {
            demand: 10,
            ..usual
        },
    );
    section(&mut play, "a surge after silence");
}

#[test]
fn every_decision_of_a_seeded_play_is_as_recorded() {
    let mut lines = String::new();
    play("small", 11, 4, 4, 100.0, &mut lines);
    play("medium", 12, 10, 10, 40.0, &mut lines);
    play("large", 13, 160, 12, 40.0, &mut lines);
    play("no messages taken in", 14, 4, 4, 0.0, &mut lines);
    play_wide("wide", 15, 160, 8, &mut lines);
    play_wide("wide small", 16, 3, 3, &mut lines);
    play_wide("wide sets", 17, 48, 12, &mut lines);
    assert_eq!(lines, GOLDEN, "decisions differ from the recorded ones");
}
