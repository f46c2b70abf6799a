//! The state that a hot restart transfers: all that the policy keeps but the requests in flight.
//!
//! The encoding is positional (postcard with a checksum): the order and the types of the fields are
//! those that earlier versions read and wrote.

use std::borrow::Cow;
use std::collections::BTreeMap;

use crc::{Crc, CRC_32_ISCSI};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::latency::SIZE_BUCKETS;
use super::{
    CustomerQuota, DecayingRate, EndpointRecord, Ladder, LoadStatistics, MeanEstimate, Seconds,
};
use crate::api::EndpointId;

/// Detects a damaged snapshot: a wrong number in it would show only where it does harm.
const CHECKSUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

/// Why a state snapshot cannot be written or used.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// The encoder or the decoder failed, or the checksum does not match.
    #[error("the state snapshot is malformed or of another version: {0}")]
    Malformed(#[from] postcard::Error),
    /// It was written under other classes, plans or machine types.
    #[error("the state snapshot is of other settings")]
    OtherSettings,
}

/// Numbers of classes, plans and machine types, which the indexes in a snapshot refer to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotShape {
    /// Classes.
    pub(crate) classes: usize,
    /// Plans.
    pub(crate) plans: usize,
    /// Machine types.
    pub(crate) machine_types: u32,
}

/// Rates and tokens of the whole node.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(crate) struct SnapshotRates {
    /// Tokens of the retry budget.
    pub(crate) retry_tokens: f64,
    /// Requests per second.
    pub(crate) arrivals: DecayingRate,
    /// Load statistics taken in from peers, per second.
    pub(crate) pooled_messages: DecayingRate,
}

/// Pooled load statistics.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(crate) struct SnapshotStatistics {
    /// To be sent.
    pub(crate) outgoing: LoadStatistics,
    /// Received.
    pub(crate) received: LoadStatistics,
}

/// Known capacity.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(crate) struct SnapshotCapacity {
    /// Work per second of a fully started endpoint.
    pub(crate) per_endpoint: f64,
    /// Fully started endpoints that those in slow start amount to as well.
    pub(crate) effective_endpoints: f64,
}

/// All that is transferred. Moments are those of the caller's clock, which has to go along.
#[derive(Serialize, Deserialize)]
pub(crate) struct Snapshot<'a> {
    pub(crate) shape: SnapshotShape,
    pub(crate) started_at: Seconds,
    pub(crate) list_received: bool,
    pub(crate) incarnation: u32,
    pub(crate) ladder: Cow<'a, Ladder>,
    pub(crate) customers: Cow<'a, BTreeMap<u32, CustomerQuota>>,
    pub(crate) endpoints: Cow<'a, [EndpointRecord]>,
    pub(crate) endpoint_indexes: Cow<'a, BTreeMap<EndpointId, usize>>,
    pub(crate) latency_by_kind: Cow<'a, [MeanEstimate]>,
    pub(crate) latency_by_machine_type: Cow<'a, [MeanEstimate]>,
    pub(crate) peer_incarnations: Cow<'a, BTreeMap<u32, u32>>,
    pub(crate) rates: SnapshotRates,
    pub(crate) statistics: SnapshotStatistics,
    pub(crate) capacity: SnapshotCapacity,
}

impl Snapshot<'_> {
    /// The bytes to transfer.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, SnapshotError> {
        Ok(postcard::to_stdvec_crc32(self, CHECKSUM.digest())?)
    }

    /// Reads a snapshot and checks that every index in it refers to something: the bytes may be
    /// anything.
    pub(crate) fn decode(
        bytes: &[u8],
        shape: SnapshotShape,
        filter_count: usize,
    ) -> Result<Snapshot<'static>, SnapshotError> {
        let snapshot: Snapshot<'static> = postcard::from_bytes_crc32(bytes, CHECKSUM.digest())?;
        if snapshot.shape == shape && snapshot.is_consistent(filter_count) {
            Ok(snapshot)
        } else {
            Err(SnapshotError::OtherSettings)
        }
    }

    fn is_consistent(&self, filter_count: usize) -> bool {
        let SnapshotShape {
            classes,
            plans,
            machine_types,
        } = self.shape;
        let customer_is_consistent = |customer: &CustomerQuota| {
            customer.node_set_size > 0
                && customer
                    .plan
                    .is_none_or(|plan| plan < plans && !customer.aggregators.is_empty())
        };
        self.ladder.tiers.len() == plans * classes
            && self.ladder.filter_rates.len() == filter_count
            && self.ladder.filter < filter_count
            && !self.ladder.interval_statistics.is_empty()
            && self.latency_by_kind.len() == classes * SIZE_BUCKETS
            && self.latency_by_machine_type.len() == machine_types.max(1) as usize
            && self
                .endpoints
                .iter()
                .all(|record| record.outcomes.len() == classes + plans)
            && self
                .endpoint_indexes
                .values()
                .all(|index| *index < self.endpoints.len())
            && self.customers.values().all(customer_is_consistent)
    }
}
