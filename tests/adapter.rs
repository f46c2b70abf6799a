//! The simulator's adapter as a process: its output, and its error messages for malformed input.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"areas":["a"],"classes":[{"deadline_ns":2000000000,"idempotency":"retryable","key_scope":"all",
"name":"r","objective_ns":500000000,"stream":true,"worth":1.0,"new_key":[1]}],"discovery":"subscribe","load_info":{"names":["x"],
"via":"answers"},"me":0,"obligations":{"cold_ns":9,"cold_share":0.2,"fall_ns":9,"overload_factor":3.0},"peers_total":1,
"permissions":{"max_attempts":3,"max_retry_after_ns":0,"may_cancel":true,"peer_messages":false,"retry_after":false,
"second_copies":false},"specifics":{},"tariffs":[{"name":"p"}],"unheard_of":{"of":1},"zone":"a"}"#;

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_applewall-simulator-host"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may stop reading at a malformed line.
    let _ = child
        .stdin
        .take()
        .expect("piped")
        .write_all(lines.join("\n").as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

/// The input lines, with the settings in place of `FACTS`.
fn lines(text: &[&str]) -> Vec<String> {
    text.iter()
        .map(|line| line.replace("FACTS", &SETTINGS.replace('\n', "")))
        .collect()
}

#[test]
fn a_batch_with_a_restart_in_it_is_answered() {
    let out = run(&lines(&[
        r#"["Sync",5,1]"#,
        r#"["Boot",3,7,FACTS]"#,
        r#"["Inventory",0,[["k",1,"s1",null,"a","Ready",0]]]"#,
        r#"["Discovery",3,"disk",1,0]"#,
        r#"["Demand",3,"00000000000000ff",1,"p",900000000,0,1,0,"r","c"]"#,
        r#"["Down",3]"#,
        r#"["Boot",3,8,FACTS]"#,
        r#"["Discovery",3,"disk",1,0]"#,
        r#"["Finished",3,"00000000000000ff",0,"s1","OK",5,true,null,null,null]"#,
        r#"["Alarm",3,"9"]"#,
        r#"["End"]"#,
        "",
    ]));
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(text.contains(r#"["Try",3,"00000000000000ff","#), "{text}");
    assert!(text.contains(r#"["StreamChanges",3,true]"#), "{text}");
    assert!(text.ends_with("[\"Ready\",1]\n"), "{text}");
}

#[test]
fn malformed_lines_end_the_process_with_one_message() {
    let cases = [
        (r#"["Sync",5"#, "not JSON"),
        (r#"{"a":1}"#, "not an array"),
        (r#"["End"]"#, "outside a batch"),
        (r#"["Nonsense",3]"#, "outside a batch"),
    ];
    for (line, reason) in cases {
        assert_fails(&[line], 1, reason);
    }
    let in_batch = [
        (r#"["Nonsense",3]"#, "unknown event 'Nonsense'"),
        (r#"["Alarm",4,"9"]"#, "unknown node 4"),
        (r#"["Alarm",3,9]"#, "'cookie' is not a string"),
        (
            r#"["Alarm",3,"x"]"#,
            "'x' is not the cookie of a timer set by this node",
        ),
        (r#"["Boot","3",7,{}]"#, "'who' is not a whole number"),
        (r#"["Boot",3,7,{}]"#, "settings: missing field"),
        (
            r#"["Demand",3,"ff",1,"p",9,0,1,0,"r","c"]"#,
            "'job' is not 16 hex digits",
        ),
        (
            r#"["Demand",3,"00000000000000ff",1,"p",9,0,1,0,"z","c"]"#,
            "unknown class 'z'",
        ),
        (
            r#"["Discovery",3,"disk",1,9]"#,
            "unknown endpoint list: no Inventory with sheet 9",
        ),
        (
            r#"["Finished",3,"00000000000000ff",0,"s1","WHAT",5,true]"#,
            "unknown status 'WHAT'",
        ),
    ];
    for (line, reason) in in_batch {
        assert_fails(
            &[
                r#"["Sync",5,1]"#,
                r#"["Boot",3,7,FACTS]"#,
                line,
                r#"["End"]"#,
            ],
            3,
            reason,
        );
    }
}

/// Checks that the adapter ends with one line on standard error, which names the line of the input and the reason.
fn assert_fails(input: &[&str], number: usize, reason: &str) {
    let out = run(&lines(input));
    let text = String::from_utf8(out.stderr).unwrap();
    assert!(!out.status.success());
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(
        text.contains(&format!("line {number}: ")) && text.contains(reason),
        "{text} for {input:?}"
    );
}
