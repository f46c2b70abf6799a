//! Every schedule of up to three writes, one compaction and two breaks, with deliveries between: none loses a change,
//! and none tells one twice. The course of the watch and the list run against a registry in memory.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]
#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::{BTreeMap, VecDeque};

use applewall_membership::{Act, Entry, Event, Follow, Item, Pace, Roster, State, Took};

const MS: u64 = 1_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Write,
    Compact,
    Break,
    Deliver,
}

/// What a write does to the one key that they all concern.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Put,
    Delete,
    /// Removed and put again in one transaction: two events, one answer.
    Again,
}

enum Message {
    Connected,
    Read {
        revision: u64,
        items: Vec<Item>,
    },
    Watching,
    Changes {
        revision: u64,
        items: Vec<Item>,
    },
    /// Nothing else was sent up to this.
    Proof {
        revision: u64,
    },
    Compacted,
}

struct World {
    revision: u64,
    compacted: u64,
    live: BTreeMap<String, Item>,
    history: Vec<Item>,
    /// The next revision that the watch wants, while there is one.
    watch: Option<u64>,
    wire: VecDeque<Message>,
    follow: Follow,
    roster: Roster,
    now: u64,
    /// What one holds who hears of changes only, and how many births that heard.
    heard: BTreeMap<String, Entry>,
    births: usize,
}

fn entry(port: u16) -> Entry {
    let endpoint = ([127, 0, 0, 1], port).into();
    Entry {
        endpoint,
        az: String::new(),
        pod_group: -1,
        state: State::InService,
        capacity_hint: 0.0,
        boot_ms: 0,
    }
}

impl World {
    fn new() -> Self {
        let pace = Pace {
            probe: 100 * MS,
            patience: 150 * MS,
            backoff: (MS, 10 * MS),
            spread: 10 * MS,
        };
        let mut world = World {
            revision: 1,
            compacted: 0,
            live: BTreeMap::new(),
            history: Vec::new(),
            watch: None,
            wire: VecDeque::new(),
            follow: Follow::new(pace, 1, None),
            roster: Roster::new(1, u64::MAX),
            now: 0,
            heard: BTreeMap::new(),
            births: 0,
        };
        world.write(Kind::Put);
        world
    }

    fn write(&mut self, kind: Kind) {
        let steps: &[bool] = match kind {
            Kind::Put => &[true],
            Kind::Delete => &[false],
            Kind::Again => &[false, true],
        };
        for put in steps {
            self.revision += 1;
            let created = self.live.get("a").map_or(self.revision, |old| old.created);
            // Another port each time would hide births: the address stays, only the capacity changes.
            let entry = put.then(|| Entry {
                capacity_hint: self.revision as f64,
                ..entry(1)
            });
            let item = Item {
                id: "a".into(),
                revision: self.revision,
                created,
                entry,
            };
            match put {
                true => drop(self.live.insert("a".into(), item.clone())),
                false => drop(self.live.remove("a")),
            }
            self.history.push(item);
        }
    }

    fn act(&mut self, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Connect { .. } => self.wire = [Message::Connected].into(),
                Act::Read => {
                    let items = self.live.values().cloned().collect();
                    self.wire.push_back(Message::Read {
                        revision: self.revision,
                        items,
                    });
                }
                Act::Watch { from } => {
                    self.watch = Some(from);
                    self.wire.push_back(Message::Watching);
                }
                Act::Probe => {
                    let revision = self.watch.map_or(0, |next| next - 1);
                    self.wire.push_back(Message::Proof { revision });
                }
                Act::Drop { .. } => {
                    self.watch = None;
                    self.wire.clear();
                }
            }
        }
    }

    /// The registry sends what the watch has not been sent.
    fn pump(&mut self) {
        let Some(from) = self.watch else { return };
        if from < self.compacted {
            self.watch = None;
            return self.wire.push_back(Message::Compacted);
        }
        let items: Vec<Item> = self
            .history
            .iter()
            .filter(|item| item.revision >= from)
            .cloned()
            .collect();
        if !items.is_empty() {
            self.watch = Some(self.revision + 1);
            self.wire.push_back(Message::Changes {
                revision: self.revision,
                items,
            });
        }
    }

    /// One message arrives, or time passes until something is due.
    fn deliver(&mut self) {
        self.pump();
        self.now += 1;
        let acts = match self.wire.pop_front() {
            None => {
                self.now = self.now.max(self.follow.due());
                self.follow.on(self.now, Event::Tick)
            }
            Some(Message::Connected) => self.follow.on(self.now, Event::Connected),
            Some(Message::Read { revision, items }) => {
                self.roster
                    .source(0)
                    .full(self.now, 7, revision, true, items);
                self.follow.on(
                    self.now,
                    Event::Read {
                        cluster: 7,
                        revision,
                    },
                )
            }
            Some(Message::Watching) => self.follow.on(self.now, Event::Watching),
            Some(Message::Proof { revision }) => {
                self.roster.source(0).progress(self.now, 7, revision);
                self.follow.on(
                    self.now,
                    Event::Told {
                        cluster: 7,
                        revision,
                    },
                )
            }
            Some(Message::Changes { revision, items }) => {
                assert_eq!(
                    self.roster.source(0).changes(self.now, 7, revision, items),
                    Took::News
                );
                self.follow.on(
                    self.now,
                    Event::Told {
                        cluster: 7,
                        revision,
                    },
                )
            }
            Some(Message::Compacted) => self.follow.on(self.now, Event::Compacted),
        };
        self.act(acts);
        for change in self.roster.changes(self.now) {
            self.births += usize::from(change.anew);
            match change.entry {
                Some(entry) => drop(self.heard.insert(change.id, entry)),
                None => assert!(self.heard.remove(&change.id).is_some(), "gone twice"),
            }
        }
    }

    fn settled(&self) -> bool {
        self.wire.is_empty()
            && self.follow.live()
            && self.watch.is_some_and(|next| next > self.revision)
    }
}

fn play(steps: &[Step], kinds: &[Kind]) {
    let mut world = World::new();
    // It follows before anything happens.
    (0..20).take_while(|_| !world.settled()).count();
    while !world.settled() {
        world.deliver();
    }
    let mut kinds = kinds.iter();
    for step in steps {
        match step {
            Step::Write => world.write(*kinds.next().unwrap()),
            Step::Compact => {
                world.compacted = world.revision;
                world
                    .history
                    .retain(|item| item.revision >= world.compacted);
            }
            Step::Break => {
                world.watch = None;
                world.wire.clear();
                world.now += 1;
                let acts = world.follow.on(world.now, Event::Broke);
                world.act(acts);
            }
            Step::Deliver => world.deliver(),
        }
    }
    for _ in 0..200 {
        if world.settled() {
            break;
        }
        world.deliver();
    }
    assert!(world.settled(), "it never follows again: {steps:?}");
    let live: BTreeMap<_, _> = world
        .live
        .iter()
        .map(|(id, i)| (id.clone(), i.entry.clone().unwrap()))
        .collect();
    assert_eq!(world.heard, live, "{steps:?}");
    // The first life, and one at most for each write.
    assert!(
        world.births <= 1 + steps.iter().filter(|s| **s == Step::Write).count(),
        "{steps:?}"
    );
}

/// All orders of what is left of each step.
fn orders(left: &mut [(Step, usize)], so_far: &mut Vec<Step>, seen: &mut dyn FnMut(&[Step])) {
    if left.iter().all(|(_, n)| *n == 0) {
        return seen(so_far);
    }
    for i in 0..left.len() {
        if left[i].1 > 0 {
            left[i].1 -= 1;
            so_far.push(left[i].0);
            orders(left, so_far, seen);
            so_far.pop();
            left[i].1 += 1;
        }
    }
}

#[test]
fn no_schedule_loses_or_repeats_a_change() {
    const KINDS: [Kind; 3] = [Kind::Put, Kind::Delete, Kind::Again];
    let mut played = 0;
    for deliveries in [0, 2] {
        let mut left = [
            (Step::Write, 3),
            (Step::Compact, 1),
            (Step::Break, 2),
            (Step::Deliver, deliveries),
        ];
        orders(&mut left, &mut Vec::new(), &mut |steps| {
            for i in 0..27 {
                play(steps, &[KINDS[i % 3], KINDS[i / 3 % 3], KINDS[i / 9]]);
                played += 1;
            }
        });
    }
    // 60 orders without deliveries and 1,680 with two, 27 kinds of writes each.
    assert_eq!(played, (60 + 1_680) * 27);
}
