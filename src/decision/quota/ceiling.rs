//! The ceiling of a customer: a token bucket that must never be exceeded, split over the customer's nodes.
//!
//! In a small set, each node has an equal allocation and grants units to the peer that needs them most. In a large
//! set, half is allocated evenly, and the first aggregator holds the rest as a reserve from which it makes grants.

use applewall_node_types::TimeSpan;

use crate::api::Plan;
use crate::decision::context::Context;

/// Fraction of a ceiling that is allocated evenly in a large set; the rest is granted by the first aggregator.
const BASE_ALLOCATION: f64 = 0.5;
/// Fraction of the ceiling's excess over the quota with which a new process starts, in a large set.
const INITIAL_FRACTION: f64 = 0.75;
/// Time constant with which unused granted units are written off.
pub(super) const GRANT_TIME_CONSTANT: TimeSpan = TimeSpan::from_seconds(3.0);
/// Grants are made in steps of 1/4 unit, the resolution of the message.
const GRANTS_PER_UNIT: f64 = 4.0;
/// Fraction of its capacity at which a bucket counts as full, since sums of fractions do not reach it exactly.
const FULL_FRACTION: f64 = 1.0 - 1e-9;
/// Minimum rate that a time to fill is computed with, so that a plan without a ceiling causes no division by zero.
const MIN_RATE: f64 = 1e-9;

/// Rounds units down to the resolution of a grant.
pub(super) fn round_down_to_grant(units: f64) -> f64 {
    (units * GRANTS_PER_UNIT).floor() / GRANTS_PER_UNIT
}

/// What the customer's other nodes use of the ceiling, as the holder of the reserve knows it.
#[derive(Clone, Copy)]
pub(super) struct ReserveUsage {
    /// Peers whose allocation is not full.
    pub(super) active_peers: usize,
    /// Granted units that are not known to be used.
    pub(super) granted_units: f64,
}

/// This node's allocation of a customer's ceiling, and the reserve if this node holds it.
#[derive(Clone, Debug)]
pub(super) struct Ceiling {
    /// Units that can be admitted here; briefly negative after a larger request was admitted by its dither.
    units: f64,
    /// Fraction of the ceiling that is allocated evenly; the rest is in the first aggregator's reserve.
    base_allocation: f64,
    /// Units in the reserve, if this node holds it.
    reserve: Option<f64>,
    /// A request is admitted if the available units are at least this fraction of its units. Drawn for each request
    /// in a large set, 1 in a small one.
    dither: f64,
}

impl Ceiling {
    /// Creates an empty allocation, for a customer whose nodes are not known yet.
    pub(super) fn empty() -> Self {
        Ceiling {
            units: 0.0,
            base_allocation: 1.0,
            reserve: None,
            dither: 1.0,
        }
    }

    /// Restores the allocation of another process.
    pub(super) fn restore(
        units: f64,
        base_allocation: f64,
        reserve: Option<f64>,
        dither: f64,
    ) -> Self {
        Ceiling {
            units,
            base_allocation,
            reserve,
            dither,
        }
    }

    pub(super) fn units(&self) -> f64 {
        self.units
    }

    pub(super) fn base_allocation(&self) -> f64 {
        self.base_allocation
    }

    pub(super) fn reserve(&self) -> Option<f64> {
        self.reserve
    }

    /// See [`Self::draw_dither`].
    pub(super) fn dither(&self) -> f64 {
        self.dither
    }

    /// Returns true if part of the ceiling is in a reserve, at this node or another one, because the customer's nodes
    /// are too many to report to each other.
    pub(super) fn has_reserve(&self) -> bool {
        self.base_allocation < 1.0
    }

    /// Splits the ceiling for a set of nodes. `holds_reserve`: this node is the first aggregator of a large set.
    pub(super) fn split(&mut self, is_large_set: bool, holds_reserve: bool) {
        self.base_allocation = if is_large_set { BASE_ALLOCATION } else { 1.0 };
        self.reserve = holds_reserve.then(|| self.reserve.unwrap_or(0.0));
    }

    /// Sets the initial units of a customer that becomes known: what has been refilled since this process started,
    /// because an earlier process may have spent the units from before.
    pub(super) fn initialize(&mut self, age: TimeSpan, plan: &Plan, nodes: u32) {
        let burst = plan.ceiling_burst_units;
        let filled = (age.as_seconds() * plan.ceiling_units_per_second).min(burst);
        let left = if self.has_reserve() && quota_bounds_use(plan) {
            INITIAL_FRACTION * (burst - plan.quota_burst_units).max(0.0)
        } else {
            0.0
        };
        let allocation = self.base_allocation;
        self.units = (filled * allocation + left).min(burst * allocation) / f64::from(nodes);
        self.reserve = self.reserve.map(|_| filled * (1.0 - allocation));
    }

    /// Draws the dither of the next request. In a large set, allocations are smaller than requests: if they had to
    /// cover a full request, each node would withhold up to one request, which adds up over all nodes.
    pub(super) fn draw_dither(&mut self, context: &mut Context<'_>) {
        self.dither = if self.has_reserve() {
            context.draw()
        } else {
            1.0
        };
    }

    /// Returns true if the ceiling admits a request of `units`: if the plan has no ceiling, or if the allocation and
    /// the reserve held here add up to at least the fraction of `units` that [`Self::draw_dither`] has drawn.
    pub(super) fn admits(&self, units: f64, plan: &Plan) -> bool {
        let available = self.units + self.reserve.unwrap_or(0.0);
        !plan.has_ceiling() || available >= units * self.dither
    }

    /// Takes the units of a request that was sent; the reserve covers what the allocation lacks.
    pub(super) fn charge(&mut self, units: f64) {
        self.units -= units;
        let Some(reserve) = &mut self.reserve else {
            return;
        };
        if self.units < 0.0 {
            *reserve += self.units;
            self.units = 0.0;
        }
    }

    /// Refills the allocation by the tokens of a duration.
    ///
    /// Granted units beyond its capacity are kept. In a large set they decay at the rate at which the reserve writes
    /// them off: if they were kept indefinitely, grants to one peer after another would add up to far more than the
    /// ceiling.
    pub(super) fn refill_allocation(&mut self, span: TimeSpan, plan: &Plan, nodes: u32) {
        let fraction = self.base_allocation / f64::from(nodes);
        let decay = if self.has_reserve() {
            span.decay(GRANT_TIME_CONSTANT)
        } else {
            1.0
        };
        let capacity = plan.ceiling_burst_units * fraction;
        let excess = (self.units - capacity).max(0.0) * decay;
        let filled = self.units + span.as_seconds() * plan.ceiling_units_per_second * fraction;
        self.units = filled.min(capacity + excess);
    }

    /// Refills the reserve, if this node holds it, by the tokens of a duration. An allocation that has not been used
    /// for as long as the ceiling takes to fill is full, so the reserve gets what would overflow there.
    pub(super) fn refill_reserve(
        &mut self,
        span: TimeSpan,
        plan: &Plan,
        nodes: u32,
        reserve_usage: impl FnOnce() -> ReserveUsage,
    ) {
        let Some(reserve) = &mut self.reserve else {
            return;
        };
        let nodes = f64::from(nodes);
        let ReserveUsage {
            active_peers,
            granted_units,
        } = reserve_usage();
        let fraction = 1.0 - self.base_allocation * (active_peers as f64 + 1.0).min(nodes) / nodes;
        let reserved_burst = plan.ceiling_burst_units * (1.0 - self.base_allocation);
        let capacity = (reserved_burst - granted_units).max(0.0);
        let filled = *reserve + span.as_seconds() * plan.ceiling_units_per_second * fraction;
        *reserve = filled.min(capacity);
    }

    /// Takes up to `wanted` units from the reserve, at most half of it, rounded down to the resolution of a grant.
    pub(super) fn take_from_reserve(&mut self, wanted: f64) -> Option<f64> {
        let reserve = self.reserve.as_mut()?;
        let amount = round_down_to_grant(wanted.min(*reserve / 2.0).max(0.0));
        *reserve -= amount;
        Some(amount)
    }

    /// Takes units granted to a peer of a small set.
    pub(super) fn take(&mut self, units: f64) {
        self.units -= units;
    }

    /// Adds units granted by a peer, up to the size of the reserve in a large set and of one allocation in a small one.
    pub(super) fn add_grant(&mut self, units: f64, plan: &Plan, nodes: u32) {
        let fraction = if self.has_reserve() {
            1.0 - self.base_allocation
        } else {
            1.0 / f64::from(nodes)
        };
        self.units = (self.units + units).min(plan.ceiling_burst_units * fraction);
    }

    /// Hands a fraction of the units and the whole reserve over to another process, and returns its ceiling. The
    /// other units stay here.
    pub(super) fn hand_over(&mut self, handed_over: f64) -> Ceiling {
        let transferred = Ceiling {
            units: self.units * handed_over,
            ..self.clone()
        };
        self.units *= 1.0 - handed_over;
        self.reserve = self.reserve.map(|_| 0.0);
        transferred
    }

    /// Returns true if the allocation and the reserve, if held here, are full, so that nothing is lost by discarding
    /// them. Always true without a ceiling.
    pub(super) fn is_full(&self, plan: &Plan, nodes: u32) -> bool {
        if !plan.has_ceiling() {
            return true;
        }
        let burst = plan.ceiling_burst_units;
        let reserve_is_full = self
            .reserve
            .is_none_or(|reserve| reserve >= burst * (1.0 - self.base_allocation) * FULL_FRACTION);
        let allocation = burst * self.base_allocation * FULL_FRACTION;
        reserve_is_full && self.units * f64::from(nodes) >= allocation
    }
}

/// Time that an empty ceiling takes to fill.
pub(super) fn time_to_fill(plan: &Plan) -> TimeSpan {
    TimeSpan::from_seconds(plan.ceiling_burst_units / plan.ceiling_units_per_second.max(MIN_RATE))
}

/// Returns true if the quota fills no faster than the ceiling. An earlier process that enforced the quota then left
/// at least the part of the ceiling that exceeds the quota's burst.
fn quota_bounds_use(plan: &Plan) -> bool {
    plan.has_quota() && plan.quota_units_per_second <= plan.ceiling_units_per_second
}
