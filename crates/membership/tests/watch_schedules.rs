//! Runs the watch and the merged membership against an in-memory registry, in every order of three writes, one
//! compaction, two lost connections and up to two message deliveries. No order may lose a change or report one twice.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use applewall_membership::{
    Backoff, ClusterId, FullList, MemberRecord, MemberState, MemberUpdate, MergedMembership,
    Position, ReadConsistency, SourceId, SourceInput, SourceOutput, WatchInput, WatchMachine,
    WatchOutput, WatchTiming,
};

const CLUSTER: ClusterId = ClusterId(7);
const REGISTRY: SourceId = SourceId(0);
/// Time between two messages.
const MESSAGE_INTERVAL: Duration = Duration::from_nanos(1);
/// Maximum number of deliveries until the watch must be up to date again.
const MAX_DELIVERIES: usize = 200;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Write,
    Compact,
    Disconnect,
    Deliver,
}

/// The kinds of writes. All of them apply to the same key.
#[derive(Clone, Copy, Debug)]
enum Write {
    Put,
    Delete,
    /// The key is deleted and created again in one transaction: two events in one response.
    Recreate,
}

enum Message {
    Connected,
    List {
        position: Position,
        updates: Vec<MemberUpdate>,
    },
    WatchCreated,
    Changes {
        position: Position,
        updates: Vec<MemberUpdate>,
    },
    /// There are no further changes up to this position.
    Progress(Position),
    Compacted,
}

/// A registry with its keys and their history.
struct Registry {
    revision: u64,
    compacted: u64,
    members: BTreeMap<String, MemberUpdate>,
    history: Vec<MemberUpdate>,
}

impl Registry {
    fn write(&mut self, write: Write) {
        let puts: &[bool] = match write {
            Write::Put => &[true],
            Write::Delete => &[false],
            Write::Recreate => &[false, true],
        };
        for put in puts {
            self.revision += 1;
            let create_revision = self
                .members
                .get("a")
                .map_or(self.revision, |old| old.create_revision);
            let update = MemberUpdate {
                id: "a".into(),
                revision: self.revision,
                create_revision,
                // Only the capacity changes: a change of the port would be a new incarnation by itself.
                record: put.then(|| record(self.revision as f64)),
            };
            if *put {
                self.members.insert("a".into(), update.clone());
            } else {
                self.members.remove("a");
            }
            self.history.push(update);
        }
    }

    fn compact(&mut self) {
        self.compacted = self.revision;
        let compacted = self.compacted;
        self.history.retain(|update| update.revision >= compacted);
    }

    fn position(&self) -> Position {
        at(self.revision)
    }

    fn changes_from(&self, revision: u64) -> Vec<MemberUpdate> {
        self.history
            .iter()
            .filter(|update| update.revision >= revision)
            .cloned()
            .collect()
    }
}

struct Simulation {
    registry: Registry,
    /// The next revision to send on the watch; `None` without a watch.
    watch_from: Option<u64>,
    /// Messages that were sent and not yet delivered.
    in_flight: VecDeque<Message>,
    machine: WatchMachine,
    membership: MergedMembership,
    now: Instant,
    /// The members as the reported changes add up to them.
    known: BTreeMap<String, MemberRecord>,
    /// Number of new incarnations among the reported changes.
    incarnations: usize,
}

fn at(revision: u64) -> Position {
    Position {
        cluster: CLUSTER,
        revision,
    }
}

fn record(capacity_hint: f64) -> MemberRecord {
    MemberRecord {
        endpoint: ([127, 0, 0, 1], 1).into(),
        az: String::new(),
        pod_group: -1,
        state: MemberState::InService,
        capacity_hint,
        boot_ms: 0,
    }
}

impl Simulation {
    /// A registry with one member, and a watch that is up to date.
    fn up_to_date() -> Self {
        let timing = WatchTiming {
            progress_interval: Duration::from_millis(100),
            response_timeout: Duration::from_millis(150),
            backoff: Backoff {
                initial: Duration::from_millis(1),
                max: Duration::from_millis(10),
            },
            full_read_jitter: Duration::from_millis(10),
        };
        let now = Instant::now();
        let registry = Registry {
            revision: 1,
            compacted: 0,
            members: BTreeMap::new(),
            history: Vec::new(),
        };
        let mut simulation = Simulation {
            registry,
            watch_from: None,
            in_flight: VecDeque::new(),
            machine: WatchMachine::new(now, timing, 1, None),
            membership: MergedMembership::new(1, Duration::MAX),
            now,
            known: BTreeMap::new(),
            incarnations: 0,
        };
        simulation.registry.write(Write::Put);
        while !simulation.is_up_to_date() {
            simulation.deliver();
        }
        simulation
    }

    fn step(&mut self, step: Step, writes: &mut std::slice::Iter<'_, Write>) {
        match step {
            Step::Write => self.registry.write(*writes.next().unwrap()),
            Step::Compact => self.registry.compact(),
            Step::Disconnect => {
                self.watch_from = None;
                self.in_flight.clear();
                self.now += MESSAGE_INTERVAL;
                self.input(WatchInput::ConnectionLost);
            }
            Step::Deliver => self.deliver(),
        }
    }

    fn input(&mut self, input: WatchInput) {
        for output in self.machine.handle(self.now, input) {
            self.perform(output);
        }
    }

    fn perform(&mut self, output: WatchOutput) {
        match output {
            WatchOutput::Connect { .. } => self.in_flight = [Message::Connected].into(),
            WatchOutput::ReadList => self.in_flight.push_back(Message::List {
                position: self.registry.position(),
                updates: self.registry.members.values().cloned().collect(),
            }),
            WatchOutput::Watch { from } => {
                self.watch_from = Some(from);
                self.in_flight.push_back(Message::WatchCreated);
            }
            WatchOutput::RequestProgress => {
                let revision = self.watch_from.map_or(0, |next| next - 1);
                self.in_flight.push_back(Message::Progress(at(revision)));
            }
            WatchOutput::Disconnect { .. } => {
                self.watch_from = None;
                self.in_flight.clear();
            }
        }
    }

    /// Sends the changes that were not yet sent on the watch.
    fn send_changes(&mut self) {
        let Some(from) = self.watch_from else { return };
        if from < self.registry.compacted {
            self.watch_from = None;
            return self.in_flight.push_back(Message::Compacted);
        }
        let updates = self.registry.changes_from(from);
        if !updates.is_empty() {
            self.watch_from = Some(self.registry.revision + 1);
            self.in_flight.push_back(Message::Changes {
                position: self.registry.position(),
                updates,
            });
        }
    }

    /// Delivers one message, or advances the time to the next deadline if there is none.
    fn deliver(&mut self) {
        self.send_changes();
        self.now += MESSAGE_INTERVAL;
        let message = self.in_flight.pop_front();
        let source = self.membership.source_mut(REGISTRY);
        let input = match message {
            None => {
                self.now = self.now.max(self.machine.next_deadline());
                WatchInput::Tick
            }
            Some(Message::Connected) => WatchInput::Connected,
            Some(Message::List { position, updates }) => {
                let list = FullList {
                    position,
                    consistency: ReadConsistency::Consistent,
                    updates,
                };
                source.handle(self.now, SourceInput::FullList(list));
                WatchInput::ListRead(position)
            }
            Some(Message::WatchCreated) => WatchInput::WatchCreated,
            Some(Message::Progress(position)) => {
                source.handle(self.now, SourceInput::Progress(position));
                WatchInput::Progress(position)
            }
            Some(Message::Changes { position, updates }) => {
                let output = source.handle(self.now, SourceInput::Changes { position, updates });
                assert_eq!(output, SourceOutput::Applied);
                WatchInput::Progress(position)
            }
            Some(Message::Compacted) => WatchInput::Compacted,
        };
        self.input(input);
        self.take_changes();
    }

    fn take_changes(&mut self) {
        for change in self.membership.take_changes(self.now) {
            self.incarnations += usize::from(change.new_incarnation);
            match change.record {
                Some(record) => drop(self.known.insert(change.id, record)),
                None => assert!(self.known.remove(&change.id).is_some(), "removed twice"),
            }
        }
    }

    fn is_up_to_date(&self) -> bool {
        self.in_flight.is_empty()
            && self.machine.is_live()
            && self
                .watch_from
                .is_some_and(|next| next > self.registry.revision)
    }
}

fn check_schedule(steps: &[Step], writes: &[Write]) {
    let mut simulation = Simulation::up_to_date();
    let mut writes = writes.iter();
    for step in steps {
        simulation.step(*step, &mut writes);
    }
    for _ in 0..MAX_DELIVERIES {
        if simulation.is_up_to_date() {
            break;
        }
        simulation.deliver();
    }
    assert!(
        simulation.is_up_to_date(),
        "watch is not up to date after {MAX_DELIVERIES} deliveries: {steps:?}"
    );
    let members: BTreeMap<_, _> = simulation
        .registry
        .members
        .iter()
        .map(|(id, update)| (id.clone(), update.record.clone().unwrap()))
        .collect();
    assert_eq!(simulation.known, members, "{steps:?}");
    // The first incarnation, and at most one for each write.
    let writes = steps.iter().filter(|step| **step == Step::Write).count();
    assert!(simulation.incarnations <= 1 + writes, "{steps:?}");
}

/// Calls `visit` with every order of the remaining steps, each preceded by `prefix`.
fn for_each_order(
    remaining: &mut [(Step, usize)],
    prefix: &mut Vec<Step>,
    visit: &mut dyn FnMut(&[Step]),
) {
    if remaining.iter().all(|(_, count)| *count == 0) {
        return visit(prefix);
    }
    for index in 0..remaining.len() {
        if remaining[index].1 > 0 {
            remaining[index].1 -= 1;
            prefix.push(remaining[index].0);
            for_each_order(remaining, prefix, visit);
            prefix.pop();
            remaining[index].1 += 1;
        }
    }
}

#[test]
fn no_schedule_of_writes_compactions_and_breaks_loses_or_repeats_a_change() {
    const WRITES: [Write; 3] = [Write::Put, Write::Delete, Write::Recreate];
    let mut schedules = 0;
    for deliveries in [0, 2] {
        let mut remaining = [
            (Step::Write, 3),
            (Step::Compact, 1),
            (Step::Disconnect, 2),
            (Step::Deliver, deliveries),
        ];
        for_each_order(&mut remaining, &mut Vec::new(), &mut |steps| {
            for kinds in 0..27 {
                let writes = [WRITES[kinds % 3], WRITES[kinds / 3 % 3], WRITES[kinds / 9]];
                check_schedule(steps, &writes);
                schedules += 1;
            }
        });
    }
    // 60 orders without deliveries and 1,680 with two, each with 27 combinations of writes.
    assert_eq!(schedules, (60 + 1_680) * 27);
}
