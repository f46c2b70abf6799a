//! The settings object of the platform, as both the daemon's configuration file and the simulator
//! carry it.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::missing_errors_doc,
    reason = "errors are documented as they are typed"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::collections::HashMap;

use serde::Deserialize;
use serde_json::Value;

use crate::api::{Class, Idempotency, KeyScope, LoadField, Plan, PolicySettings};

/// PolicySettings of one instance, with the names that its lines use.
#[derive(Debug)]
pub struct PlatformSettings {
    /// What the module is told.
    pub policy: PolicySettings,
    /// An idle connection to a backend is closed after this.
    pub idle_connection_timeout_ns: u64,
    /// A connection not up within this is given up.
    pub connect_timeout_ns: u64,
    /// Nothing new goes to a backend this long after it was told to drain.
    pub drain_notice_ns: u64,
    classes: HashMap<String, usize>,
    plans: HashMap<String, usize>,
    zones: HashMap<String, u32>,
    kinds: HashMap<String, u32>,
}

impl PlatformSettings {
    /// Index of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.get(name).copied()
    }
    /// Index of a plan.
    pub fn plan(&self, name: &str) -> Option<usize> {
        self.plans.get(name).copied()
    }
    /// Number of a kind of machine; those that the settings do not name are taken for the first.
    pub fn kind(&self, name: &str) -> u32 {
        self.kinds.get(name).copied().unwrap_or(0)
    }
    /// Names of all zones, by their numbers.
    pub fn zones(&self) -> Vec<String> {
        let mut names: Vec<_> = self.zones.iter().collect();
        names.sort_by_key(|(_, number)| **number);
        names.into_iter().map(|(name, _)| name.clone()).collect()
    }
    /// Number of a zone; one that the settings do not name is no gateway's own.
    pub fn zone(&self, name: &str) -> u32 {
        self.zones.get(name).copied().unwrap_or(u32::MAX - 1)
    }
}

#[derive(Deserialize)]
struct WireFacts {
    areas: Vec<String>,
    #[serde(default)]
    host_types: Vec<String>,
    zone: String,
    me: u32,
    peers_total: u32,
    classes: Vec<WireClass>,
    tariffs: Vec<WirePlan>,
    discovery: String,
    load_info: WireLoad,
    obligations: WireRules,
    permissions: WireLimits,
    specifics: WireSpecifics,
    #[serde(default)]
    weights: String,
}

#[derive(Deserialize)]
struct WireClass {
    name: String,
    objective_ns: u64,
    deadline_ns: u64,
    worth: f64,
    #[serde(default)]
    late_worth: f64,
    idempotency: String,
    #[serde(default)]
    key_scope: String,
    #[serde(default)]
    dedup_window_ns: u64,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct WirePlan {
    name: String,
    #[serde(default)]
    refill: f64,
    #[serde(default)]
    peak_units: f64,
    #[serde(default)]
    open: u32,
    #[serde(default = "one")]
    pays: f64,
    #[serde(default)]
    over_worth: f64,
    #[serde(default)]
    overrun_cost: f64,
    #[serde(default)]
    cap_rate: f64,
    #[serde(default)]
    never_over_depth: f64,
    #[serde(default)]
    hard_slack: f64,
}

#[derive(Deserialize)]
struct WireLoad {
    #[serde(default)]
    names: Vec<String>,
}

#[derive(Deserialize)]
struct WireRules {
    cold_share: f64,
    cold_ns: u64,
    overload_factor: f64,
    fall_ns: u64,
    #[serde(default = "half_second")]
    stop_sending_within_ns: u64,
}

#[derive(Deserialize)]
struct WireLimits {
    max_attempts: u32,
    max_retry_after_ns: u64,
    retry_after: bool,
    peer_messages: bool,
    second_copies: bool,
    may_cancel: bool,
    #[serde(default = "ten_seconds")]
    conn_idle_ns: u64,
    #[serde(default = "half_second")]
    dial_timeout_ns: u64,
}

#[derive(Deserialize)]
struct WireSpecifics {
    #[serde(default)]
    mail_per_s: f64,
    #[serde(default)]
    cost_after: bool,
    #[serde(default)]
    most_units: f64,
}

fn one() -> f64 {
    1.0
}

fn half_second() -> u64 {
    500_000_000
}

fn ten_seconds() -> u64 {
    10_000_000_000
}

/// Reads the settings object.
pub fn facts(value: &Value) -> Result<PlatformSettings, String> {
    let wire = WireFacts::deserialize(value).map_err(|e| format!("facts: {e}"))?;
    let zones: HashMap<String, u32> = wire.areas.iter().cloned().zip(0..).collect();
    let kinds: HashMap<String, u32> = wire.host_types.iter().cloned().zip(0..).collect();
    let class = |c: &WireClass| {
        let repeats = match c.idempotency.as_str() {
            "retryable" => Idempotency::Idempotent,
            "dedup" => {
                let scope = match c.key_scope.as_str() {
                    "all" => KeyScope::All,
                    "zone" => KeyScope::Zone,
                    "cell" => KeyScope::Cell,
                    other => return Err(format!("facts: unknown key_scope '{other}'")),
                };
                Idempotency::IdempotencyKey {
                    scope,
                    deduplication_window_ns: c.dedup_window_ns,
                }
            }
            "fragile" => Idempotency::NonIdempotent,
            other => return Err(format!("facts: unknown idempotency '{other}'")),
        };
        Ok(Class {
            latency_objective_ns: c.objective_ns,
            deadline_ns: c.deadline_ns,
            priority_weight: c.worth,
            late_weight_fraction: c.late_worth,
            idempotency: repeats,
            streaming: c.stream,
        })
    };
    let plan = |p: &WirePlan| Plan {
        quota_units_per_second: p.refill,
        quota_burst_units: p.peak_units,
        max_concurrency: p.open,
        weight_multiplier: p.pays,
        over_quota_weight_fraction: p.over_worth,
        over_quota_penalty_fraction: p.overrun_cost,
        ceiling_units_per_second: p.cap_rate,
        ceiling_burst_units: p.never_over_depth,
        ceiling_slack_units: p.hard_slack,
    };
    let field = |n: &String| match n.as_str() {
        "utilization" => LoadField::Utilization,
        "outstanding" => LoadField::InFlight,
        _ => LoadField::Other,
    };
    let settings = PolicySettings {
        node: wire.me,
        node_count: wire.peers_total,
        zone: zones.get(&wire.zone).copied().unwrap_or(u32::MAX),
        machine_type_count: kinds.len() as u32,
        classes: wire.classes.iter().map(class).collect::<Result<_, _>>()?,
        plans: wire.tariffs.iter().map(plan).collect(),
        watch_endpoints: wire.discovery == "subscribe",
        weighted_endpoints: wire.weights == "nominal" || wire.weights == "rough",
        load_report_fields: wire.load_info.names.iter().map(field).collect(),
        slow_start_fraction: wire.obligations.cold_share,
        slow_start_ns: wire.obligations.cold_ns,
        overload_multiple: wire.obligations.overload_factor,
        overload_window_ns: wire.obligations.fall_ns,
        max_attempts: wire.permissions.max_attempts,
        max_retry_after_ns: if wire.permissions.retry_after {
            wire.permissions.max_retry_after_ns
        } else {
            0
        },
        gossip_enabled: wire.permissions.peer_messages,
        hedging_allowed: wire.permissions.second_copies,
        cancellation_allowed: wire.permissions.may_cancel,
        gossip_messages_per_second: wire.specifics.mail_per_s,
        cost_settled_after_response: wire.specifics.cost_after,
        max_request_units: wire.specifics.most_units,
    };
    Ok(PlatformSettings {
        policy: settings,
        idle_connection_timeout_ns: wire.permissions.conn_idle_ns,
        connect_timeout_ns: wire.permissions.dial_timeout_ns,
        drain_notice_ns: wire.obligations.stop_sending_within_ns,
        classes: wire
            .classes
            .iter()
            .map(|c| c.name.clone())
            .zip(0..)
            .collect(),
        plans: wire
            .tariffs
            .iter()
            .map(|p| p.name.clone())
            .zip(0..)
            .collect(),
        zones,
        kinds,
    })
}
