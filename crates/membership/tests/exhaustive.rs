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

use applewall_membership::{
    ApplyOutcome, MemberRecord, MemberState, MemberUpdate, MergedMembership, WatchEffect,
    WatchInput, WatchMachine, WatchTiming,
};

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
        items: Vec<MemberUpdate>,
    },
    Watching,
    Changes {
        revision: u64,
        items: Vec<MemberUpdate>,
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
    live: BTreeMap<String, MemberUpdate>,
    history: Vec<MemberUpdate>,
    /// The next revision that the watch wants, while there is one.
    watch: Option<u64>,
    wire: VecDeque<Message>,
    follow: WatchMachine,
    roster: MergedMembership,
    now: u64,
    /// What one holds who hears of changes only, and how many births that heard.
    heard: BTreeMap<String, MemberRecord>,
    births: usize,
}

fn entry(port: u16) -> MemberRecord {
    let endpoint = ([127, 0, 0, 1], port).into();
    MemberRecord {
        endpoint,
        az: String::new(),
        pod_group: -1,
        state: MemberState::InService,
        capacity_hint: 0.0,
        boot_ms: 0,
    }
}

impl World {
    fn new() -> Self {
        let pace = WatchTiming {
            progress_interval_ns: 100 * MS,
            response_timeout_ns: 150 * MS,
            backoff_ns: (MS, 10 * MS),
            full_read_jitter_ns: 10 * MS,
        };
        let mut world = World {
            revision: 1,
            compacted: 0,
            live: BTreeMap::new(),
            history: Vec::new(),
            watch: None,
            wire: VecDeque::new(),
            follow: WatchMachine::new(pace, 1, None),
            roster: MergedMembership::new(1, u64::MAX),
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
            let created = self
                .live
                .get("a")
                .map_or(self.revision, |old| old.create_revision);
            // Another port each time would hide births: the address stays, only the capacity changes.
            let entry = put.then(|| MemberRecord {
                capacity_hint: self.revision as f64,
                ..entry(1)
            });
            let item = MemberUpdate {
                id: "a".into(),
                revision: self.revision,
                create_revision: created,
                record: entry,
            };
            match put {
                true => drop(self.live.insert("a".into(), item.clone())),
                false => drop(self.live.remove("a")),
            }
            self.history.push(item);
        }
    }

    fn act(&mut self, acts: Vec<WatchEffect>) {
        for act in acts {
            match act {
                WatchEffect::Connect { .. } => self.wire = [Message::Connected].into(),
                WatchEffect::ReadList => {
                    let items = self.live.values().cloned().collect();
                    self.wire.push_back(Message::Read {
                        revision: self.revision,
                        items,
                    });
                }
                WatchEffect::Watch { from } => {
                    self.watch = Some(from);
                    self.wire.push_back(Message::Watching);
                }
                WatchEffect::RequestProgress => {
                    let revision = self.watch.map_or(0, |next| next - 1);
                    self.wire.push_back(Message::Proof { revision });
                }
                WatchEffect::Disconnect { .. } => {
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
        let items: Vec<MemberUpdate> = self
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
                self.now = self.now.max(self.follow.next_deadline());
                self.follow.handle(self.now, WatchInput::Tick)
            }
            Some(Message::Connected) => self.follow.handle(self.now, WatchInput::Connected),
            Some(Message::Read { revision, items }) => {
                self.roster
                    .source_mut(0)
                    .apply_full_list(self.now, 7, revision, true, items);
                self.follow.handle(
                    self.now,
                    WatchInput::ListRead {
                        cluster: 7,
                        revision,
                    },
                )
            }
            Some(Message::Watching) => self.follow.handle(self.now, WatchInput::WatchCreated),
            Some(Message::Proof { revision }) => {
                self.roster
                    .source_mut(0)
                    .apply_progress(self.now, 7, revision);
                self.follow.handle(
                    self.now,
                    WatchInput::Progress {
                        cluster: 7,
                        revision,
                    },
                )
            }
            Some(Message::Changes { revision, items }) => {
                assert_eq!(
                    self.roster
                        .source_mut(0)
                        .apply_changes(self.now, 7, revision, items),
                    ApplyOutcome::Applied
                );
                self.follow.handle(
                    self.now,
                    WatchInput::Progress {
                        cluster: 7,
                        revision,
                    },
                )
            }
            Some(Message::Compacted) => self.follow.handle(self.now, WatchInput::Compacted),
        };
        self.act(acts);
        for change in self.roster.take_changes(self.now) {
            self.births += usize::from(change.new_incarnation);
            match change.record {
                Some(entry) => drop(self.heard.insert(change.id, entry)),
                None => assert!(self.heard.remove(&change.id).is_some(), "gone twice"),
            }
        }
    }

    fn settled(&self) -> bool {
        self.wire.is_empty()
            && self.follow.is_live()
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
                let acts = world.follow.handle(world.now, WatchInput::ConnectionLost);
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
        .map(|(id, i)| (id.clone(), i.record.clone().unwrap()))
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
