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
    /// Its id.
    pub id: EndpointId,
    /// Its size, relative to other endpoints.
    pub weight: f64,
    /// When it last started; `None` if long ago.
    pub started_at_ns: Option<u64>,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its machine type.
    pub machine_type: MachineTypeId,
    /// Its state.
    pub state: EndpointState,
}

/// Kind of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// The full list as last received by an earlier process, possibly stale.
    Cached,
    /// The full list.
    Snapshot,
    /// Changed entries only.
    Delta,
    /// A call has failed or the watch has ended; the list stays as it was.
    Failed,
}
