//! Learned latencies: of each kind of request, and of each machine type as a factor on those.

use serde::{Deserialize, Serialize};

use super::Seconds;

/// Size buckets, in units, that latencies are learned for separately: few, so that each is seen
/// often.
pub(crate) const SIZE_BUCKETS: usize = 4;
/// Responses that the estimate of a broader group counts for beside a kind's own: the first few
/// scatter widely.
const PRIOR_RESPONSES: f64 = 2.0;
/// Weight of one response in a learned latency, once a hundred are known.
const LATENCY_WEIGHT: f64 = 0.01;
/// Part of that weight where the response is slower than known: waiting in a queue is not work.
const SLOWER_RESPONSE_FACTOR: f64 = 0.3;
/// Responses that a machine type assumed to be usual counts for.
pub(crate) const MACHINE_TYPE_PRIOR: f64 = 10.0;
/// Responses that the estimate of a machine type remembers at most.
const MACHINE_TYPE_MEMORY: f64 = 200.0;
/// Least usual latency that others are compared with, so that none divides by nothing.
const LEAST_LATENCY: Seconds = 1e-4;
/// Least cost of a request, in requests of the mean.
const LEAST_COST: f64 = 0.1;
/// Largest cost of a request, in requests of the mean.
const LARGEST_COST: f64 = 10.0;
/// Lowest deviation from the usual latency that one response can teach about a machine type.
const LOWEST_MACHINE_DEVIATION: f64 = -0.9;
/// Highest deviation from the usual latency that one response can teach about a machine type.
const HIGHEST_MACHINE_DEVIATION: f64 = 4.0;

/// An estimate, and how many responses it rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct MeanEstimate {
    /// The estimate.
    pub(crate) value: f64,
    /// Responses that taught it.
    pub(crate) responses: f64,
}

/// Mean of estimates, weighted by their responses; 0 where none is known.
fn weighted_mean(estimates: &[MeanEstimate]) -> f64 {
    let mut sum = 0.0;
    let mut responses = 0.0;
    for estimate in estimates {
        sum += estimate.value * estimate.responses;
        responses += estimate.responses;
    }
    sum / f64::max(responses, 1.0)
}

/// What responses taught about latency.
pub(crate) struct LatencyEstimator {
    /// Latency of each class and size, s.
    pub(crate) by_kind: Vec<MeanEstimate>,
    /// Latency of each machine type, as a part of the usual one.
    pub(crate) by_machine_type: Vec<MeanEstimate>,
}

impl LatencyEstimator {
    /// One that knows nothing yet.
    pub(crate) fn new(classes: usize, machine_types: u32) -> Self {
        let usual = MeanEstimate {
            value: 1.0,
            responses: MACHINE_TYPE_PRIOR,
        };
        LatencyEstimator {
            by_kind: vec![MeanEstimate::default(); classes * SIZE_BUCKETS],
            by_machine_type: vec![usual; machine_types.max(1) as usize],
        }
    }

    /// The kind of a request: its class and its size in units, which often tells of its work.
    pub(crate) fn kind(class: usize, units: f64) -> usize {
        class * SIZE_BUCKETS + (units.round() as usize).clamp(1, SIZE_BUCKETS) - 1
    }

    /// Mean latency over all kinds; 0 while none is known.
    pub(crate) fn mean(&self) -> Seconds {
        weighted_mean(&self.by_kind)
    }

    /// Latency of a kind of request; while few of its responses are known, mostly that of its class
    /// or of all.
    pub(crate) fn usual(&self, kind: usize) -> Seconds {
        let class =
            weighted_mean(&self.by_kind[kind / SIZE_BUCKETS * SIZE_BUCKETS..][..SIZE_BUCKETS]);
        let broader = if class > 0.0 { class } else { self.mean() };
        let own = self.by_kind[kind];
        (own.value * own.responses + broader * PRIOR_RESPONSES) / (own.responses + PRIOR_RESPONSES)
    }

    /// Cost of a kind of request, in requests of the mean; before any response, all cost the same.
    pub(crate) fn cost(&self, kind: usize) -> f64 {
        let mean = self.mean();
        if mean > 0.0 {
            (self.usual(kind) / mean).clamp(LEAST_COST, LARGEST_COST)
        } else {
            1.0
        }
    }

    /// Index of a machine type; unknown ones share the last.
    fn machine_index(&self, machine_type: u32) -> usize {
        (machine_type as usize).min(self.by_machine_type.len() - 1)
    }

    /// Latency of a machine type, as a part of the usual one.
    pub(crate) fn machine_factor(&self, machine_type: u32) -> f64 {
        self.by_machine_type[self.machine_index(machine_type)].value
    }

    /// Learns from a response. `usual` is what was expected of it before.
    pub(crate) fn record(
        &mut self,
        kind: usize,
        machine_type: u32,
        latency: Seconds,
        usual: Seconds,
    ) {
        let own = &mut self.by_kind[kind];
        let slower = latency > own.value && own.responses > 0.0;
        let part = if slower { SLOWER_RESPONSE_FACTOR } else { 1.0 };
        own.value += (latency - own.value) * part * LATENCY_WEIGHT.max(1.0 / (own.responses + 1.0));
        own.responses += 1.0;
        let index = self.machine_index(machine_type);
        let machine = &mut self.by_machine_type[index];
        machine.responses += 1.0;
        let deviation = latency / usual.max(LEAST_LATENCY) - 1.0;
        let deviation = deviation.clamp(LOWEST_MACHINE_DEVIATION, HIGHEST_MACHINE_DEVIATION);
        machine.value += deviation * machine.value / machine.responses.min(MACHINE_TYPE_MEMORY);
    }
}
