//! Recording outcomes: what they tell of the endpoint, of latency and of load.

use super::{
    seconds, DecisionPolicy, EndpointRecord, InFlightAttempt, LoadStatistics, PossibleExecution,
    Seconds,
};
use crate::api::{AttemptResult, Outcome};

/// Memory of an endpoint's outcomes by class and by plan, in memories of rates.
const OUTCOME_MEMORY: f64 = 4.0;
/// Successes assumed beforehand: one failure of a few says little.
const ASSUMED_SUCCESSES: f64 = 3.0;
/// Health weight below which an endpoint's failures are its own and no overload.
const HEALTHY_WEIGHT: f64 = 0.7;
/// Weight of one response in an endpoint's latency factor: a memory of about ten responses.
const LATENCY_FACTOR_WEIGHT: f64 = 0.1;
/// Least latency factor that one response can teach about an endpoint.
const LEAST_LATENCY_FACTOR: f64 = 0.1;
/// Largest latency factor that one response can teach about an endpoint.
const LARGEST_LATENCY_FACTOR: f64 = 5.0;
/// Least part of the latency of an endpoint in slow start that counts as load: it is slow, not
/// queued.
const SLOW_START_STRAIN: f64 = 0.8;
/// Latency, in objectives, above which a response is a sign of overload.
pub(crate) const OVERLOAD_LATENCY: f64 = 0.45;
/// Latency, in objectives, below which a response is a sign of underload.
const UNDERLOAD_LATENCY: f64 = 0.30;
/// Part of timed-out work that counts as completed: it may have been executed, or lost.
const TIMED_OUT_COMPLETED: f64 = 0.5;

/// A recorded outcome.
pub(crate) struct RecordedOutcome {
    /// Where and when the attempt was sent.
    pub(crate) execution: PossibleExecution,
    /// The outcome tells something of the endpoint.
    pub(crate) is_informative: bool,
}

impl DecisionPolicy {
    /// Share of traffic that an endpoint's health allows, by failures of the class and of the plan,
    /// squared. It covers whatever fails one kind of request at some endpoints: silence, errors,
    /// false rejections. Chance failures of an endpoint seldom seen could harm, hence the assumed
    /// successes and the least weight.
    pub(crate) fn health_weight(
        &self,
        record: &EndpointRecord,
        now: Seconds,
        class: usize,
        plan: usize,
    ) -> f64 {
        let memory = self.outcome_memory();
        let [by_class, by_plan] = self.outcome_labels(class, plan).map(|label| {
            let rates = &record.outcomes[label];
            let succeeded = rates.succeeded.read(now, memory) * memory;
            let failed = rates.failed.read(now, memory) * memory;
            let assumed = ASSUMED_SUCCESSES * OUTCOME_MEMORY / memory;
            1.0 - failed / (succeeded + failed + assumed)
        });
        by_class.min(by_plan).powi(2)
    }

    fn outcome_memory(&self) -> Seconds {
        OUTCOME_MEMORY * self.ladder.memory
    }

    /// Places of a class and a plan among an endpoint's outcomes.
    fn outcome_labels(&self, class: usize, plan: usize) -> [usize; 2] {
        [class, self.settings.classes.len() + plan]
    }

    /// Records an outcome with its endpoint; returns where and when the attempt was sent.
    pub(crate) fn record_outcome(
        &mut self,
        now: Seconds,
        result: &AttemptResult,
    ) -> Option<RecordedOutcome> {
        let (index, record) = self.endpoints.get_mut(&result.endpoint)?;
        let attempt = record.finish(result.request, result.attempt)?;
        self.record_completed_work(now, result.outcome, attempt.cost);
        // What is found after a gap in this node's own clock may have waited here: it says nothing.
        let is_uninformative = matches!(result.outcome, Outcome::NotSent | Outcome::Cancelled);
        let is_informative = self.resumed_at != now && !is_uninformative;
        if is_informative {
            self.record_health(now, index, &attempt, result);
        }
        Some(RecordedOutcome {
            execution: PossibleExecution {
                endpoint: index,
                sent_at: attempt.sent_at,
            },
            is_informative,
        })
    }

    fn record_completed_work(&mut self, now: Seconds, outcome: Outcome, cost: f64) {
        if outcome == Outcome::Success {
            self.ladder.completed.add(now, cost, self.ladder.memory);
            self.load.outgoing.completed += cost;
        } else if outcome == Outcome::TimedOut {
            // Lost at an endpoint that fails, it is no lack of capacity; waiting at one that
            // chokes, it is.
            self.load.outgoing.completed += cost * TIMED_OUT_COMPLETED;
        }
    }

    fn record_health(
        &mut self,
        now: Seconds,
        index: usize,
        attempt: &InFlightAttempt,
        result: &AttemptResult,
    ) {
        let record = &self.endpoints.records[index];
        let latency = seconds(result.latency_ns);
        let usual = self.latency.usual(attempt.kind) * self.machine_factor(record);
        let fraction = record.slow_start_fraction(&self.settings, now);
        let objective = seconds(self.settings.classes[attempt.class].latency_objective_ns);
        let strain = latency * fraction.max(SLOW_START_STRAIN) / objective.max(1e-6);
        let health_weight = self.health_weight(record, now, attempt.class, attempt.plan);
        let is_healthy = record.consecutive_failures == 0 && health_weight > HEALTHY_WEIGHT;
        if result.outcome == Outcome::Success {
            self.learn_latency(index, attempt.kind, latency, usual);
        }
        let labels = self.outcome_labels(attempt.class, attempt.plan);
        let memory = self.outcome_memory();
        let record = &mut self.endpoints.records[index];
        for label in labels {
            let rates = &mut record.outcomes[label];
            if result.outcome == Outcome::Success {
                rates.succeeded.add(now, 1.0, memory);
            } else {
                rates.failed.add(now, 1.0, memory);
            }
        }
        // One endpoint that fails is no overload: only healthy ones count.
        if is_healthy {
            let statistics = outcome_statistics(result.outcome, strain);
            self.ladder.record(&statistics);
            self.load.outgoing = self.load.outgoing.plus(&statistics, 1.0);
        }
    }

    fn learn_latency(&mut self, index: usize, kind: usize, latency: Seconds, usual: Seconds) {
        let record = &mut self.endpoints.records[index];
        self.latency
            .record(kind, record.endpoint.machine_type, latency, usual);
        let factor =
            (latency / usual.max(1e-4)).clamp(LEAST_LATENCY_FACTOR, LARGEST_LATENCY_FACTOR);
        let weight = self.ladder.memory.sqrt();
        record.latency_factor += (factor - record.latency_factor) * LATENCY_FACTOR_WEIGHT * weight;
    }
}

/// An outcome at a healthy endpoint. `strain`: its latency, in objectives.
fn outcome_statistics(outcome: Outcome, strain: f64) -> LoadStatistics {
    let count = |condition: bool| f64::from(u8::from(condition));
    let succeeded = outcome == Outcome::Success;
    let rejected = matches!(outcome, Outcome::Overloaded | Outcome::ConnectFailed);
    LoadStatistics {
        outcomes: 1.0,
        rejected: count(rejected),
        // A time-out of this node's own making, within the objective, tells of one request's cost
        // only.
        timed_out: count(outcome == Outcome::TimedOut && strain >= 1.0),
        slow: count(succeeded && strain > OVERLOAD_LATENCY),
        fast: count(succeeded && strain < UNDERLOAD_LATENCY),
        ..LoadStatistics::default()
    }
}
