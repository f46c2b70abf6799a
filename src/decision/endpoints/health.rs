//! Endpoint health: the weight of an endpoint by its recent outcomes, and detection of endpoints that do not respond.

use applewall_node_types::{TimeSpan, Timestamp};

use super::outcome_history::HealthContext;
use super::record::{EndpointRecord, InFlightAttempt};
use crate::api::{ClassId, PlanId};
use crate::decision::latency::LatencyEstimator;

/// Minimum health weight of an endpoint: the fleet still sends it a few requests, which show when it has recovered.
pub(super) const MIN_HEALTH_WEIGHT: f64 = 0.02;
/// Health weight at or below which failures are attributed to the endpoint itself, not to overload.
const MIN_HEALTHY_WEIGHT: f64 = 0.7;
/// Sum of the waits for responses, in usual latencies, above which an endpoint can count as unresponsive.
const MAX_OVERDUE: f64 = 6.0;
/// Time without any response above which an endpoint whose responses are overdue counts as unresponsive.
const MAX_TIME_WITHOUT_RESPONSE: TimeSpan = TimeSpan::from_seconds(0.25);
/// Minimum usual latency that a wait is divided by.
const MIN_OVERDUE_LATENCY: TimeSpan = TimeSpan::from_seconds(0.02);

impl EndpointRecord {
    /// Factor of the endpoint's health on its traffic: the lower of the success ratios of the class and the plan,
    /// squared. It covers whatever makes one kind of request fail at some endpoints: no response, errors, unjustified
    /// rejections.
    pub(super) fn health_weight(
        &self,
        context: HealthContext,
        class: ClassId,
        plan: PlanId,
    ) -> f64 {
        self.outcomes.success_ratio(context, class, plan).powi(2)
    }

    /// Returns true if the endpoint itself is healthy, so that failures of its attempts signal overload.
    pub(super) fn is_healthy(&self, context: HealthContext, class: ClassId, plan: PlanId) -> bool {
        let weight = self.health_weight(context, class, plan);
        self.consecutive_failures == 0 && weight > MIN_HEALTHY_WEIGHT
    }

    /// Returns true if the endpoint gets only [`MIN_HEALTH_WEIGHT`]: it is ejected, or it has not responded for some
    /// time while responses are overdue.
    ///
    /// Many slightly overdue responses count as much as one long overdue response. As a side effect, all endpoints
    /// briefly count as unresponsive when all requests of a class slow down at once.
    pub(super) fn is_ejected_or_unresponsive(
        &self,
        now: Timestamp,
        latency: &LatencyEstimator,
    ) -> bool {
        if self.is_ejected(now) {
            return true;
        }
        let overdue = |attempt: &InFlightAttempt| {
            let waited = now - self.wait_start(attempt.sent_at());
            let usual = latency.usual(attempt.kind()) * self.latency_factor;
            waited / usual.max(MIN_OVERDUE_LATENCY)
        };
        self.time_without_response(now) > MAX_TIME_WITHOUT_RESPONSE
            && self.in_flight.iter().map(overdue).sum::<f64>() > MAX_OVERDUE
    }
}
