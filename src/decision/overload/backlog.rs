//! The backlog limit, for when the backlog grows faster than the ladder moves: in a surge, or when many endpoints are
//! lost at once.
//!
//! Work in flight beyond what is completed within a fraction of the latency objective would be late, so it is
//! rejected. The limit is `throughput * span * fraction * weight`, where `span` is the geometric mean of the
//! request's own objective and the shortest one. It is not part of the QGuard paper.

use applewall_node_types::TimeSpan;

use super::ladder::Ladder;
use super::pool::LoadPool;
use super::tiers::WeightedRequest;
use super::MONITOR_INTERVAL;
use crate::api::ClassId;
use crate::decision::context::Context;

/// Backlog limit for requests of mean weight by this node's throughput, in objectives.
const OWN_BACKLOG_FRACTION: f64 = 0.33;
/// Backlog limit for requests of mean weight by this node's fraction of the fleet's capacity, in objectives.
const POOLED_BACKLOG_FRACTION: f64 = 0.22;
/// Minimum of the limit by this node's throughput, in requests per endpoint.
const MIN_OWN_BACKLOG: f64 = 4.0;
/// Minimum of the limit by the fleet's capacity, in requests per endpoint.
const MIN_POOLED_BACKLOG: f64 = 2.8;
/// Minimum limit, in requests, that this node can enforce by its own work in flight: random arrivals alone exceed a
/// smaller one too often.
const MIN_RELIABLE_BACKLOG: f64 = 4.0;
/// Time after the start in which this node's own backlog is not limited, since its throughput is not known yet.
const GRACE_PERIOD: TimeSpan = TimeSpan::from_seconds(0.3);
/// Ratio of requested to completed work up to which the excess can be chance.
const TOLERATED_EXCESS: f64 = 1.3;
/// Exponent of the excess in the rejection probability; 1 would only hold the backlog at the limit.
const EXCESS_POWER: f64 = 1.5;
/// Minimum factor of the priority weight on the limit, so that no class is starved.
const MIN_WEIGHT_FACTOR: f64 = 0.4;
/// Maximum factor of the priority weight on the limit.
const MAX_WEIGHT_FACTOR: f64 = 2.5;
/// Minimum elapsed fraction of the time constant by which the throughput of a process that has just started is scaled
/// up.
const MIN_FILLED_FRACTION: f64 = 0.1;
/// Minimum capacity as a divisor.
const MIN_CAPACITY: f64 = 1e-9;

/// The inputs of the backlog limit that neither the ladder nor the pool has.
pub(crate) struct Backlog {
    /// Cost of this node's attempts that are not past their objective.
    work_in_flight: f64,
    /// Number of endpoints that take requests.
    ready_endpoints: usize,
}

impl Backlog {
    pub(crate) fn new(work_in_flight: f64, ready_endpoints: usize) -> Self {
        Backlog {
            work_in_flight,
            ready_endpoints,
        }
    }
}

/// Decides whether the backlog limit sheds a request.
///
/// This node's own backlog is used if its limit is large enough. In a large fleet, whose nodes have few requests
/// each, the fleet's backlog is used instead, with a random factor.
pub(super) fn decide_shedding(
    context: &mut Context<'_>,
    ladder: &Ladder,
    pool: &LoadPool,
    class: ClassId,
    request: WeightedRequest,
    backlog: &Backlog,
) -> bool {
    let objective = context.latency_objective(class).as_seconds();
    let span = (objective * context.shortest_objective().as_seconds()).sqrt();
    let relative_weight = request.weight_per_cost() / ladder.mean_weight(context.now());
    let weight = relative_weight.clamp(MIN_WEIGHT_FACTOR, MAX_WEIGHT_FACTOR);
    let ready = backlog.ready_endpoints as f64;
    let endpoints_per_node = ready / f64::from(context.node_count());
    let own_limit = (own_throughput(context, ladder) * span * OWN_BACKLOG_FRACTION * weight)
        .max(MIN_OWN_BACKLOG * endpoints_per_node);
    if own_limit >= MIN_RELIABLE_BACKLOG || !context.is_large_fleet() {
        return context.age() > GRACE_PERIOD && backlog.work_in_flight > own_limit;
    }
    let pooled_limit = (pool.capacity() * span * POOLED_BACKLOG_FRACTION * weight)
        .max(MIN_POOLED_BACKLOG * endpoints_per_node);
    sample_pooled_backlog(context, pool, backlog.work_in_flight) > pooled_limit
}

/// Total cost of this node's attempts that complete per second. The estimate of a process that has just started is
/// scaled up, because the decaying average is not filled yet. If nothing completes, the result is 0, and the caller's
/// limit is at its minimum, which [`MIN_OWN_BACKLOG`] determines.
fn own_throughput(context: &Context<'_>, ladder: &Ladder) -> f64 {
    let filled = 1.0 - context.age().decay(ladder.time_constant());
    ladder.completed_per_second(context.now()) / filled.max(MIN_FILLED_FRACTION)
}

/// Samples the fleet's backlog per node: `draw * excess ^ 1.5 * in flight`. Chance alone exceeds a limit of few
/// requests, so the pool decides, and only for a fraction of the requests.
///
/// The excess is the ratio of requested work to the tolerated multiple of the capacity, at least 1. Without it, the
/// backlog would settle at the limit times the ratio of requested to completed work, which overloads the endpoints when
/// clients retry. The excess protects against any demand beyond what is completed, including its retries. The larger
/// it is, the less backlog is needed to keep the endpoints busy. After endpoints have gained capacity it can reject too
/// much until the pool shows the gain. In a process that has just started it is 1, because the requested work is not
/// known yet.
fn sample_pooled_backlog(context: &mut Context<'_>, pool: &LoadPool, work_in_flight: f64) -> f64 {
    let received = pool.received();
    let is_pooled = received.intervals > 0.0 && pool.has_recent_messages(context.now());
    let per_interval = |sum: f64, own: f64| {
        if is_pooled {
            sum / received.intervals
        } else {
            own
        }
    };
    let is_recently_started = context.age() < context.overload_window();
    let requested = if is_recently_started {
        0.0
    } else {
        per_interval(received.requested, 0.0)
    };
    let capacity = TOLERATED_EXCESS * pool.capacity();
    let excess = requested / MONITOR_INTERVAL.as_seconds() / capacity.max(MIN_CAPACITY);
    let in_flight = per_interval(received.in_flight, work_in_flight);
    context.draw() * excess.max(1.0).powf(EXCESS_POWER) * in_flight
}
