//! The encoding of a hot restart's snapshot, and a short simulation whose snapshot is recorded.

pub(crate) mod play;

use std::collections::BTreeMap;

use crc::{Crc, CRC_32_ISCSI};
use serde::{Deserialize, Serialize};

/// The checksum at the end of a snapshot.
pub(crate) const CHECKSUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

type Meter = (f64, f64);
type Sums = [f64; 9];

/// The encoding of a snapshot, written independently of the decision policy's types: the order and types of all its fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct DecodedSnapshot {
    pub(crate) shape: (u32, u32, u32),
    pub(crate) started_at: f64,
    pub(crate) listed: bool,
    pub(crate) incarnation: u32,
    pub(crate) ladder: LadderState,
    pub(crate) customers: BTreeMap<u32, CustomerState>,
    pub(crate) endpoints: Vec<EndpointRecord>,
    pub(crate) endpoint_numbers: BTreeMap<String, u32>,
    pub(crate) latency: Vec<(f64, f64)>,
    pub(crate) speeds: Vec<(f64, f64)>,
    pub(crate) peer_incarnations: BTreeMap<u32, u32>,
    pub(crate) rates: (f64, Meter, Meter),
    pub(crate) statistics: [Sums; 2],
    pub(crate) carried: (f64, f64),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LadderState {
    pub(crate) filter: u32,
    pub(crate) rates: Vec<f64>,
    pub(crate) focal: f64,
    pub(crate) index: Vec<i32>,
    pub(crate) interval_counts: Vec<Sums>,
    pub(crate) switched: f64,
    pub(crate) onset: Option<f64>,
    pub(crate) delay: f64,
    pub(crate) completed: Meter,
    pub(crate) memory: f64,
    pub(crate) tiers: Vec<(Meter, [f64; 4])>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct CustomerState {
    pub(crate) plan: Option<u32>,
    pub(crate) node_set: (u32, u32),
    pub(crate) aggregators: Vec<u32>,
    pub(crate) is_aggregator: bool,
    pub(crate) tokens: f64,
    pub(crate) ceiling: f64,
    pub(crate) base_allocation: f64,
    pub(crate) ceiling_reserve: Option<f64>,
    pub(crate) draw: f64,
    pub(crate) unreported: bool,
    pub(crate) at_seen_since: [f64; 3],
    pub(crate) own_demand_theirs: [Meter; 3],
    pub(crate) forwarded: f64,
    pub(crate) requested: f64,
    pub(crate) in_flight: u32,
    pub(crate) peers: BTreeMap<u32, (u32, u32, Meter, Meter)>,
    pub(crate) quota_level: f64,
    pub(crate) aggregate: Option<[f64; 3]>,
    pub(crate) due_at: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EndpointRecord {
    pub(crate) endpoint: (String, f64, Option<u64>, u32, i64, u32, u32),
    pub(crate) ready_removed_in_subset: [bool; 3],
    pub(crate) slow_start_from: f64,
    pub(crate) awaits_first_attempt: bool,
    pub(crate) slowness: f64,
    pub(crate) last_success: f64,
    pub(crate) ejections: u32,
    pub(crate) ejected_until: f64,
    pub(crate) recent_outcomes: Vec<(f64, f64)>,
    pub(crate) health: Vec<[Meter; 2]>,
}

pub(crate) fn decode(bytes: &[u8]) -> DecodedSnapshot {
    postcard::from_bytes_crc32(bytes, CHECKSUM.digest()).expect("a snapshot of this version")
}

pub(crate) fn encode(snapshot: &DecodedSnapshot) -> Vec<u8> {
    postcard::to_stdvec_crc32(snapshot, CHECKSUM.digest()).expect("encoded")
}
