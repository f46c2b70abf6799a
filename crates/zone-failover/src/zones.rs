//! One ingress's part: evidence in, shares and words out.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::evidence::{Held, Saw, Sums};
use crate::settings::Settings;
use crate::verdict::{judge, Phase, Standing, View};
use crate::word::{Part, Word};

/// Memory of what peers are told, s: short, as what is good from before a failure hides it; and of what speaks for itself.
const MEMORY: (f64, f64) = (1.0, 2.0);
/// Intervals between words while a zone fails and is not left yet, and while one is out or coming back.
const EVERY: (u32, u32) = (1, 2);
/// After which an ingress that hears of no trouble tells nothing, s.
const QUIET: f64 = 2.0;
/// Share of what is bad from which an ingress tells of it.
const TROUBLE: f64 = 0.1;
/// Peers that have to have told before anything is judged, and for how long what each told counts, s.
const QUORUM: u32 = 3;
const LATELY: f64 = 1.5;
/// Outcomes of a zone that one ingress counts for at the most: a voice each, and one that lies has no more.
const VOICE: f64 = 3.0;
/// Outcomes of no use from which an ingress says that a zone is of none.
const NO_USE: f64 = 0.3;
/// A life knows too little to judge in its first moments, s; the others' verdict it may follow.
const YOUNG: f64 = 3.0;
/// A longer gap in its own clock, s: what it holds is of another time.
const STALL: f64 = 1.0;
/// Most that canaries' share is of a zone's usual traffic.
const CANARIES: f64 = 0.1;

/// What an interval brings.
#[derive(Debug, Default)]
pub struct Step {
    /// A word and the peer to tell.
    pub word: Option<(u32, Word)>,
    /// Lines for the log: zone and what became of it.
    pub lines: Vec<(String, String)>,
}

/// What one ingress knows of all zones.
#[derive(Clone, Debug)]
pub struct Zones {
    set: Settings,
    names: Vec<String>,
    held: Vec<Held>,
    servers: Vec<u32>,
    standings: Vec<Standing>,
    fleet: u32,
    me: u32,
    life: u32,
    number: u32,
    rng: SmallRng,
    /// By peer, its last word and when it came.
    heard: BTreeMap<u32, (f64, Word)>,
    born: f64,
    last: f64,
    ticks: u32,
    /// When trouble was last seen or heard of, s.
    trouble: f64,
}

impl Zones {
    /// One of a fleet of so many, that knows of these zones: the same names, in any order, at all of them.
    pub fn new(set: &Settings, names: &[String], fleet: u32, me: u32, seed: u64, now: f64) -> Self {
        let mut names = names.to_vec();
        names.sort();
        names.dedup();
        let mut rng = SmallRng::seed_from_u64(seed);
        Zones {
            set: set.clone(),
            held: vec![Held::default(); names.len()],
            servers: vec![0; names.len()],
            standings: vec![Standing::new(now); names.len()],
            names,
            fleet: fleet.max(1),
            me,
            life: rng.random(),
            number: 0,
            rng,
            heard: BTreeMap::new(),
            born: now,
            last: now,
            ticks: 0,
            trouble: f64::NEG_INFINITY,
        }
    }

    /// Names of all zones, by their numbers.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// The number of a zone.
    pub fn number(&self, name: &str) -> Option<usize> {
        self.names.binary_search_by(|n| n.as_str().cmp(name)).ok()
    }

    /// Limit servers that the list names in each zone. Names that nobody set are dropped.
    pub fn list<'a>(&mut self, servers: impl Iterator<Item = (&'a str, u32)>) {
        self.servers.fill(0);
        for (name, count) in servers {
            if let Some(zone) = self.number(name) {
                self.servers[zone] = count;
            }
        }
    }

    /// An attempt at an instance of a zone ended, or is overdue by far.
    pub fn saw(&mut self, zone: usize, instance: u32, saw: Saw) {
        if let Some(held) = self.held.get_mut(zone) {
            held.saw(instance, saw);
        }
    }

    /// Where a zone stands.
    pub fn phase(&self, zone: usize) -> Phase {
        self.standings.get(zone).map_or(Phase::In, |s| s.phase)
    }

    /// Part of its usual traffic that a zone gets from this ingress now, canaries included: 0 to 1.
    pub fn share(&self, zone: usize) -> f64 {
        let Some(standing) = self.standings.get(zone) else {
            return 1.0;
        };
        if standing.phase == Phase::In {
            return 1.0;
        }
        // The fleet's canaries over what its traffic would be there: a few for all, not for each.
        let all: u32 = self.servers.iter().sum();
        let usual = f64::from(self.servers[zone]) / f64::from(all.max(1));
        let own: f64 = self.held.iter().map(|h| h.own.all()).sum::<f64>() / MEMORY.1;
        let canaries = self.set.canaries_per_s / (f64::from(self.fleet) * own * usual).max(1e-9);
        standing.share.max(canaries.min(CANARIES))
    }

    /// Takes in a peer's word; one that is old, repeated or foreign changes nothing.
    pub fn hear(&mut self, now: f64, from: u32, word: &Word) {
        if from >= self.fleet || from == self.me {
            return;
        }
        // One that started again counts anew; of one life, only what is newer.
        if self
            .heard
            .get(&from)
            .is_some_and(|(_, last)| last.life == word.life && word.number <= last.number)
        {
            return;
        }
        let bad =
            |part: &Part| part.sums.bad() > TROUBLE && part.sums.all() >= 1.0 || part.share < 1.0;
        if word.parts.iter().any(bad) {
            self.trouble = now;
        }
        self.heard.insert(from, (now, word.clone()));
    }

    /// An interval has passed.
    pub fn tick(&mut self, now: f64) -> Step {
        let passed = (now - self.last).max(0.0);
        self.last = now;
        if passed > STALL {
            self.wake(now);
        }
        let kept = ((-passed / MEMORY.0).exp(), (-passed / MEMORY.1).exp());
        self.held.iter_mut().for_each(|held| held.interval(kept));
        // Their numbers are kept for longer than what they told: a late word would count again.
        self.heard.retain(|_, (at, _)| now - *at < 60.0);
        for (held, standing) in self.held.iter_mut().zip(&self.standings) {
            if held.own.bad() > TROUBLE && held.own.all() >= 1.0 || standing.phase != Phase::In {
                self.trouble = now;
            }
        }
        let lately: Vec<&Word> = self
            .heard
            .values()
            .filter(|(at, _)| now - at < LATELY)
            .map(|(_, word)| word)
            .collect();
        // Those of a small fleet are heard of more often than they can be lost; of a large one, a sample.
        let pooled = lately.len() as u32 >= QUORUM.min(self.fleet - 1) && now - self.born >= YOUNG;
        let view = |i: usize| {
            let told = lately
                .iter()
                .filter_map(|word| word.parts.iter().find(|p| p.zone as usize == i));
            let Held { fresh, own, .. } = self.held[i].clone();
            let no_use = |sums: &Sums| u32::from(sums.failing + sums.dead >= NO_USE);
            let (mut fleet, mut voices) = (fresh.most(VOICE), no_use(&fresh));
            let (mut shares, mut peers) = (0.0, 0.0);
            for part in told {
                fleet = fleet.plus(part.sums.most(VOICE));
                voices += no_use(&part.sums);
                (shares, peers) = (shares + part.share, peers + 1.0);
            }
            let mean = (peers >= f64::from(QUORUM.min(self.fleet - 1)) && peers > 0.0)
                .then(|| shares / peers);
            View {
                servers: self.servers[i],
                fleet,
                voices,
                fresh,
                own,
                mean,
            }
        };
        let views: Vec<View> = (0..self.names.len()).map(view).collect();
        // Cut off from everybody, it sees each zone fail: its own trouble, and no ground to leave any.
        let seen = || views.iter().filter(|v| v.own.all() >= 1.0);
        let cut = seen().count() > 1 && seen().all(|v| v.own.bad() >= self.set.leave_at);
        let lines = judge(
            &self.set,
            now,
            passed,
            (pooled || self.fleet == 1) && !cut,
            QUORUM.min(self.fleet - 1).max(1),
            &views,
            &mut self.standings,
        );
        let lines = lines
            .into_iter()
            .map(|(i, text)| (self.names[i].clone(), text))
            .collect();
        self.ticks += 1;
        let pending = views
            .iter()
            .zip(&self.standings)
            .any(|(v, s)| s.phase == Phase::In && v.fleet.bad() > TROUBLE);
        let every = if pending { EVERY.0 } else { EVERY.1 };
        let tells =
            self.fleet > 1 && now - self.trouble < QUIET && self.ticks.is_multiple_of(every);
        Step {
            word: tells.then(|| self.word()),
            lines,
        }
    }

    /// What it saw itself, to one peer drawn anew.
    fn word(&mut self) -> (u32, Word) {
        let to = (self.me + 1 + self.rng.random_range(0..self.fleet - 1)) % self.fleet;
        self.number += 1;
        let there = |i: &usize| self.servers[*i] > 0;
        let part = |i: usize| {
            let (held, standing) = (&self.held[i], &self.standings[i]);
            Part {
                zone: i as u16,
                sums: held.fresh,
                share: standing.share,
            }
        };
        let mut parts: Vec<Part> = (0..self.names.len()).filter(there).map(part).collect();
        // What is worst goes first: there is room for some ten zones.
        parts.sort_by(|a, b| b.sums.bad().total_cmp(&a.sums.bad()));
        (
            to,
            Word {
                life: self.life,
                number: self.number,
                parts,
            },
        )
    }

    /// It was stopped, or its machine was: what it held is of another time, and so is its verdict, which it takes from the
    /// fleet anew.
    fn wake(&mut self, now: f64) {
        for (held, standing) in self.held.iter_mut().zip(&mut self.standings) {
            *held = Held::default();
            if standing.phase != Phase::In {
                // Canaries at first; the fleet's mean says within a second whether the others use it.
                standing.turn(now, Phase::Out, 0.0);
            }
        }
        self.trouble = now;
    }
}
