//! A node's observations of a zone, from the outcomes of its own attempts.

use applewall_node_types::Timestamp;

use crate::id::EndpointId;

/// The outcome of an attempt as evidence on the endpoint's zone. Ordered from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Observation {
    /// A successful response within the latency objective.
    Good,
    /// A failure, or a late or overdue response: the endpoint does not serve but may be reachable.
    Failing,
    /// A connection that could not be established or was reset: the endpoint may be down.
    Dead,
}

/// Exponentially decaying numbers of outcomes. Each endpoint counts at most once per interval, so that a single bad
/// endpoint does not make its zone look bad.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeSums {
    /// See [`Observation::Good`].
    pub good: f64,
    /// See [`Observation::Failing`].
    pub failing: f64,
    /// See [`Observation::Dead`].
    pub dead: f64,
}

/// Avoids a division by zero where there are no outcomes.
const MIN_TOTAL: f64 = 1e-9;

impl OutcomeSums {
    /// Number of all outcomes; not an integer, because of the decay.
    pub fn total(&self) -> f64 {
        self.good + self.failing + self.dead
    }

    /// Number of failing and dead outcomes, those that count against the zone.
    pub fn bad(&self) -> f64 {
        self.failing + self.dead
    }

    /// Fraction of the outcomes that are failing or dead; 0 without outcomes.
    pub fn bad_fraction(&self) -> f64 {
        self.bad() / self.total().max(MIN_TOTAL)
    }

    /// Fraction of the outcomes that are dead; 0 without outcomes.
    pub fn dead_fraction(&self) -> f64 {
        self.dead / self.total().max(MIN_TOTAL)
    }

    /// All numbers multiplied by `factor`, as by a decay.
    #[must_use]
    pub fn scaled(self, factor: f64) -> OutcomeSums {
        OutcomeSums {
            good: self.good * factor,
            failing: self.failing * factor,
            dead: self.dead * factor,
        }
    }

    /// The element-wise sum of both.
    #[must_use]
    pub fn plus(self, other: OutcomeSums) -> OutcomeSums {
        OutcomeSums {
            good: self.good + other.good,
            failing: self.failing + other.failing,
            dead: self.dead + other.dead,
        }
    }

    /// Scaled down to a total of at most `max`, so that a node that reports many outcomes has no more weight than others.
    #[must_use]
    pub fn capped(self, max: f64) -> OutcomeSums {
        self.scaled((max / self.total().max(MIN_TOTAL)).min(1.0))
    }

    fn count(&mut self, observation: Observation) {
        let sum = match observation {
            Observation::Good => &mut self.good,
            Observation::Failing => &mut self.failing,
            Observation::Dead => &mut self.dead,
        };
        *sum += 1.0;
    }
}

/// Maximum number of endpoints of a zone that are counted in one interval. Bounds memory use for any endpoint list.
const MAX_ENDPOINTS_PER_INTERVAL: usize = 4096;

/// Factors by which the sums decay over one interval.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayFactors {
    pub(crate) short_term: f64,
    pub(crate) long_term: f64,
}

/// One node's observations of one zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneObservations {
    /// Endpoints observed in the current interval, each with its worst outcome.
    interval: Vec<(EndpointId, Observation)>,
    /// Send time of the earliest attempt whose bad outcome was observed in the current interval.
    interval_failure_sent_at: Option<Timestamp>,
    /// The same for the previous interval.
    pub(crate) failure_sent_at: Option<Timestamp>,
    /// Outcomes of about the last second, as reported to peers.
    pub(crate) short_term: OutcomeSums,
    /// Outcomes of about the last two seconds, for this node's own decisions.
    pub(crate) long_term: OutcomeSums,
    /// Send time of the latest attempt that is known to have succeeded.
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

    /// Ends the current interval: decays the sums and adds the outcomes of the interval.
    pub(crate) fn end_interval(&mut self, decay: DecayFactors) {
        self.failure_sent_at = self.interval_failure_sent_at.take();
        let mut ended = OutcomeSums::default();
        for (_, observation) in std::mem::take(&mut self.interval) {
            ended.count(observation);
        }
        self.short_term = self.short_term.scaled(decay.short_term).plus(ended);
        self.long_term = self.long_term.scaled(decay.long_term).plus(ended);
    }
}
