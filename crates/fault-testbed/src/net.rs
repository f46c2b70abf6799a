//! The network's state: which links are in what condition now. Knows no sockets.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::parts::Part;

/// What a link does to what crosses it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Condition {
    /// Chance that a datagram is lost; a piece of a stream is late by [`AGAIN`] instead, as if it was sent again.
    pub loss: f64,
    /// Later by this,
    pub delay: Duration,
    /// and by a drawn part of this; datagrams may overtake each other.
    pub spread: Duration,
    /// Chance that a datagram comes twice.
    pub twice: f64,
    /// Chance that a datagram comes cut in the middle.
    pub torn: f64,
    /// Nothing passes; open connections stay open, new ones say nothing.
    pub silent: bool,
    /// Connections are reset, new ones at once.
    pub reset: bool,
    /// Bytes a second of a stream.
    pub rate: Option<u64>,
}

/// After which a lost piece of a stream is sent again.
pub const AGAIN: Duration = Duration::from_millis(200);

impl Condition {
    /// Two conditions on one link: the worse of each.
    fn and(self, other: Condition) -> Condition {
        Condition {
            loss: 1.0 - (1.0 - self.loss) * (1.0 - other.loss),
            delay: self.delay + other.delay,
            spread: self.spread + other.spread,
            twice: self.twice.max(other.twice),
            torn: self.torn.max(other.torn),
            silent: self.silent || other.silent,
            reset: self.reset || other.reset,
            rate: self.rate.into_iter().chain(other.rate).min(),
        }
    }
}

/// A condition on all links from one set of parts to another.
#[derive(Clone, Debug)]
pub struct Rule {
    /// Name of the fault that set it.
    pub name: String,
    /// Senders.
    pub from: BTreeSet<Part>,
    /// Receivers.
    pub to: BTreeSet<Part>,
    /// The other way too.
    pub both: bool,
    /// What happens on them.
    pub condition: Condition,
}

impl Rule {
    fn holds(&self, from: Part, to: Part) -> bool {
        let way = |a: &Part, b: &Part| self.from.contains(a) && self.to.contains(b);
        way(&from, &to) || self.both && way(&to, &from)
    }
}

/// All rules in force.
#[derive(Clone)]
pub struct Net {
    rules: watch::Sender<Arc<Vec<Rule>>>,
}

impl Default for Net {
    fn default() -> Self {
        Net {
            rules: watch::channel(Arc::default()).0,
        }
    }
}

impl Net {
    /// One more rule is in force.
    pub fn set(&self, rule: Rule) {
        self.rules
            .send_modify(|rules| Arc::make_mut(rules).push(rule));
    }

    /// A fault's rules are in force no longer.
    pub fn clear(&self, name: &str) {
        self.rules
            .send_modify(|rules| Arc::make_mut(rules).retain(|rule| rule.name != name));
    }

    /// One way of a link.
    pub fn link(&self, from: Part, to: Part) -> Link {
        Link {
            rules: self.rules.subscribe(),
            from,
            to,
        }
    }
}

/// One way of a link, as it is now and as it changes.
#[derive(Clone)]
pub struct Link {
    rules: watch::Receiver<Arc<Vec<Rule>>>,
    from: Part,
    to: Part,
}

impl Link {
    /// Its condition now.
    pub fn now(&self) -> Condition {
        let rules = self.rules.borrow().clone();
        let held = rules.iter().filter(|rule| rule.holds(self.from, self.to));
        held.fold(Condition::default(), |sum, rule| sum.and(rule.condition))
    }

    /// Waits until its condition is of this kind; for ever once the trial is over.
    pub async fn until(&mut self, holds: impl Fn(&Condition) -> bool) {
        while !holds(&self.now()) {
            if self.rules.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rule(name: &str, both: bool, condition: Condition) -> Rule {
        let (from, to) = (
            [Part::Ingress(1)].into(),
            [Part::List, Part::Ingress(2)].into(),
        );
        Rule {
            name: name.to_string(),
            from,
            to,
            both,
            condition,
        }
    }

    #[test]
    fn a_rule_holds_on_its_way_alone_and_rules_add_up_until_they_are_cleared() {
        let net = Net::default();
        let (there, back) = (
            net.link(Part::Ingress(1), Part::List),
            net.link(Part::List, Part::Ingress(1)),
        );
        net.set(rule(
            "late",
            false,
            Condition {
                delay: AGAIN,
                loss: 0.5,
                ..Condition::default()
            },
        ));
        assert_eq!(
            (there.now().delay, back.now().delay),
            (AGAIN, Duration::ZERO)
        );
        net.set(rule(
            "cut",
            true,
            Condition {
                silent: true,
                loss: 0.5,
                ..Condition::default()
            },
        ));
        assert!(there.now().silent && back.now().silent && there.now().loss == 0.75);
        net.clear("late");
        assert_eq!(
            (there.now().delay, there.now().silent),
            (Duration::ZERO, true)
        );
        net.clear("cut");
        assert_eq!(back.now(), Condition::default());
    }
}
