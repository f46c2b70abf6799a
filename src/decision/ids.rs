//! Ids shared by several components of the policy.

use serde::{Deserialize, Serialize};

/// Index of an endpoint in the endpoint table. It is reused only for a removed endpoint without attempts in flight, and
/// only when no pending request has had an attempt there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct EndpointIndex(pub usize);

impl EndpointIndex {
    /// The index as the item of a [`periodic_draw`](super::hashing::periodic_draw).
    pub(crate) fn number(self) -> u32 {
        self.0 as u32
    }
}
