//! What operators may set: section `[zones]` of their file.

use applewall_operator_config::{number, EnabledFlag};
use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;

/// `[zones]`: leaving a zone that fails as a fleet, and coming back at a pace.
#[derive(Clone, Debug, Deserialize, Validate, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Settings {
    /// Off: nothing of this section holds.
    pub enabled: EnabledFlag,
    /// Share of a zone's outcomes, as the fleet sees them, that are dead or failing before it is left.
    #[garde(range(min = 0.2, max = 1.0))]
    #[serde(deserialize_with = "number")]
    pub leave_at: f64,
    /// Most of all limit servers, as a share, that stand in zones left at one moment. The last zone is never left.
    #[garde(range(min = 0.0, max = 0.9))]
    #[serde(deserialize_with = "number")]
    pub most_out: f64,
    /// Requests a second that the whole fleet spends on trying a zone that it left.
    #[garde(range(min = 0.1, max = 100.0))]
    #[serde(deserialize_with = "number")]
    pub canaries_per_s: f64,
    /// Part of its traffic that a zone gets back each second once its canaries are answered.
    #[garde(range(min = 0.005, max = 1.0))]
    #[serde(deserialize_with = "number")]
    pub return_per_s: f64,
}

impl Default for Settings {
    fn default() -> Self {
        let enabled = EnabledFlag(false);
        Settings {
            enabled,
            leave_at: 0.5,
            most_out: 0.5,
            canaries_per_s: 4.0,
            return_per_s: 0.05,
        }
    }
}
