//! One member's record, as the JSON value of a registry key.
//!
//! Values are written by other programs and are validated before use: numbers and texts must be in range, and the
//! address must be one that a member can listen on, in a network that the operator allows. The published schema for the
//! writers is derived from the same type.

use std::net::{IpAddr, SocketAddr};

use applewall_operator_config::Networks;
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Whether a member accepts new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq, Hash, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "State")]
pub enum MemberState {
    /// Accepts new work; the default for a record without a state.
    #[default]
    InService,
    /// Completes its work in progress and accepts no new work.
    Terminating,
}

/// One member. The keys have the same names as in the list of the discovery service, so that one tool can write both.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Entry")]
pub struct MemberRecord {
    /// The address that the member listens on: an IP address with a port. Host names are not resolved.
    #[garde(skip)]
    #[schemars(
        with = "String",
        regex(pattern = r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.]+\]):\d{1,5}$")
    )]
    pub endpoint: SocketAddr,
    /// The member's zone, at most 64 bytes; empty by default.
    #[serde(default)]
    #[garde(length(max = 64))]
    pub az: String,
    /// The member's cell; -1 if it belongs to none.
    #[serde(default = "no_pod_group")]
    #[garde(range(min = -1, max = 1_000_000))]
    pub pod_group: i64,
    /// Whether the member accepts new work.
    #[serde(default)]
    #[garde(skip)]
    pub state: MemberState,
    /// The member's capacity relative to that of the others; 0 if it is unknown.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e6))]
    pub capacity_hint: f64,
    /// When the member was last started, as Unix time in milliseconds; 0 means long ago.
    #[serde(default)]
    #[garde(skip)]
    pub boot_ms: u64,
}

fn no_pod_group() -> i64 {
    -1
}

/// Why a value is not a valid record. The text is a single line and does not quote the whole value, which comes from
/// other programs and may be of any length.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The value does not start like a JSON object.
    #[error("not a JSON object")]
    NotAnObject,
    /// The JSON is truncated or malformed, a key is unknown or missing, or a value has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A number or a text is out of range.
    #[error("{field}: {reason}")]
    InvalidField {
        /// The key in the record whose value is invalid.
        field: String,
        /// Which requirement the value does not meet.
        reason: String,
    },
    /// The validator rejected the record without naming a key.
    #[error("out of range")]
    OutOfRange,
    /// No member can listen on the address.
    #[error("endpoint: {0} is unspecified, multicast or has port 0")]
    NotAListeningAddress(SocketAddr),
    /// The address is not in any of the allowed networks.
    #[error("endpoint: {0} is outside the allowed networks")]
    OutsideAllowedNetworks(IpAddr),
}

impl From<garde::Report> for RecordError {
    fn from(report: garde::Report) -> Self {
        match report.iter().next() {
            Some((path, error)) => RecordError::InvalidField {
                field: path.to_string(),
                reason: error.to_string(),
            },
            None => RecordError::OutOfRange,
        }
    }
}

impl MemberRecord {
    /// Parses a value. `allowed` are the networks that members may listen in; if it is empty, every network is allowed.
    ///
    /// # Errors
    ///
    /// The value is not a record, a number or text is out of range, or the address is outside the allowed networks or
    /// one that no member can listen on.
    pub fn parse(value: &[u8], allowed: &Networks) -> Result<Self, RecordError> {
        // serde also accepts an array of all fields, which the published schema does not.
        let first = value.trim_ascii_start().first();
        if first.is_some_and(|byte| *byte != b'{') {
            return Err(RecordError::NotAnObject);
        }
        let record: MemberRecord = serde_json::from_slice(value)?;
        record.validate()?;
        let address = record.endpoint.ip().to_canonical();
        if address.is_unspecified() || address.is_multicast() || record.endpoint.port() == 0 {
            return Err(RecordError::NotAListeningAddress(record.endpoint));
        }
        // A mistaken or malicious record must not direct traffic to an address outside the fleet.
        if !allowed.0.is_empty() && !allowed.contains(address) {
            return Err(RecordError::OutsideAllowedNetworks(address));
        }
        Ok(record)
    }
}

/// The published JSON Schema of a record.
pub fn schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(MemberRecord)).unwrap_or_default()
}

#[cfg(test)]
mod tests;
