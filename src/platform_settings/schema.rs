//! Structure of the settings object, with the keys and defaults that the platform specifies. The fields are documented
//! at their counterparts in [`crate::api`] and [`PlatformSettings`](super::PlatformSettings).

use serde::Deserialize;

#[derive(Deserialize)]
#[serde(expecting = "a settings object")]
pub(super) struct SettingsObject {
    pub(super) areas: Vec<String>,
    #[serde(default)]
    pub(super) host_types: Vec<String>,
    pub(super) zone: String,
    #[serde(rename = "me")]
    pub(super) node: u32,
    #[serde(rename = "peers_total")]
    pub(super) node_count: u32,
    pub(super) classes: Vec<ClassObject>,
    pub(super) tariffs: Vec<PlanObject>,
    pub(super) discovery: String,
    pub(super) load_info: LoadInfoObject,
    pub(super) obligations: ObligationsObject,
    pub(super) permissions: PermissionsObject,
    pub(super) specifics: SpecificsObject,
    #[serde(default)]
    pub(super) weights: String,
}

#[derive(Deserialize)]
#[serde(expecting = "a class object")]
pub(super) struct ClassObject {
    pub(super) name: String,
    pub(super) objective_ns: u64,
    pub(super) deadline_ns: u64,
    #[serde(rename = "worth")]
    pub(super) priority_weight: f64,
    #[serde(default, rename = "late_worth")]
    pub(super) late_weight_fraction: f64,
    pub(super) idempotency: String,
    #[serde(default)]
    pub(super) key_scope: String,
    #[serde(default)]
    pub(super) dedup_window_ns: u64,
    #[serde(default, rename = "stream")]
    pub(super) streaming: bool,
}

#[derive(Deserialize)]
#[serde(expecting = "a tariff object")]
pub(super) struct PlanObject {
    pub(super) name: String,
    #[serde(default, rename = "refill")]
    pub(super) quota_units_per_second: f64,
    #[serde(default, rename = "peak_units")]
    pub(super) quota_burst_units: f64,
    #[serde(default, rename = "open")]
    pub(super) max_concurrency: u32,
    #[serde(default = "one", rename = "pays")]
    pub(super) weight_multiplier: f64,
    #[serde(default, rename = "over_worth")]
    pub(super) over_quota_weight_fraction: f64,
    #[serde(default, rename = "overrun_cost")]
    pub(super) over_quota_penalty_fraction: f64,
    #[serde(default, rename = "cap_rate")]
    pub(super) ceiling_units_per_second: f64,
    #[serde(default, rename = "never_over_depth")]
    pub(super) ceiling_burst_units: f64,
    #[serde(default, rename = "hard_slack")]
    pub(super) ceiling_slack_units: f64,
}

#[derive(Deserialize)]
#[serde(expecting = "a load_info object")]
pub(super) struct LoadInfoObject {
    #[serde(default)]
    pub(super) names: Vec<String>,
}

#[derive(Deserialize)]
#[serde(expecting = "an obligations object")]
pub(super) struct ObligationsObject {
    #[serde(rename = "cold_share")]
    pub(super) slow_start_fraction: f64,
    #[serde(rename = "cold_ns")]
    pub(super) slow_start_ns: u64,
    pub(super) overload_factor: f64,
    #[serde(rename = "fall_ns")]
    pub(super) overload_window_ns: u64,
    #[serde(default = "half_second_ns")]
    pub(super) stop_sending_within_ns: u64,
}

#[derive(Deserialize)]
#[serde(expecting = "a permissions object")]
pub(super) struct PermissionsObject {
    pub(super) max_attempts: u32,
    pub(super) max_retry_after_ns: u64,
    pub(super) retry_after: bool,
    #[serde(rename = "peer_messages")]
    pub(super) gossip_enabled: bool,
    #[serde(rename = "second_copies")]
    pub(super) hedging_allowed: bool,
    #[serde(rename = "may_cancel")]
    pub(super) cancellation_allowed: bool,
    #[serde(default = "ten_seconds_ns")]
    pub(super) conn_idle_ns: u64,
    #[serde(default = "half_second_ns")]
    pub(super) dial_timeout_ns: u64,
}

#[derive(Deserialize)]
#[serde(expecting = "a specifics object")]
pub(super) struct SpecificsObject {
    #[serde(default, rename = "mail_per_s")]
    pub(super) gossip_messages_per_second: f64,
    #[serde(default)]
    pub(super) cost_after: bool,
    #[serde(default, rename = "most_units")]
    pub(super) max_request_units: f64,
}

fn one() -> f64 {
    1.0
}

fn half_second_ns() -> u64 {
    500_000_000
}

fn ten_seconds_ns() -> u64 {
    10_000_000_000
}
