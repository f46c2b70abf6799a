//! The roll of those that start together: who told of it, and who of them has no list; passed on from one to the next.
//!
//! Both are sets that only grow in one start, so words that are lost, late, twice or out of order change nothing but how
//! soon all know all. A word carries a slice of both as bits: 640 ingresses in one datagram of 256 bytes.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;

/// First bytes of every word of the roll.
const HEAD: &str = "R1";
/// Ingresses that one word tells of: two sets of 80 bytes are 214 characters, and 24 are left for the rest.
const SLICE: u32 = 640;
/// Part of the fleet's size that the places of neighbours are apart: by the golden ratio, runs of any length lie evenly.
const GOLDEN: f64 = 0.618_033_988_749_894_9;
/// No moment of a start is later, Unix time in milliseconds: thirteen digits.
const LATEST: u64 = 9_999_999_999_999;
/// Words in a row, for each slice, that know just as many and none besides, after which the roll is taken for whole.
const STILL: u32 = 2;

/// A word of the roll: a slice of both sets, from the ingress `offset` on, eight to a byte.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Muster {
    /// Number of the first ingress that it tells of.
    pub offset: u32,
    /// When the last of them that is known came up, Unix time in milliseconds; 0: not known.
    pub latest: u64,
    /// Those that have started lately.
    pub started: Vec<u8>,
    /// Those of them that have no list.
    pub without: Vec<u8>,
}

impl Muster {
    /// True for what begins as one does.
    pub fn is(text: &str) -> bool {
        text.starts_with(HEAD)
    }

    /// As text.
    pub fn write(&self) -> String {
        let code = |bits: &[u8]| STANDARD_NO_PAD.encode(bits);
        format!(
            "{HEAD} {} {} {} {}",
            self.offset,
            self.latest,
            code(&self.started),
            code(&self.without)
        )
    }

    /// From text; nothing of one that is torn, foreign or of another version.
    pub fn read(text: &str) -> Option<Self> {
        let mut parts = text.strip_prefix(HEAD)?.strip_prefix(' ')?.split(' ');
        let mut number = || {
            let digits = parts
                .next()
                .filter(|p| !p.is_empty() && p.bytes().all(|b| b.is_ascii_digit()))?;
            digits.parse::<u64>().ok()
        };
        let (offset, latest) = (number()?, number().filter(|ms| *ms <= LATEST)?);
        let mut bits = || {
            STANDARD_NO_PAD
                .decode(parts.next()?)
                .ok()
                .filter(|b| b.len() <= SLICE as usize / 8)
        };
        let (started, without) = (bits()?, bits()?);
        let whole = parts.next().is_none() && started.len() == without.len();
        let offset = u32::try_from(offset).ok().filter(|o| o % SLICE == 0)?;
        // Nobody lacks a list who has not started.
        let sound = started
            .iter()
            .zip(&without)
            .all(|(all, part)| part & !all == 0);
        (whole && sound).then_some(Muster {
            offset,
            latest,
            started,
            without,
        })
    }
}

/// What one ingress knows of those that start together with it, itself left out.
#[derive(Clone, Debug)]
pub struct Roll {
    started: Vec<u8>,
    without: Vec<u8>,
    fleet: u32,
    me: u32,
    /// Words in a row that knew just as many and none besides.
    still: u32,
    /// The slice told last.
    slice: u32,
    /// By which the places of neighbours in the fleet's order are apart.
    step: u64,
    /// Of those with a list, and of those without, how many come before this one.
    before: [u32; 2],
    /// How many are on it, and how many of them have no list: asked for at each look at the first turn.
    counts: (u32, u32),
}

/// The greatest part that both have in common.
fn gcd(a: u64, b: u64) -> u64 {
    match b {
        0 => a,
        b => gcd(b, a % b),
    }
}

impl Roll {
    /// An empty one.
    pub fn new(fleet: u32, me: u32) -> Self {
        let bytes = vec![0; (fleet as usize).div_ceil(8)];
        let n = u64::from(fleet.max(1));
        // A step without a common part takes each place once.
        let step = ((n as f64 * GOLDEN) as u64..)
            .find(|step| gcd(*step, n) == 1)
            .unwrap_or(1);
        Roll {
            started: bytes.clone(),
            without: bytes,
            fleet,
            me,
            still: 0,
            slice: 0,
            step,
            before: [0; 2],
            counts: (0, 0),
        }
    }

    /// The place of an ingress in the order of all: it scatters neighbours, so that any part of the fleet, such as one
    /// rack, lies nearly evenly.
    pub fn order(&self, ingress: u32) -> u64 {
        u64::from(ingress) * self.step % u64::from(self.fleet.max(1))
    }

    /// How many that are on it come before this one, of those that have no list or of the others.
    pub fn before(&self, without: bool) -> u32 {
        self.before[usize::from(without)]
    }

    /// A peer told of its start itself; true where that was news.
    pub fn enter(&mut self, peer: u32, without: bool) -> bool {
        if peer >= self.fleet || peer == self.me {
            return false;
        }
        let (byte, bit) = (peer as usize / 8, 1 << (peer % 8));
        let news = self.started[byte] & bit == 0;
        self.started[byte] |= bit;
        // Said of itself, or by one who heard it: the first word stands.
        if news && without {
            self.without[byte] |= bit;
        }
        if news {
            self.counts = (self.counts.0 + 1, self.counts.1 + u32::from(without));
        }
        if news && self.order(peer) < self.order(self.me) {
            self.before[usize::from(without)] += 1;
        }
        news
    }

    /// Takes a word in.
    pub fn hear(&mut self, word: &Muster) {
        // What names nobody of this fleet is foreign: guards the numbers below against running over, too.
        if word.offset >= self.fleet {
            return;
        }
        let (mut news, mut told) = (false, 0);
        for (i, (all, part)) in word.started.iter().zip(&word.without).enumerate() {
            for bit in (0..8).filter(|bit| all & (1 << bit) != 0) {
                let peer = word.offset + i as u32 * 8 + bit;
                told += u32::from(peer != self.me);
                news |= self.enter(peer, part & (1 << bit) != 0);
            }
        }
        let own = self.started[word.offset as usize / 8..]
            .iter()
            .take(SLICE as usize / 8);
        let own: u32 = own.map(|byte| byte.count_ones()).sum();
        if news {
            self.still = 0;
        // A word that knows less, as one that is late does, says nothing of whether all are known.
        } else if told >= own {
            self.still = self.still.saturating_add(1);
        }
    }

    /// True where peers have come to know the same: that counts as all.
    pub fn whole(&self) -> bool {
        // Of each slice, as one says nothing of another.
        self.still >= STILL * self.fleet.div_ceil(SLICE)
    }

    /// A word on the next slice, this ingress's own start among it.
    pub fn word(&mut self, own: Option<bool>, latest: u64) -> Muster {
        let slices = self.fleet.div_ceil(SLICE);
        self.slice = (self.slice + 1) % slices;
        let offset = self.slice * SLICE;
        let (from, to) = (
            offset as usize / 8,
            self.started.len().min((offset + SLICE) as usize / 8),
        );
        let (mut started, mut without) = (
            self.started[from..to].to_vec(),
            self.without[from..to].to_vec(),
        );
        if let Some(bare) = own.filter(|_| (offset..offset + SLICE).contains(&self.me)) {
            let (byte, bit) = (self.me as usize / 8 - from, 1 << (self.me % 8));
            started[byte] |= bit;
            without[byte] |= if bare { bit } else { 0 };
        }
        Muster {
            offset,
            latest: latest.min(LATEST),
            started,
            without,
        }
    }

    /// Peers on it, in order; whether each has no list.
    pub fn peers(&self) -> impl Iterator<Item = (u32, bool)> + '_ {
        let has = |bits: &[u8], peer: u32| bits[peer as usize / 8] & (1 << (peer % 8)) != 0;
        let there = move |peer: &u32| has(&self.started, *peer);
        (0..self.fleet)
            .filter(there)
            .map(move |peer| (peer, has(&self.without, peer)))
    }

    /// How many are on it, and how many of them have no list.
    pub fn counts(&self) -> (u32, u32) {
        self.counts
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn full(fleet: u32, me: u32) -> Roll {
        let mut roll = Roll::new(fleet, me);
        for peer in 0..fleet {
            roll.enter(peer, peer % 2 == 0);
        }
        roll
    }

    #[test]
    fn words_of_a_large_fleet_fit_a_datagram_and_are_read_as_they_were_written() {
        for fleet in [3, 24, 300, 640, 641, 1000, 5000] {
            let mut roll = full(fleet, 1);
            let mut other = Roll::new(fleet, 0);
            for _ in 0..fleet.div_ceil(SLICE) {
                let word = roll.word(Some(true), u64::MAX);
                let text = word.write();
                assert!(
                    text.len() <= 256 && Muster::is(&text),
                    "{fleet}: {} bytes",
                    text.len()
                );
                assert_eq!(Muster::read(&text).as_ref(), Some(&word));
                other.hear(&word);
            }
            // All but itself; the even ones, and the one that told, have no list.
            let even = (fleet - 1) / 2;
            assert_eq!(other.counts(), (fleet - 1, even + 1));
        }
    }

    #[test]
    fn what_comes_twice_or_out_of_order_changes_nothing_and_all_is_known_once_nothing_new_comes() {
        let (mut roll, mut peer) = (Roll::new(20, 3), Roll::new(20, 4));
        let early = peer.word(Some(false), 5);
        peer.enter(7, true);
        let late = peer.word(Some(false), 5);
        [&late, &early, &late]
            .into_iter()
            .for_each(|word| roll.hear(word));
        assert_eq!(roll.peers().collect::<Vec<_>>(), [(4, false), (7, true)]);
        assert!(
            !roll.whole(),
            "the last one alone knew as much and brought nothing new"
        );
        roll.hear(&early);
        assert!(!roll.whole(), "one that knows less says nothing of it");
        roll.hear(&late);
        assert!(roll.whole());
        peer.enter(9, true);
        roll.hear(&peer.word(None, 5));
        assert!(!roll.whole(), "news again");
    }

    #[test]
    fn what_is_torn_foreign_or_beyond_the_fleet_is_no_news() {
        let whole = full(20, 0).word(None, 5).write();
        for text in [
            "",
            "R1",
            "R1 ",
            "R2 0 5 AA AA",
            "R1 0 5 AA",
            "R1 1 5 AA AA",
            "R1 0 5 AA AAA",
            "R1 0 5 AA AA ",
            "R1 0 5 AA gA",
        ] {
            assert_eq!(Muster::read(text), None, "{text:?}");
        }
        for end in 0..whole.len() {
            let torn = Muster::read(&whole[..end]);
            assert_eq!(torn, None, "{:?}", &whole[..end]);
        }
        let mut roll = Roll::new(4, 0);
        // So far beyond that numbers of ingresses would begin anew.
        let last = u32::MAX / SLICE * SLICE;
        let far = Muster {
            offset: last,
            latest: 0,
            started: vec![255; 80],
            without: vec![0; 80],
        };
        roll.hear(&Muster::read(&far.write()).expect("well-formed"));
        assert_eq!(roll.counts(), (0, 0), "nobody from beyond all numbers");
        roll.hear(&Muster {
            offset: 640,
            latest: 0,
            started: vec![255],
            without: vec![0],
        });
        roll.hear(&Muster {
            offset: 0,
            latest: 0,
            started: vec![255; 80],
            without: vec![0; 80],
        });
        assert_eq!(roll.counts(), (3, 0), "nobody beyond the fleet");
    }
}
