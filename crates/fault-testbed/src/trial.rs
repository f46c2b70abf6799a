//! The trial file: INI in the syntax of the operator's file, validated, with a published schema.
//!
//! Input: the file's text. Output: a validated [`Trial`]. The field names are the keys of the file, because `garde` reports
//! field names in its errors, and the doc comments of the fields are the descriptions in the schema. Module `settings` converts
//! them to the types and names that the rest of the crate uses.

mod settings;

use std::collections::BTreeMap;

use applewall_operator_config::{number, DurationSetting, EnabledFlag};
use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::fault::{Fault, FaultError, InitialList};

/// A trial file. Sections and keys that are left out have defaults.
#[derive(Clone, Debug, Default, Deserialize, Validate, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Trial {
    /// Size, duration and seed of the trial.
    #[garde(dive)]
    pub trial: TrialSection,
    /// Initial state of the ingresses.
    #[garde(skip)]
    pub ingress: IngressSection,
    /// Properties of the limit servers.
    #[garde(dive)]
    pub instance: InstanceSection,
    /// Limits and size of the list service.
    #[garde(dive)]
    pub list: ListSection,
    /// Requests and behavior of the clients.
    #[garde(dive)]
    pub traffic: TrafficSection,
    /// Settings of the operator's file of every ingress, as `section.key = value`.
    #[garde(skip)]
    pub operator: BTreeMap<String, String>,
    /// Faults by name, one line each; see [`crate::fault`].
    #[garde(skip)]
    pub faults: BTreeMap<String, Fault>,
}

/// `[trial]`
#[derive(Clone, Debug, Deserialize, Validate, JsonSchema)]
#[schemars(rename = "Sizes")]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct TrialSection {
    /// Seed of all random numbers.
    #[serde(deserialize_with = "number")]
    pub seed: u64,
    /// Time for which clients send requests.
    #[garde(dive)]
    pub time: DurationSetting,
    /// Number of ingresses.
    #[garde(range(min = 1, max = 400))]
    #[serde(deserialize_with = "number")]
    pub ingresses: usize,
    /// Number of limit servers.
    #[garde(range(min = 1, max = 400))]
    #[serde(deserialize_with = "number")]
    pub instances: usize,
    /// Number of zones, to which ingresses and limit servers are assigned round-robin.
    #[garde(range(min = 1, max = 16))]
    #[serde(deserialize_with = "number")]
    pub zones: usize,
    /// Fraction of the ingresses that are ready before clients send requests, as behind a load balancer with health checks.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(deserialize_with = "number")]
    pub ready: f64,
    /// Checks the arrival times of attempts and the deadlines that they state. Only valid where no fault delays the links to
    /// limit servers.
    pub arrivals: EnabledFlag,
}

impl Default for TrialSection {
    fn default() -> Self {
        TrialSection {
            seed: 1,
            time: DurationSetting::from_millis(8_000),
            ingresses: 3,
            instances: 10,
            zones: 3,
            ready: 0.0,
            arrivals: EnabledFlag(false),
        }
    }
}

/// `[ingress]`
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[schemars(rename = "Start")]
#[serde(default, deny_unknown_fields)]
pub struct IngressSection {
    /// The endpoint list that ingresses start with: `none`, `old` (that of the trial's start) or `current`.
    pub known: String,
}

impl Default for IngressSection {
    fn default() -> Self {
        IngressSection {
            known: "none".to_string(),
        }
    }
}

/// `[instance]`
#[derive(Clone, Debug, Deserialize, Validate, JsonSchema)]
#[schemars(rename = "Servers")]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct InstanceSection {
    /// Whether limit servers have to warm up when the trial begins.
    pub cold: EnabledFlag,
    /// Number of cores: requests processed at once.
    #[garde(range(min = 1, max = 64))]
    #[serde(deserialize_with = "number")]
    pub cores: usize,
    /// Maximum number of requests that are processed or queued; more are rejected.
    #[garde(range(min = 1, max = 10_000))]
    #[serde(deserialize_with = "number")]
    pub room: usize,
    /// Time of one core that a request takes after the warm-up.
    #[garde(dive)]
    pub work: DurationSetting,
    /// Time of one core that a new connection takes after the warm-up.
    #[garde(dive)]
    pub dial: DurationSetting,
    /// Maximum number of open connections; requests on further ones are rejected.
    #[garde(range(min = 1, max = 10_000))]
    #[serde(deserialize_with = "number")]
    pub connections: usize,
    /// Fraction of the full capacity at the start.
    #[garde(range(min = 0.01, max = 1.0))]
    #[serde(deserialize_with = "number")]
    pub cold_share: f64,
    /// Duration of the warm-up.
    #[garde(dive)]
    pub cold_time: DurationSetting,
}

impl Default for InstanceSection {
    fn default() -> Self {
        InstanceSection {
            cold: EnabledFlag(false),
            cores: 2,
            room: 40,
            work: DurationSetting::from_millis(80),
            dial: DurationSetting::from_millis(2),
            connections: 400,
            cold_share: 0.19,
            cold_time: DurationSetting::from_millis(15_000),
        }
    }
}

/// `[list]`
#[derive(Clone, Debug, Deserialize, Validate, JsonSchema)]
#[schemars(rename = "Service")]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct ListSection {
    /// Requests per second that the list service accepts; 0: unlimited.
    #[garde(range(min = 0.0, max = 1e6))]
    #[serde(deserialize_with = "number")]
    pub calls_per_s: f64,
    /// Delay of a rejection.
    pub turned_after: Option<DurationSetting>,
    /// `Retry-After` of a rejection; none by default.
    pub retry_after: Option<DurationSetting>,
    /// Number of additional list entries whose addresses are unreachable.
    #[garde(range(max = 10_000))]
    #[serde(deserialize_with = "number")]
    pub ballast: usize,
}

impl Default for ListSection {
    fn default() -> Self {
        ListSection {
            calls_per_s: 0.0,
            turned_after: None,
            retry_after: None,
            ballast: 0,
        }
    }
}

/// `[traffic]`
#[derive(Clone, Debug, Deserialize, Validate, JsonSchema)]
#[schemars(rename = "Traffic")]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct TrafficSection {
    /// Mean requests per second at each ingress.
    #[garde(range(min = 0.0, max = 1_000.0))]
    #[serde(deserialize_with = "number")]
    pub rate: f64,
    /// Number of customers.
    #[garde(range(min = 1, max = 1_000_000))]
    #[serde(deserialize_with = "number")]
    pub customers: u64,
    /// Number of ingresses that each customer uses.
    #[garde(range(min = 1, max = 400))]
    #[serde(deserialize_with = "number")]
    pub spread: usize,
    /// Quota of each customer in units per second, with a burst of two seconds' units.
    #[garde(range(min = 0.01, max = 1e6))]
    #[serde(deserialize_with = "number")]
    pub quota: f64,
    /// Ceiling of each customer in units per second, with a burst of two seconds' units; 0: no ceiling.
    #[garde(range(min = 0.0, max = 1e6))]
    #[serde(deserialize_with = "number")]
    pub ceiling: f64,
    /// Probability that a client retries a rejected request, once.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(deserialize_with = "number")]
    pub again: f64,
    /// Probability that a client closes its connection 30 ms after its request.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(deserialize_with = "number")]
    pub leave: f64,
    /// Probability that a client sends half a request and keeps the connection open.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(deserialize_with = "number")]
    pub half: f64,
    /// Time within which a response counts as in time.
    #[garde(dive)]
    pub wanted: DurationSetting,
    /// Time after which a client gives up on a response.
    #[garde(dive)]
    pub patience: DurationSetting,
}

impl Default for TrafficSection {
    fn default() -> Self {
        TrafficSection {
            rate: 2.0,
            customers: 2_000,
            spread: 4,
            quota: 50.0,
            ceiling: 0.0,
            again: 0.0,
            leave: 0.0,
            half: 0.0,
            wanted: DurationSetting::from_millis(800),
            patience: DurationSetting::from_millis(3_000),
        }
    }
}

/// Why a trial file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum TrialError {
    /// A section or key is unknown, or its value is invalid.
    #[error(transparent)]
    Settings(#[from] applewall_operator_config::Error),
    /// `[ingress] known` names no initial list.
    #[error("[ingress] known: {0}")]
    InitialList(#[source] FaultError),
    /// A key of `[operator]` does not have the form `section.key`.
    #[error("[operator] {0}: is not of the form section.key")]
    OperatorKey(String),
}

impl Trial {
    /// Reads and validates the text of a trial file.
    ///
    /// # Errors
    ///
    /// The invalid section and key with the reason, in one line.
    pub fn read(text: &str) -> Result<Self, TrialError> {
        let trial: Trial = applewall_operator_config::read(text)?;
        trial
            .ingress
            .known
            .parse::<InitialList>()
            .map_err(TrialError::InitialList)?;
        match trial.operator.keys().find(|key| !key.contains('.')) {
            Some(key) => Err(TrialError::OperatorKey(key.clone())),
            None => Ok(trial),
        }
    }

    /// The JSON schema of the file.
    pub fn schema() -> String {
        applewall_operator_config::schema::<Trial>()
    }

    /// The text of the operator's file of each ingress, if the trial has operator settings.
    pub fn operator_file(&self) -> Option<String> {
        let mut sections: BTreeMap<&str, String> = BTreeMap::new();
        for (key, value) in &self.operator {
            let (section, key) = key.split_once('.')?;
            sections
                .entry(section)
                .or_default()
                .push_str(&format!("{key} = {value}\n"));
        }
        let text = sections
            .iter()
            .map(|(section, keys)| format!("[{section}]\n{keys}"));
        (!self.operator.is_empty()).then(|| text.collect())
    }
}

#[cfg(test)]
mod tests;
