//! The reckoning itself.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::{Muster, Roll, Settings, Word};

/// After which one that has started no longer waits for its peers' answers, s: twice the slowest that datagrams are.
const LISTEN: f64 = 0.08;
/// How long a peer that told of its start counts as one that starts, s.
const LATELY: f64 = 2.0;
/// How long the service counts as one that turns callers away, s.
const BUSY: f64 = 2.0;
/// Answers to peers a second at most: a part of the 40 datagrams that each takes in.
const ANSWERS: f64 = 5.0;
/// For so long from its start on an ingress passes on the roll of those that start, s; and takes words of it in.
const SPREAD: (f64, f64) = (2.0, 4.0);
/// Within which the roll has gone round, s, and the least window of the whole fleet that may begin as late as that.
const GATHER: (f64, f64) = (1.0, 4.0);
/// Between its words of the roll, s: ten of the 40 datagrams a second that each takes in, while a fleet starts.
const SPREAD_EVERY: f64 = 0.1;
/// Least wait before a call is repeated, s.
const LEAST: f64 = 0.05;
/// Part of the window within which one without a list that is turned away calls again, and a second time in twice that;
const AGAIN: f64 = 0.2;
/// so often before it waits for its own place again, where all start, and where its window rests on a guess of how many do.
const SOON: (u32, u32) = (1, 2);
/// A call that took longer was held by the service, s.
const HELD: f64 = 0.1;
/// Windows of the fleet within which one that has a list does, at the most: it begins with one, and doubles.
const STRETCH: f64 = 4.0;
/// A watch asks to wait so long at the least and at the most, s: the platform takes a minute at most.
const WATCH: (f64, f64) = (5.0, 60.0);
/// Part of the budget that watches without news may use; the rest is for those that start, and for news.
const WATCH_PART: f64 = 0.5;

/// What an ingress has of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum List {
    /// None.
    None,
    /// One of an earlier life, at this revision.
    Old(u64),
    /// What the service told in this life, at this revision.
    Told(u64),
}

impl List {
    fn rev(self) -> Option<u64> {
        match self {
            List::None => None,
            List::Old(rev) | List::Told(rev) => Some(rev),
        }
    }
}

/// What one ingress knows of when its turn is.
#[derive(Clone, Debug)]
pub struct Turns {
    calls_per_s: f64,
    ask_peers: u32,
    fleet: u32,
    me: u32,
    rng: SmallRng,
    born: f64,
    /// When the last of those that start together came up, as far as is known.
    origin: f64,
    /// Unix time of the caller's moment 0, s.
    unix: f64,
    list: List,
    /// It started without any.
    bare: bool,
    /// Peers that told of their start, with the time of their last word; and whether they have a list.
    starting: Vec<(u32, f64, bool)>,
    /// Peers that answered, and whether they had just started themselves; what they heard of others.
    answers: Vec<(u32, bool, u32)>,
    /// Those that start together with it, as one tells the next, and when it told of them last.
    roll: Roll,
    spread: f64,
    /// The newest revision that a peer has from the service.
    newest: Option<u64>,
    /// Tries in a row without an answer.
    failures: u32,
    /// When the service last turned a caller away, here or as a peer tells.
    busy: f64,
    /// Answers that may be given now, and when that was.
    saved: (f64, f64),
}

impl Turns {
    /// One of a fleet of so many that starts now, with this list. `unix`: the Unix time of the caller's moment 0, s.
    pub fn new(
        set: &Settings,
        (fleet, me): (u32, u32),
        list: List,
        seed: u64,
        now: f64,
        unix: f64,
    ) -> Self {
        Turns {
            calls_per_s: set.calls_per_s,
            ask_peers: set.ask_peers,
            fleet: fleet.max(1),
            me,
            rng: SmallRng::seed_from_u64(seed),
            born: now,
            origin: now,
            unix,
            list,
            bare: list == List::None,
            starting: Vec::new(),
            answers: Vec::new(),
            roll: Roll::new(fleet.max(1), me),
            spread: f64::NEG_INFINITY,
            newest: None,
            failures: 0,
            busy: f64::NEG_INFINITY,
            saved: (ANSWERS, now),
        }
    }

    /// The word to ask peers with at the start, and which of them.
    pub fn hello(&mut self, now: f64) -> (Word, Vec<u32>) {
        let others = self.fleet - 1;
        let mut peers: Vec<u32> = Vec::new();
        while (peers.len() as u32) < self.ask_peers.min(others) {
            let peer = (self.me + 1 + self.rng.random_range(0..others)) % self.fleet;
            if !peers.contains(&peer) {
                peers.push(peer);
            }
        }
        (self.word(now, true), peers)
    }

    fn word(&self, now: f64, asks: bool) -> Word {
        Word {
            asks,
            age: ((now - self.born).max(0.0) * 10.0) as u64,
            rev: self.list.rev(),
            current: matches!(self.list, List::Told(_)),
            busy: now - self.busy < BUSY,
            starting: self
                .starting
                .iter()
                .filter(|(_, at, _)| now - at < LATELY)
                .count() as u32,
        }
    }

    /// Takes in a peer's word; what is to be answered to it, if anything.
    pub fn hear(&mut self, now: f64, from: u32, word: Word) -> Option<Word> {
        if from >= self.fleet || from == self.me {
            return None;
        }
        // Only a call made too early or, within the window, too late can follow from a word that is wrong: a revision
        // is compared, never taken over.
        if word.current {
            self.newest = self.newest.max(word.rev);
        }
        if word.busy {
            self.busy = self.busy.max(now - BUSY / 2.0);
        }
        let young = (word.age as f64) < LATELY * 10.0;
        if young {
            self.starting
                .retain(|(peer, at, _)| *peer != from && now - at < LATELY);
            self.starting.push((from, now, word.rev.is_some()));
            // One that has its list by now says no more which kind it is.
            if now - self.born < SPREAD.1 && !word.current {
                self.roll.enter(from, word.rev.is_none());
            }
        }
        if !word.asks {
            if !self.answers.iter().any(|(peer, ..)| *peer == from)
                && self.answers.len() < self.ask_peers as usize
            {
                self.answers.push((from, young, word.starting));
            }
            return None;
        }
        let (saved, at) = self.saved;
        let saved = (saved + (now - at) * ANSWERS).min(ANSWERS);
        self.saved = (saved - f64::from(u8::from(saved >= 1.0)), now);
        (saved >= 1.0).then(|| self.word(now, false))
    }

    /// Takes in a peer's word of the roll.
    pub fn hear_roll(&mut self, now: f64, from: u32, word: &Muster) {
        // Of another start than this one's: a late word would make its window longer than it has to be.
        if from < self.fleet && from != self.me && now - self.born < SPREAD.1 {
            self.roll.hear(word);
            // By the clock that all machines read: reckoned from ages, each hop's delay would make it later. One whose
            // clock is wrong by more than a start lasts is not followed.
            let birth = word.latest as f64 / 1000.0 - self.unix;
            if (birth - self.born).abs() < SPREAD.0 {
                self.origin = self.origin.max(birth.min(now));
            }
        }
    }

    /// What it has of the roll, for a peer that asks: its own start's while that goes on, else whoever told it lately.
    pub fn muster(&mut self, now: f64) -> Muster {
        if self.spreads(now) {
            return self.roll.word(
                Some(self.bare),
                ((self.origin + self.unix) * 1000.0).max(0.0) as u64,
            );
        }
        let mut roll = Roll::new(self.fleet, self.me);
        for (peer, _, list) in self.starting.iter().filter(|(_, at, _)| now - at < LATELY) {
            roll.enter(*peer, !list);
        }
        roll.word(None, 0)
    }

    /// A word of the roll and the peer to tell, where it is time; none once its start is long enough ago.
    pub fn spread(&mut self, now: f64) -> Option<(u32, Muster)> {
        if !self.spreads(now) || now - self.spread < SPREAD_EVERY || self.fleet < 2 {
            return None;
        }
        self.spread = now;
        // Those that start have use for it; who knows of none yet asks anybody.
        let known = self.roll.counts().0;
        let to = match known {
            0 => (self.me + 1 + self.rng.random_range(0..self.fleet - 1)) % self.fleet,
            _ => {
                self.roll
                    .peers()
                    .nth(self.rng.random_range(0..known) as usize)?
                    .0
            }
        };
        Some((to, self.muster(now)))
    }

    /// True while its start goes on, and with it the passing on of the roll.
    pub fn spreads(&self, now: f64) -> bool {
        now - self.born < SPREAD.0
    }

    /// How many are known to start together, itself among them, and how many of them had no list; true where peers know
    /// the same.
    pub fn start(&self) -> (u32, u32, bool) {
        let (known, without) = self.roll.counts();
        (known + 1, without + u32::from(self.bare), self.roll.whole())
    }

    /// How many start together with this one: counted where the roll is whole, else the most that may be.
    fn many(&self) -> f64 {
        let known = f64::from(self.roll.counts().0 + 1);
        if self.roll.whole() {
            known
        } else {
            known.max(self.together())
        }
    }

    /// How many of the fleet have started together with this one, as far as it can know from those it asked.
    pub fn together(&self) -> f64 {
        let (n, asked) = (
            f64::from(self.fleet),
            f64::from(self.ask_peers.min(self.fleet - 1)),
        );
        if asked == 0.0 {
            return 1.0;
        }
        // Nobody answers: all are as new, or all words are lost. The worst is taken for true.
        if self.answers.is_empty() && self.starting.is_empty() {
            return n;
        }
        let answered = self.answers.len().max(1) as f64;
        let young = self.answers.iter().filter(|(_, young, _)| *young).count() as f64;
        // Each that starts asks so many peers: who hears h of them takes them for h * n / asked.
        // This one is among them.
        let heard = self
            .answers
            .iter()
            .map(|(.., heard)| f64::from(heard.saturating_sub(1)))
            .sum::<f64>()
            / answered;
        let own = self.starting.len() as f64;
        let by_share = if self.answers.is_empty() {
            n
        } else {
            young / answered * n
        };
        // Of those asked, who was silent may just not be up yet: half of them count as starting.
        let silent = (asked - self.answers.len() as f64).max(0.0) / 2.0 / asked * n;
        by_share
            .max(heard.max(own - asked) * n / asked)
            .max(silent)
            .clamp(1.0, n)
    }

    /// True while more words of peers could still change when its first turn is.
    pub fn listens(&self, now: f64) -> bool {
        now - self.born < LISTEN && (self.answers.len() as u32) < self.ask_peers.min(self.fleet - 1)
    }

    /// The first call's moment, by what is known now. It may be asked again as words come in.
    pub fn first(&self, now: f64) -> f64 {
        if self.listens(now) {
            return self.born + LISTEN;
        }
        let window = self.window();
        (self.begin(window) + window * self.part(now)).max(now)
    }

    /// The window of those that start together, s.
    fn window(&self) -> f64 {
        self.many() / self.calls_per_s
    }

    /// Its place in that window, 0 to 1, later where a list can wait: those without one come first, each kind in the
    /// fleet's order. Of a kind that is known in whole each has a step to itself.
    fn part(&self, now: f64) -> f64 {
        let place = self.place();
        let (known, without) = self.roll.counts();
        let (known, without) = (f64::from(known), f64::from(without));
        // A kind that is known in whole has even steps of its own; of a part of it the rank says less than the place among
        // all does.
        let whole = self.roll.whole();
        let of = |kind: f64| {
            if whole {
                (f64::from(self.roll.before(self.bare)) + 0.5) / kind
            } else {
                place
            }
        };
        // Of the few that told at first, the share without a list says little.
        let doubt = if whole { 0.0 } else { 0.5 };
        let all = known + 1.0 + 2.0 * doubt;
        if self.bare {
            let share = if without == known {
                1.0
            } else {
                (without + 1.0 + doubt) / all
            };
            return of(without + 1.0) * share;
        }
        let share = if without == 0.0 {
            0.0
        } else {
            (without + doubt) / all
        };
        // Who knows that there is news goes before the others of its kind.
        let news =
            matches!(self.list, List::Old(rev) if self.newest.is_some_and(|newest| newest > rev));
        // Where callers are turned away, one that has a list leaves the service to the others for a window.
        let busy = without > 0.0 && matches!(self.list, List::Old(_)) && now - self.busy < BUSY;
        let place = of(known - without + 1.0) * if news && without > 0.0 { 0.5 } else { 1.0 };
        share + place * (1.0 - share) + f64::from(u8::from(busy))
    }

    /// Its place among all, 0 to 1, in even steps.
    fn place(&self) -> f64 {
        (self.roll.order(self.me) as f64 + 0.5) / f64::from(self.fleet)
    }

    /// When windows of this length begin to be counted: those whose first places come up while they listen would all
    /// call when that ends. The same for all, from when the last of them came up, as places are even among those of one
    /// beginning alone. Where only some start, or not all without a list, places rest on the roll: then windows begin
    /// once that has gone round, if the fleet's own is long enough for it.
    fn begin(&self, window: f64) -> f64 {
        let (known, without) = self.roll.counts();
        let bare = without + u32::from(self.bare);
        let lived = self.answers.iter().any(|(_, young, _)| !young);
        let some = lived && !self.roll.whole() || self.roll.whole() && known + 1 < self.fleet;
        let mixed = some || (1..=known).contains(&bare);
        let waits = if mixed && self.whole() >= GATHER.1 {
            GATHER.0
        } else {
            LISTEN
        };
        if window > 10.0 * LISTEN {
            self.origin + waits
        } else {
            self.born
        }
    }

    /// Its own place in the first of these windows, s, that lets it come later than `after`. Whoever keeps to its place
    /// calls once a window, so all together keep to the budget, whatever became of the calls before.
    fn slot(&self, window: f64, place: f64, after: f64) -> f64 {
        let first = self.begin(window) + window * place;
        first + window * (((after - first) / window).floor() + 1.0).max(0.0)
    }

    /// The window of the whole fleet, s.
    fn whole(&self) -> f64 {
        f64::from(self.fleet) / self.calls_per_s
    }

    /// The service answered at this revision. The moment of the next call.
    pub fn answered(&mut self, now: f64, rev: u64, news: bool) -> f64 {
        let first = !matches!(self.list, List::Told(_));
        // The place that it had until now: its kind is what it started with.
        let part = self.part(now);
        self.failures = 0;
        self.list = List::Told(rev);
        // A first watch is a call more for each: those who have no list yet go before it.
        if first {
            let window = self.window();
            return self.slot(window, part, now.max(self.begin(window) + window));
        }
        // All that watched were answered together, and would call again together; where nothing is new, they are as
        // far apart as they were.
        if !news {
            return now;
        }
        now + self.whole() * self.place()
    }

    /// The service turned this one away, broke off, or said nothing in time, so long after the call, s. The moment of
    /// the next call.
    pub fn failed(
        &mut self,
        now: f64,
        waited: f64,
        turned_away: bool,
        retry_after: Option<f64>,
    ) -> f64 {
        self.failures = (self.failures + 1).min(16);
        if turned_away {
            self.busy = now;
        }
        // What it loses with a list, all of the fleet have lost.
        let (window, place) = match self.list {
            List::None => (self.window(), self.part(now)),
            _ => (self.whole(), self.place()),
        };
        if let Some(told) = retry_after {
            return self.slot(window, place, now + told.clamp(LEAST, 60.0));
        }
        // A few that are turned away may come again soon, within the slack of the budget. Not those whose calls were
        // held: all of these are turned away at one moment, by a service that comes back.
        let guess = window < self.whole() && !self.roll.whole();
        let soon = if guess { SOON.1 } else { SOON.0 };
        if turned_away && self.list == List::None && self.failures <= soon && waited < HELD {
            return now
                + LEAST
                + window * AGAIN * f64::from(self.failures) * self.rng.random::<f64>();
        }
        // Where it goes on, each comes less and less: without a list once in the whole fleet's window at the least, as
        // those with one leave the service to the others.
        let most = if self.list == List::None {
            (self.whole() / window).max(1.0)
        } else {
            STRETCH
        };
        let windows = f64::from(1u32 << (self.failures - 1)).min(most).floor();
        self.slot(window, place, now + LEAST)
            + window * f64::from(self.rng.random_range(0..windows as u32))
    }

    /// Begins anew with what it has: another service is named, to all of the fleet at about the same time.
    pub fn again(&mut self, now: f64) {
        (self.born, self.origin) = (now, now);
        self.list = self.list.rev().map_or(List::None, List::Old);
        self.bare = self.list == List::None;
        self.spread = f64::NEG_INFINITY;
        // What peers have of another service says nothing of this one.
        (self.newest, self.failures, self.busy) = (None, 0, f64::NEG_INFINITY);
        self.roll = Roll::new(self.fleet, self.me);
        self.starting.clear();
        self.answers.clear();
    }

    /// How long a watch asks to wait: as long as all of the fleet's watches keep to their part of the budget.
    pub fn watch(&self) -> f64 {
        (f64::from(self.fleet) / (self.calls_per_s * WATCH_PART)).clamp(WATCH.0, WATCH.1)
    }

    /// The list that it has.
    pub fn list(&self) -> List {
        self.list
    }
}
