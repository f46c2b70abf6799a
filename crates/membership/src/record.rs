//! One member, as the JSON value of a registry key.
//!
//! A value comes from outside and is validated before anything uses it: its figures are in range, and its address is
//! one that a member can listen at, inside the networks that the operator allows. The schema that is published for
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
    /// Accepts new work.
    #[default]
    InService,
    /// Finishes the work that it has and accepts no new work.
    Terminating,
}

/// One member. Its keys are spelled as in the list of the discovery service, so that one tool can write both.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Entry")]
pub struct MemberRecord {
    /// The address it listens at: an IP address with a port. Host names are not resolved.
    #[garde(skip)]
    #[schemars(
        with = "String",
        regex(pattern = r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.]+\]):\d{1,5}$")
    )]
    pub endpoint: SocketAddr,
    /// Its zone.
    #[serde(default)]
    #[garde(length(max = 64))]
    pub az: String,
    /// Its cell; -1 where it belongs to none.
    #[serde(default = "no_pod_group")]
    #[garde(range(min = -1, max = 1_000_000))]
    pub pod_group: i64,
    /// Whether it accepts new work.
    #[serde(default)]
    #[garde(skip)]
    pub state: MemberState,
    /// Its capacity relative to that of the others; 0 where it is unknown.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e6))]
    pub capacity_hint: f64,
    /// When it was last started, as Unix time in milliseconds; 0 means long ago.
    #[serde(default)]
    #[garde(skip)]
    pub boot_ms: u64,
}

fn no_pod_group() -> i64 {
    -1
}

/// Why a record is left out. One line, which does not quote the value itself: that comes from outside.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The value is some other JSON, or no JSON at all.
    #[error("not a JSON object")]
    NotAnObject,
    /// The value is cut off, has an unknown or a missing key, or a key's value is of another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A figure or a text is out of its range.
    #[error("{field}: {reason}")]
    InvalidField {
        /// The key.
        field: String,
        /// What is required of it.
        reason: String,
    },
    /// Some value is out of its range.
    #[error("out of range")]
    OutOfRange,
    /// No member can listen at the address: it is unspecified, multicast or without a port.
    #[error("endpoint: nobody listens at {0}")]
    NotAListeningAddress(SocketAddr),
    /// The address is in none of the allowed networks.
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
    /// Reads a value. `allowed` are the networks that members may listen in; if it names none, any network is allowed.
    ///
    /// # Errors
    ///
    /// Text that is no such value, a figure out of its range, an address outside the allowed networks or one that no
    /// member can listen at.
    pub fn parse(value: &[u8], allowed: &Networks) -> Result<Self, RecordError> {
        // serde also reads an array of all fields, which the published schema does not allow.
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
        // A mistaken record must not send traffic outside the fleet.
        if !allowed.0.is_empty() && !allowed.contains(address) {
            return Err(RecordError::OutsideAllowedNetworks(address));
        }
        Ok(record)
    }
}

/// The published JSON Schema of a value.
pub fn schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(MemberRecord)).unwrap_or_default()
}

#[cfg(test)]
mod tests;
