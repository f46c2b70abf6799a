//! What the decision policy reads: estimators, token stores, per-endpoint and per-customer records,
//! and the snapshot that a hot restart transfers.
//!
//! Nothing here chooses: no code in this module picks an endpoint, admits, rejects, times a retry
//! or gives up. Those choices, and the values that tune them, are in [`crate::decision`].

mod customer;
mod decaying_rate;
mod endpoint;
mod endpoint_list;
mod fleet_size;
mod hot_restart;
mod ladder;
mod latency;
mod load;
mod load_statistics;
mod outcomes;
mod peer_state;
mod pending_request;
mod policy;
mod retry_budget;
mod snapshot;
mod time;

pub(crate) use customer::{
    CustomerQuota, QuotaAggregate, QuotaTable, AGGREGATE_LIFETIME, AGGREGATE_REPEAT, DEBT_HORIZON,
    GRANTS_PER_UNIT, MAX_CUSTOMERS, RATE_MEMORY,
};
pub(crate) use decaying_rate::DecayingRate;
pub(crate) use endpoint::{EndpointRecord, EndpointTable, InFlightAttempt};
pub(crate) use fleet_size::{all_can_report_to_all, is_large_fleet, REPORT_INTERVAL, REPORT_SHARE};
pub(crate) use ladder::{FilterChange, Ladder, LAST_FILTER};
pub(crate) use latency::{LatencyEstimator, MeanEstimate};
pub(crate) use load::LEAST_POOLED_MESSAGES;
pub use load_statistics::LoadStatistics;
pub(crate) use load_statistics::PooledLoad;
pub(crate) use peer_state::PeerState;
pub(crate) use pending_request::{PendingRequest, PossibleExecution};
pub use policy::DecisionPolicy;
pub(crate) use retry_budget::RetryBudget;
pub use snapshot::SnapshotError;
pub(crate) use time::{nanoseconds, seconds, Seconds, MONITOR_INTERVAL};
