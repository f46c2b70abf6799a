//! Compares how every key of the operator's file is read and rejected with recorded results (`tests/golden`).

use super::*;
use std::fmt::Write as _;

const OPERATOR: &str = include_str!("../../../../tests/golden/operator.ini");

/// A key of the file, and the value that it is read as.
type Key = (&'static str, String);

fn text(value: impl std::fmt::Debug) -> String {
    format!("{value:?}")
}

fn networks(networks: &operator_config::Networks) -> String {
    text(
        networks
            .0
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>(),
    )
}

fn pace_keys(section: &slow_peer::Settings) -> Vec<Key> {
    vec![
        ("pace.enabled", text(section.enabled.0)),
        ("pace.tick", text(section.tick.0)),
        ("pace.window", text(section.window.0)),
        ("pace.grace", text(section.grace.0)),
        ("pace.room_grace", text(section.room_grace.0)),
        (
            "pace.out_least",
            text(section.min_outgoing_bytes_per_second.0),
        ),
        (
            "pace.out_least_full",
            text(section.min_outgoing_bytes_per_second_at_full_pressure.0),
        ),
        ("pace.pressure_from", text(section.pressure_from)),
        ("pace.waiting", text(section.waiting.map(|size| size.0))),
        ("pace.send_buffer", text(section.send_buffer.0)),
        ("pace.not_sent", text(section.not_sent.0)),
        ("pace.upload_time", text(section.upload_time.0)),
        ("pace.pause", text(section.pause.0)),
        ("pace.forecast_after", text(section.forecast_after.0)),
        ("pace.forecast_slack", text(section.forecast_slack)),
        ("pace.retry_room", text(section.retry_room.0)),
    ]
}

fn bulkheads_keys(section: &slow_peer::BulkheadSettings) -> Vec<Key> {
    vec![
        ("bulkheads.enabled", text(section.enabled.0)),
        ("bulkheads.customer_places", text(section.customer_places)),
        ("bulkheads.customer_waiting", text(section.customer_waiting)),
        ("bulkheads.peer_places", text(section.peer_places)),
        ("bulkheads.peer_waiting", text(section.peer_waiting)),
        ("bulkheads.distrust", text(section.distrust.0)),
        ("bulkheads.ipv4_prefix", text(section.ipv4_prefix)),
        ("bulkheads.ipv6_prefix", text(section.ipv6_prefix)),
        ("bulkheads.exempt", networks(&section.exempt)),
    ]
}

fn registry_keys(section: &etcd::Settings) -> Vec<Key> {
    vec![
        ("registry.enabled", text(section.enabled.0)),
        ("registry.endpoints", text(&section.endpoints.0)),
        ("registry.prefix", text(&section.prefix)),
        ("registry.token_file", text(&section.token_file)),
        ("registry.allowed", networks(&section.allowed)),
        ("registry.probe", text(section.probe.0)),
        ("registry.patience", text(section.patience.0)),
        ("registry.backoff", text(section.backoff.0)),
        ("registry.spread", text(section.spread.0)),
        ("registry.believed", text(section.believed.0)),
        ("registry.snapshot", text(&section.snapshot)),
        ("registry.snapshot_age", text(section.snapshot_age.0)),
    ]
}

fn consul_keys(section: &consul::Settings) -> Vec<Key> {
    vec![
        ("consul.enabled", text(section.enabled.0)),
        ("consul.agent", text(section.agent)),
        ("consul.prefix", text(&section.prefix)),
        ("consul.token_file", text(&section.token_file)),
        ("consul.allowed", networks(&section.allowed)),
        ("consul.wait", text(section.wait.0)),
        ("consul.patience", text(section.patience.0)),
        ("consul.backoff", text(section.backoff.0)),
    ]
}

fn cold_start_keys(section: &startup_scheduler::Settings) -> Vec<Key> {
    vec![
        ("cold_start.enabled", text(section.enabled.0)),
        ("cold_start.calls_per_s", text(section.calls_per_s)),
        ("cold_start.ask_peers", text(section.ask_peers)),
    ]
}

fn zones_keys(section: &zone_failover::Settings) -> Vec<Key> {
    vec![
        ("zones.enabled", text(section.enabled.0)),
        ("zones.leave_at", text(section.leave_at)),
        ("zones.most_out", text(section.most_out)),
        ("zones.canaries_per_s", text(section.canaries_per_s)),
        ("zones.return_per_s", text(section.return_per_s)),
    ]
}

/// Every key of the operator's file, with the value that it is read as.
fn keys(config: &OperatorConfig) -> Vec<Key> {
    let json = config.log.format == crate::observability::logging::LogFormat::Json;
    [
        vec![("log.format", text(json))],
        pace_keys(&config.pace),
        bulkheads_keys(&config.bulkheads),
        registry_keys(&config.registry),
        consul_keys(&config.consul),
        cold_start_keys(&config.cold_start),
        zones_keys(&config.zones),
    ]
    .concat()
}

/// Reads each key without a file, from both shipped files, and from a file that sets all keys.
#[test]
fn operator_file_is_read_as_recorded() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/");
    let files = [
        "deploy/applewall.ini",
        "deploy/applewall.recommended.ini",
        "tests/golden/operator.ini",
    ];
    let read =
        files.map(|file| keys(&OperatorConfig::read(Some(&format!("{directory}{file}"))).unwrap()));
    let mut actual = String::new();
    for (i, (key, value)) in keys(&OperatorConfig::read(None).unwrap())
        .into_iter()
        .enumerate()
    {
        let [off, recommended, full] = read.each_ref().map(|keys| &keys[i].1);
        assert_ne!(
            &value, full,
            "{key} has its default value in the file that should change it"
        );
        writeln!(actual, "{key}: {value} | {off} | {recommended} | {full}").unwrap();
    }
    crate::config::golden::compare(
        &actual,
        include_str!("../../../../tests/golden/operator_read.txt"),
    );
}

/// Reads malformed files, and each key with values of all kinds. Records the error, or `will do` if the value is accepted.
#[test]
fn operator_file_is_rejected_with_the_recorded_errors() {
    let (mut actual, mut section) = (String::new(), "");
    let mut record = |text: &str| {
        let read = operator_config::read::<OperatorConfig>(text)
            .map_or_else(|error| error.to_string(), |_| "will do".to_string());
        writeln!(actual, "{} => {read}", text.replace('\n', " ")).unwrap();
    };
    let malformed_files = [
        "x = 1",
        "[pace\nenabled = on",
        "[pace]\nenabled",
        "[nosuch]",
        "[nosuch]\nx = 1",
        "[log]\n[log]",
        "[Pace]",
        "[pace]\ntick = 20ms\ntick = 20ms",
    ];
    malformed_files.into_iter().for_each(&mut record);
    for line in OPERATOR.lines() {
        if line.starts_with('[') {
            section = line;
            record(&format!("{section}\nnosuch = 1"));
        }
        let Some((key, _)) = line.split_once(" = ") else {
            continue;
        };
        for value in ["?", "0", "-1", "1e9", "25h", "1GiB", "10.0.0.1"] {
            record(&format!("{section}\n{key} = {value}"));
        }
    }
    crate::config::golden::compare(
        &actual,
        include_str!("../../../../tests/golden/operator_refused.txt"),
    );
}
