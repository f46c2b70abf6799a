//! The operator's own file, as this program takes it: a section for each subsystem, all off by default.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use applewall_consul as consul;
use applewall_etcd as etcd;
use applewall_operator_config as ini;
use applewall_slow_peer as pace;
use applewall_startup_scheduler as turns;
use applewall_zone_failover as zones;
use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::logging;

/// All sections.
#[derive(Clone, Debug, Default, Deserialize, Validate, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Operator {
    /// The log.
    #[garde(skip)]
    pub log: Log,
    /// Slow peers: least rates, and limits on what may wait.
    #[garde(dive)]
    pub pace: pace::Settings,
    /// What one customer or one set of addresses may hold at most.
    #[garde(dive)]
    pub bulkheads: pace::BulkheadSettings,
    /// A roster in an etcd v3 registry.
    #[garde(dive)]
    pub registry: etcd::Settings,
    /// A roster in a Consul-style store.
    #[garde(dive)]
    pub consul: consul::Settings,
    /// The fleet's turns at the list service, and readiness that waits for a list.
    #[garde(dive)]
    pub cold_start: turns::Settings,
    /// Leaving a zone that fails as a fleet, and coming back at a pace.
    #[garde(dive)]
    pub zones: zones::Settings,
}

/// `[log]`
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Log {
    /// `text` or `json`.
    pub format: logging::LogFormat,
}

impl Operator {
    /// Reads the file; without one, all is off.
    ///
    /// # Errors
    ///
    /// One line with file, section and key.
    pub(crate) fn read(path: Option<&str>) -> Result<Self, String> {
        let Some(path) = path else {
            return Ok(Operator::default());
        };
        let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
        ini::read(&text).map_err(|e| format!("{path}: {e}"))
    }

    /// The published schema of the file.
    pub(crate) fn schema() -> String {
        ini::schema::<Operator>()
    }

    /// What is on, in a few words for `check`.
    pub(crate) fn summary(&self) -> String {
        let on = [
            ("pace", self.pace.enabled.0),
            ("bulkheads", self.bulkheads.enabled.0),
            ("registry", self.registry.enabled.0),
            ("consul", self.consul.enabled.0),
            ("cold_start", self.cold_start.enabled.0),
            ("zones", self.zones.enabled.0),
        ];
        let on: Vec<&str> = on
            .iter()
            .filter(|(_, on)| *on)
            .map(|(name, _)| *name)
            .collect();
        if on.is_empty() {
            "nothing".to_string()
        } else {
            on.join(", ")
        }
    }
}
