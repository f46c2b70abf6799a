//! Encoding of the endpoints in the state snapshot.

use std::collections::{BTreeMap, VecDeque};

use applewall_node_types::Timestamp;
use serde::{Deserialize, Serialize};

use super::outcome_history::OutcomeHistory;
use super::record::{EndpointRecord, RecentAttempt};
use super::table::EndpointTable;
use crate::api::{Endpoint, EndpointId};
use crate::decision::ids::EndpointIndex;

/// Timestamp in the snapshot of something that has not happened.
const NEVER: Timestamp = Timestamp::from_seconds(0.0);

/// An attempt during slow start, in the field order of the state snapshot.
#[derive(Serialize, Deserialize)]
struct RecentAttemptSnapshot {
    sent_at: Timestamp,
    cost: f64,
}

/// An endpoint without its attempts in flight, which stay with the other process, in the field order of the state
/// snapshot.
#[derive(Serialize, Deserialize)]
struct EndpointSnapshot {
    endpoint: Endpoint,
    is_ready: bool,
    is_removed: bool,
    in_subset: bool,
    slow_start_from: Timestamp,
    awaits_first_attempt: bool,
    latency_factor: f64,
    last_response_at: Timestamp,
    consecutive_failures: u32,
    ejected_until: Timestamp,
    recent_attempts: VecDeque<RecentAttemptSnapshot>,
    outcomes: OutcomeHistory,
}

/// The records and the index of each endpoint, in the field order of the state snapshot.
#[derive(Serialize, Deserialize)]
pub(in crate::decision) struct EndpointsSnapshot {
    records: Vec<EndpointSnapshot>,
    indexes: BTreeMap<EndpointId, EndpointIndex>,
}

impl EndpointsSnapshot {
    /// Returns true if every index refers to a record and all outcomes are for this number of classes and plans.
    pub(in crate::decision) fn is_consistent(&self, classes: usize, plans: usize) -> bool {
        let outcomes_are_consistent =
            |record: &EndpointSnapshot| record.outcomes.is_consistent(classes, plans);
        self.records.iter().all(outcomes_are_consistent)
            && EndpointTable::indexes_are_consistent(&self.indexes, self.records.len())
    }
}

fn encode_optional(timestamp: Option<Timestamp>) -> Timestamp {
    timestamp.unwrap_or(NEVER)
}

fn decode_optional(timestamp: Timestamp) -> Option<Timestamp> {
    (timestamp > NEVER).then_some(timestamp)
}

impl From<&EndpointRecord> for EndpointSnapshot {
    fn from(record: &EndpointRecord) -> Self {
        let recent_attempts = record.recent_attempts.iter();
        EndpointSnapshot {
            endpoint: record.endpoint.clone(),
            is_ready: record.is_ready,
            is_removed: record.is_removed,
            in_subset: record.in_subset,
            slow_start_from: record.slow_start_from,
            awaits_first_attempt: record.awaits_first_attempt,
            latency_factor: record.latency_factor,
            last_response_at: encode_optional(record.last_response_at),
            consecutive_failures: record.consecutive_failures,
            ejected_until: encode_optional(record.ejected_until),
            recent_attempts: recent_attempts
                .map(|attempt| RecentAttemptSnapshot {
                    sent_at: attempt.sent_at,
                    cost: attempt.cost,
                })
                .collect(),
            outcomes: record.outcomes.clone(),
        }
    }
}

impl From<EndpointSnapshot> for EndpointRecord {
    fn from(snapshot: EndpointSnapshot) -> Self {
        let recent_attempts = snapshot.recent_attempts.into_iter();
        EndpointRecord {
            endpoint: snapshot.endpoint,
            is_ready: snapshot.is_ready,
            is_removed: snapshot.is_removed,
            in_subset: snapshot.in_subset,
            slow_start_from: snapshot.slow_start_from,
            awaits_first_attempt: snapshot.awaits_first_attempt,
            in_flight: Vec::new(),
            latency_factor: snapshot.latency_factor,
            last_response_at: decode_optional(snapshot.last_response_at),
            consecutive_failures: snapshot.consecutive_failures,
            ejected_until: decode_optional(snapshot.ejected_until),
            recent_attempts: recent_attempts
                .map(|attempt| RecentAttempt {
                    sent_at: attempt.sent_at,
                    cost: attempt.cost,
                })
                .collect(),
            outcomes: snapshot.outcomes,
        }
    }
}

impl EndpointTable {
    /// Returns the endpoints to transfer.
    pub(in crate::decision) fn to_snapshot(&self) -> EndpointsSnapshot {
        let (records, indexes, _) = self.parts();
        EndpointsSnapshot {
            records: records.iter().map(EndpointSnapshot::from).collect(),
            indexes: indexes.clone(),
        }
    }

    /// Whether this process, or the one it took over from, has received a list.
    pub(in crate::decision) fn list_received(&self) -> bool {
        let (_, _, list_received) = self.parts();
        list_received
    }

    /// Replaces the endpoints by those of another process.
    pub(in crate::decision) fn take_over(
        &mut self,
        snapshot: EndpointsSnapshot,
        list_received: bool,
    ) {
        let records = snapshot.records.into_iter().map(EndpointRecord::from);
        self.replace(records.collect(), snapshot.indexes, list_received);
    }
}
