//! Learned latencies: of each kind of request, and of each machine type as a factor.

use applewall_node_types::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::api::{ClassId, MachineTypeId};

/// Number of size buckets, in units, for which latencies are learned separately: few, so that each gets many
/// responses.
pub(crate) const SIZE_BUCKETS: usize = 4;
/// Weight, in responses, of the estimate of a broader group beside that of the request's own kind: the first few
/// latencies of a kind vary widely.
const PRIOR_RESPONSES: f64 = 2.0;
/// Minimum weight of one response in a learned latency. The nth response of a kind has the weight 1/n up to the
/// hundredth, and this one from then on.
const LATENCY_WEIGHT: f64 = 0.01;
/// Factor on the weight of a response that is slower than the learned latency: time spent in an endpoint's queue is
/// not part of the request's cost.
const SLOWER_RESPONSE_FACTOR: f64 = 0.3;
/// Weight, in responses, of the assumption that a machine type has the usual latency.
const MACHINE_TYPE_PRIOR: f64 = 10.0;
/// Maximum weight, in responses, of the estimate of a machine type, so that it keeps adapting.
const MAX_MACHINE_TYPE_RESPONSES: f64 = 200.0;
/// Minimum usual latency as a divisor, so that nothing is divided by zero.
const MIN_LATENCY: TimeSpan = TimeSpan::from_seconds(1e-4);
/// Minimum cost of a request, relative to that of a mean request.
const MIN_COST: f64 = 0.1;
/// Maximum cost of a request, relative to that of a mean request.
const MAX_COST: f64 = 10.0;
/// Lower bound of the relative deviation from the usual latency that one response contributes to a machine type's
/// estimate.
const MIN_MACHINE_DEVIATION: f64 = -0.9;
/// Upper bound of the relative deviation from the usual latency that one response contributes to a machine type's
/// estimate.
const MAX_MACHINE_DEVIATION: f64 = 4.0;

/// Index of a pair of a class and a size bucket, for which latency is learned separately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RequestKind(usize);

impl RequestKind {
    /// The kind of a request of a class that draws `units` units.
    pub(crate) fn new(class: ClassId, units: f64) -> Self {
        let bucket = (units.round() as usize).clamp(1, SIZE_BUCKETS) - 1;
        RequestKind(class.0 * SIZE_BUCKETS + bucket)
    }

    /// Index of the first kind of its class.
    fn first_of_class(self) -> usize {
        self.0 / SIZE_BUCKETS * SIZE_BUCKETS
    }
}

/// An estimated mean and the number of responses it is based on. The order of the fields is part of the state
/// snapshot's encoding.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct MeanEstimate {
    value: f64,
    responses: f64,
}

/// Mean of the estimates, weighted by their numbers of responses; 0 if there are none.
fn weighted_mean(estimates: &[MeanEstimate]) -> f64 {
    let mut sum = 0.0;
    let mut responses = 0.0;
    for estimate in estimates {
        sum += estimate.value * estimate.responses;
        responses += estimate.responses;
    }
    sum / f64::max(responses, 1.0)
}

/// Latencies learned from responses.
pub(crate) struct LatencyEstimator {
    /// Latency of each kind of request, in seconds.
    by_kind: Vec<MeanEstimate>,
    /// Latency of each machine type, as a multiple of the usual latency.
    by_machine_type: Vec<MeanEstimate>,
}

impl LatencyEstimator {
    /// Creates an estimator without responses.
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

    /// Mean latency of all kinds; zero before the first response.
    pub(crate) fn mean(&self) -> TimeSpan {
        TimeSpan::from_seconds(weighted_mean(&self.by_kind))
    }

    /// Usual latency of a kind of request. While the kind has few responses, it is close to the mean of its class, or
    /// of all requests if the class has none.
    pub(crate) fn usual(&self, kind: RequestKind) -> TimeSpan {
        let class = weighted_mean(&self.by_kind[kind.first_of_class()..][..SIZE_BUCKETS]);
        let broader = if class > 0.0 {
            class
        } else {
            weighted_mean(&self.by_kind)
        };
        let own = self.by_kind[kind.0];
        let sum = own.value * own.responses + broader * PRIOR_RESPONSES;
        TimeSpan::from_seconds(sum / (own.responses + PRIOR_RESPONSES))
    }

    /// Cost of a kind of request, relative to that of a mean request. Before the first response, all kinds cost the
    /// same.
    pub(crate) fn cost(&self, kind: RequestKind) -> f64 {
        let mean = self.mean();
        if mean > TimeSpan::ZERO {
            (self.usual(kind) / mean).clamp(MIN_COST, MAX_COST)
        } else {
            1.0
        }
    }

    /// Index of a machine type; unknown types share the last one.
    fn machine_index(&self, machine_type: MachineTypeId) -> usize {
        (machine_type.0 as usize).min(self.by_machine_type.len() - 1)
    }

    /// Latency of a machine type, as a multiple of the usual latency.
    pub(crate) fn machine_factor(&self, machine_type: MachineTypeId) -> f64 {
        self.by_machine_type[self.machine_index(machine_type)].value
    }

    /// Updates the estimates from a response. `usual`: the latency that was expected of it.
    pub(crate) fn record(
        &mut self,
        kind: RequestKind,
        machine_type: MachineTypeId,
        latency: TimeSpan,
        usual: TimeSpan,
    ) {
        self.record_kind(kind, latency);
        self.record_machine_type(machine_type, latency / usual.max(MIN_LATENCY) - 1.0);
    }

    fn record_kind(&mut self, kind: RequestKind, latency: TimeSpan) {
        let own = &mut self.by_kind[kind.0];
        let latency = latency.as_seconds();
        let is_slower = latency > own.value && own.responses > 0.0;
        let factor = if is_slower {
            SLOWER_RESPONSE_FACTOR
        } else {
            1.0
        };
        own.value +=
            (latency - own.value) * factor * LATENCY_WEIGHT.max(1.0 / (own.responses + 1.0));
        own.responses += 1.0;
    }

    fn record_machine_type(&mut self, machine_type: MachineTypeId, deviation: f64) {
        let index = self.machine_index(machine_type);
        let machine = &mut self.by_machine_type[index];
        machine.responses += 1.0;
        let deviation = deviation.clamp(MIN_MACHINE_DEVIATION, MAX_MACHINE_DEVIATION);
        let responses = machine.responses.min(MAX_MACHINE_TYPE_RESPONSES);
        machine.value += deviation * machine.value / responses;
    }

    /// Returns the estimates that a hot restart transfers.
    pub(super) fn to_snapshot(&self) -> LatencySnapshot {
        LatencySnapshot {
            by_kind: self.by_kind.clone(),
            by_machine_type: self.by_machine_type.clone(),
        }
    }
}

/// The estimates of a [`LatencyEstimator`], in the field order of the state snapshot.
#[derive(Serialize, Deserialize)]
pub(super) struct LatencySnapshot {
    by_kind: Vec<MeanEstimate>,
    by_machine_type: Vec<MeanEstimate>,
}

impl LatencySnapshot {
    /// Returns true if there are estimates for this number of classes and machine types.
    pub(super) fn is_consistent(&self, classes: usize, machine_types: u32) -> bool {
        self.by_kind.len() == classes * SIZE_BUCKETS
            && self.by_machine_type.len() == machine_types.max(1) as usize
    }
}

impl From<LatencySnapshot> for LatencyEstimator {
    fn from(snapshot: LatencySnapshot) -> Self {
        LatencyEstimator {
            by_kind: snapshot.by_kind,
            by_machine_type: snapshot.by_machine_type,
        }
    }
}
