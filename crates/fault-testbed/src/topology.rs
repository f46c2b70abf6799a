//! The components of a trial, and sets of them in the notation of the trial file.
//!
//! Input: text such as `ingress:zone=1+list`. Output: the selected components; random selections are drawn from the caller's
//! generator. Does no I/O.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use rand::seq::SliceRandom;
use rand::Rng;
use serde::{Deserialize, Serialize};

/// A component of a trial: one end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Component {
    /// All clients.
    Client,
    /// An ingress by its number, from 0.
    Ingress(usize),
    /// A limit server by its number, from 0.
    Instance(usize),
    /// The list service.
    ListService,
}

impl fmt::Display for Component {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Component::Client => formatter.write_str("clients"),
            Component::Ingress(number) => write!(formatter, "ingress {number}"),
            Component::Instance(number) => write!(formatter, "instance {number}"),
            Component::ListService => formatter.write_str("list"),
        }
    }
}

/// Numbers of components of each kind. The zone of a component is its number modulo the number of zones.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    /// Number of ingresses.
    pub ingresses: usize,
    /// Number of limit servers.
    pub instances: usize,
    /// Number of zones.
    pub zones: usize,
}

/// Why text is not a set of components.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ComponentSetError {
    /// The kind is known, the selection is invalid.
    #[error(
        "'{0}' has no valid selection: expected all, N, N-N, a fraction such as 0.7, or zone=N"
    )]
    Selection(String),
    /// The kind is unknown.
    #[error("'{0}' is not one of clients, list, ingress:..., instance:...")]
    Kind(String),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum IndexSelection {
    All,
    Range(usize, usize),
    /// A random selection of this fraction.
    Fraction(f64),
    Zone(usize),
}

#[derive(Clone, Debug, PartialEq)]
enum Term {
    Clients,
    ListService,
    Ingress(IndexSelection),
    Instance(IndexSelection),
}

/// A set of components. As text: `clients`, `list`, `ingress:all`, `ingress:3`, `instance:0-6`, `ingress:0.7` (a random
/// selection of this fraction), `instance:zone=1`; several are joined by `+`.
#[derive(Clone, Debug, PartialEq)]
pub struct ComponentSet(Vec<Term>);

impl FromStr for ComponentSet {
    type Err = ComponentSetError;

    fn from_str(text: &str) -> Result<Self, ComponentSetError> {
        text.split('+')
            .map(|term| term.trim().parse())
            .collect::<Result<_, _>>()
            .map(ComponentSet)
    }
}

impl FromStr for Term {
    type Err = ComponentSetError;

    fn from_str(text: &str) -> Result<Self, ComponentSetError> {
        let (kind, selection) = text.split_once(':').unwrap_or((text, "all"));
        let selection = || {
            IndexSelection::parse(selection)
                .ok_or_else(|| ComponentSetError::Selection(text.to_string()))
        };
        match kind {
            "clients" => Ok(Term::Clients),
            "list" => Ok(Term::ListService),
            "ingress" => Ok(Term::Ingress(selection()?)),
            "instance" => Ok(Term::Instance(selection()?)),
            _ => Err(ComponentSetError::Kind(text.to_string())),
        }
    }
}

impl IndexSelection {
    fn parse(text: &str) -> Option<Self> {
        if text == "all" {
            Some(IndexSelection::All)
        } else if let Some(zone) = text.strip_prefix("zone=") {
            zone.parse().ok().map(IndexSelection::Zone)
        } else if let Some((from, to)) = text.split_once('-') {
            Some(IndexSelection::Range(from.parse().ok()?, to.parse().ok()?))
        } else if text.contains('.') {
            let fraction = text.parse().ok()?;
            (0.0..=1.0)
                .contains(&fraction)
                .then_some(IndexSelection::Fraction(fraction))
        } else {
            let number = text.parse().ok()?;
            Some(IndexSelection::Range(number, number))
        }
    }

    fn resolve(self, count: usize, zones: usize, rng: &mut impl Rng) -> Vec<usize> {
        let all = 0..count;
        match self {
            IndexSelection::All => all.collect(),
            IndexSelection::Range(from, to) => {
                all.filter(|number| (from..=to).contains(number)).collect()
            }
            IndexSelection::Zone(zone) => {
                all.filter(|number| number % zones.max(1) == zone).collect()
            }
            IndexSelection::Fraction(fraction) => {
                let mut all: Vec<usize> = all.collect();
                all.shuffle(rng);
                all.truncate((fraction * count as f64).round() as usize);
                all
            }
        }
    }
}

impl ComponentSet {
    /// The selected components; random selections are drawn from `rng`.
    pub fn resolve(&self, topology: Topology, rng: &mut impl Rng) -> BTreeSet<Component> {
        let Topology {
            ingresses,
            instances,
            zones,
        } = topology;
        let term = |term: &Term| match term {
            Term::Clients => vec![Component::Client],
            Term::ListService => vec![Component::ListService],
            Term::Ingress(selection) => selection
                .resolve(ingresses, zones, rng)
                .into_iter()
                .map(Component::Ingress)
                .collect(),
            Term::Instance(selection) => selection
                .resolve(instances, zones, rng)
                .into_iter()
                .map(Component::Instance)
                .collect(),
        };
        self.0.iter().flat_map(term).collect()
    }

    /// Numbers of the selected ingresses.
    pub fn ingresses(&self, topology: Topology, rng: &mut impl Rng) -> Vec<usize> {
        let number = |component| match component {
            Component::Ingress(number) => Some(number),
            _ => None,
        };
        let selected = self.resolve(topology, rng);
        selected.into_iter().filter_map(number).collect()
    }

    /// Numbers of the selected limit servers.
    pub fn instances(&self, topology: Topology, rng: &mut impl Rng) -> Vec<usize> {
        let number = |component| match component {
            Component::Instance(number) => Some(number),
            _ => None,
        };
        let selected = self.resolve(topology, rng);
        selected.into_iter().filter_map(number).collect()
    }
}

#[cfg(test)]
mod tests;
