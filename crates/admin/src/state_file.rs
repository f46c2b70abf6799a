//! The state file, from which a process reads the maintenance set if it starts without a hot restart.
//!
//! The file is a JSON object with a version number and the ids. Unknown keys are ignored, and older versions are
//! accepted. Newer versions are rejected, since a newer program may have changed the meaning of the keys. The names of
//! the keys are part of the format on disk.

use serde::{Deserialize, Serialize};

use crate::MaintenanceSet;

/// The version that is written, and the newest one that is accepted.
const VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
struct StateFile {
    #[serde(rename = "applewall_state")]
    version: u32,
    #[serde(rename = "withheld")]
    in_maintenance: MaintenanceSet,
}

/// Why a state file is rejected. The file's path is logged together with this text.
#[derive(Debug, thiserror::Error)]
pub enum StateFileError {
    /// The text is not JSON, for example after an interrupted write, or a value is missing or has the wrong type.
    #[error("state file is truncated or malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The JSON has no version, so that it was not written by this program.
    #[error("file was not written by this program: 'applewall_state' is missing")]
    MissingVersion,
    /// A newer version of this program wrote the file.
    #[error("state file has version {0}, this program reads versions up to {VERSION}")]
    NewerVersion(u64),
}

/// Encodes the maintenance set as the content of the file.
pub fn encode(set: &MaintenanceSet) -> String {
    let file = StateFile {
        version: VERSION,
        in_maintenance: set.clone(),
    };
    // Strings and a number can always be serialized.
    serde_json::to_string(&file).unwrap_or_default()
}

/// Decodes the content of the file.
///
/// # Errors
///
/// The content is truncated, from another program or from a newer version.
pub fn decode(text: &str) -> Result<MaintenanceSet, StateFileError> {
    let value: serde_json::Value = serde_json::from_str(text)?;
    // The version is checked first, because the other keys of a newer version may have other types.
    let version = value
        .get("applewall_state")
        .and_then(serde_json::Value::as_u64)
        .ok_or(StateFileError::MissingVersion)?;
    if version > u64::from(VERSION) {
        return Err(StateFileError::NewerVersion(version));
    }
    let file: StateFile = serde_json::from_value(value)?;
    Ok(file.in_maintenance)
}

#[cfg(test)]
mod tests;
