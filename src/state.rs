//! Plain state that the decision module keeps; no decisions and no tuned values here.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::collections::{BTreeMap, VecDeque};

use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::api::{Endpoint, EndpointId, EndpointState, PolicySettings, RequestId};

/// Seconds of nanoseconds.
pub(crate) fn secs(ns: u64) -> f64 {
    ns as f64 / 1e9
}

/// Nanoseconds of seconds, none for what is below nothing.
pub(crate) fn nanos(s: f64) -> u64 {
    (s.max(0.0) * 1e9) as u64
}

/// An exponentially forgetting rate.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct Meter {
    pub rate: f64,
    pub at: f64,
}

impl Meter {
    pub(crate) fn read(&self, now: f64, memory: f64) -> f64 {
        self.rate * (-(now - self.at).max(0.0) / memory).exp()
    }
    pub(crate) fn add(&mut self, now: f64, amount: f64, memory: f64) {
        *self = Meter {
            rate: self.read(now, memory) + amount / memory,
            at: now,
        };
    }
}

/// One (plan, class) pair: the tier whose bucket a request draws on.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Tier {
    pub demand: Meter,
    pub value: f64,
    pub tokens: f64,
    pub fill: f64,
    pub asked: f64,
}

/// Counts of outcomes, for the load index and the backlog: of one interval, or summed and aged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadStatistics {
    /// Outcomes at sound backends.
    pub outcomes: f64,
    /// Answers whose latency, set against the aim, is above the overload threshold.
    pub slow: f64,
    /// Answers whose latency, set against the aim, is below the underload threshold.
    pub fast: f64,
    /// Outcomes refused or unconnected.
    pub rejected: f64,
    /// Outcomes timed out.
    pub timed_out: f64,
    /// Intervals summed up.
    pub intervals: f64,
    /// Work out, summed over the intervals.
    pub in_flight: f64,
    /// Work done, summed over the intervals.
    pub completed: f64,
    /// Work asked for within quotas, summed over the intervals.
    pub requested: f64,
}

impl LoadStatistics {
    /// Numbers in it.
    pub const FIELD_COUNT: usize = 9;

    /// The numbers, in order.
    pub fn to_array(self) -> [f64; Self::FIELD_COUNT] {
        let LoadStatistics {
            outcomes: answers,
            slow: high,
            fast: low,
            rejected: refused,
            timed_out,
            intervals,
            in_flight: out,
            completed: done,
            requested: asked,
        } = self;
        [
            answers, high, low, refused, timed_out, intervals, out, done, asked,
        ]
    }

    /// From the numbers, in order.
    pub fn from_fn(part: impl Fn(usize) -> f64) -> Self {
        LoadStatistics {
            outcomes: part(0),
            slow: part(1),
            fast: part(2),
            rejected: part(3),
            timed_out: part(4),
            intervals: part(5),
            in_flight: part(6),
            completed: part(7),
            requested: part(8),
        }
    }

    /// This with a part of another added.
    pub fn plus(&self, other: &LoadStatistics, weight: f64) -> Self {
        let (a, b) = (self.to_array(), other.to_array());
        LoadStatistics::from_fn(|i| a[i] + b[i] * weight)
    }

    /// A part of it.
    pub fn scaled(&self, weight: f64) -> Self {
        LoadStatistics::default().plus(self, weight)
    }
}

/// The filter hierarchy, its history and its buckets.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Ladder {
    pub filter: usize,
    pub rates: Vec<f64>,
    pub focal: f64,
    pub index: VecDeque<i32>,
    pub tallies: VecDeque<LoadStatistics>,
    pub switched: f64,
    pub onset: Option<f64>,
    pub lag: f64,
    pub done: Meter,
    pub memory: f64,
    pub tiers: Vec<Tier>,
}

/// What a peer last told of a customer: totals (coded), and the demand that came through it.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct PeerUse {
    pub sent: u32,
    pub asked: u32,
    pub demand: Meter,
    /// What its ceiling's bank lent it and it has not used yet, as a rate.
    pub lent: Meter,
}

/// A keeper's word on a customer: demand summed over the set, and when it was told.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Word {
    pub demand: f64,
    /// The store's level as told, units.
    pub store: f64,
    pub at: f64,
}

/// A customer's store as far as this gateway knows it.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Customer {
    pub plan: Option<usize>,
    pub spread: u32,
    pub first: u32,
    /// The gateways that sum its use.
    pub keepers: Vec<u32>,
    /// True where this gateway is one of them.
    pub keeps: bool,
    /// Estimate of the global store, units.
    pub store: f64,
    /// This gateway's part of the ceiling's store, units.
    pub ceiling: f64,
    /// Share of the ceiling that is dealt out evenly; the rest is in the first keeper's bank.
    pub dealt: f64,
    /// What the bank holds, units, where this gateway is the one that lends.
    pub bank: Option<f64>,
    /// Least part of a unit that lets a request pass the ceiling, drawn anew with each that passes.
    pub luck: f64,
    /// In the line of those whose use the keepers have yet to be told.
    pub untold: bool,
    pub at: f64,
    pub seen: f64,
    pub since: f64,
    /// Demand that came through this gateway, and all that is known here.
    pub own: Meter,
    pub demand: Meter,
    /// What others sent on, as far as they tell.
    pub theirs: Meter,
    /// Units sent on and asked for in this life.
    pub sent: f64,
    pub asked: f64,
    pub out: u32,
    pub peers: BTreeMap<u32, PeerUse>,
    /// Level that a peer reported before this gateway knew the plan, share of the burst.
    pub level: f64,
    pub word: Option<Word>,
    /// Since when a keeper's word is due.
    pub due: Option<f64>,
}

impl Customer {
    pub(crate) fn new(now: f64) -> Self {
        Customer {
            at: now,
            seen: now,
            since: now,
            level: 1.0,
            spread: 1,
            dealt: 1.0,
            luck: 1.0,
            ..Customer::default()
        }
    }
}

/// An attempt that is out.
#[derive(Clone)]
pub(crate) struct Out {
    pub request: RequestId,
    pub attempt: u32,
    pub sent: f64,
    pub cost: f64,
    pub class: usize,
    pub plan: usize,
    pub kind: usize,
}

/// A backend as this gateway sees it.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Backend {
    pub member: Endpoint,
    pub ready: bool,
    /// The list no longer names it, or as gone.
    pub gone: bool,
    /// Of the part of the backends that this gateway keeps to.
    pub mine: bool,
    pub cold_from: f64,
    /// Given back by the operators after it was in use, and not used since.
    pub owed: bool,
    /// Another process has none of these.
    #[serde(skip)]
    pub out: Vec<Out>,
    pub slowness: f64,
    pub last_ok: f64,
    pub strikes: u32,
    /// Until when it gets hardly any work.
    pub out_until: f64,
    pub lately: VecDeque<(f64, f64)>,
    /// Good and failed outcomes by label: the classes, then the plans.
    pub health: Vec<[Meter; 2]>,
}

impl Backend {
    /// One that nothing is known of but its entry in the list.
    pub(crate) fn new(member: Endpoint, cold_from: f64, labels: usize) -> Self {
        Backend {
            ready: member.state == EndpointState::Ready,
            slowness: 1.0,
            health: vec![[Meter::default(); 2]; labels],
            ..Backend {
                member,
                cold_from,
                ..Backend::default()
            }
        }
    }

    /// Time without an answer while work is out.
    pub(crate) fn silence(&self, now: f64) -> f64 {
        self.out
            .iter()
            .map(|o| o.sent)
            .reduce(f64::min)
            .map_or(0.0, |oldest| now - oldest.max(self.last_ok))
    }
    pub(crate) fn load(&self) -> f64 {
        self.out.iter().map(|o| o.cost).sum()
    }
}

/// A request that still waits for its answer.
#[derive(Default)]
pub(crate) struct Held {
    pub class: usize,
    /// Class and size, as latencies are learned.
    pub kind: usize,
    pub customer: u32,
    pub plan: usize,
    pub units: f64,
    pub charged: bool,
    pub deadline: f64,
    pub attempts: u32,
    /// When its present attempt was sent, and that one's cost.
    pub sent: f64,
    pub cost: f64,
    /// Backend and send time of the first attempt that may have run.
    pub tainted: Option<(usize, f64)>,
    pub tried: Vec<usize>,
}

/// The decisions of one gateway.
pub struct DecisionPolicy {
    pub(crate) set: PolicySettings,
    pub(crate) rng: SmallRng,
    pub(crate) born: f64,
    pub(crate) listed: bool,
    pub(crate) incarnation: u32,
    pub(crate) ladder: Ladder,
    pub(crate) customers: BTreeMap<u32, Customer>,
    pub(crate) backends: Vec<Backend>,
    /// Part of its usual work that each zone gets.
    pub(crate) zones: Vec<f64>,
    pub(crate) numbers: BTreeMap<EndpointId, usize>,
    pub(crate) held: BTreeMap<RequestId, Held>,
    /// Learned latency of each class and size, s, and how many answers taught it.
    pub(crate) latency: Vec<(f64, f64)>,
    /// Learned latency of each kind of machine, as part of the usual one, and how many answers taught it.
    pub(crate) speeds: Vec<(f64, f64)>,
    pub(crate) retries: f64,
    /// Of each peer: its incarnation.
    pub(crate) heard: BTreeMap<u32, u32>,
    pub(crate) arrivals: Meter,
    /// LoadStatistics shared with peers, and the parts taken in lately.
    pub(crate) pool: LoadStatistics,
    pub(crate) told: LoadStatistics,
    pub(crate) mixed: Meter,
    /// Work that a gateway's part of one warm backend is known to carry, per s, and how many warm ones all
    /// that are ready come to.
    pub(crate) carried: f64,
    pub(crate) strength: f64,
    pub(crate) next_pool: f64,
    /// Customers whose use the keepers have yet to be told.
    pub(crate) untold: VecDeque<u32>,
    pub(crate) next_report: f64,
    pub(crate) next_word: f64,
    pub(crate) next_sweep: f64,
    /// When the last event came, and the last one that came after a gap.
    pub(crate) last: f64,
    pub(crate) stalled: f64,
    pub(crate) watch_wait: f64,
    pub(crate) logged: u32,
}

/// Answers that what others of a class take counts for: the first few scatter widely.
const GUESS: f64 = 2.0;

/// Sizes in units that latencies are learned for apart: few, so that each is seen.
pub(crate) const SIZES: usize = 4;

impl DecisionPolicy {
    /// Latency of a kind of request; while few of its answers are known, mostly that of its class or of all.
    pub(crate) fn usual(&self, kind: usize) -> f64 {
        let class = DecisionPolicy::mean(&self.latency[kind / SIZES * SIZES..][..SIZES]);
        let guess = if class > 0.0 {
            class
        } else {
            DecisionPolicy::mean(&self.latency)
        };
        let (own, known) = self.latency[kind];
        (own * known + guess * GUESS) / (known + GUESS)
    }

    /// Cost of a kind of request, in requests of the mean, from learned latencies; before these, all alike.
    pub(crate) fn cost(&self, kind: usize) -> f64 {
        let mean = DecisionPolicy::mean(&self.latency);
        if mean > 0.0 {
            (self.usual(kind) / mean).clamp(0.1, 10.0)
        } else {
            1.0
        }
    }

    /// Work out that is not yet past its aim: beyond it is lost, and must not fill the backlog of all.
    pub(crate) fn out(&self, now: f64) -> f64 {
        let young = |h: &&Held| now - h.sent < secs(self.set.classes[h.class].latency_objective_ns);
        self.held.values().filter(young).map(|h| h.cost).sum()
    }

    /// Mean latency over kinds of request, by their answers; none known is 0.
    pub(crate) fn mean(kinds: &[(f64, f64)]) -> f64 {
        let (sum, known) = kinds
            .iter()
            .fold((0.0, 0.0), |(sum, known), l| (sum + l.0 * l.1, known + l.1));
        sum / f64::max(known, 1.0)
    }

    /// Share of its capacity that a backend has, by how long ago it started.
    pub(crate) fn cold_share(&self, b: &Backend, now: f64) -> f64 {
        let warm = ((now - b.cold_from) / secs(self.set.slow_start_ns).max(1e-9)).clamp(0.0, 1.0);
        self.set.slow_start_fraction + (1.0 - self.set.slow_start_fraction) * warm
    }

    /// What is learned of a request's latency goes by its class and its units: units often tell of its work.
    pub(crate) fn kind(&self, class: usize, units: f64) -> usize {
        class * SIZES + (units.round() as usize).clamp(1, SIZES) - 1
    }

    /// How much is kept, in entries of all kinds: levels off however many come and go.
    pub fn entry_count(&self) -> usize {
        let outs: usize = self
            .backends
            .iter()
            .map(|b| b.out.len() + b.lately.len())
            .sum();
        let peers: usize = self.customers.values().map(|c| c.peers.len()).sum();
        let names =
            self.numbers.len() + self.backends.len() + self.customers.len() + self.untold.len();
        names + outs + peers + self.held.len() + self.heard.len()
    }

    /// One that has seen nothing.
    pub(crate) fn blank(set: PolicySettings, rng: SmallRng) -> Self {
        DecisionPolicy {
            set,
            rng,
            born: 0.0,
            listed: false,
            incarnation: 0,
            ladder: Ladder::default(),
            customers: BTreeMap::new(),
            backends: Vec::new(),
            zones: Vec::new(),
            numbers: BTreeMap::new(),
            held: BTreeMap::new(),
            latency: Vec::new(),
            speeds: Vec::new(),
            retries: 0.0,
            heard: BTreeMap::new(),
            arrivals: Meter::default(),
            pool: LoadStatistics::default(),
            told: LoadStatistics::default(),
            mixed: Meter::default(),
            carried: 0.0,
            strength: 0.0,
            next_pool: 0.0,
            untold: VecDeque::new(),
            next_report: 0.0,
            next_word: 0.0,
            next_sweep: 0.0,
            last: 0.0,
            stalled: 0.0,
            watch_wait: 0.0,
            logged: 0,
        }
    }
}
