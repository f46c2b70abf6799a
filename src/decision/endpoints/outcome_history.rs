//! Success ratios of an endpoint, by class and by plan.

use applewall_node_types::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};

use crate::api::{ClassId, PlanId};
use crate::decision::context::Context;
use crate::decision::decaying_rate::DecayingRate;

/// Time constant of an endpoint's outcomes, as a multiple of the time constant of the node's rates.
const OUTCOME_TIME_CONSTANT_FACTOR: f64 = 4.0;
/// Successes that a ratio counts in addition, since one failure among a few outcomes can be chance. The number is for a
/// rate time constant of 1 s and falls in inverse proportion to it.
const ASSUMED_SUCCESSES: f64 = 3.0;

/// Inputs for counting and evaluating outcomes, shared by all endpoints.
#[derive(Clone, Copy)]
pub(super) struct HealthContext {
    now: Timestamp,
    /// Number of classes in the settings.
    classes: usize,
    /// Time constant of the node's rates.
    rate_time_constant: TimeSpan,
}

impl HealthContext {
    /// `rate_time_constant`: time constant of the node's rates.
    pub(super) fn new(context: &Context<'_>, rate_time_constant: TimeSpan) -> Self {
        HealthContext {
            now: context.now(),
            classes: context.settings().classes.len(),
            rate_time_constant,
        }
    }

    fn outcome_time_constant(&self) -> TimeSpan {
        self.rate_time_constant * OUTCOME_TIME_CONSTANT_FACTOR
    }

    /// Positions of a class and a plan in a history.
    fn positions(&self, class: ClassId, plan: PlanId) -> [usize; 2] {
        [class.0, self.classes + plan.0]
    }
}

/// Rates of successful and failed attempts. The order of the fields is part of the state snapshot's encoding.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct OutcomeRates {
    succeeded: DecayingRate,
    failed: DecayingRate,
}

impl OutcomeRates {
    /// Fraction of successful outcomes, including [`ASSUMED_SUCCESSES`].
    fn success_ratio(&self, now: Timestamp, time_constant: TimeSpan) -> f64 {
        let succeeded = self.succeeded.read_amount(now, time_constant);
        let failed = self.failed.read_amount(now, time_constant);
        let assumed = ASSUMED_SUCCESSES * OUTCOME_TIME_CONSTANT_FACTOR / time_constant.as_seconds();
        1.0 - failed / (succeeded + failed + assumed)
    }

    fn record(&mut self, now: Timestamp, succeeded: bool, time_constant: TimeSpan) {
        let rate = if succeeded {
            &mut self.succeeded
        } else {
            &mut self.failed
        };
        rate.add(now, 1.0, time_constant);
    }
}

/// Outcomes by class, then by plan, in one list as in the state snapshot.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct OutcomeHistory(Vec<OutcomeRates>);

impl OutcomeHistory {
    /// Creates a history without outcomes.
    pub(super) fn new(classes: usize, plans: usize) -> Self {
        OutcomeHistory(vec![OutcomeRates::default(); classes + plans])
    }

    /// Returns true if the history is for this number of classes and plans.
    pub(super) fn is_consistent(&self, classes: usize, plans: usize) -> bool {
        self.0.len() == classes + plans
    }

    /// Discards all outcomes.
    pub(super) fn clear(&mut self) {
        self.0.fill(OutcomeRates::default());
    }

    /// The lower of the success ratios of the class and the plan.
    pub(super) fn success_ratio(
        &self,
        context: HealthContext,
        class: ClassId,
        plan: PlanId,
    ) -> f64 {
        let time_constant = context.outcome_time_constant();
        let [by_class, by_plan] = context
            .positions(class, plan)
            .map(|position| self.0[position].success_ratio(context.now, time_constant));
        by_class.min(by_plan)
    }

    /// Counts an outcome for its class and its plan.
    pub(super) fn record(
        &mut self,
        context: HealthContext,
        class: ClassId,
        plan: PlanId,
        succeeded: bool,
    ) {
        let time_constant = context.outcome_time_constant();
        for position in context.positions(class, plan) {
            self.0[position].record(context.now, succeeded, time_constant);
        }
    }
}
