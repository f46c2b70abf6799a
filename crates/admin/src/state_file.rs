//! The state file: the maintenance set, for a process that starts without a predecessor to take it over from.
//!
//! A JSON object with a version number and the ids. Unknown keys are ignored, older versions are read, newer ones are
//! not: a newer program may have changed what the keys mean. The key names are on disk and stay as they are.

use serde::{Deserialize, Serialize};

use crate::MaintenanceSet;

/// The version that is written, and the newest that is read.
const VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
struct StateFile {
    #[serde(rename = "applewall_state")]
    version: u32,
    #[serde(rename = "withheld")]
    in_maintenance: MaintenanceSet,
}

/// Why a state file is not used; the text follows the file's path in the log.
#[derive(Debug, thiserror::Error)]
pub enum StateFileError {
    /// The text is no JSON, as after a write that was cut off, or its values have other types.
    #[error("torn or foreign: {0}")]
    Malformed(#[from] serde_json::Error),
    /// It is JSON of some other program: the version is missing.
    #[error("foreign: it has no 'applewall_state'")]
    Foreign,
    /// A newer version of this program wrote it.
    #[error("of version {0}; {VERSION} is the newest that is known here")]
    NewerVersion(u64),
}

/// The text of the file.
pub fn encode(set: &MaintenanceSet) -> String {
    let file = StateFile {
        version: VERSION,
        in_maintenance: set.clone(),
    };
    // Strings and one number always have a JSON form.
    serde_json::to_string(&file).unwrap_or_default()
}

/// Reads the text of the file.
///
/// # Errors
///
/// The text is cut off, of another program or of a newer version.
pub fn decode(text: &str) -> Result<MaintenanceSet, StateFileError> {
    let value: serde_json::Value = serde_json::from_str(text)?;
    // The version is looked at first: what a newer program writes besides may have any form.
    let version = value
        .get("applewall_state")
        .and_then(serde_json::Value::as_u64)
        .ok_or(StateFileError::Foreign)?;
    if version > u64::from(VERSION) {
        return Err(StateFileError::NewerVersion(version));
    }
    let file: StateFile = serde_json::from_value(value)?;
    Ok(file.in_maintenance)
}

#[cfg(test)]
mod tests;
