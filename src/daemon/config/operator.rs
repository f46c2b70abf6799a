//! The operator's configuration: an INI file with a section for each subsystem, each disabled by default.
//!
//! The published schema is generated from the types in this module; their doc comments are its descriptions.

use std::error::Error;

use applewall_consul as consul;
use applewall_etcd as etcd;
use applewall_operator_config as operator_config;
use applewall_slow_peer as slow_peer;
use applewall_startup_scheduler as startup_scheduler;
use applewall_zone_failover as zone_failover;
use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::config::ConfigError;
use crate::observability::logging;

/// All sections of the operator's file.
#[derive(Clone, Debug, Default, Deserialize, Validate, JsonSchema)]
#[serde(default, deny_unknown_fields, rename = "Operator")]
pub(crate) struct OperatorConfig {
    /// The log on standard error.
    #[garde(skip)]
    pub log: LogConfig,
    /// Slow-peer protection: minimum data rates, and limits on unsent data.
    #[garde(dive)]
    pub pace: slow_peer::Settings,
    /// Bulkheads: limits on the resources that one customer or one network may hold.
    #[garde(dive)]
    pub bulkheads: slow_peer::BulkheadSettings,
    /// Membership from an etcd v3 registry.
    #[garde(dive)]
    pub registry: etcd::Settings,
    /// Membership from a Consul-style store.
    #[garde(dive)]
    pub consul: consul::Settings,
    /// Startup scheduling: distributes the fleet's calls to discovery, and delays readiness until there is an endpoint list.
    #[garde(dive)]
    pub cold_start: startup_scheduler::Settings,
    /// Zone failover: the fleet moves traffic away from a failing zone and returns it gradually.
    #[garde(dive)]
    pub zones: zone_failover::Settings,
}

/// `[log]`
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, rename = "Log")]
pub(crate) struct LogConfig {
    /// `text` or `json`.
    pub format: logging::LogFormat,
}

impl OperatorConfig {
    /// Reads the file. Without a path, every subsystem is disabled.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or a value is not valid; the error names file, section and key.
    pub(crate) fn read(path: Option<&str>) -> Result<Self, ConfigError> {
        let Some(path) = path else {
            return Ok(OperatorConfig::default());
        };
        let invalid = |source: Box<dyn Error + Send + Sync>| ConfigError::OperatorFile {
            path: path.to_string(),
            source,
        };
        let text = std::fs::read_to_string(path).map_err(|error| invalid(error.into()))?;
        operator_config::read(&text).map_err(|error| invalid(error.into()))
    }

    /// The published JSON Schema of the file.
    pub(crate) fn schema() -> String {
        operator_config::schema::<OperatorConfig>()
    }

    /// The names of the enabled sections, for `check` and for the log.
    pub(crate) fn summary(&self) -> String {
        let sections = [
            ("pace", self.pace.enabled.0),
            ("bulkheads", self.bulkheads.enabled.0),
            ("registry", self.registry.enabled.0),
            ("consul", self.consul.enabled.0),
            ("cold_start", self.cold_start.enabled.0),
            ("zones", self.zones.enabled.0),
        ];
        let enabled: Vec<&str> = sections
            .iter()
            .filter(|(_, enabled)| *enabled)
            .map(|(name, _)| *name)
            .collect();
        if enabled.is_empty() {
            "nothing".to_string()
        } else {
            enabled.join(", ")
        }
    }
}

#[cfg(test)]
mod golden;
