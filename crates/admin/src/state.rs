//! The state file: what a process needs of the one before where nobody is there to hand it over.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use serde::{Deserialize, Serialize};

use crate::MaintenanceSet;

/// The version that is written, and the newest that is read.
const VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
struct File {
    applewall_state: u32,
    withheld: MaintenanceSet,
}

/// The text of the file.
pub fn write(ledger: &MaintenanceSet) -> String {
    let file = File {
        applewall_state: VERSION,
        withheld: ledger.clone(),
    };
    // Strings and a number: there is nothing that JSON can't say.
    serde_json::to_string(&file).unwrap_or_default()
}

/// Reads the text of the file.
///
/// # Errors
///
/// It is torn, foreign or of a newer version; which of these.
pub fn read(text: &str) -> Result<MaintenanceSet, String> {
    let value: serde_json::Value =
        serde_json::from_str(text).map_err(|e| format!("torn or foreign: {e}"))?;
    match value
        .get("applewall_state")
        .and_then(serde_json::Value::as_u64)
    {
        None => Err("foreign: it has no 'applewall_state'".to_string()),
        Some(version) if version > u64::from(VERSION) => Err(format!(
            "of version {version}; {VERSION} is the newest that is known here"
        )),
        Some(_) => {
            let file: File =
                serde_json::from_value(value).map_err(|e| format!("torn or foreign: {e}"))?;
            Ok(file.withheld)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_written_is_read_and_all_else_is_told_apart() {
        let mut ledger = MaintenanceSet::default();
        let _ = (ledger.disable("s-1", true), ledger.disable("s \"2\"", true));
        let text = write(&ledger);
        assert_eq!(read(&text), Ok(ledger));
        for cut in 0..text.len() {
            assert!(
                read(&text[..cut]).is_err_and(|e| e.contains("torn")),
                "{cut} bytes"
            );
        }
        let wrong = [
            ("{}", "foreign"),
            ("[1]", "foreign"),
            (r#"{"applewall_state":2,"withheld":7}"#, "version 2"),
            (r#"{"applewall_state":1}"#, "torn"),
            (r#"{"applewall_state":1,"withheld":[7]}"#, "torn"),
        ];
        for (text, why) in wrong {
            assert!(read(text).is_err_and(|e| e.contains(why)), "{text}");
        }
    }
}
