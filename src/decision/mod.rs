//! Decision making of one node: which requests it admits, rejects, routes, retries and fails.
//!
//! Each component owns its state; the others use it only through its methods. [`DecisionPolicy`] (`policy`) holds the
//! components and dispatches each event to them.
//!
//! | component | owns | decides |
//! | --- | --- | --- |
//! | `quota` | customers' quotas, ceilings, demand and usage at peers | whether a customer's limits admit a request; which reports, aggregates and grants are due |
//! | `overload` | the ladder of filters, load statistics, the pool | whether the load admits a request: backlog limit and ladder |
//! | `endpoints` | the endpoint list and a record of each endpoint | which endpoint gets an attempt; health, ejection, slow start, subset |
//! | `retry` | the retry budget | attempt timeouts, retries, the final answer |
//! | `latency` | learned latencies | |
//! | `pending` | requests that have no final answer yet | |
//!
//! A request passes through `admission`, endpoint selection and `retry`. Every component receives the settings, the
//! current time and the random generator in a `Context`. `snapshot` is the encoding of the state that a hot restart
//! transfers. `docs/design.md` names the source of each rule.

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
