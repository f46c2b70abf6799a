//! Quotas, ceilings and concurrency limits, which apply to each customer over all nodes together.
//!
//! [`QuotaLedger`] owns all state about customers. A request is recorded, admitted or rejected (`limits`) and, if it is
//! sent, charged. Gossip takes the messages that are due from the ledger and passes received ones to it: usage reports
//! (`reports`), an aggregator's aggregates (`aggregation`) and grants of a ceiling (`grants`). A customer's entry is
//! not accessed outside this module.

mod aggregate;
mod aggregation;
mod aggregators;
mod ceiling;
mod customer;
mod grants;
mod ledger;
mod limits;
mod messages;
mod peer_usage;
mod reports;
mod snapshot;

pub(crate) use ledger::QuotaLedger;
pub(crate) use limits::{max_concurrency_rate, RequestLatency};
pub use messages::{AggregateUpdate, UsageReport, WrappingTotal};
pub(super) use snapshot::CustomerSnapshot;

use applewall_node_types::TimeSpan;

use super::context::Context;

/// Time constant of customers' rates: long enough for a few requests of a busy customer.
pub(super) const RATE_TIME_CONSTANT: TimeSpan = TimeSpan::from_seconds(1.0);
/// Duration over which the remaining units of an empty quota, or its debt, are spread in the admission probability.
const DEBT_HORIZON: TimeSpan = TimeSpan::from_seconds(1.0);
/// Minimum rate, in messages per second, that message intervals are computed with.
const MIN_MESSAGES_PER_SECOND: f64 = 0.1;

/// Interval at which a node may send messages. If all nodes do, each receives `fraction` of its limit on average.
fn message_interval(context: &Context<'_>, fraction: f64) -> TimeSpan {
    let messages_per_second = fraction * context.settings().gossip_messages_per_second;
    TimeSpan::from_seconds(1.0 / messages_per_second.max(MIN_MESSAGES_PER_SECOND))
}
