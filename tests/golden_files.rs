//! Golden files on disk, and admin commands and responses, as version 0.2.0 wrote them.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod golden;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;

use applewall_admin::{state_file, AdminCommand, AdminResponse, MaintenanceSet};
use applewall_fakes::daemon::{Daemon, DaemonLauncher, DaemonSettings, InheritedResources};
use applewall_fakes::discovery::target;
use applewall_fakes::wait::{wait_until, TEST_TIMEOUT};
use applewall_membership::snapshot::{Snapshot, SnapshotLimits};
use applewall_membership::{MemberRecord, MemberState};

fn maintenance_set(ids: &[&str]) -> MaintenanceSet {
    let mut maintenance_set = MaintenanceSet::default();
    ids.iter()
        .for_each(|id| assert_eq!(maintenance_set.disable(id, true), Ok(true)));
    maintenance_set
}

#[test]
fn the_state_file_is_decoded_and_encoded_again_to_the_same_bytes() {
    for (file, ids) in [
        ("state.json", &["s-2", "s \"ü\" 1"][..]),
        ("state_empty.json", &[]),
    ] {
        golden::assert_same(file, state_file::encode(&maintenance_set(ids)).as_bytes());
        assert_eq!(
            state_file::decode(&golden::text(file)).unwrap(),
            maintenance_set(ids)
        );
    }
    // Unknown keys are ignored; an older version is read, a newer one is refused.
    for text in [
        r#"{"applewall_state":1,"more":[1],"withheld":["a"]}"#,
        r#"{"withheld":["a"],"applewall_state":0}"#,
    ] {
        assert_eq!(state_file::decode(text).unwrap(), maintenance_set(&["a"]));
    }
    let complete = golden::text("state.json");
    let refused = [
        (
            &complete[..complete.len() - 1],
            "state file is truncated or malformed: EOF while parsing an object at line 1 column 52",
        ),
        (
            "",
            "state file is truncated or malformed: EOF while parsing a value at line 1 column 0",
        ),
        (
            r#"{"withheld":[]}"#,
            "file was not written by this program: 'applewall_state' is missing",
        ),
        (
            r#"{"applewall_state":2,"withheld":[]}"#,
            "state file has version 2, this program reads versions up to 1",
        ),
        (
            r#"{"applewall_state":1}"#,
            "state file is truncated or malformed: missing field `withheld`",
        ),
        (
            r#"{"applewall_state":1,"withheld":7}"#,
            "state file is truncated or malformed: invalid type: integer `7`, expected a sequence",
        ),
    ];
    refused.iter().for_each(|(text, error)| {
        assert_eq!(
            state_file::decode(text).unwrap_err().to_string(),
            *error,
            "{text}"
        );
    });
}

fn member(
    endpoint: &str,
    az: &str,
    pod_group: i64,
    state: MemberState,
    capacity_hint: f64,
    boot_ms: u64,
) -> MemberRecord {
    MemberRecord {
        endpoint: endpoint.parse().unwrap(),
        az: az.into(),
        pod_group,
        state,
        capacity_hint,
        boot_ms,
    }
}

fn snapshot(members: &[(&str, MemberRecord)]) -> Snapshot {
    let members = members
        .iter()
        .map(|(id, member)| (id.to_string(), member.clone()))
        .collect();
    Snapshot {
        cluster: 0xfeed_0000_0000_0001,
        revision: 417,
        at_ms: 1_700_000_000_123,
        members,
    }
}

const LIMITS: SnapshotLimits = SnapshotLimits {
    now_ms: 1_700_000_060_000,
    max_age_ms: 3_600_000,
    cluster: None,
};

/// The error with which a snapshot is refused.
fn refusal(bytes: &[u8], limits: &SnapshotLimits) -> String {
    Snapshot::decode(bytes, limits).unwrap_err().to_string()
}

#[test]
fn a_membership_snapshot_is_read_and_written_again_to_the_same_bytes() {
    let full = [
        (
            "s \"ü\" 1",
            member(
                "10.1.0.18:8443",
                "zone ü",
                1_000_000,
                MemberState::InService,
                1.5,
                1_699_999_999_999,
            ),
        ),
        (
            "s-2",
            member("[2001:db8::1]:80", "", -1, MemberState::Terminating, 0.0, 0),
        ),
        (
            "s-3",
            member(
                "[::ffff:10.0.0.1]:1",
                "b",
                0,
                MemberState::InService,
                1e6,
                u64::MAX,
            ),
        ),
    ];
    let minimal = [(
        "s-1",
        member("10.0.0.1:80", "", -1, MemberState::InService, 0.0, 0),
    )];
    for (file, members) in [
        ("roster.snapshot", &full[..]),
        ("roster_empty.snapshot", &[]),
    ] {
        golden::assert_same(file, &snapshot(members).encode());
        assert_eq!(
            Snapshot::decode(&golden::bytes(file), &LIMITS),
            Ok(snapshot(members))
        );
    }
    // All fields of a member but its address are optional.
    assert_eq!(
        Snapshot::decode(&golden::bytes("roster_bare.snapshot"), &LIMITS),
        Ok(snapshot(&minimal))
    );
}

#[test]
fn an_incomplete_membership_snapshot_or_one_of_another_version_is_refused() {
    let bytes = golden::bytes("roster.snapshot");
    let head = |head: &str| [head.as_bytes(), &bytes[18..]].concat();
    let mut flipped = bytes.clone();
    flipped[100] ^= 1;
    let incomplete =
        "snapshot is truncated or corrupted: its length or checksum does not match its header";
    for (bytes, error) in [
        (&bytes[..bytes.len() - 1], incomplete),
        (&flipped, incomplete),
        (
            &bytes[..12],
            "not a membership snapshot: header line has no `applewall-roster` with a version",
        ),
        (
            &head("applewall-rosters "),
            "not a membership snapshot: header line has no `applewall-roster` with a version",
        ),
        (
            &head("applewall-roster 2"),
            "snapshot has version 2, this program reads version 1",
        ),
        (
            &head("applewall-roster 0"),
            "snapshot has version 0, this program reads version 1",
        ),
    ] {
        assert_eq!(refusal(bytes, &LIMITS), error);
    }
}

#[test]
fn a_membership_snapshot_of_another_time_or_cluster_is_refused() {
    let bytes = golden::bytes("roster.snapshot");
    let at = |now_ms, cluster| {
        let limits = SnapshotLimits {
            now_ms,
            cluster,
            ..LIMITS
        };
        refusal(&bytes, &limits)
    };
    assert_eq!(
        at(1_700_010_000_000, None),
        "snapshot is 9999 s old, the maximum is 3600 s"
    );
    assert_eq!(
        at(1_699_999_000_000, None),
        "snapshot is 1000 s in the future"
    );
    assert_eq!(
        at(LIMITS.now_ms, Some(8)),
        "snapshot is from cluster feed000000000001, expected 8"
    );
}

/// The golden file has a registry's value on each line, and below it the parsed record or the error.
#[test]
fn registry_values_are_parsed_as_recorded() {
    let mut parsed = String::new();
    let recorded = golden::text("registry_values.txt");
    for value in recorded.lines().filter(|line| !line.starts_with("  ")) {
        let allowed = serde_json::from_str(r#""10.0.0.0/8, 2001:db8::/32""#).unwrap();
        parsed += &match MemberRecord::parse(value.as_bytes(), &allowed) {
            Ok(record) => format!("{value}\n  {}\n", serde_json::to_string(&record).unwrap()),
            Err(error) => format!("{value}\n  refused: {error}\n"),
        };
    }
    golden::assert_same("registry_values.txt", parsed.as_bytes());
}

#[test]
fn admin_commands_are_parsed_and_responses_written_as_recorded() {
    let id = || "s-1".to_string();
    let commands = [
        ("READY", AdminCommand::Ready),
        ("\tDISABLE  s-1 ", AdminCommand::Disable(id())),
        ("ENABLE s-1", AdminCommand::Enable(id())),
        ("DRAIN", AdminCommand::Drain),
        ("UNDRAIN", AdminCommand::Undrain),
    ];
    commands
        .into_iter()
        .for_each(|(line, command)| assert_eq!(line.parse(), Ok(command), "{line}"));
    let responses = [
        AdminResponse::Done(String::new()),
        AdminResponse::Done("serving".into()),
        AdminResponse::Error("no".into()),
    ];
    assert_eq!(
        responses.map(|response| response.to_string()),
        ["done", "done serving", "error no"]
    );
}

/// Starts the daemon with an inherited listener, so that it writes its state to `folder`.
fn start_daemon(folder: &Path) -> Daemon {
    let unused = SocketAddr::from(([127, 0, 0, 1], 9));
    let settings = DaemonSettings {
        max_descriptors: 1024,
        memory_mb: 192,
        operator_file: None,
        discovery: unused,
        known_targets: vec![target("s-1", unused, "in_service")],
        quota_per_second: 2.0,
    };
    let inherited = InheritedResources {
        listener: TcpListener::bind("127.0.0.1:0").unwrap(),
        folder: folder.to_path_buf(),
    };
    let program = Path::new(env!("CARGO_BIN_EXE_applewall"));
    let launcher = DaemonLauncher::new(program, folder, "config", &settings);
    launcher.inheriting(&inherited).start().unwrap()
}

/// Sends bytes to the admin address; returns the response up to the end of the connection.
fn admin_response(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(bytes).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

/// The bytes that a command in `admin.txt` describes.
fn command_bytes(line: &str) -> Vec<u8> {
    let text: String = serde_json::from_str(line).unwrap();
    let text = [504, 505, 600].iter().fold(text, |text, count| {
        text.replace(&format!("@{count}"), &"x".repeat(*count))
    });
    let bytes = |character: char| match character {
        'ÿ' => vec![0xff],
        _ => character.to_string().into_bytes(),
    };
    text.chars().flat_map(bytes).collect()
}

/// `admin.txt` has each command as a JSON string, where `@N` stands for N times an x and ÿ for a byte that is not UTF-8, and
/// the response below it.
#[tokio::test(flavor = "multi_thread")]
async fn admin_commands_get_the_recorded_responses_and_write_the_recorded_state_file() {
    let folder = tempfile::tempdir().unwrap();
    let state_file = folder.path().join("applewall-n0.state");
    std::fs::write(&state_file, golden::bytes("state.json")).unwrap();
    let daemon = start_daemon(folder.path());
    let address = daemon.admin_address.unwrap();
    wait_until("the daemon is ready", || {
        admin_response(address, b"READY\n") == "done serving\n"
    })
    .await;
    let mut responses = String::new();
    let recorded = golden::text("admin.txt");
    for line in recorded.lines().filter(|line| line.starts_with('"')) {
        let response = admin_response(address, &command_bytes(line));
        let response = response.replace(&"x".repeat(504), "@504");
        let response = serde_json::to_string(&response).unwrap();
        responses += &format!("{line}\n  {response}\n");
    }
    golden::assert_same("admin.txt", responses.as_bytes());
    let mut names: Vec<_> = std::fs::read_dir(folder.path())
        .unwrap()
        .map(|entry| entry.unwrap().file_name())
        .collect();
    names.sort();
    assert_eq!(
        names,
        ["applewall-n0.sock", "applewall-n0.state", "config.json"]
    );
    golden::assert_same("state_after.json", &std::fs::read(state_file).unwrap());
}
