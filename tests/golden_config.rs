//! The configuration as the program shows it: what `check` says, and the published schemas.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod golden;

use std::process::Command;

use serde_json::Value;

fn run(arguments: &[&str], variables: &[(&str, &str)]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_applewall"));
    let out = command
        .args(arguments)
        .env_clear()
        .envs(variables.iter().copied())
        .output()
        .unwrap();
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    String::from_utf8(out.stdout).unwrap()
}

/// Descriptions are for people: all else is for programs.
fn without_descriptions(value: &mut Value) {
    match value {
        Value::Object(map) => {
            map.retain(|key, value| key != "description" || !value.is_string());
            map.values_mut().for_each(without_descriptions);
        }
        Value::Array(row) => row.iter_mut().for_each(without_descriptions),
        _ => {}
    }
}

fn schema(arguments: &[&str]) -> Value {
    let mut schema: Value = serde_json::from_str(&run(arguments, &[])).unwrap();
    without_descriptions(&mut schema);
    schema
}

#[test]
fn the_published_schemas_are_as_they_were() {
    assert_eq!(run(&["schema"], &[]), run(&["schema", "operator"], &[]));
    for (file, arguments) in [
        ("schema_operator.json", &["schema"][..]),
        ("schema_registry.json", &["schema", "registry"]),
    ] {
        golden::assert_same(
            file,
            (serde_json::to_string_pretty(&schema(arguments)).unwrap() + "\n").as_bytes(),
        );
    }
}

/// The committed file of an operator leaves out nothing that the schema names, so that each key is held by it.
#[test]
fn every_section_and_key_is_in_the_committed_file() {
    let (schema, mut section, mut held) = (schema(&["schema"]), String::new(), Vec::new());
    for line in golden::text("operator.ini").lines() {
        if let Some(name) = line.strip_prefix('[') {
            section = name.trim_end_matches(']').to_string();
        }
        held.extend(
            line.split_once(" = ")
                .map(|(key, _)| format!("{section}.{key}")),
        );
    }
    let mut named = Vec::new();
    for (section, value) in schema["properties"].as_object().unwrap() {
        let at = value["$ref"].as_str().unwrap().trim_start_matches('#');
        let keys = schema.pointer(at).unwrap()["properties"]
            .as_object()
            .unwrap()
            .keys();
        named.extend(keys.map(|key| format!("{section}.{key}")));
    }
    held.sort();
    named.sort();
    assert_eq!(held, named);
}

#[test]
fn check_says_what_it_said_of_a_file_and_of_the_variables_before_it() {
    let (platform, operator) = (golden::path("platform.json"), golden::path("operator.ini"));
    let (platform, operator) = (platform.to_str().unwrap(), operator.to_str().unwrap());
    let config = ("GW_CONFIG", platform);
    let variables = [
        config,
        ("GW_NAME", "n9"),
        ("GW_LISTEN", "127.0.0.1:1"),
        ("GW_DISCOVERY", "127.0.0.1:2"),
        ("GW_OPERATOR", "127.0.0.1:3"),
    ];
    let mut now = run(&["check", "--operator", operator], &[config]);
    now += &run(&["check"], &variables);
    golden::assert_same(
        "check.txt",
        now.replace(operator, "operator.ini").as_bytes(),
    );
}
