//! Settings of zone failover: section `[zones]` of the operator's file.

use applewall_operator_config::{number, EnabledFlag};
use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;

/// `[zones]`: ejection of a failing zone by the whole fleet, and its return at a limited rate.
#[derive(Clone, Debug, Deserialize, Validate, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Settings {
    /// Enables zone failover. If off, the other keys of this section have no effect.
    pub enabled: EnabledFlag,
    /// Fraction of a zone's outcomes, as observed by the fleet, that must be dead or failing before the zone is ejected.
    #[garde(range(min = 0.2, max = 1.0))]
    #[serde(deserialize_with = "number")]
    pub leave_at: f64,
    /// Maximum fraction of all endpoints that may be in ejected zones at the same time. The last zone is never ejected.
    #[garde(range(min = 0.0, max = 0.9))]
    #[serde(deserialize_with = "number")]
    pub most_out: f64,
    /// Canary requests per second that the whole fleet sends to an ejected zone.
    #[garde(range(min = 0.1, max = 100.0))]
    #[serde(deserialize_with = "number")]
    pub canaries_per_s: f64,
    /// Share of its usual traffic that a returning zone gains per second once its canary requests succeed.
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
