//! The command line and the configuration: an error ends the program with one line on standard error.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::process::{Command, Output};

fn run(arguments: &[&str], config: Option<(&str, &str)>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_applewall"));
    command.args(arguments).env_clear();
    if let Some((name, text)) = config {
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
        std::fs::write(&path, text).unwrap();
        command.env("GW_CONFIG", path);
    }
    command.output().unwrap()
}

/// Checks that the program failed, with one line on standard error that contains the reason.
fn assert_fails(out: Output, reason: &str) {
    let text = String::from_utf8(out.stderr).unwrap();
    assert!(
        !out.status.success() && text.lines().count() == 1 && text.contains(reason),
        "{reason}: {text}"
    );
}

/// The configuration of the recorded exchanges, with addresses filled in and one text replaced.
fn config(from: &str, to: &str) -> String {
    let text = include_str!("exchanges/config.json").replace(from, to);
    ["@discovery", "@peer0", "@peer1", "@s1"]
        .iter()
        .fold(text, |text, name| text.replace(name, "127.0.0.1:9"))
}

#[test]
fn version_and_check_print_their_results() {
    let version = run(&["version"], None);
    assert_eq!(
        version.stdout,
        format!("applewall {}\n", env!("CARGO_PKG_VERSION")).into_bytes()
    );
    let check = run(&["check"], Some(("good", &config("", ""))));
    let text = String::from_utf8(check.stdout).unwrap();
    assert!(
        check.status.success() && text.starts_with("n0 on 127.0.0.1:0, datagrams on "),
        "{text}"
    );
}

#[test]
fn unknown_arguments_end_with_one_line() {
    let cases: [(&[&str], &str); 5] = [
        (&[], "usage: "),
        (&["dance"], "unknown sub-command 'dance'"),
        (&["serve", "twice"], "unexpected argument"),
        (&["--loud"], "invalid option '--loud'"),
        (&["serve"], "GW_CONFIG is not set"),
    ];
    for (arguments, reason) in cases {
        assert_fails(run(arguments, None), reason);
    }
}

#[test]
fn an_inherited_descriptor_that_is_no_listening_socket_ends_with_one_line() {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("inherits.json");
    std::fs::write(&path, config("", "")).unwrap();
    let program = env!("CARGO_BIN_EXE_applewall");
    let cases = [
        ("97", "", "descriptor 97 is not a socket"),
        ("7", "7</dev/null", "descriptor 7 is not a socket"),
        ("seven", "", "'seven' is not the number"),
        ("1", "", "'1' is not the number"),
    ];
    for (number, redirection, reason) in cases {
        let mut shell = Command::new("/bin/sh");
        shell.args(["-c", &format!("exec \"$0\" serve {redirection}"), program]);
        assert_fails(
            shell
                .env("GW_CONFIG", &path)
                .env("GW_FD", number)
                .output()
                .unwrap(),
            reason,
        );
    }
}

#[test]
fn an_invalid_configuration_ends_with_one_line() {
    let cases = [
        ("\"settings\"", "\"other\"", "missing field `settings`"),
        ("\"name\": \"n0\"", "\"name\": 0", "expected a string"),
        (
            "8c1f30d27a5be964",
            "xyz",
            "seed: 'xyz' is not a hexadecimal number",
        ),
        (
            "\"sockets\": 1024",
            "\"sockets\": 3",
            "3 descriptors are too few",
        ),
        ("127.0.0.1:0", "nowhere", "invalid socket address"),
        ("retryable", "sometimes", "unknown idempotency 'sometimes'"),
        ("\"name\": \"n0\"", "", "GW_CONFIG: "),
    ];
    for (number, (from, to, reason)) in cases.into_iter().enumerate() {
        assert_fails(
            run(
                &["serve"],
                Some((&format!("bad{number}"), &config(from, to))),
            ),
            reason,
        );
    }
}

#[test]
fn an_address_that_cannot_be_bound_ends_with_one_line() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let text = config(
        "\"listen\": \"127.0.0.1:0\"",
        &format!("\"listen\": \"{address}\""),
    );
    assert_fails(
        run(&["serve"], Some(("taken", &text))),
        &format!("cannot listen on {address}"),
    );
}

#[test]
fn the_shipped_operator_files_are_valid() {
    for (file, enabled) in [
        ("applewall.ini", "nothing on"),
        ("applewall.recommended.ini", "pace, bulkheads on"),
    ] {
        let path = format!("{}/deploy/{file}", env!("CARGO_MANIFEST_DIR"));
        let check = run(
            &["check", "--operator", &path],
            Some((file, &config("", ""))),
        );
        let text = String::from_utf8(check.stdout).unwrap();
        assert!(
            check.status.success() && text.contains(enabled),
            "{file}: {text}"
        );
    }
    let schema = String::from_utf8(run(&["schema"], None).stdout).unwrap();
    let values = String::from_utf8(run(&["schema", "registry"], None).stdout).unwrap();
    assert!(
        values.contains("\"endpoint\"") && values.contains("\"terminating\""),
        "{values}"
    );
    assert!(
        schema.contains("\"bulkheads\"") && schema.contains("\"out_least\""),
        "{schema}"
    );
}

#[test]
fn an_invalid_operator_file_ends_with_one_line_that_names_the_section_and_key() {
    let cases = [
        (
            "[pacing]",
            "[pacing] unknown section; known sections: log, pace, bulkheads, registry, consul, cold_start",
        ),
        ("[pace]\nspeed = 5", "[pace] speed: unknown key; known keys: enabled, tick,"),
        ("[pace]\ntick = 5ms", "[pace] tick: not between 10ms and 1000ms"),
        ("[pace]\nout_least = 5 stone", "[pace] out_least: '5 stone' is not a size such as 64KiB"),
        ("[bulkheads]\nipv4_prefix = 33", "[bulkheads] ipv4_prefix: greater than 32"),
        ("[registry]\nenabled = on", "[registry] enabled: on, but no endpoints are configured"),
        ("[registry]\nendpoints = db:2379", "[registry] endpoints: 'db:2379' is not an address with a port"),
        ("[consul]\nenabled = on", "[consul] enabled: on, but no agent is configured"),
        ("[log]\nformat = xml", "[log] format: unknown variant `xml`"),
    ];
    for (number, (text, reason)) in cases.into_iter().enumerate() {
        let path =
            std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("bad{number}.ini"));
        std::fs::write(&path, text).unwrap();
        let path = path.to_str().unwrap();
        for sub_command in ["serve", "check"] {
            let out = run(
                &[sub_command, "--operator", path],
                Some((&format!("good{number}"), &config("", ""))),
            );
            assert_fails(out, &format!("{path}: {reason}"));
        }
    }
    assert_fails(
        run(&["check", "--operator", "/nowhere.ini"], None),
        "/nowhere.ini: ",
    );
}

#[test]
fn the_log_is_json_when_the_operators_file_sets_it() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let text = config(
        "\"listen\": \"127.0.0.1:0\"",
        &format!("\"listen\": \"{address}\""),
    );
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("json.ini");
    std::fs::write(&path, "[log]\nformat = json\n").unwrap();
    let out = run(
        &["serve", "--operator", path.to_str().unwrap()],
        Some(("json", &text)),
    );
    let line: serde_json::Value = serde_json::from_slice(&out.stderr).unwrap();
    assert_eq!(line["level"], "ERROR");
    assert_eq!(line["message"], "process failed");
    let error = line["error"].as_str().unwrap();
    assert!(
        error.starts_with(&format!("cannot listen on {address}")),
        "{error}"
    );
}
