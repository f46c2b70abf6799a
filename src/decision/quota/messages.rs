//! What nodes exchange about a customer's quota and ceiling, apart from its form on the wire
//! ([`crate::gossip::codec`]).

use crate::api::{NodeSet, PlanId};

/// A running total is encoded in quarters of a unit.
const CODES_PER_UNIT: f64 = 4.0;
/// A running total is sent modulo 4096: two base-64 digits of a message.
const CODE_MASK: u32 = 0xfff;

/// Codes from one total to another above which the other is the earlier one: half of what a code can express.
const MAX_CODES_AHEAD: u32 = CODE_MASK / 2;

/// A running total of units in quarters of a unit, modulo 4096. A receiver computes the difference to the total before, so
/// that a lost report is made up for by the next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WrappingTotal(u32);

impl WrappingTotal {
    /// A total of units.
    pub fn from_units(units: f64) -> Self {
        WrappingTotal((units * CODES_PER_UNIT).round() as u64 as u32 & CODE_MASK)
    }

    /// A total by its code.
    pub fn from_code(code: u32) -> Self {
        WrappingTotal(code)
    }

    /// Its code.
    pub fn code(self) -> u32 {
        self.0
    }

    /// Units from an earlier total to this one.
    pub fn units_since(self, earlier: WrappingTotal) -> f64 {
        f64::from(self.codes_since(earlier)) / CODES_PER_UNIT
    }

    /// True where this total is the lower one of the two, as far as half of what a code can express tells.
    pub fn is_below(self, other: WrappingTotal) -> bool {
        self.codes_since(other) > MAX_CODES_AHEAD
    }

    fn codes_since(self, earlier: WrappingTotal) -> u32 {
        self.0.wrapping_sub(earlier.0) & CODE_MASK
    }
}

/// A customer's use through the node that reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageReport {
    /// The customer's plan.
    pub plan: PlanId,
    /// The nodes that the customer's requests come in through.
    pub nodes: NodeSet,
    /// All units forwarded in this incarnation.
    pub forwarded: WrappingTotal,
    /// All units requested in this incarnation.
    pub requested: WrappingTotal,
    /// Level of the quota as the sender estimates it, as a fraction of the burst, -1 to 1.
    pub quota_level: f64,
}

/// What a customer's aggregator has summed over the customer's nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AggregateUpdate {
    /// Units requested per second.
    pub demand: f64,
    /// Level of the quota, as a fraction of the burst, -1 to 1.
    pub quota_level: f64,
}
