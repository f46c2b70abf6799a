//! Upstream endpoints and updates of the endpoint list.

use serde::{Deserialize, Serialize};

use super::{CellId, EndpointId, MachineTypeId, ZoneId};

/// State of an endpoint in the list.
///
/// The order of the variants, and of the fields of [`Endpoint`], is part of the state snapshot's encoding.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// Takes requests.
    Ready,
    /// Completes its requests in flight but takes no new ones.
    Draining,
    /// Removed from the list.
    #[default]
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Endpoint {
    /// Identifies the endpoint in all updates of the list, also after it was restarted.
    pub id: EndpointId,
    /// Its size, relative to other endpoints; used only with
    /// [`PolicySettings::weighted_endpoints`](super::PolicySettings::weighted_endpoints). 0 or less counts as 1.
    pub weight: f64,
    /// When it last started. Without a time, it counts as started long ago, or just now if it is new in a later list
    /// than the first.
    pub started_at_ns: Option<u64>,
    /// The zone that it runs in. Attempts prefer endpoints in the node's own zone.
    pub zone: ZoneId,
    /// The cell that it belongs to, for idempotency keys with [`KeyScope::Cell`](super::KeyScope::Cell).
    pub cell: CellId,
    /// Its machine type, by which a large fleet learns the latencies of endpoints.
    pub machine_type: MachineTypeId,
    /// Whether it takes requests, according to discovery. Health is not part of it.
    pub state: EndpointState,
}

/// Kind of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// The full list as last received by an earlier process, possibly stale.
    Cached,
    /// The full current list; endpoints that it does not contain are removed.
    Snapshot,
    /// Changed entries only; all other endpoints stay as they are.
    Delta,
    /// A call has failed or the watch has ended. The list stays as it was, and the entries are ignored.
    Failed,
}
