//! The parts of a trial, and sets of them as a trial's file names them.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use rand::seq::SliceRandom;
use rand::Rng;
use serde::{Deserialize, Serialize};

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Part {
    /// All clients.
    Client,
    /// An ingress by its number.
    Ingress(usize),
    /// A limit server by its number.
    Instance(usize),
    /// The list service.
    List,
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Part::Client => f.write_str("clients"),
            Part::Ingress(i) => write!(f, "ingress {i}"),
            Part::Instance(i) => write!(f, "instance {i}"),
            Part::List => f.write_str("list"),
        }
    }
}

/// How many there are of each kind, and in how many zones they stand (in turn: number modulo zones).
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// Ingresses.
    pub ingresses: usize,
    /// Limit servers.
    pub instances: usize,
    /// Zones.
    pub zones: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Which {
    All,
    Range(usize, usize),
    Share(f64),
    Zone(usize),
}

#[derive(Clone, Debug, PartialEq)]
enum Term {
    Clients,
    List,
    Ingress(Which),
    Instance(Which),
}

/// A set as text: `clients`, `list`, `ingress:all`, `ingress:3`, `instance:0-6`, `ingress:0.7` (a drawn share),
/// `instance:zone=1`; several joined by `+`.
#[derive(Clone, Debug, PartialEq)]
pub struct Set(Vec<Term>);

impl FromStr for Set {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        text.split('+')
            .map(|term| term.trim().parse())
            .collect::<Result<_, _>>()
            .map(Set)
    }
}

impl FromStr for Term {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (kind, which) = text.split_once(':').unwrap_or((text, "all"));
        let which = || {
            which
                .parse::<Which>()
                .map_err(|()| format!("'{text}' names no set of parts"))
        };
        match kind {
            "clients" => Ok(Term::Clients),
            "list" => Ok(Term::List),
            "ingress" => Ok(Term::Ingress(which()?)),
            "instance" => Ok(Term::Instance(which()?)),
            _ => Err(format!(
                "'{text}' is none of clients, list, ingress:..., instance:..."
            )),
        }
    }
}

impl FromStr for Which {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let number = |text: &str| text.parse::<usize>().map_err(|_| ());
        if text == "all" {
            Ok(Which::All)
        } else if let Some(zone) = text.strip_prefix("zone=") {
            Ok(Which::Zone(number(zone)?))
        } else if let Some((from, to)) = text.split_once('-') {
            Ok(Which::Range(number(from)?, number(to)?))
        } else if text.contains('.') {
            text.parse()
                .ok()
                .filter(|s| (0.0..=1.0).contains(s))
                .map(Which::Share)
                .ok_or(())
        } else {
            number(text).map(|n| Which::Range(n, n))
        }
    }
}

impl Which {
    fn draw(self, many: usize, zones: usize, rng: &mut impl Rng) -> Vec<usize> {
        let all: Vec<usize> = (0..many).collect();
        match self {
            Which::All => all,
            Which::Range(from, to) => all
                .into_iter()
                .filter(|i| (from..=to).contains(i))
                .collect(),
            Which::Zone(zone) => all
                .into_iter()
                .filter(|i| i % zones.max(1) == zone)
                .collect(),
            Which::Share(share) => {
                let mut all = all;
                all.shuffle(rng);
                all.truncate((share * many as f64).round() as usize);
                all
            }
        }
    }
}

impl Set {
    /// The parts that are meant; shares are drawn.
    pub fn draw(&self, layout: Layout, rng: &mut impl Rng) -> BTreeSet<Part> {
        let term = |term: &Term| match term {
            Term::Clients => vec![Part::Client],
            Term::List => vec![Part::List],
            Term::Ingress(which) => which
                .draw(layout.ingresses, layout.zones, rng)
                .into_iter()
                .map(Part::Ingress)
                .collect(),
            Term::Instance(which) => which
                .draw(layout.instances, layout.zones, rng)
                .into_iter()
                .map(Part::Instance)
                .collect(),
        };
        self.0.iter().flat_map(term).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::SmallRng;
    use rand::SeedableRng;

    const LAYOUT: Layout = Layout {
        ingresses: 10,
        instances: 6,
        zones: 3,
    };

    #[test]
    fn sets_mean_the_parts_that_they_name_and_shares_are_drawn_by_the_seed() {
        let draw = |text: &str, seed| {
            text.parse::<Set>()
                .expect("a set")
                .draw(LAYOUT, &mut SmallRng::seed_from_u64(seed))
        };
        assert_eq!(
            draw("instance:zone=1", 1),
            [1, 4].map(Part::Instance).into()
        );
        assert_eq!(
            draw("ingress:8-20+list", 1),
            [Part::Ingress(8), Part::Ingress(9), Part::List].into()
        );
        assert_eq!(draw("ingress:0.7", 1).len(), 7);
        assert_eq!(draw("ingress:0.7", 1), draw("ingress:0.7", 1));
        assert!((2..9).any(|seed| draw("ingress:0.7", seed) != draw("ingress:0.7", 1)));
        for wrong in [
            "",
            "ingresses",
            "ingress:x",
            "instance:1.5",
            "ingress:zone=a",
        ] {
            assert!(wrong.parse::<Set>().is_err(), "{wrong}");
        }
    }
}
