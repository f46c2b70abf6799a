//! What one node observes of a zone by its own attempts.

use applewall_node_types::Timestamp;

use crate::id::EndpointId;

/// The outcome of an attempt, as far as it depends on the endpoint's zone. Ordered from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Observation {
    /// Answered in time.
    Good,
    /// Answered late, or with a failure: the endpoint is up and of no use.
    Failing,
    /// Not connected, reset, or long overdue: the endpoint may be down.
    Dead,
}

/// Sums of outcomes that fade with time. Each endpoint counts once per interval at most, so that one bad endpoint does not
/// make a bad zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeSums {
    /// Answered in time.
    pub good: f64,
    /// Late or failed.
    pub failing: f64,
    /// Not connected, reset, or long overdue.
    pub dead: f64,
}

/// Prevents a division by zero in a fraction of no outcomes.
const MIN_TOTAL: f64 = 1e-9;

impl OutcomeSums {
    /// All outcomes.
    pub fn total(&self) -> f64 {
        self.good + self.failing + self.dead
    }

    /// Outcomes of no use.
    pub fn bad(&self) -> f64 {
        self.failing + self.dead
    }

    /// Fraction of the outcomes that are of no use.
    pub fn bad_fraction(&self) -> f64 {
        self.bad() / self.total().max(MIN_TOTAL)
    }

    /// Fraction of the outcomes that are dead.
    pub fn dead_fraction(&self) -> f64 {
        self.dead / self.total().max(MIN_TOTAL)
    }

    /// All sums times a factor.
    #[must_use]
    pub fn scaled(self, factor: f64) -> OutcomeSums {
        OutcomeSums {
            good: self.good * factor,
            failing: self.failing * factor,
            dead: self.dead * factor,
        }
    }

    /// The sums of both.
    #[must_use]
    pub fn plus(self, other: OutcomeSums) -> OutcomeSums {
        OutcomeSums {
            good: self.good + other.good,
            failing: self.failing + other.failing,
            dead: self.dead + other.dead,
        }
    }

    /// Scaled down to at most `max` outcomes in all: a node that observes much, or claims to, weighs no more than others.
    #[must_use]
    pub fn capped(self, max: f64) -> OutcomeSums {
        self.scaled((max / self.total().max(MIN_TOTAL)).min(1.0))
    }

    /// Counts one outcome.
    fn count(&mut self, observation: Observation) {
        let sum = match observation {
            Observation::Good => &mut self.good,
            Observation::Failing => &mut self.failing,
            Observation::Dead => &mut self.dead,
        };
        *sum += 1.0;
    }
}

/// Endpoints of a zone that are counted in one interval, at most: bounds memory whatever the endpoint list contains.
const MAX_ENDPOINTS_PER_INTERVAL: usize = 4096;

/// Factors by which sums fade during an interval.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Retention {
    pub(crate) recent: f64,
    pub(crate) own: f64,
}

/// What one node observed of one zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneObservations {
    /// Endpoints observed in the present interval, each with its worst outcome.
    interval: Vec<(EndpointId, Observation)>,
    /// When the earliest attempt was sent whose bad outcome was observed in the present interval.
    interval_failure_sent_at: Option<Timestamp>,
    /// The same of the interval that ended last.
    pub(crate) failure_sent_at: Option<Timestamp>,
    /// Of about the last second: reported to peers.
    pub(crate) recent: OutcomeSums,
    /// Of about the last two seconds: for decisions of this node alone.
    pub(crate) own: OutcomeSums,
    /// When the latest attempt was sent that is known to have succeeded.
    pub(crate) last_success_sent_at: Option<Timestamp>,
}

impl ZoneObservations {
    /// Records the outcome of an attempt.
    pub(crate) fn record(
        &mut self,
        endpoint: EndpointId,
        observation: Observation,
        sent_at: Timestamp,
    ) {
        if observation == Observation::Good {
            let is_later = |last: Timestamp| sent_at > last;
            if self.last_success_sent_at.is_none_or(is_later) {
                self.last_success_sent_at = Some(sent_at);
            }
        } else {
            let is_earlier = |first: Timestamp| sent_at < first;
            if self.interval_failure_sent_at.is_none_or(is_earlier) {
                self.interval_failure_sent_at = Some(sent_at);
            }
        }
        let known = self.interval.iter_mut().find(|(id, _)| *id == endpoint);
        if let Some((_, worst)) = known {
            *worst = observation.max(*worst);
        } else if self.interval.len() < MAX_ENDPOINTS_PER_INTERVAL {
            self.interval.push((endpoint, observation));
        }
    }

    /// Ends an interval: earlier sums fade, and the outcomes of the interval are added.
    pub(crate) fn end_interval(&mut self, retention: Retention) {
        self.failure_sent_at = self.interval_failure_sent_at.take();
        let mut ended = OutcomeSums::default();
        for (_, observation) in std::mem::take(&mut self.interval) {
            ended.count(observation);
        }
        self.recent = self.recent.scaled(retention.recent).plus(ended);
        self.own = self.own.scaled(retention.own).plus(ended);
    }
}
