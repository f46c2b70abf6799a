//! Every key of the platform's file and of the operator's, as it was read and refused (`tests/golden`).

#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use super::*;
use crate::clock::Clock;
use applewall::api::{Class, EndpointState, Idempotency, KeyScope, LoadField, Plan};
use applewall_operator_config as ini;
use std::fmt::Write as _;

const PLATFORM: &str = include_str!("../../../tests/golden/platform.json");
const OPERATOR: &str = include_str!("../../../tests/golden/operator.ini");

fn config(value: Value) -> Result<Config, String> {
    serde_json::from_value::<File>(value)
        .map_err(|e| e.to_string())
        .and_then(Config::try_from)
}

fn platform() -> Value {
    serde_json::from_str(PLATFORM).unwrap()
}

fn addresses(text: &[&str]) -> Vec<SocketAddr> {
    text.iter().map(|a| a.parse().unwrap()).collect()
}

#[test]
fn the_platforms_file_says_what_it_said() {
    let c = config(platform()).unwrap();
    assert_eq!(
        (&*c.name, c.seed, c.sockets, c.memory),
        ("n ü/0", 0x8c1f_30d2_7a5b_e964, 256, 32 << 20)
    );
    let at = [
        Some(c.listen),
        Some(c.discovery),
        c.operator,
        c.peer_listen,
        c.peers_all,
    ]
    .map(Option::unwrap);
    let ports = [8080, 8500, 9090, 7000, 7100].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    assert_eq!(
        (at, c.peers),
        (ports, addresses(&["127.0.0.1:7000", "[::1]:7001"]))
    );
    assert_eq!(
        (c.known.rev, c.known.all, c.known.targets.len()),
        (417, true, 5)
    );
    let known: Vec<_> = c
        .known
        .entries(&c.facts, &Clock::start())
        .into_iter()
        .map(|e| {
            let m = e.endpoint;
            (
                m.id.to_string(),
                e.address.to_string(),
                m.weight,
                m.started_at_ns,
                m.zone,
                m.cell,
                m.machine_type,
                m.state,
            )
        })
        .collect();
    let (none, far) = (u32::MAX - 1, "[2001:db8::1]:80");
    assert_eq!(
        known,
        [
            (
                "s-1".into(),
                "10.0.0.1:80".into(),
                1.5,
                Some(1),
                1,
                7,
                1,
                EndpointState::Ready
            ),
            (
                "s-2".into(),
                far.into(),
                0.0,
                None,
                none,
                -1,
                0,
                EndpointState::Draining
            ),
            (
                "s-3".into(),
                "10.0.0.3:80".into(),
                0.0,
                None,
                none,
                -1,
                0,
                EndpointState::Removed
            ),
        ]
    );
    let (f, s) = (&c.facts, &c.facts.policy);
    assert_eq!(
        (
            f.idle_connection_timeout_ns,
            f.connect_timeout_ns,
            f.drain_notice_ns,
            f.zones()
        ),
        (62, 63, 53, vec!["a".into(), "b".into()])
    );
    assert_eq!(
        (
            s.node,
            s.node_count,
            s.zone,
            s.machine_type_count,
            s.watch_endpoints,
            s.weighted_endpoints
        ),
        (1, 2, 1, 2, true, true)
    );
    assert_eq!(
        s.load_report_fields,
        [
            LoadField::Utilization,
            LoadField::InFlight,
            LoadField::Other
        ]
    );
    assert_eq!(
        (
            s.slow_start_ns,
            s.slow_start_fraction,
            s.overload_window_ns,
            s.overload_multiple
        ),
        (51, 0.5, 52, 2.5)
    );
    assert_eq!(
        (
            s.max_attempts,
            s.max_retry_after_ns,
            s.gossip_messages_per_second,
            s.max_request_units
        ),
        (4, 61, 70.5, 71.5)
    );
    assert_eq!(
        (
            s.gossip_enabled,
            s.hedging_allowed,
            s.cancellation_allowed,
            s.cost_settled_after_response
        ),
        (true, true, true, true)
    );
    let of = |c: &Class| {
        (
            c.latency_objective_ns,
            c.deadline_ns,
            c.priority_weight,
            c.late_weight_fraction,
            c.idempotency,
            c.streaming,
        )
    };
    let keyed = |scope, window| Idempotency::IdempotencyKey {
        scope,
        deduplication_window_ns: window,
    };
    assert_eq!(
        s.classes.iter().map(of).collect::<Vec<_>>(),
        [
            (1, 2, 3.5, 0.25, Idempotency::Idempotent, true),
            (11, 12, 1.0, 0.0, keyed(KeyScope::All, 13), false),
            (21, 22, 2.0, 0.0, keyed(KeyScope::Zone, 0), false),
            (31, 32, 3.0, 0.0, keyed(KeyScope::Cell, 0), false),
            (41, 42, 4.0, 0.0, Idempotency::NonIdempotent, false),
        ]
    );
    let names = ["safe", "all", "zone", "cell", "once", "none"].map(|name| f.class(name));
    assert_eq!(names, [Some(0), Some(1), Some(2), Some(3), Some(4), None]);
    let of = |p: &Plan| {
        let ceiling = [
            p.ceiling_units_per_second,
            p.ceiling_burst_units,
            p.ceiling_slack_units,
        ];
        (
            p.max_concurrency,
            [
                p.quota_units_per_second,
                p.quota_burst_units,
                p.weight_multiplier,
                p.over_quota_weight_fraction,
                p.over_quota_penalty_fraction,
            ],
            ceiling,
        )
    };
    let full = (3, [1.5, 2.5, 4.5, 5.5, 6.5], [7.5, 8.5, 9.5]);
    assert_eq!(
        s.plans.iter().map(of).collect::<Vec<_>>(),
        [full, (0, [0.0, 0.0, 1.0, 0.0, 0.0], [0.0; 3])]
    );
    assert_eq!(
        ["full", "bare", "none"].map(|name| f.plan(name)),
        [Some(0), Some(1), None]
    );
}

/// All values in it by their JSON pointers.
fn pointers(value: &Value, at: &str, all: &mut Vec<String>) {
    let inner: Vec<(String, &Value)> = match value {
        Value::Object(map) => map.iter().map(|(key, v)| (key.clone(), v)).collect(),
        Value::Array(row) => row
            .iter()
            .enumerate()
            .map(|(i, v)| (i.to_string(), v))
            .collect(),
        _ => vec![],
    };
    for (key, value) in inner {
        let at = format!("{at}/{key}");
        pointers(value, &at, all);
        all.push(at);
    }
}

/// Each key left out, and each value replaced by one of another kind: what is said then, or that it will do.
#[test]
fn the_platforms_file_is_refused_in_the_same_words() {
    let (mut all, mut now, clock) = (Vec::new(), String::new(), Clock::start());
    let read = |c: Config| {
        format!(
            "will do, {} instances read",
            c.known.entries(&c.facts, &clock).len()
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
        let said = [without, other].map(|value| config(value).map_or_else(|e| e, read));
        writeln!(now, "{at}\n  without: {}\n  other: {}", said[0], said[1]).unwrap();
    }
    compare(
        &now,
        include_str!("../../../tests/golden/platform_refused.txt"),
    );
}

/// All that may be left out is: what is taken for it.
#[test]
fn the_least_file_of_the_platform_has_the_same_defaults() {
    let (mut all, mut least) = (Vec::new(), platform());
    pointers(&least, "", &mut all);
    for at in all {
        let (mut without, (parent, key)) = (least.clone(), at.rsplit_once('/').unwrap());
        if let Some(Value::Object(map)) = without.pointer_mut(parent) {
            map.remove(key);
        }
        least = if config(without.clone()).is_ok() {
            without
        } else {
            least
        };
    }
    let c = config(least).unwrap();
    assert_eq!(
        (c.seed, c.sockets, c.memory, c.known.rev),
        (0, 1024, 192 << 20, 0)
    );
    assert!(c.peers.is_empty() && c.known.targets.is_empty() && !c.known.all);
    assert_eq!((c.operator, c.peer_listen, c.peers_all), (None, None, None));
    let (f, s) = (&c.facts, &c.facts.policy);
    assert_eq!(
        (
            f.idle_connection_timeout_ns,
            f.connect_timeout_ns,
            f.drain_notice_ns
        ),
        (10_000_000_000, 500_000_000, 500_000_000)
    );
    assert_eq!(
        (
            s.machine_type_count,
            s.weighted_endpoints,
            s.load_report_fields.len()
        ),
        (0, false, 0)
    );
    assert_eq!(
        (
            s.gossip_messages_per_second,
            s.cost_settled_after_response,
            s.max_request_units
        ),
        (0.0, false, 0.0)
    );
    let (class, plan) = (&s.classes[0], &s.plans[0]);
    assert_eq!(
        (
            class.late_weight_fraction,
            class.streaming,
            plan.weight_multiplier,
            plan.max_concurrency
        ),
        (0.0, false, 1.0, 0)
    );
}

/// Fails at the first line that differs.
fn compare(now: &str, committed: &str) {
    now.lines()
        .zip(committed.lines())
        .for_each(|(now, committed)| assert_eq!(now, committed));
    assert!(
        now == committed,
        "{} lines for {}",
        now.lines().count(),
        committed.lines().count()
    );
}

/// Every key of the operator's file, and what it is read as.
fn keys(o: &Operator) -> Vec<(&'static str, String)> {
    fn text(value: impl std::fmt::Debug) -> String {
        format!("{value:?}")
    }
    let nets = |n: &ini::Networks| text(n.0.iter().map(ToString::to_string).collect::<Vec<_>>());
    let (p, b, r, c, t, z) = (
        &o.pace,
        &o.bulkheads,
        &o.registry,
        &o.consul,
        &o.cold_start,
        &o.zones,
    );
    vec![
        (
            "log.format",
            text(o.log.format == crate::logging::LogFormat::Json),
        ),
        ("pace.enabled", text(p.enabled.0)),
        ("pace.tick", text(p.tick.0)),
        ("pace.window", text(p.window.0)),
        ("pace.grace", text(p.grace.0)),
        ("pace.room_grace", text(p.room_grace.0)),
        ("pace.out_least", text(p.out_least.0)),
        ("pace.out_least_full", text(p.out_least_full.0)),
        ("pace.pressure_from", text(p.pressure_from)),
        ("pace.waiting", text(p.waiting.map(|size| size.0))),
        ("pace.send_buffer", text(p.send_buffer.0)),
        ("pace.not_sent", text(p.not_sent.0)),
        ("pace.upload_time", text(p.upload_time.0)),
        ("pace.pause", text(p.pause.0)),
        ("pace.forecast_after", text(p.forecast_after.0)),
        ("pace.forecast_slack", text(p.forecast_slack)),
        ("pace.retry_room", text(p.retry_room.0)),
        ("bulkheads.enabled", text(b.enabled.0)),
        ("bulkheads.customer_places", text(b.customer_places)),
        ("bulkheads.customer_waiting", text(b.customer_waiting)),
        ("bulkheads.peer_places", text(b.peer_places)),
        ("bulkheads.peer_waiting", text(b.peer_waiting)),
        ("bulkheads.distrust", text(b.distrust.0)),
        ("bulkheads.ipv4_prefix", text(b.ipv4_prefix)),
        ("bulkheads.ipv6_prefix", text(b.ipv6_prefix)),
        ("bulkheads.exempt", nets(&b.exempt)),
        ("registry.enabled", text(r.enabled.0)),
        ("registry.endpoints", text(&r.endpoints.0)),
        ("registry.prefix", text(&r.prefix)),
        ("registry.token_file", text(&r.token_file)),
        ("registry.allowed", nets(&r.allowed)),
        ("registry.probe", text(r.probe.0)),
        ("registry.patience", text(r.patience.0)),
        ("registry.backoff", text(r.backoff.0)),
        ("registry.spread", text(r.spread.0)),
        ("registry.believed", text(r.believed.0)),
        ("registry.snapshot", text(&r.snapshot)),
        ("registry.snapshot_age", text(r.snapshot_age.0)),
        ("consul.enabled", text(c.enabled.0)),
        ("consul.agent", text(c.agent)),
        ("consul.prefix", text(&c.prefix)),
        ("consul.token_file", text(&c.token_file)),
        ("consul.allowed", nets(&c.allowed)),
        ("consul.wait", text(c.wait.0)),
        ("consul.patience", text(c.patience.0)),
        ("consul.backoff", text(c.backoff.0)),
        ("cold_start.enabled", text(t.enabled.0)),
        ("cold_start.calls_per_s", text(t.calls_per_s)),
        ("cold_start.ask_peers", text(t.ask_peers)),
        ("zones.enabled", text(z.enabled.0)),
        ("zones.leave_at", text(z.leave_at)),
        ("zones.most_out", text(z.most_out)),
        ("zones.canaries_per_s", text(z.canaries_per_s)),
        ("zones.return_per_s", text(z.return_per_s)),
    ]
}

/// Each key as it is without a file, in the two that are shipped, and in the one that sets them all.
#[test]
fn the_operators_file_says_what_it_said() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/");
    let files = [
        "deploy/applewall.ini",
        "deploy/applewall.recommended.ini",
        "tests/golden/operator.ini",
    ];
    let read = files.map(|file| keys(&Operator::read(Some(&format!("{folder}{file}"))).unwrap()));
    let mut now = String::new();
    for (i, (key, value)) in keys(&Operator::read(None).unwrap()).into_iter().enumerate() {
        let [off, recommended, full] = read.each_ref().map(|keys| &keys[i].1);
        assert_ne!(
            &value, full,
            "{key} has its default in the file that is to set it"
        );
        writeln!(now, "{key}: {value} | {off} | {recommended} | {full}").unwrap();
    }
    compare(
        &now,
        include_str!("../../../tests/golden/operator_read.txt"),
    );
}

/// Each key with values of all kinds: what is said then, or that it will do. And what is wrong with the file itself.
#[test]
fn the_operators_file_is_refused_in_the_same_words() {
    let (mut now, mut section) = (String::new(), "");
    let mut said = |text: &str| {
        let read =
            ini::read::<Operator>(text).map_or_else(|e| e.to_string(), |_| "will do".to_string());
        writeln!(now, "{} => {read}", text.replace('\n', " ")).unwrap();
    };
    let torn = [
        "x = 1",
        "[pace\nenabled = on",
        "[pace]\nenabled",
        "[nosuch]",
        "[nosuch]\nx = 1",
        "[log]\n[log]",
        "[Pace]",
        "[pace]\ntick = 20ms\ntick = 20ms",
    ];
    torn.into_iter().for_each(&mut said);
    for line in OPERATOR.lines() {
        if line.starts_with('[') {
            section = line;
            said(&format!("{section}\nnosuch = 1"));
        }
        let Some((key, _)) = line.split_once(" = ") else {
            continue;
        };
        for value in ["?", "0", "-1", "1e9", "25h", "1GiB", "10.0.0.1"] {
            said(&format!("{section}\n{key} = {value}"));
        }
    }
    compare(
        &now,
        include_str!("../../../tests/golden/operator_refused.txt"),
    );
}
