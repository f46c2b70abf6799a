//! Endpoint selection: which endpoint gets an attempt.
//!
//! Each endpoint that may receive the attempt gets a weight: the product of subset, health, size and slow-start
//! factors, divided by latency, zone and earlier-attempt factors. Its score is its work in flight, this attempt
//! included, divided by the weight. A number of endpoints is sampled at random by weight, and one of those whose score
//! is close to the lowest is chosen.

use applewall_node_types::TimeSpan;

use super::health::MIN_HEALTH_WEIGHT;
use super::outcome_history::HealthContext;
use super::record::EndpointRecord;
use super::slow_start::SlowStartLoad;
use super::table::EndpointTable;
use crate::decision::context::Context;
use crate::decision::ids::EndpointIndex;
use crate::decision::latency::LatencyEstimator;
use crate::decision::pending::PendingRequest;

/// Factor on the score of endpoints in other zones: small, because crossing zones takes far less time than queueing.
const OTHER_ZONE_FACTOR: f64 = 1.1;
/// Factor on the score of endpoints that have already had an attempt of the request.
const ATTEMPTED_FACTOR: f64 = 4.0;
/// Scores within this factor of the lowest count as equal.
const EQUAL_SCORES: f64 = 1.15;
/// Minimum weight of endpoints outside the subset.
const OUT_OF_SUBSET_WEIGHT: f64 = 0.002;
/// Fraction of the subset's capacity that must be usable; what is missing becomes the weight of the other endpoints.
const MIN_USABLE_FRACTION: f64 = 0.5;
/// Number of endpoints sampled per unit of this node's work in flight, in addition to the first one.
const SAMPLES_PER_WORK_IN_FLIGHT: f64 = 2.0;
/// Minimum random number, so that its logarithm is finite.
const MIN_DRAW: f64 = 1e-12;
/// Minimum number of requests per objective that a fully started endpoint is assumed to complete while its throughput
/// is unknown.
const ASSUMED_THROUGHPUT: f64 = 6.0;
/// Minimum number of effective endpoints that a throughput is computed with.
const MIN_ENDPOINTS: f64 = 1e-9;

/// The node's load, as an input of selection.
pub(crate) struct SelectionLoad<'a> {
    /// Learned latencies.
    pub latency: &'a LatencyEstimator,
    /// Time constant of the node's rates.
    pub rate_time_constant: TimeSpan,
    /// Total cost of the node's attempts that complete per second.
    pub completed_per_second: f64,
    /// Total cost of the attempts in flight that are not past their latency objective.
    pub work_in_flight: f64,
}

/// An endpoint that may receive an attempt.
struct Candidate {
    index: EndpointIndex,
    health_weight: f64,
    slow_start_fraction: f64,
}

/// A candidate with its score and its key in the weighted sampling. Lower values of both are preferred.
struct ScoredCandidate {
    index: EndpointIndex,
    score: f64,
    /// Exponentially distributed, with the weight as its rate.
    draw: f64,
}

/// Inputs shared by the scores of all candidates.
struct ScoreContext {
    out_of_subset_weight: f64,
    /// Work per second that this node sends to a fully started endpoint; 0 if no candidate is in slow start.
    throughput_per_endpoint: f64,
}

impl EndpointTable {
    /// Selects the endpoint for a request's next attempt; `None` if none may receive it. Uses the random generator.
    pub(crate) fn select(
        &self,
        context: &mut Context<'_>,
        request: &PendingRequest,
        load: &SelectionLoad<'_>,
    ) -> Option<EndpointIndex> {
        let candidates = self.candidates(context, request, load);
        let scores = self.score_context(context, &candidates, load);
        let mut scored = Vec::with_capacity(candidates.len());
        for candidate in candidates {
            let record = self.record(candidate.index);
            if !self.has_slow_start_budget(context, request, &candidate, &scores) {
                continue;
            }
            // Takes precedence over the other candidates for one attempt: with few requests, the random choice could
            // skip it for a long time.
            if record.awaits_first_attempt {
                return Some(candidate.index);
            }
            let zone_share = self.zone_share(record.endpoint.zone);
            if zone_share < 1.0 && context.draw() >= zone_share {
                continue;
            }
            let weight = self.weight(context, request, &candidate, &scores, load);
            scored.push(ScoredCandidate {
                index: candidate.index,
                score: (record.in_flight_cost() + request.cost()) / weight,
                draw: -context.draw().max(MIN_DRAW).ln() / weight,
            });
        }
        choose_among_best(context, scored, load.work_in_flight)
    }

    /// Endpoints that take requests and at which an attempt does no harm: an endpoint that does not share
    /// deduplication with one that may have executed the request would execute it again.
    fn candidates(
        &self,
        context: &Context<'_>,
        request: &PendingRequest,
        load: &SelectionLoad<'_>,
    ) -> Vec<Candidate> {
        let idempotency = context.class(request.class()).idempotency;
        let is_harmless = |record: &EndpointRecord| {
            request.possible_execution().is_none_or(|first| {
                let first = &self.record(first.endpoint()).endpoint;
                idempotency.deduplicates_between(first, &record.endpoint)
            })
        };
        self.indexed()
            .filter(|(_, record)| record.is_ready && is_harmless(record))
            .map(|(index, record)| Candidate {
                index,
                health_weight: selection_health(context, request, record, load),
                slow_start_fraction: record.slow_start_fraction(context),
            })
            .collect()
    }

    /// Computes the shared inputs. The weight of endpoints outside the subset grows when little of the subset is
    /// usable.
    fn score_context(
        &self,
        context: &Context<'_>,
        candidates: &[Candidate],
        load: &SelectionLoad<'_>,
    ) -> ScoreContext {
        let mut usable = 0.0;
        let mut subset = 0.0;
        for candidate in candidates {
            if self.record(candidate.index).in_subset {
                usable += candidate.health_weight * candidate.slow_start_fraction;
                subset += 1.0;
            }
        }
        let in_slow_start = |candidate: &Candidate| candidate.slow_start_fraction < 1.0;
        let missing = MIN_USABLE_FRACTION - usable / f64::max(subset, 1.0);
        ScoreContext {
            out_of_subset_weight: OUT_OF_SUBSET_WEIGHT.max(missing),
            throughput_per_endpoint: if candidates.iter().any(in_slow_start) {
                self.throughput_per_endpoint(context, load.completed_per_second)
            } else {
                0.0
            },
        }
    }

    /// Work per second that this node sends to a fully started endpoint of its subset: what the subset completes now,
    /// divided by the number of fully started endpoints it is equivalent to.
    ///
    /// While little has been completed, [`ASSUMED_THROUGHPUT`] divided by the number of nodes is the minimum.
    /// Otherwise a deployment whose endpoints are all in slow start would reject every request, since it admits
    /// nothing before it has completed something.
    fn throughput_per_endpoint(&self, context: &Context<'_>, completed_per_second: f64) -> f64 {
        let in_subset = |record: &&EndpointRecord| record.in_subset;
        let effective: f64 = self
            .ready()
            .filter(in_subset)
            .map(|record| record.slow_start_fraction(context))
            .sum();
        let ready = self.ready_count().max(1) as f64;
        let subset_fraction = self.ready().filter(in_subset).count() as f64 / ready;
        let completed = completed_per_second / effective.max(MIN_ENDPOINTS);
        let node_count = f64::from(context.settings().node_count);
        let nodes_per_endpoint = (node_count * subset_fraction).max(1.0);
        let objective = context.shortest_objective().as_seconds();
        completed.max(ASSUMED_THROUGHPUT / objective / nodes_per_endpoint)
    }

    /// Returns false if the endpoint is in slow start and is not in this node's subset or has used up its budget.
    fn has_slow_start_budget(
        &self,
        context: &Context<'_>,
        request: &PendingRequest,
        candidate: &Candidate,
        scores: &ScoreContext,
    ) -> bool {
        if candidate.slow_start_fraction >= 1.0 {
            return true;
        }
        let record = self.record(candidate.index);
        let load = SlowStartLoad {
            fraction: candidate.slow_start_fraction,
            throughput: scores.throughput_per_endpoint,
            cost: request.cost(),
        };
        (record.in_subset || record.awaits_first_attempt)
            && record.remaining_budget(context, candidate.index, load) >= 0.0
    }

    fn weight(
        &self,
        context: &Context<'_>,
        request: &PendingRequest,
        candidate: &Candidate,
        scores: &ScoreContext,
        load: &SelectionLoad<'_>,
    ) -> f64 {
        let settings = context.settings();
        let record = self.record(candidate.index);
        let endpoint = &record.endpoint;
        let has_weight = settings.weighted_endpoints && endpoint.weight > 0.0;
        let size = if has_weight { endpoint.weight } else { 1.0 };
        let is_same_zone = endpoint.zone == settings.zone;
        let zone_factor = if is_same_zone { 1.0 } else { OTHER_ZONE_FACTOR };
        let was_attempted = request.was_attempted_at(candidate.index);
        let attempted_factor = if was_attempted { ATTEMPTED_FACTOR } else { 1.0 };
        let subset_weight = if record.in_subset {
            1.0
        } else {
            scores.out_of_subset_weight
        };
        let machine_factor = record.machine_factor(context, load.latency);
        subset_weight * candidate.health_weight * size * candidate.slow_start_fraction
            / (record.latency_factor * machine_factor * zone_factor * attempted_factor)
    }
}

/// Health weight of an endpoint, at least [`MIN_HEALTH_WEIGHT`], which is also the weight of an ejected or unresponsive
/// one.
fn selection_health(
    context: &Context<'_>,
    request: &PendingRequest,
    record: &EndpointRecord,
    load: &SelectionLoad<'_>,
) -> f64 {
    if record.is_ejected_or_unresponsive(context.now(), load.latency) {
        return MIN_HEALTH_WEIGHT;
    }
    let health = HealthContext::new(context, load.rate_time_constant);
    record
        .health_weight(health, request.class(), request.plan())
        .max(MIN_HEALTH_WEIGHT)
}

/// Samples candidates by weight, more of them the more work is in flight, and chooses one of those with about the
/// lowest score.
///
/// This node's work in flight distinguishes endpoints only if there is enough of it. If all candidates were compared
/// with little work in flight, all nodes would choose the same few.
fn choose_among_best(
    context: &mut Context<'_>,
    mut scored: Vec<ScoredCandidate>,
    work_in_flight: f64,
) -> Option<EndpointIndex> {
    let drawn = (SAMPLES_PER_WORK_IN_FLIGHT * work_in_flight) as usize + 1;
    if drawn < scored.len() {
        scored.select_nth_unstable_by(drawn, |left, right| left.draw.total_cmp(&right.draw));
        scored.truncate(drawn);
    }
    let best = scored
        .iter()
        .map(|candidate| candidate.score)
        .reduce(f64::min)?;
    scored.retain(|candidate| candidate.score <= best * EQUAL_SCORES);
    Some(scored[context.draw_index(scored.len())].index)
}
