//! Golden files of the configuration: the output of `check`, and the published schemas.

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

/// Removes the descriptions, whose wording may change.
fn remove_descriptions(value: &mut Value) {
    match value {
        Value::Object(map) => {
            map.retain(|key, value| key != "description" || !value.is_string());
            map.values_mut().for_each(remove_descriptions);
        }
        Value::Array(values) => values.iter_mut().for_each(remove_descriptions),
        _ => {}
    }
}

fn schema(arguments: &[&str]) -> Value {
    let mut schema: Value = serde_json::from_str(&run(arguments, &[])).unwrap();
    remove_descriptions(&mut schema);
    schema
}

#[test]
fn the_published_schemas_are_as_recorded() {
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

/// The golden operator's file has every key of the schema, so that a change of any key's name or value is noticed.
#[test]
fn every_section_and_key_is_in_the_golden_operators_file() {
    let (schema, mut section, mut in_file) = (schema(&["schema"]), String::new(), Vec::new());
    for line in golden::text("operator.ini").lines() {
        if let Some(name) = line.strip_prefix('[') {
            section = name.trim_end_matches(']').to_string();
        }
        in_file.extend(
            line.split_once(" = ")
                .map(|(key, _)| format!("{section}.{key}")),
        );
    }
    let mut in_schema = Vec::new();
    for (section, value) in schema["properties"].as_object().unwrap() {
        let pointer = value["$ref"].as_str().unwrap().trim_start_matches('#');
        let keys = schema.pointer(pointer).unwrap()["properties"]
            .as_object()
            .unwrap()
            .keys();
        in_schema.extend(keys.map(|key| format!("{section}.{key}")));
    }
    in_file.sort();
    in_schema.sort();
    assert_eq!(in_file, in_schema);
}

#[test]
fn check_prints_the_recorded_settings_of_a_file_and_of_variables_that_override_it() {
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
    let mut output = run(&["check", "--operator", operator], &[config]);
    output += &run(&["check"], &variables);
    golden::assert_same(
        "check.txt",
        output.replace(operator, "operator.ini").as_bytes(),
    );
}
