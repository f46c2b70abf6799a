//! Plain state that the decision module keeps; no decisions and no tuned values here.

use std::collections::{BTreeMap, VecDeque};

use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::api::{BackendId, Member, RequestId, Settings};

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
    pub fn read(&self, now: f64, memory: f64) -> f64 {
        self.rate * (-(now - self.at).max(0.0) / memory).exp()
    }
    pub fn add(&mut self, now: f64, amount: f64, memory: f64) {
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
pub struct Evidence {
    /// Outcomes at sound backends.
    pub answers: f64,
    /// Answers whose latency, set against the aim, is above the overload threshold.
    pub high: f64,
    /// Answers whose latency, set against the aim, is below the underload threshold.
    pub low: f64,
    /// Outcomes refused or unconnected.
    pub refused: f64,
    /// Outcomes timed out.
    pub timed_out: f64,
    /// Intervals summed up.
    pub intervals: f64,
    /// Work out, summed over the intervals.
    pub out: f64,
    /// Work done, summed over the intervals.
    pub done: f64,
    /// Work asked for within quotas, summed over the intervals.
    pub asked: f64,
}

impl Evidence {
    /// Numbers in it.
    pub const PARTS: usize = 9;

    /// The numbers, in order.
    pub fn parts(&self) -> [f64; Self::PARTS] {
        let Evidence {
            answers,
            high,
            low,
            refused,
            timed_out,
            intervals,
            out,
            done,
            asked,
        } = *self;
        [
            answers, high, low, refused, timed_out, intervals, out, done, asked,
        ]
    }

    /// From the numbers, in order.
    pub fn from_parts(part: impl Fn(usize) -> f64) -> Self {
        Evidence {
            answers: part(0),
            high: part(1),
            low: part(2),
            refused: part(3),
            timed_out: part(4),
            intervals: part(5),
            out: part(6),
            done: part(7),
            asked: part(8),
        }
    }

    /// This with a part of another added.
    pub fn plus(&self, other: &Evidence, weight: f64) -> Self {
        let (a, b) = (self.parts(), other.parts());
        Evidence::from_parts(|i| a[i] + b[i] * weight)
    }

    /// A part of it.
    pub fn times(&self, weight: f64) -> Self {
        Evidence::default().plus(self, weight)
    }
}

/// The filter hierarchy, its history and its buckets.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Ladder {
    pub filter: usize,
    pub rates: Vec<f64>,
    pub focal: f64,
    pub index: VecDeque<i32>,
    pub tallies: VecDeque<Evidence>,
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
    pub member: Member,
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
    /// Time without an answer while work is out.
    pub fn silence(&self, now: f64) -> f64 {
        self.out
            .iter()
            .map(|o| o.sent)
            .reduce(f64::min)
            .map_or(0.0, |oldest| now - oldest.max(self.last_ok))
    }
    pub fn load(&self) -> f64 {
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
pub struct Brain {
    pub(crate) set: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) born: f64,
    pub(crate) listed: bool,
    pub(crate) incarnation: u32,
    pub(crate) ladder: Ladder,
    pub(crate) customers: BTreeMap<u32, Customer>,
    pub(crate) backends: Vec<Backend>,
    /// Part of its usual work that each zone gets.
    pub(crate) zones: Vec<f64>,
    pub(crate) numbers: BTreeMap<BackendId, usize>,
    pub(crate) held: BTreeMap<RequestId, Held>,
    /// Learned latency of each class and size, s, and how many answers taught it.
    pub(crate) latency: Vec<(f64, f64)>,
    /// Learned latency of each kind of machine, as part of the usual one, and how many answers taught it.
    pub(crate) speeds: Vec<(f64, f64)>,
    pub(crate) retries: f64,
    /// Of each peer: its incarnation.
    pub(crate) heard: BTreeMap<u32, u32>,
    pub(crate) arrivals: Meter,
    /// Evidence shared with peers, and the parts taken in lately.
    pub(crate) pool: Evidence,
    pub(crate) told: Evidence,
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

/// Sizes in units that latencies are learned for apart: few, so that each is seen.
pub(crate) const SIZES: usize = 4;

impl Brain {
    /// Mean latency over kinds of request, by their answers; none known is 0.
    pub(crate) fn mean(kinds: &[(f64, f64)]) -> f64 {
        let (sum, known) = kinds
            .iter()
            .fold((0.0, 0.0), |(sum, known), l| (sum + l.0 * l.1, known + l.1));
        sum / f64::max(known, 1.0)
    }

    /// Share of its capacity that a backend has, by how long ago it started.
    pub(crate) fn cold_share(&self, b: &Backend, now: f64) -> f64 {
        let warm = ((now - b.cold_from) / secs(self.set.cold_time).max(1e-9)).clamp(0.0, 1.0);
        self.set.cold_share + (1.0 - self.set.cold_share) * warm
    }

    /// What is learned of a request's latency goes by its class and its units: units often tell of its work.
    pub(crate) fn kind(&self, class: usize, units: f64) -> usize {
        class * SIZES + (units.round() as usize).clamp(1, SIZES) - 1
    }

    /// How much is kept, in entries of all kinds: levels off however many come and go.
    pub fn kept(&self) -> usize {
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
    pub(crate) fn blank(set: Settings, rng: SmallRng) -> Self {
        Brain {
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
            pool: Evidence::default(),
            told: Evidence::default(),
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
