//! What ingresses tell each other of zones: a line of text within a datagram's 256 bytes.
//!
//! A word carries what its sender saw itself in the last second; its number, which only grows within a life, keeps one that
//! comes twice or late from counting again.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use crate::evidence::Sums;

/// First bytes of every word.
const HEAD: &str = "Z1";
/// Bytes of a datagram.
const MOST: usize = 256;
/// Sums are told in thousandths; what is beyond is foreign.
const PARTS: f64 = 1000.0;
const LIMIT: u64 = 100_000_000;

/// Of one zone, what a word tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// Which zone, by its place among all names in order.
    pub zone: u16,
    /// What the sender saw of it.
    pub sums: Sums,
    /// The share that the sender gives it.
    pub share: f64,
}

/// One word.
#[derive(Clone, Debug, PartialEq)]
pub struct Word {
    /// The sender's life: drawn when it starts.
    pub life: u32,
    /// Of this life, counted up.
    pub number: u32,
    /// Zones that it tells of.
    pub parts: Vec<Part>,
}

impl Word {
    /// True for what begins as a word does.
    pub fn is(text: &str) -> bool {
        text.starts_with(HEAD)
    }

    /// As text, with as many zones as there is room for.
    pub fn write(&self) -> String {
        let whole = |x: f64| (x.max(0.0) * PARTS).round() as u64;
        let mut text = format!("{HEAD} {} {}", self.life, self.number);
        for part in &self.parts {
            let Part { zone, sums, share } = part;
            let (good, failing, dead) = (whole(sums.good), whole(sums.failing), whole(sums.dead));
            let more = format!(" {zone}:{good}:{failing}:{dead}:{}", whole(*share));
            if text.len() + more.len() <= MOST {
                text += &more;
            }
        }
        text
    }

    /// From text; nothing of one that is torn, foreign or of another version.
    pub fn read(text: &str) -> Option<Self> {
        let mut words = text.strip_prefix(HEAD)?.strip_prefix(' ')?.split(' ');
        let number = |text: Option<&str>, most: u64| {
            let text = text.filter(|t| !t.is_empty() && t.bytes().all(|b| b.is_ascii_digit()))?;
            text.parse::<u64>().ok().filter(|n| *n <= most)
        };
        let life = number(words.next(), u64::from(u32::MAX))? as u32;
        let count = number(words.next(), u64::from(u32::MAX))? as u32;
        let mut parts: Vec<Part> = Vec::new();
        for word in words {
            let mut fields = word.split(':');
            let zone = number(fields.next(), u64::from(u16::MAX))? as u16;
            let mut part = |most| Some(number(fields.next(), most)? as f64 / PARTS);
            let sums = Sums {
                good: part(LIMIT)?,
                failing: part(LIMIT)?,
                dead: part(LIMIT)?,
            };
            let share = part(PARTS as u64)?;
            // Twice the same zone is no word of ours.
            if fields.next().is_some() || parts.iter().any(|p| p.zone == zone) {
                return None;
            }
            parts.push(Part { zone, sums, share });
        }
        Some(Word {
            life,
            number: count,
            parts,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_word_is_read_as_it_was_written_and_fits_a_datagram_however_many_zones_there_are() {
        let part = |zone| Part {
            zone,
            sums: Sums {
                good: 12.5,
                failing: 0.125,
                dead: 3.0,
            },
            share: 0.25,
        };
        let word = Word {
            life: u32::MAX,
            number: 7,
            parts: (0..3).map(part).collect(),
        };
        assert_eq!(Word::read(&word.write()), Some(word.clone()));
        let many = Word {
            parts: (0..500).map(part).collect(),
            ..word
        };
        let text = many.write();
        let read = Word::read(&text).expect("well-formed");
        assert!(
            text.len() <= 256
                && read.parts.len() >= 8
                && read.parts[..] == many.parts[..read.parts.len()]
        );
    }

    #[test]
    fn what_is_torn_foreign_or_of_another_version_is_no_word() {
        for text in [
            "",
            "Z1",
            "Z1 1",
            "Z2 1 2",
            "Z1 1 2 ",
            "Z1 1 2 0:1:1:1",
            "Z1 1 2 0:1:1:1:1001",
            "Z1 1 2 0:1:1:1:10:1",
            "Z1 1 2 0:1:1:1:10 0:1:1:1:10",
            "Z1 1 2 70000:1:1:1:10",
            "Z1 1 2 0:-1:1:1:10",
            "Z1 1 2 0:1:999999999999:1:10",
            "Z1 5000000000 2",
            "T1 1 2",
        ] {
            assert_eq!(Word::read(text), None, "{text:?}");
        }
    }
}
