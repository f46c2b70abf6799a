//! The decisions of one node: which requests it admits, rejects, sends where, retries and gives up.
//!
//! Each component owns its state and decides by it; the others call its methods. [`DecisionPolicy`] holds the components and
//! passes each event to them (`policy`).
//!
//! | component | owns | decides |
//! | --- | --- | --- |
//! | `quota` | customers' quotas, ceilings, demand and peers' use | what a customer's limits admit; reports, aggregates and grants that are due |
//! | `overload` | the ladder of filters, load statistics, the pool | what load admits: backlog limit and ladder |
//! | `endpoints` | the endpoint list, a record of each endpoint | which endpoint gets an attempt; health, ejection, slow start, subset |
//! | `retry` | the retry budget | timeouts of attempts, retries, the final answer |
//! | `latency` | learned latencies | |
//! | `pending` | requests without their final answer | |
//!
//! A request goes through `admission`, the endpoint's selection and `retry`. Every component gets the settings, the present
//! moment and the random generator by its `context`. `snapshot` is the form that a hot restart transfers. Where each rule
//! comes from: `docs/design.md`.

mod admission;
mod context;
mod decaying_rate;
mod endpoint_watch;
mod endpoints;
mod event_clock;
mod fleet_size;
pub mod hashing;
mod ids;
mod latency;
mod overload;
mod pending;
mod policy;
pub(crate) mod quota;
mod rejection;
mod retry;
mod snapshot;
mod timers;

pub(crate) use context::Context;
pub use overload::LoadStatistics;
pub(crate) use overload::OverloadControl;
pub use policy::DecisionPolicy;
pub use rejection::RejectionCounts;
pub use snapshot::SnapshotError;
