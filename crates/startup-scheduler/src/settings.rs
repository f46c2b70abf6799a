//! What operators may set: section `[cold_start]` of their file.

use applewall_operator_config::{number, EnabledFlag};
use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;

/// `[cold_start]`: a budget of calls at the list service for the whole fleet, and readiness that waits for a list.
#[derive(Clone, Debug, Deserialize, Validate, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Settings {
    /// Off: nothing of this section holds.
    pub enabled: EnabledFlag,
    /// Calls a second that the list service bears of all ingresses together. Below a fifth of the fleet's size, news of
    /// the list may reach an ingress later than 6 s after it was there.
    #[garde(range(min = 0.1, max = 100_000.0))]
    #[serde(deserialize_with = "number")]
    pub calls_per_s: f64,
    /// Peers that one which starts asks who else does.
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
