//! Routing: which endpoint gets an attempt, and this node's subset of endpoints in a large fleet.

use rand::Rng;

use super::outlier::LEAST_HEALTH_WEIGHT;
use super::slow_start::SlowStartBudget;
use crate::api::{Action, RequestId};
use crate::decision_state::{
    is_large_fleet, nanoseconds, seconds, DecisionPolicy, EndpointRecord, InFlightAttempt,
    PendingRequest, Seconds,
};
use crate::gossip::codec::{fingerprint, rendezvous_rank};

/// Score of endpoints in other zones, as a factor: mild, since a crossing costs far less than a wait.
const OTHER_ZONE_FACTOR: f64 = 1.1;
/// Score of endpoints that the request tried before, as a factor.
const ATTEMPTED_FACTOR: f64 = 4.0;
/// Scores within this factor of the best count as equal.
const EQUAL_SCORES: f64 = 1.15;
/// Least number of endpoints in a node's subset.
const LEAST_SUBSET: u32 = 12;
/// Nodes that share each endpoint.
const NODES_PER_ENDPOINT: u32 = 8;
/// Weight of endpoints outside the subset.
const OUT_OF_SUBSET_WEIGHT: f64 = 0.002;
/// Share of the subset that has to be usable; what is missing goes to the other endpoints.
const USABLE_SUBSET: f64 = 0.5;
/// Endpoints drawn for each unit of own work in flight, beside the first one.
const DRAWN_PER_WORK: f64 = 2.0;
/// Least draw, whose logarithm is still finite.
const LEAST_DRAW: f64 = 1e-12;

/// An endpoint that may have an attempt.
struct Candidate {
    index: usize,
    health_weight: f64,
    slow_start_fraction: f64,
}

/// A candidate with its score, the lower the better, and its place in a weighted draw.
struct ScoredCandidate {
    index: usize,
    score: f64,
    draw: f64,
}

/// What the scores of all candidates have in common.
struct ScoreContext {
    out_of_subset_weight: f64,
    throughput_per_endpoint: f64,
}

impl DecisionPolicy {
    /// Sends a request's next attempt, if an endpoint may have it.
    pub(super) fn send_attempt(
        &mut self,
        now: Seconds,
        id: RequestId,
        request: &mut PendingRequest,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(index) = self.pick_endpoint(now, request) else {
            return false;
        };
        let timeout = self.attempt_timeout(now, request);
        let record = &mut self.endpoints.records[index];
        let attempt = InFlightAttempt::next(id, request, now);
        record.start_attempt(attempt, seconds(self.settings.slow_start_ns));
        request.record_attempt(index, now);
        actions.push(Action::StartAttempt {
            request: id,
            endpoint: record.endpoint.id.clone(),
            timeout_ns: timeout.map_or(0, nanoseconds),
        });
        true
    }

    fn pick_endpoint(&mut self, now: Seconds, request: &PendingRequest) -> Option<usize> {
        let candidates = self.candidates(now, request);
        let context = self.score_context(now, &candidates);
        let mut scored = Vec::with_capacity(candidates.len());
        for candidate in candidates {
            let record = &self.endpoints.records[candidate.index];
            if !self.has_slow_start_capacity(now, request, &candidate, &context) {
                continue;
            }
            // Before all others, once: chance alone could pass one by for long where little traffic meets it.
            if record.awaits_first_attempt {
                return Some(candidate.index);
            }
            let zone_share = self.endpoints.zone_share(record.endpoint.zone);
            if zone_share < 1.0 && self.rng.random::<f64>() >= zone_share {
                continue;
            }
            let weight = self.endpoint_weight(request, &candidate, &context);
            let score = (record.in_flight_cost() + request.cost) / weight;
            let draw = -self.rng.random::<f64>().max(LEAST_DRAW).ln() / weight;
            scored.push(ScoredCandidate {
                index: candidate.index,
                score,
                draw,
            });
        }
        self.choose_among_best(now, scored)
    }

    /// Endpoints that take requests, and where the request does no harm.
    fn candidates(&self, now: Seconds, request: &PendingRequest) -> Vec<Candidate> {
        let class = &self.settings.classes[request.class];
        let records = &self.endpoints.records;
        let is_harmless = |record: &EndpointRecord| {
            request.possible_execution.is_none_or(|first| {
                let first = &records[first.endpoint].endpoint;
                class
                    .idempotency
                    .deduplicates_between(first, &record.endpoint)
            })
        };
        records
            .iter()
            .enumerate()
            .filter(|(_, record)| record.ready && is_harmless(record))
            .map(|(index, record)| Candidate {
                index,
                health_weight: if self.is_suspect(record, now) {
                    LEAST_HEALTH_WEIGHT
                } else {
                    self.health_weight(record, now, request.class, request.plan)
                        .max(LEAST_HEALTH_WEIGHT)
                },
                slow_start_fraction: record.slow_start_fraction(&self.settings, now),
            })
            .collect()
    }

    fn score_context(&self, now: Seconds, candidates: &[Candidate]) -> ScoreContext {
        // What of its subset a node can use: where that is little, it sends to the others too.
        let mut usable = 0.0;
        let mut subset = 0.0;
        for candidate in candidates {
            if self.endpoints.records[candidate.index].in_subset {
                usable += candidate.health_weight * candidate.slow_start_fraction;
                subset += 1.0;
            }
        }
        let in_slow_start = |candidate: &Candidate| candidate.slow_start_fraction < 1.0;
        ScoreContext {
            out_of_subset_weight: OUT_OF_SUBSET_WEIGHT
                .max(USABLE_SUBSET - usable / f64::max(subset, 1.0)),
            throughput_per_endpoint: if candidates.iter().any(in_slow_start) {
                self.throughput_per_endpoint(now)
            } else {
                0.0
            },
        }
    }

    /// False where an endpoint in slow start is not this node's to warm up, or has had its share.
    fn has_slow_start_capacity(
        &self,
        now: Seconds,
        request: &PendingRequest,
        candidate: &Candidate,
        context: &ScoreContext,
    ) -> bool {
        if candidate.slow_start_fraction >= 1.0 {
            return true;
        }
        let record = &self.endpoints.records[candidate.index];
        let is_own = record.in_subset || record.awaits_first_attempt;
        let budget = SlowStartBudget {
            fraction: candidate.slow_start_fraction,
            throughput: context.throughput_per_endpoint,
        };
        is_own
            && self.remaining_slow_start_budget(candidate.index, now, budget, request.cost) >= 0.0
    }

    fn endpoint_weight(
        &self,
        request: &PendingRequest,
        candidate: &Candidate,
        context: &ScoreContext,
    ) -> f64 {
        let record = &self.endpoints.records[candidate.index];
        let endpoint = &record.endpoint;
        let has_weight = self.settings.weighted_endpoints && endpoint.weight > 0.0;
        let size = if has_weight { endpoint.weight } else { 1.0 };
        let same_zone = endpoint.zone == self.settings.zone;
        let zone_factor = if same_zone { 1.0 } else { OTHER_ZONE_FACTOR };
        let was_attempted = request.attempted_endpoints.contains(&candidate.index);
        let attempted_factor = if was_attempted { ATTEMPTED_FACTOR } else { 1.0 };
        let subset_weight = if record.in_subset {
            1.0
        } else {
            context.out_of_subset_weight
        };
        let machine_factor = self.machine_factor(record);
        subset_weight * candidate.health_weight * size * candidate.slow_start_fraction
            / (record.latency_factor * machine_factor * zone_factor * attempted_factor)
    }

    /// Own work in flight tells endpoints apart only where there is some: so many are drawn by weight, and
    /// the best of these taken. Otherwise all nodes would run to the same few.
    fn choose_among_best(
        &mut self,
        now: Seconds,
        mut scored: Vec<ScoredCandidate>,
    ) -> Option<usize> {
        let drawn = (DRAWN_PER_WORK * self.work_in_flight(now)) as usize + 1;
        if drawn < scored.len() {
            scored.select_nth_unstable_by(drawn, |left, right| left.draw.total_cmp(&right.draw));
            scored.truncate(drawn);
        }
        let best = scored
            .iter()
            .map(|candidate| candidate.score)
            .reduce(f64::min)?;
        scored.retain(|candidate| candidate.score <= best * EQUAL_SCORES);
        Some(scored[self.rng.random_range(0..scored.len())].index)
    }

    /// Deterministic subsetting: in a large fleet each node keeps to a part of the endpoints that it meets
    /// often enough to know, and to its connections. Rounds of as many nodes as there are parts share all
    /// endpoints evenly, each in an order of its own (rendezvous hashing), so that a change of the list moves
    /// few.
    pub(crate) fn assign_subset(&mut self) {
        let records = &mut self.endpoints.records;
        let mut ready: Vec<usize> = (0..records.len()).filter(|i| records[*i].ready).collect();
        let nodes = self.settings.node_count;
        let subsets = if is_large_fleet(&self.settings) {
            (ready.len() as u32 / LEAST_SUBSET)
                .min(nodes / NODES_PER_ENDPOINT)
                .max(1)
        } else {
            1
        };
        let round = self.settings.node / subsets;
        let own_subset = (self.settings.node % subsets) as usize;
        ready.sort_by_cached_key(|i| rendezvous_rank(fingerprint(&records[*i].endpoint.id), round));
        for (rank, index) in ready.iter().enumerate() {
            records[*index].in_subset = rank * subsets as usize / ready.len() == own_subset;
        }
    }
}
