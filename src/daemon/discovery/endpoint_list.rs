//! JSON form of the endpoint list, used by discovery's responses and by the configuration's `known`.
//!
//! Converts the entries to the types of the decision policy. A malformed entry is logged and skipped; the other entries of
//! the list are used.

use std::collections::HashSet;
use std::net::SocketAddr;

use applewall::api::{CellId, Endpoint, EndpointState};
use applewall::platform_settings::PlatformSettings;
use serde::Deserialize;
use serde_json::Value;

use crate::clock::Clock;
use crate::engine::message::EndpointEntry;

/// Maximum number of rejected entries of one list that are logged individually; the rest are logged as a count.
const MAX_LOGGED_ENTRIES: usize = 3;
/// Maximum number of rejected entries that are remembered as logged after a delta. Bounds memory use when discovery keeps
/// sending deltas with new malformed entries. The rejected entries of a full list are all remembered.
const MAX_REPORTED_ENTRIES: usize = 1024;
/// Maximum length of an id in the log, in characters; discovery may send ids of any length.
const MAX_LOGGED_ID_CHARS: usize = 40;
/// Logged in place of a missing id.
const MISSING_ID: &str = "an entry without a uid";
/// The cell of an endpoint without a pod group.
const NO_CELL: CellId = CellId(-1);

/// A full endpoint list, or a delta.
#[derive(Clone, Debug, Default, Deserialize)]
// Keeps the error message for a list that is not an object the same as in earlier versions.
#[serde(expecting = "struct Answer")]
pub(crate) struct EndpointList {
    /// Revision of the list, which increases with each change.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// True for the full list, false for a delta.
    #[serde(default, rename = "all")]
    pub complete: bool,
    /// The entries, parsed one by one so that a malformed entry does not invalidate the list.
    #[serde(default)]
    pub targets: Vec<Value>,
}

/// One entry of a list.
#[derive(Deserialize)]
struct Target {
    uid: String,
    endpoint: SocketAddr,
    #[serde(default)]
    az: String,
    #[serde(default)]
    pod_group: Option<i64>,
    #[serde(default)]
    model: String,
    state: String,
    #[serde(default)]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: u64,
}

/// Reason for rejecting an entry.
#[derive(Debug, thiserror::Error)]
enum EntryError {
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    #[error("unknown state '{0}'")]
    UnknownState(String),
}

/// Rejected entries that were already logged. Such an entry is logged again only if its error changes, or after a full list
/// without it. A delta that would exceed [`MAX_REPORTED_ENTRIES`] is not remembered.
#[derive(Default)]
pub(crate) struct ReportedEntries {
    entries: HashSet<String>,
}

impl ReportedEntries {
    /// Logs those rejected entries of a list that were not logged before.
    fn report(&mut self, list: &EndpointList, rejected: &[RejectedEntry]) {
        let is_new = |entry: &&RejectedEntry| !self.entries.contains(&entry.key());
        let new: Vec<&RejectedEntry> = rejected.iter().filter(is_new).collect();
        let revision = list.revision;
        for entry in new.iter().take(MAX_LOGGED_ENTRIES) {
            let RejectedEntry { index, id, error } = entry;
            tracing::warn!(endpoint = id, %error, revision, target_index = index, "endpoint list entry rejected");
        }
        if new.len() > MAX_LOGGED_ENTRIES {
            let entries = new.len() - MAX_LOGGED_ENTRIES;
            tracing::warn!(entries, revision, "further endpoint list entries rejected");
        }
        self.remember(
            list.complete,
            rejected.iter().map(RejectedEntry::key).collect(),
        );
    }

    /// A full list replaces the remembered entries; a delta adds to them, because it does not repeat earlier entries.
    fn remember(&mut self, complete: bool, reported: HashSet<String>) {
        if complete {
            self.entries = reported;
        } else if self.entries.len() + reported.len() <= MAX_REPORTED_ENTRIES {
            self.entries.extend(reported);
        }
    }
}

/// A malformed entry of a list.
struct RejectedEntry {
    /// Position in the list, from 0.
    index: usize,
    /// The id, escaped and truncated for the log.
    id: String,
    error: EntryError,
}

impl RejectedEntry {
    fn new(index: usize, value: &Value, error: EntryError) -> Self {
        let id = value.get("uid").and_then(Value::as_str);
        let id = id.unwrap_or(MISSING_ID).escape_debug();
        RejectedEntry {
            index,
            id: id.take(MAX_LOGGED_ID_CHARS).collect(),
            error,
        }
    }

    /// Identifies the entry and its error.
    fn key(&self) -> String {
        format!("{}: {}", self.id, self.error)
    }
}

impl EndpointList {
    /// Converts the entries to the types of the decision policy, and logs rejected ones.
    pub(crate) fn entries(&self, settings: &PlatformSettings, clock: &Clock) -> Vec<EndpointEntry> {
        self.entries_with_new_warnings(&mut ReportedEntries::default(), settings, clock)
    }

    /// Like [`EndpointList::entries`], but does not log rejected entries that are already in `reported`.
    pub(crate) fn entries_with_new_warnings(
        &self,
        reported: &mut ReportedEntries,
        settings: &PlatformSettings,
        clock: &Clock,
    ) -> Vec<EndpointEntry> {
        let mut entries = Vec::with_capacity(self.targets.len());
        let mut rejected = Vec::new();
        for (index, value) in self.targets.iter().enumerate() {
            match parse_entry(value, settings, clock) {
                Ok(entry) => entries.push(entry),
                Err(error) => rejected.push(RejectedEntry::new(index, value, error)),
            }
        }
        reported.report(self, &rejected);
        entries
    }
}

fn parse_entry(
    value: &Value,
    settings: &PlatformSettings,
    clock: &Clock,
) -> Result<EndpointEntry, EntryError> {
    let target = Target::deserialize(value)?;
    let state = match target.state.as_str() {
        "in_service" => EndpointState::Ready,
        "terminating" => EndpointState::Draining,
        "terminated" => EndpointState::Removed,
        other => return Err(EntryError::UnknownState(other.to_string())),
    };
    let endpoint = Endpoint {
        id: target.uid.into(),
        weight: target.capacity_hint,
        started_at_ns: clock.nanos_of_unix_ms(target.boot_ms),
        zone: settings.zone(&target.az),
        cell: target.pod_group.map_or(NO_CELL, CellId),
        machine_type: settings.machine_type(&target.model),
        state,
    };
    Ok(EndpointEntry {
        endpoint,
        address: target.endpoint,
    })
}

#[cfg(test)]
mod tests;
