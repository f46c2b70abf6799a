//! Settings of startup scheduling: section `[cold_start]` of the operator's file.

use applewall_operator_config::{number, EnabledFlag};
use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;

/// `[cold_start]`: a budget of calls to the list service for the whole fleet, and readiness that depends on having a list.
#[derive(Clone, Debug, Deserialize, Validate, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Settings {
    /// Enables startup scheduling. If off, the other keys of this section have no effect.
    pub enabled: EnabledFlag,
    /// Calls per second that the list service can handle from the whole fleet. If this is less than a fifth of the fleet's
    /// size, a change of the list may reach a node more than 6 s after it was made.
    #[garde(range(min = 0.1, max = 100_000.0))]
    #[serde(deserialize_with = "number")]
    pub calls_per_s: f64,
    /// Number of peers that a starting node queries to find out which other nodes are starting.
    #[garde(range(min = 1, max = 16))]
    #[serde(deserialize_with = "number")]
    pub ask_peers: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            enabled: EnabledFlag(false),
            calls_per_s: 100.0,
            ask_peers: 4,
        }
    }
}
