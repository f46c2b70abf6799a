//! The state that a hot restart transfers: everything except the requests in flight.
//!
//! The encoding is positional (postcard with a checksum), so the order and types of the fields must stay as earlier
//! versions read and wrote them. Each component defines its own snapshot type, so that its private fields can change
//! independently.

use std::collections::BTreeMap;

use applewall_node_types::Timestamp;
use crc::{Crc, CRC_32_ISCSI};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::endpoints::EndpointsSnapshot;
use super::hashing::CustomerFingerprint;
use super::latency::LatencySnapshot;
use super::overload::{LadderSnapshot, LoadSnapshot};
use super::quota::CustomerSnapshot;
use crate::api::{NodeId, PolicySettings};

/// Detects a corrupted snapshot; a wrong number in it would otherwise show only in wrong decisions.
const CHECKSUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

/// The reason why a state snapshot cannot be written or read.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// The encoder or the decoder failed, or the checksum does not match.
    #[error("malformed state snapshot or incompatible version: {0}")]
    Malformed(#[from] postcard::Error),
    /// The snapshot was written with other classes, plans or machine types, or is inconsistent.
    #[error("state snapshot does not match the settings")]
    OtherSettings,
}

/// Numbers of classes, plans and machine types, which bound the indexes in a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SnapshotShape {
    classes: usize,
    plans: usize,
    machine_types: u32,
}

impl From<&PolicySettings> for SnapshotShape {
    fn from(settings: &PolicySettings) -> Self {
        SnapshotShape {
            classes: settings.classes.len(),
            plans: settings.plans.len(),
            machine_types: settings.machine_type_count,
        }
    }
}

/// The transferred state. Its timestamps are of the caller's clock, whose origin must be transferred as well.
#[derive(Serialize, Deserialize)]
pub(super) struct Snapshot {
    pub(super) shape: SnapshotShape,
    pub(super) started_at: Timestamp,
    pub(super) list_received: bool,
    pub(super) incarnation: u32,
    pub(super) ladder: LadderSnapshot,
    pub(super) customers: BTreeMap<CustomerFingerprint, CustomerSnapshot>,
    pub(super) endpoints: EndpointsSnapshot,
    pub(super) latency: LatencySnapshot,
    pub(super) peer_incarnations: BTreeMap<NodeId, u32>,
    pub(super) retry_tokens: f64,
    pub(super) load: LoadSnapshot,
}

impl Snapshot {
    /// Encodes the snapshot.
    pub(super) fn encode(&self) -> Result<Vec<u8>, SnapshotError> {
        Ok(postcard::to_stdvec_crc32(self, CHECKSUM.digest())?)
    }

    /// Decodes a snapshot from untrusted bytes and checks that every index in it is in range.
    pub(super) fn decode(bytes: &[u8], shape: SnapshotShape) -> Result<Self, SnapshotError> {
        let snapshot: Snapshot = postcard::from_bytes_crc32(bytes, CHECKSUM.digest())?;
        if snapshot.shape == shape && snapshot.is_consistent() {
            Ok(snapshot)
        } else {
            Err(SnapshotError::OtherSettings)
        }
    }

    fn is_consistent(&self) -> bool {
        let SnapshotShape {
            classes,
            plans,
            machine_types,
        } = self.shape;
        let customers = self.customers.values();
        self.ladder.is_consistent(plans * classes)
            && self.latency.is_consistent(classes, machine_types)
            && self.endpoints.is_consistent(classes, plans)
            && customers
                .into_iter()
                .all(|customer| customer.is_consistent(plans))
    }
}
