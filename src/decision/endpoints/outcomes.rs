//! Updates of an endpoint's record, the latency estimates and the load statistics by the outcome of an attempt.

use applewall_node_types::TimeSpan;

use super::outcome_history::HealthContext;
use super::record::EndpointRecord;
use super::table::{EndpointTable, FinishedAttempt};
use crate::api::{AttemptResult, Outcome};
use crate::decision::context::Context;
use crate::decision::latency::LatencyEstimator;
use crate::decision::overload::{outcome_statistics, LoadStatistics};

/// Weight of one response in an endpoint's latency factor at a rate time constant of 1 s: an average over about ten
/// responses. It is multiplied by the square root of that time constant.
const LATENCY_FACTOR_WEIGHT: f64 = 0.1;
/// Lower bound of the latency factor that one response contributes.
const MIN_LATENCY_FACTOR: f64 = 0.1;
/// Upper bound of the latency factor that one response contributes.
const MAX_LATENCY_FACTOR: f64 = 5.0;
/// Minimum usual latency as the divisor of a latency factor.
const MIN_USUAL_LATENCY: TimeSpan = TimeSpan::from_seconds(1e-4);
/// Minimum objective as the divisor of a relative latency.
const MIN_OBJECTIVE: TimeSpan = TimeSpan::from_seconds(1e-6);
/// Minimum slow-start fraction by which a latency is scaled: an endpoint in slow start is slow without being
/// overloaded.
const MIN_SLOW_START_FACTOR: f64 = 0.8;

impl EndpointTable {
    /// Records an outcome in its endpoint's record and, after a success, updates the latency estimates. Returns the
    /// load statistics of the outcome if the endpoint was healthy before, since the failure of one endpoint is not an
    /// overload.
    pub(crate) fn record_outcome(
        &mut self,
        context: &Context<'_>,
        latency: &mut LatencyEstimator,
        rate_time_constant: TimeSpan,
        finished: &FinishedAttempt,
        result: &AttemptResult,
    ) -> Option<LoadStatistics> {
        let FinishedAttempt { attempt, endpoint } = finished;
        let record = self.record_mut(*endpoint);
        let health = HealthContext::new(context, rate_time_constant);
        let taken = TimeSpan::from_nanoseconds(result.latency_ns);
        let usual = latency.usual(attempt.kind()) * record.machine_factor(context, latency);
        let slow_start = record
            .slow_start_fraction(context)
            .max(MIN_SLOW_START_FACTOR);
        let objective = context.latency_objective(attempt.class());
        let relative_latency = taken * slow_start / objective.max(MIN_OBJECTIVE);
        let is_healthy = record.is_healthy(health, attempt.class(), attempt.plan());
        let succeeded = result.outcome == Outcome::Success;
        if succeeded {
            latency.record(attempt.kind(), record.endpoint.machine_type, taken, usual);
            record.update_latency_factor(taken, usual, rate_time_constant);
        }
        record
            .outcomes
            .record(health, attempt.class(), attempt.plan(), succeeded);
        is_healthy.then(|| outcome_statistics(result.outcome, relative_latency))
    }

    /// Ejects the endpoint of an attempt, or ends its ejection, depending on the outcome.
    pub(crate) fn apply_outlier_detection(
        &mut self,
        context: &Context<'_>,
        finished: &FinishedAttempt,
        outcome: Outcome,
    ) {
        let record = self.record_mut(finished.endpoint);
        record.apply_outcome(context.now(), finished.attempt.sent_at(), outcome);
    }
}

impl EndpointRecord {
    /// Latency factor of the endpoint's machine type. Used only in a large fleet, where each endpoint gives a node
    /// too few responses.
    pub(super) fn machine_factor(&self, context: &Context<'_>, latency: &LatencyEstimator) -> f64 {
        if context.is_large_fleet() {
            latency.machine_factor(self.endpoint.machine_type)
        } else {
            1.0
        }
    }

    fn update_latency_factor(
        &mut self,
        taken: TimeSpan,
        usual: TimeSpan,
        rate_time_constant: TimeSpan,
    ) {
        let factor =
            (taken / usual.max(MIN_USUAL_LATENCY)).clamp(MIN_LATENCY_FACTOR, MAX_LATENCY_FACTOR);
        let weight = rate_time_constant.as_seconds().sqrt();
        self.latency_factor += (factor - self.latency_factor) * LATENCY_FACTOR_WEIGHT * weight;
    }
}
