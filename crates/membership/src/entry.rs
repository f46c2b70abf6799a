//! One member, as a JSON value in a registry.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::net::SocketAddr;

use applewall_operator_config::Networks;
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What a registry says of a member.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq, Hash, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "State")]
pub enum MemberState {
    /// Takes work.
    #[default]
    InService,
    /// Finishes what it has and wants nothing new.
    Terminating,
}

/// One member. Names are those of discovery's list, so that one tool can write both.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Entry")]
pub struct MemberRecord {
    /// Where it listens: an IP address with a port. Names are not looked up.
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
    /// Its cell; -1 where it is in none.
    #[serde(default = "none")]
    #[garde(range(min = -1, max = 1_000_000))]
    pub pod_group: i64,
    /// Whether it takes work.
    #[serde(default)]
    #[garde(skip)]
    pub state: MemberState,
    /// A size to set against those of others; 0 where it is not told.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e6))]
    pub capacity_hint: f64,
    /// When it last started, as Unix time in milliseconds; 0 means long ago.
    #[serde(default)]
    #[garde(skip)]
    pub boot_ms: u64,
}

fn none() -> i64 {
    -1
}

/// Why an entry is left out, in one line.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RecordError(pub String);

impl std::fmt::Display for RecordError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for RecordError {}

impl MemberRecord {
    /// Reads a value. `allowed` are the networks that members may listen in; with none named, any will do.
    ///
    /// # Errors
    ///
    /// Text that is no such value, a figure out of its range, an address outside the allowed networks or one that no
    /// member can listen at. The value itself is not told: it is a stranger's.
    pub fn parse(value: &[u8], allowed: &Networks) -> Result<Self, RecordError> {
        // serde takes an array of all fields too; the schema does not.
        if value.trim_ascii_start().first().is_some_and(|b| *b != b'{') {
            return Err(RecordError("not a JSON object".to_string()));
        }
        let entry: MemberRecord =
            serde_json::from_slice(value).map_err(|e| RecordError(e.to_string()))?;
        let first = |report: garde::Report| match report.iter().next() {
            Some((path, error)) => RecordError(format!("{path}: {error}")),
            None => RecordError("out of range".to_string()),
        };
        entry.validate().map_err(first)?;
        let address = entry.endpoint.ip().to_canonical();
        if address.is_unspecified() || address.is_multicast() || entry.endpoint.port() == 0 {
            return Err(RecordError(format!(
                "endpoint: nobody listens at {}",
                entry.endpoint
            )));
        }
        // A mistaken entry must not send traffic elsewhere.
        if !allowed.0.is_empty() && !allowed.contains(address) {
            return Err(RecordError(format!(
                "endpoint: {address} is outside the allowed networks"
            )));
        }
        Ok(entry)
    }
}

/// The published JSON Schema of a value.
pub fn schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(MemberRecord)).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_reader_and_the_published_schema_agree() {
        let schema = serde_json::from_str(&schema()).unwrap();
        let schema = jsonschema::validator_for(&schema).unwrap();
        let cases = [
            (r#"{"endpoint":"10.1.0.18:8443"}"#, true),
            (
                r#"{"endpoint":"[2001:db8::1]:80","az":"a","pod_group":3,"state":"terminating"}"#,
                true,
            ),
            (
                r#"{"endpoint":"10.1.0.18:8443","capacity_hint":1.5,"boot_ms":1700000000000}"#,
                true,
            ),
            (r#"{"az":"a"}"#, false),
            (r#"{"endpoint":"db.internal:80"}"#, false),
            (r#"{"endpoint":"10.1.0.18:8443","state":"resting"}"#, false),
            (r#"{"endpoint":"10.1.0.18:8443","capacity_hint":-1}"#, false),
            (r#"{"endpoint":"10.1.0.18:8443","pod_group":-2}"#, false),
            (r#"{"endpoint":"10.1.0.18:8443","wieght":1}"#, false),
            (r#"["10.1.0.18:8443"]"#, false),
        ];
        for (text, good) in cases {
            let read = MemberRecord::parse(text.as_bytes(), &Networks::default());
            assert_eq!(read.is_ok(), good, "{text}: {read:?}");
            assert_eq!(
                schema.is_valid(&serde_json::from_str(text).unwrap()),
                good,
                "schema: {text}"
            );
        }
        assert!(MemberRecord::parse(b"not JSON", &Networks::default()).is_err());
    }

    #[test]
    fn an_address_elsewhere_is_refused_also_in_other_clothes() {
        let allowed = Networks(vec!["10.0.0.0/8".parse().unwrap()]);
        let read = |endpoint: &str| {
            let text = format!(r#"{{"endpoint":"{endpoint}"}}"#);
            MemberRecord::parse(text.as_bytes(), &allowed)
                .map(|e| e.endpoint.port())
                .map_err(|e| e.to_string())
        };
        assert_eq!(read("10.9.8.7:1"), Ok(1));
        assert_eq!(read("[::ffff:10.9.8.7]:1"), Ok(1));
        for endpoint in ["192.0.2.1:1", "[::ffff:192.0.2.1]:1", "[2001:db8::1]:1"] {
            assert!(read(endpoint)
                .unwrap_err()
                .contains("outside the allowed networks"));
        }
        for endpoint in ["0.0.0.0:1", "224.0.0.1:1", "10.0.0.1:0"] {
            assert!(
                read(endpoint).unwrap_err().contains("nobody listens"),
                "{endpoint}"
            );
        }
    }
}
