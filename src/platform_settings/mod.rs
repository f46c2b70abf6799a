//! The platform's settings object, which both the daemon's configuration file and the simulator contain.

mod schema;

use std::collections::HashMap;

use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::api::{
    Class, ClassId, Idempotency, KeyScope, LoadField, MachineTypeId, NodeId, Plan, PlanId,
    PolicySettings, ZoneId,
};
use schema::{ClassObject, PlanObject, SettingsObject};

/// Zone of an endpoint whose zone is not in the settings; it matches no node's zone.
const UNKNOWN_ENDPOINT_ZONE: ZoneId = ZoneId(u32::MAX - 1);
/// Zone of a node whose zone is not in the settings; it matches no endpoint's zone.
const UNKNOWN_NODE_ZONE: ZoneId = ZoneId(u32::MAX);

/// The reason why a settings object cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A key is missing, or its value has the wrong type or is out of range.
    #[error("settings: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A class has an unknown scope of its idempotency keys.
    #[error("settings: unknown key_scope '{0}'")]
    UnknownKeyScope(String),
    /// A class has an unknown kind of idempotency.
    #[error("settings: unknown idempotency '{0}'")]
    UnknownIdempotency(String),
}

/// The platform's settings of one node, and the ids of the names that requests and endpoint lists use.
#[derive(Debug)]
pub struct PlatformSettings {
    /// The part of the settings that the decision policy uses.
    pub policy: PolicySettings,
    /// Time after which endpoints close an idle connection; 10 s if the platform sets none.
    pub idle_connection_timeout_ns: u64,
    /// Timeout for establishing a connection to an endpoint; 0.5 s if the platform sets none.
    pub connect_timeout_ns: u64,
    /// Time after an endpoint begins to drain within which this node must stop sending it attempts; 0.5 s if the
    /// platform sets none.
    pub drain_notice_ns: u64,
    classes: HashMap<String, ClassId>,
    plans: HashMap<String, PlanId>,
    zones: HashMap<String, ZoneId>,
    machine_types: HashMap<String, MachineTypeId>,
}

impl PlatformSettings {
    /// Reads a settings object.
    ///
    /// # Errors
    ///
    /// Returns an error if a key is missing or has an unknown value.
    pub fn from_json(value: &Value) -> Result<Self, SettingsError> {
        let object = SettingsObject::deserialize(value)?;
        Ok(PlatformSettings {
            policy: policy_settings(&object)?,
            idle_connection_timeout_ns: object.permissions.conn_idle_ns,
            connect_timeout_ns: object.permissions.dial_timeout_ns,
            drain_notice_ns: object.obligations.stop_sending_within_ns,
            classes: ids_by_name(object.classes.into_iter().map(|class| class.name), ClassId),
            plans: ids_by_name(object.tariffs.into_iter().map(|plan| plan.name), PlanId),
            zones: ids_by_name(object.areas, ZoneId),
            machine_types: ids_by_name(object.host_types, MachineTypeId),
        })
    }

    /// The class with this name, as requests give it; `None` if the settings have no such class.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.get(name).copied()
    }

    /// The plan with this name, as requests give it; `None` if the settings have no such plan.
    pub fn plan(&self, name: &str) -> Option<PlanId> {
        self.plans.get(name).copied()
    }

    /// The machine type with this name; unknown names map to the first one.
    pub fn machine_type(&self, name: &str) -> MachineTypeId {
        self.machine_types.get(name).copied().unwrap_or_default()
    }

    /// Names of all zones, ordered by number.
    pub fn zone_names(&self) -> Vec<String> {
        let mut names: Vec<_> = self.zones.iter().collect();
        names.sort_by_key(|(_, number)| **number);
        names.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// The zone with this name, as endpoint lists give it; an unknown name maps to a zone that matches no node's.
    pub fn zone(&self, name: &str) -> ZoneId {
        self.zones
            .get(name)
            .copied()
            .unwrap_or(UNKNOWN_ENDPOINT_ZONE)
    }
}

/// Maps names to the ids of their positions; of a duplicate name, the last position counts.
fn ids_by_name<Number, Id>(
    names: impl IntoIterator<Item = String>,
    id: impl Fn(Number) -> Id,
) -> HashMap<String, Id>
where
    std::ops::RangeFrom<Number>: Iterator<Item = Number>,
    Number: Default,
{
    let ids = (Number::default()..).map(id);
    names.into_iter().zip(ids).collect()
}

fn policy_settings(object: &SettingsObject) -> Result<PolicySettings, SettingsError> {
    let zones: HashMap<&str, u32> = object.areas.iter().map(String::as_str).zip(0..).collect();
    let machine_types: HashMap<&str, u32> = object
        .host_types
        .iter()
        .map(String::as_str)
        .zip(0..)
        .collect();
    let permissions = &object.permissions;
    let max_retry_after_ns = permissions
        .retry_after
        .then_some(permissions.max_retry_after_ns)
        .filter(|wait_ns| *wait_ns > 0);
    Ok(PolicySettings {
        node: NodeId(object.node),
        node_count: object.node_count,
        zone: zones
            .get(object.zone.as_str())
            .copied()
            .map_or(UNKNOWN_NODE_ZONE, ZoneId),
        machine_type_count: machine_types.len() as u32,
        classes: object.classes.iter().map(class).collect::<Result<_, _>>()?,
        plans: object.tariffs.iter().map(plan).collect(),
        watch_endpoints: object.discovery == "subscribe",
        weighted_endpoints: object.weights == "nominal" || object.weights == "rough",
        load_report_fields: load_report_fields(object),
        slow_start_fraction: object.obligations.slow_start_fraction,
        slow_start_ns: object.obligations.slow_start_ns,
        overload_multiple: object.obligations.overload_factor,
        overload_window_ns: object.obligations.overload_window_ns,
        max_attempts: permissions.max_attempts,
        max_retry_after_ns,
        gossip_enabled: permissions.gossip_enabled,
        hedging_allowed: permissions.hedging_allowed,
        cancellation_allowed: permissions.cancellation_allowed,
        gossip_messages_per_second: object.specifics.gossip_messages_per_second,
        cost_settled_after_response: object.specifics.cost_after,
        max_request_units: object.specifics.max_request_units,
    })
}

fn class(object: &ClassObject) -> Result<Class, SettingsError> {
    Ok(Class {
        latency_objective_ns: object.objective_ns,
        deadline_ns: object.deadline_ns,
        priority_weight: object.priority_weight,
        late_weight_fraction: object.late_weight_fraction,
        idempotency: idempotency(object)?,
        streaming: object.streaming,
    })
}

fn idempotency(object: &ClassObject) -> Result<Idempotency, SettingsError> {
    match object.idempotency.as_str() {
        "retryable" => Ok(Idempotency::Idempotent),
        "dedup" => Ok(Idempotency::IdempotencyKey {
            scope: key_scope(&object.key_scope)?,
            deduplication_window_ns: object.dedup_window_ns,
        }),
        "fragile" => Ok(Idempotency::NonIdempotent),
        other => Err(SettingsError::UnknownIdempotency(other.to_string())),
    }
}

fn key_scope(name: &str) -> Result<KeyScope, SettingsError> {
    match name {
        "all" => Ok(KeyScope::All),
        "zone" => Ok(KeyScope::Zone),
        "cell" => Ok(KeyScope::Cell),
        other => Err(SettingsError::UnknownKeyScope(other.to_string())),
    }
}

fn plan(object: &PlanObject) -> Plan {
    Plan {
        quota_units_per_second: object.quota_units_per_second,
        quota_burst_units: object.quota_burst_units,
        max_concurrency: (object.max_concurrency > 0).then_some(object.max_concurrency),
        weight_multiplier: object.weight_multiplier,
        over_quota_weight_fraction: object.over_quota_weight_fraction,
        over_quota_penalty_fraction: object.over_quota_penalty_fraction,
        ceiling_units_per_second: object.ceiling_units_per_second,
        ceiling_burst_units: object.ceiling_burst_units,
        ceiling_slack_units: object.ceiling_slack_units,
    }
}

fn load_report_fields(object: &SettingsObject) -> Vec<LoadField> {
    let field = |name: &str| match name {
        "utilization" => LoadField::Utilization,
        "outstanding" => LoadField::InFlight,
        _ => LoadField::Other,
    };
    let names = &object.load_info.names;
    names.iter().map(|name| field(name)).collect()
}
