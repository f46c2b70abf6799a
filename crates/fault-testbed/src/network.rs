//! State of the simulated network: the current condition of each link.
//!
//! Owned by the environment of a trial; faults add and remove rules, proxies read the condition of their links. Does no I/O.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::topology::Component;

/// Effects of a link on its traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCondition {
    /// Probability that a datagram is lost; a chunk of a stream is delayed by [`RETRANSMIT_DELAY`] instead, as by a
    /// retransmission.
    pub loss: f64,
    /// Fixed delay.
    pub delay: Duration,
    /// Upper bound of an additional random delay; it may reorder datagrams.
    pub jitter: Duration,
    /// Probability that a datagram is delivered twice.
    pub duplication: f64,
    /// Probability that a datagram is truncated to half its length.
    pub truncation: f64,
    /// Nothing is delivered; open connections stay open, new ones are accepted and receive no response.
    pub silent: bool,
    /// Open connections are reset, new ones immediately after they are accepted.
    pub reset: bool,
    /// Bandwidth limit of a stream.
    pub bytes_per_second: Option<u64>,
}

/// Delay of a lost chunk of a stream: the minimum retransmission timeout of common TCP implementations.
pub const RETRANSMIT_DELAY: Duration = Duration::from_millis(200);

impl LinkCondition {
    /// The condition of a link to which two rules apply: delays add up, losses are independent, and of the other effects the
    /// stronger one applies.
    fn combine(self, other: LinkCondition) -> LinkCondition {
        LinkCondition {
            loss: 1.0 - (1.0 - self.loss) * (1.0 - other.loss),
            delay: self.delay + other.delay,
            jitter: self.jitter + other.jitter,
            duplication: self.duplication.max(other.duplication),
            truncation: self.truncation.max(other.truncation),
            silent: self.silent || other.silent,
            reset: self.reset || other.reset,
            bytes_per_second: self
                .bytes_per_second
                .into_iter()
                .chain(other.bytes_per_second)
                .min(),
        }
    }
}

/// Sets the condition of all links from one set of components to another.
#[derive(Clone, Debug)]
pub struct LinkRule {
    /// Name of the fault that set it.
    pub name: String,
    /// Senders.
    pub from: BTreeSet<Component>,
    /// Receivers.
    pub to: BTreeSet<Component>,
    /// True if it applies to the opposite direction too.
    pub both: bool,
    /// The condition of these links.
    pub condition: LinkCondition,
}

impl LinkRule {
    fn applies(&self, from: Component, to: Component) -> bool {
        let direction = |sender: &Component, receiver: &Component| {
            self.from.contains(sender) && self.to.contains(receiver)
        };
        direction(&from, &to) || self.both && direction(&to, &from)
    }
}

/// All active rules; clones share them.
#[derive(Clone)]
pub struct Network {
    rules: watch::Sender<Arc<Vec<LinkRule>>>,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            rules: watch::channel(Arc::default()).0,
        }
    }
}

impl Network {
    /// Adds a rule.
    pub fn add_rule(&self, rule: LinkRule) {
        self.rules
            .send_modify(|rules| Arc::make_mut(rules).push(rule));
    }

    /// Removes the rules that a fault has set.
    pub fn remove_rules(&self, name: &str) {
        self.rules
            .send_modify(|rules| Arc::make_mut(rules).retain(|rule| rule.name != name));
    }

    /// One direction of a link.
    pub fn link(&self, from: Component, to: Component) -> Link {
        Link {
            rules: self.rules.subscribe(),
            from,
            to,
        }
    }
}

/// One direction of a link; gives its current condition and waits for changes.
#[derive(Clone)]
pub struct Link {
    rules: watch::Receiver<Arc<Vec<LinkRule>>>,
    from: Component,
    to: Component,
}

impl Link {
    /// The current condition.
    pub fn condition(&self) -> LinkCondition {
        let rules = self.rules.borrow().clone();
        rules
            .iter()
            .filter(|rule| rule.applies(self.from, self.to))
            .fold(LinkCondition::default(), |sum, rule| {
                sum.combine(rule.condition)
            })
    }

    /// Waits until the condition satisfies a predicate; never returns if the trial has ended before.
    pub async fn wait_until(&mut self, predicate: impl Fn(&LinkCondition) -> bool) {
        while !predicate(&self.condition()) {
            if self.rules.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
