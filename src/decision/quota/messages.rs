//! Messages about a customer's quota and ceiling, independent of their encoding ([`crate::gossip::codec`]).

use crate::api::{NodeSet, PlanId};

/// Running totals are encoded in steps of 1/4 unit.
const CODES_PER_UNIT: f64 = 4.0;
/// Running totals are sent modulo 4096: two base64 digits of a message.
const CODE_MASK: u32 = 0xfff;

/// Maximum distance, in codes, by which a total counts as later than another one: half of the range.
const MAX_FORWARD_DISTANCE: u32 = CODE_MASK / 2;

/// A running total of units in steps of 1/4 unit, modulo 4096. A receiver computes the difference from the previous
/// total, so that the next report makes up for a lost one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WrappingTotal(u32);

impl WrappingTotal {
    /// Creates a total from units.
    pub fn from_units(units: f64) -> Self {
        WrappingTotal((units * CODES_PER_UNIT).round() as u64 as u32 & CODE_MASK)
    }

    /// Creates a total from the code in a message or a snapshot.
    pub fn from_code(code: u32) -> Self {
        WrappingTotal(code)
    }

    /// The total in steps of 1/4 unit, from 0 to 4095.
    pub fn code(self) -> u32 {
        self.0
    }

    /// Units from an earlier total to this one.
    pub fn units_since(self, earlier: WrappingTotal) -> f64 {
        f64::from(self.codes_since(earlier)) / CODES_PER_UNIT
    }

    /// Returns true if this total is lower than `other`, assuming that they differ by at most half of the range.
    pub fn is_below(self, other: WrappingTotal) -> bool {
        self.codes_since(other) > MAX_FORWARD_DISTANCE
    }

    fn codes_since(self, earlier: WrappingTotal) -> u32 {
        self.0.wrapping_sub(earlier.0) & CODE_MASK
    }
}

/// A customer's usage through the reporting node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageReport {
    /// The customer's plan.
    pub plan: PlanId,
    /// The nodes through which the customer's requests arrive.
    pub nodes: NodeSet,
    /// Total units that the sender has forwarded within the quota in its incarnation.
    pub forwarded: WrappingTotal,
    /// Total units requested from the sender in its incarnation, clients' retries excluded.
    pub requested: WrappingTotal,
    /// Level of the quota as estimated by the sender, as a fraction of the burst, -1 to 1; negative for a debt.
    pub quota_level: f64,
}

/// A customer's usage over all its nodes, as summed by an aggregator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AggregateUpdate {
    /// Units requested per second through all of the customer's nodes.
    pub demand: f64,
    /// Level of the quota, as a fraction of the burst, -1 to 1; negative for a debt.
    pub quota_level: f64,
}
