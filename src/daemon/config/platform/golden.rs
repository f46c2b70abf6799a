//! Compares how every key of the platform's file is read and rejected with recorded results (`tests/golden`).

use super::*;
use crate::clock::Clock;
use crate::config::golden::compare;
use crate::engine::message::EndpointEntry;
use applewall::api::{Class, EndpointState, Idempotency, KeyScope, LoadField, Plan};
use std::fmt::Write as _;

const PLATFORM: &str = include_str!("../../../../tests/golden/platform.json");

fn config(value: Value) -> Result<PlatformConfig, Box<dyn std::error::Error>> {
    let file: PlatformFile = serde_json::from_value(value)?;
    Ok(PlatformConfig::try_from(file)?)
}

fn platform() -> Value {
    serde_json::from_str(PLATFORM).unwrap()
}

fn addresses(text: &[&str]) -> Vec<SocketAddr> {
    text.iter()
        .map(|address| address.parse().unwrap())
        .collect()
}

fn complete_config() -> PlatformConfig {
    config(platform()).unwrap()
}

#[test]
fn platform_file_names_are_read_as_recorded() {
    let config = complete_config();
    assert_eq!(
        (
            &*config.name,
            config.seed,
            config.max_descriptors,
            config.max_memory_bytes
        ),
        ("n ü/0", 0x8c1f_30d2_7a5b_e964, 256, 32 << 20)
    );
    let all = [
        Some(config.listen),
        Some(config.discovery),
        config.admin_listen,
        config.peer_listen,
        config.peer_broadcast,
    ]
    .map(Option::unwrap);
    let ports = [8080, 8500, 9090, 7000, 7100].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    assert_eq!(
        (all, config.peers),
        (ports, addresses(&["127.0.0.1:7000", "[::1]:7001"]))
    );
}

/// An entry of `known` as it is read: the fields of the endpoint, and its address.
type KnownEntry = (
    String,
    String,
    f64,
    Option<u64>,
    u32,
    i64,
    u32,
    EndpointState,
);

fn known_entry(entry: EndpointEntry) -> KnownEntry {
    let endpoint = entry.endpoint;
    (
        endpoint.id.to_string(),
        entry.address.to_string(),
        endpoint.weight,
        endpoint.started_at_ns,
        endpoint.zone.0,
        endpoint.cell.0,
        endpoint.machine_type.0,
        endpoint.state,
    )
}

/// An entry that has only an id, an address and a state.
fn minimal_entry(id: &str, address: &str, state: EndpointState) -> KnownEntry {
    let no_zone = u32::MAX - 1;
    (id.into(), address.into(), 0.0, None, no_zone, -1, 0, state)
}

#[test]
fn platform_file_known_endpoints_are_read_as_recorded() {
    let config = complete_config();
    let list = &config.known_endpoints;
    assert_eq!(
        (list.revision, list.complete, list.targets.len()),
        (417, true, 5)
    );
    let entries = list.entries(&config.settings, &Clock::start());
    let (ready, address) = (EndpointState::Ready, "10.0.0.1:80".to_string());
    assert_eq!(
        entries.into_iter().map(known_entry).collect::<Vec<_>>(),
        [
            ("s-1".into(), address, 1.5, Some(1), 1, 7, 1, ready),
            minimal_entry("s-2", "[2001:db8::1]:80", EndpointState::Draining),
            minimal_entry("s-3", "10.0.0.3:80", EndpointState::Removed),
        ]
    );
}

#[test]
fn platform_file_settings_are_read_as_recorded() {
    let config = complete_config();
    let (settings, policy) = (&config.settings, &config.settings.policy);
    assert_eq!(
        (
            settings.idle_connection_timeout_ns,
            settings.connect_timeout_ns,
            settings.drain_notice_ns,
            settings.zone_names()
        ),
        (62, 63, 53, vec!["a".into(), "b".into()])
    );
    assert_eq!((policy.node.0, policy.node_count, policy.zone.0), (1, 2, 1));
    assert_eq!(
        (
            policy.machine_type_count,
            policy.watch_endpoints,
            policy.weighted_endpoints
        ),
        (2, true, true)
    );
    assert_eq!(
        policy.load_report_fields,
        [
            LoadField::Utilization,
            LoadField::InFlight,
            LoadField::Other
        ]
    );
    assert_eq!(
        (policy.slow_start_ns, policy.slow_start_fraction),
        (51, 0.5)
    );
    assert_eq!(
        (policy.overload_window_ns, policy.overload_multiple),
        (52, 2.5)
    );
}

#[test]
fn platform_file_limits_and_permissions_are_read_as_recorded() {
    let config = complete_config();
    let policy = &config.settings.policy;
    assert_eq!(
        (
            policy.max_attempts,
            policy.max_retry_after_ns,
            policy.gossip_messages_per_second,
            policy.max_request_units
        ),
        (4, Some(61), 70.5, 71.5)
    );
    assert_eq!(
        (
            policy.gossip_enabled,
            policy.hedging_allowed,
            policy.cancellation_allowed,
            policy.cost_settled_after_response
        ),
        (true, true, true, true)
    );
}

#[test]
fn platform_file_classes_are_read_as_recorded() {
    let config = complete_config();
    let fields = |class: &Class| {
        (
            class.latency_objective_ns,
            class.deadline_ns,
            class.priority_weight,
            class.late_weight_fraction,
            class.idempotency,
            class.streaming,
        )
    };
    let keyed = |scope, window| Idempotency::IdempotencyKey {
        scope,
        deduplication_window_ns: window,
    };
    let classes = &config.settings.policy.classes;
    assert_eq!(
        classes.iter().map(fields).collect::<Vec<_>>(),
        [
            (1, 2, 3.5, 0.25, Idempotency::Idempotent, true),
            (11, 12, 1.0, 0.0, keyed(KeyScope::All, 13), false),
            (21, 22, 2.0, 0.0, keyed(KeyScope::Zone, 0), false),
            (31, 32, 3.0, 0.0, keyed(KeyScope::Cell, 0), false),
            (41, 42, 4.0, 0.0, Idempotency::NonIdempotent, false),
        ]
    );
    let numbers = ["safe", "all", "zone", "cell", "once", "none"]
        .map(|name| config.settings.class(name).map(|class| class.0));
    assert_eq!(numbers, [Some(0), Some(1), Some(2), Some(3), Some(4), None]);
}

#[test]
fn platform_file_plans_are_read_as_recorded() {
    let config = complete_config();
    let fields = |plan: &Plan| {
        let ceiling = [
            plan.ceiling_units_per_second,
            plan.ceiling_burst_units,
            plan.ceiling_slack_units,
        ];
        let quota = [
            plan.quota_units_per_second,
            plan.quota_burst_units,
            plan.weight_multiplier,
            plan.over_quota_weight_fraction,
            plan.over_quota_penalty_fraction,
        ];
        (plan.max_concurrency, quota, ceiling)
    };
    let full = (Some(3), [1.5, 2.5, 4.5, 5.5, 6.5], [7.5, 8.5, 9.5]);
    let plans = &config.settings.policy.plans;
    assert_eq!(
        plans.iter().map(fields).collect::<Vec<_>>(),
        [full, (None, [0.0, 0.0, 1.0, 0.0, 0.0], [0.0; 3])]
    );
    assert_eq!(
        ["full", "bare", "none"].map(|name| config.settings.plan(name).map(|plan| plan.0)),
        [Some(0), Some(1), None]
    );
}

/// Collects the JSON pointers of all values inside `value`, which is itself at the pointer `at`.
fn pointers(value: &Value, at: &str, all: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(map) => map
            .iter()
            .map(|(key, value)| (key.clone(), value))
            .collect(),
        Value::Array(elements) => elements
            .iter()
            .enumerate()
            .map(|(index, value)| (index.to_string(), value))
            .collect(),
        _ => vec![],
    };
    for (key, value) in children {
        let at = format!("{at}/{key}");
        pointers(value, &at, all);
        all.push(at);
    }
}

/// Reads the file without each key, and with each value replaced by one of another type. Records the error, or `will do` if
/// the file is accepted.
#[test]
fn platform_file_is_rejected_with_the_recorded_errors() {
    let (mut all, mut actual, clock) = (Vec::new(), String::new(), Clock::start());
    let read = |config: PlatformConfig| {
        format!(
            "will do, {} instances read",
            config
                .known_endpoints
                .entries(&config.settings, &clock)
                .len()
        )
    };
    pointers(&platform(), "", &mut all);
    for at in all {
        let (parent, key) = at.rsplit_once('/').unwrap();
        let mut without = platform();
        if let Value::Object(map) = without.pointer_mut(parent).unwrap() {
            map.remove(key);
        }
        let mut other = platform();
        *other.pointer_mut(&at).unwrap() = Value::String("?".into());
        let texts = [without, other]
            .map(|value| config(value).map_or_else(|error| error.to_string(), read));
        writeln!(
            actual,
            "{at}\n  without: {}\n  other: {}",
            texts[0], texts[1]
        )
        .unwrap();
    }
    compare(
        &actual,
        include_str!("../../../../tests/golden/platform_refused.txt"),
    );
}

/// The platform's file without all optional keys.
fn minimal_config() -> PlatformConfig {
    let (mut all, mut minimal) = (Vec::new(), platform());
    pointers(&minimal, "", &mut all);
    for at in all {
        let (mut without, (parent, key)) = (minimal.clone(), at.rsplit_once('/').unwrap());
        if let Some(Value::Object(map)) = without.pointer_mut(parent) {
            map.remove(key);
        }
        if config(without.clone()).is_ok() {
            minimal = without;
        }
    }
    config(minimal).unwrap()
}

#[test]
fn minimal_platform_file_has_the_recorded_defaults() {
    let config = minimal_config();
    let known = &config.known_endpoints;
    assert_eq!(
        (config.seed, config.max_descriptors, config.max_memory_bytes),
        (0, 1024, 192 << 20)
    );
    assert!(config.peers.is_empty() && known.targets.is_empty() && !known.complete);
    assert_eq!(known.revision, 0);
    assert_eq!(
        (
            config.admin_listen,
            config.peer_listen,
            config.peer_broadcast
        ),
        (None, None, None)
    );
}

#[test]
fn minimal_platform_settings_have_the_recorded_defaults() {
    let config = minimal_config();
    let (settings, policy) = (&config.settings, &config.settings.policy);
    assert_eq!(
        (
            settings.idle_connection_timeout_ns,
            settings.connect_timeout_ns,
            settings.drain_notice_ns
        ),
        (10_000_000_000, 500_000_000, 500_000_000)
    );
    assert_eq!(
        (
            policy.machine_type_count,
            policy.weighted_endpoints,
            policy.load_report_fields.len()
        ),
        (0, false, 0)
    );
    assert_eq!(
        (
            policy.gossip_messages_per_second,
            policy.cost_settled_after_response,
            policy.max_request_units
        ),
        (0.0, false, 0.0)
    );
    let (class, plan) = (&policy.classes[0], &policy.plans[0]);
    assert_eq!((class.late_weight_fraction, class.streaming), (0.0, false));
    assert_eq!((plan.weight_multiplier, plan.max_concurrency), (1.0, None));
}
