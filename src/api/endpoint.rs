//! Upstream endpoints and updates of their list.

use serde::{Deserialize, Serialize};

use super::EndpointId;

/// What discovery says of an endpoint.
///
/// The order of the variants, and of the fields of [`Endpoint`], is that of the hot-restart snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// Takes requests.
    Ready,
    /// Finishes what it has; takes no new request.
    Draining,
    /// Removed.
    #[default]
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its id.
    pub id: EndpointId,
    /// Its size, relative to that of other endpoints.
    pub weight: f64,
    /// When it last started; `None`: long ago.
    pub started_at_ns: Option<u64>,
    /// Its zone.
    pub zone: u32,
    /// Its cell, a group of endpoints that share deduplication of idempotency keys.
    pub cell: i64,
    /// The number of its machine type.
    pub machine_type: u32,
    /// Its state.
    pub state: EndpointState,
}

/// How an update of the endpoint list is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// The whole list as an earlier process saw it last, possibly stale.
    Cached,
    /// The whole list.
    Snapshot,
    /// Changed entries only.
    Delta,
    /// A call failed or the watch ended; the list stays as it was.
    Failed,
}
