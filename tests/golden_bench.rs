//! The bench's lines: each kind read to what it means, each action written as it was, and a whole play of both.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]
#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod golden;

use std::io::Write;
use std::process::{Command, Stdio};
use std::sync::Arc;

use applewall::api::*;
use applewall::platform_settings::PlatformSettings;
use applewall::simulator::{self, InputLine, NodeEvent, ProtocolError, SimulatorRequest};
use serde_json::{json, Value};

/// The settings of the platform's committed file with times and rates that let a play go on, in one line.
fn facts() -> String {
    let platform: Value = serde_json::from_str(&golden::text("platform.json")).unwrap();
    let mut settings = platform["settings"].clone();
    for class in settings["classes"].as_array_mut().unwrap() {
        (class["objective_ns"], class["deadline_ns"]) = (500_000_000.into(), 2_000_000_000.into());
    }
    for (at, value) in [
        ("tariffs/0/refill", 4),
        ("tariffs/0/peak_units", 8),
        ("tariffs/0/never_over_depth", 60),
    ] {
        *settings.pointer_mut(&format!("/{at}")).unwrap() = value.into();
    }
    for at in [
        "obligations/cold_ns",
        "obligations/fall_ns",
        "permissions/max_retry_after_ns",
    ] {
        *settings.pointer_mut(&format!("/{at}")).unwrap() = 3_000_000_000u64.into();
    }
    settings.to_string()
}

fn lines() -> Vec<String> {
    golden::text("bench_in.jsonl")
        .lines()
        .map(|line| line.replace("FACTS", &facts()))
        .collect()
}

type Stage = (Box<PlatformSettings>, [Arc<[Value]>; 2]);

/// The settings with what only bench lines are read by: one instance's, and its numbered lists.
fn stage() -> Stage {
    let mut all = lines()
        .into_iter()
        .map(|line| simulator::parse_line(&line).unwrap());
    let boots = all.by_ref().filter_map(|line| match line {
        InputLine::NodeStart {
            settings: facts, ..
        } => Some(facts),
        _ => None,
    });
    let facts = boots.take(2).last().unwrap();
    let sheets = all.filter_map(|line| match line {
        InputLine::EndpointList { entries, .. } => Some(entries.into()),
        _ => None,
    });
    (facts, sheets.collect::<Vec<_>>().try_into().unwrap())
}

/// A line read by position: its event's fields as JSON.
fn read((facts, sheets): &Stage, line: &str) -> Result<Value, ProtocolError> {
    Ok(match simulator::parse_line(line)? {
        InputLine::BatchStart {
            now_ns: now,
            batch: seq,
        } => json!(["now", now, "seq", seq]),
        InputLine::BatchEnd => json!(["end"]),
        InputLine::NodeStart {
            node: who,
            seed,
            settings: facts,
        } => {
            json!(["who", who, "seed", seed, "me", facts.policy.node.0])
        }
        InputLine::NodeStop { node: who } => json!(["who", who]),
        InputLine::EndpointList {
            list: sheet,
            entries,
        } => {
            json!([
                "sheet",
                sheet,
                "members",
                list(&simulator::parse_endpoints(facts, &entries)?)
            ])
        }
        InputLine::Event { node: who, fields } => {
            let sheet = |n: u64| sheets.get(n as usize).cloned();
            json!([who, event(simulator::parse_event(facts, &fields, sheet)?)])
        }
    })
}

fn list(members: &[Endpoint]) -> Value {
    let state = |state| match state {
        EndpointState::Ready => "ready",
        EndpointState::Draining => "draining",
        EndpointState::Removed => "gone",
    };
    members
        .iter()
        .map(|m| {
            json!([
                &*m.id,
                m.weight,
                m.started_at_ns,
                m.zone.0,
                m.cell.0,
                m.machine_type.0,
                state(m.state)
            ])
        })
        .collect()
}

fn event(event: NodeEvent) -> Value {
    let kind = |kind| match kind {
        EndpointUpdateKind::Cached => "cached",
        EndpointUpdateKind::Snapshot => "full",
        EndpointUpdateKind::Delta => "delta",
        EndpointUpdateKind::Failed => "failed",
    };
    let outcome = |outcome| match outcome {
        Outcome::Success => "ok",
        Outcome::Failure => "error",
        Outcome::Overloaded => "full",
        Outcome::TimedOut => "timed out",
        Outcome::ConnectFailed => "no connection",
        Outcome::ConnectionReset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not sent",
        Outcome::NotSentRetryable => "not sent, retryable",
    };
    let event = match event {
        NodeEvent::Policy(event) => event,
        NodeEvent::HealthChecked {
            endpoint: backend,
            healthy: ok,
            load_report: load,
        } => return json!(["probed", &*backend, ok, load]),
        NodeEvent::CounterRead { name, total } => return json!(["counted", name, total]),
    };
    match event {
        Event::EndpointUpdate(how, members) => json!(["members", kind(how), list(&members)]),
        Event::Request(r) => json!([
            "request",
            r.id.0,
            "class",
            r.class.0,
            "plan",
            r.plan.0,
            "customer",
            &*r.customer,
            "units",
            r.units,
            "left",
            r.time_left_ns,
            "repeat",
            r.is_retry,
            "spread",
            r.nodes.size,
            "first",
            r.nodes.first.0
        ]),
        Event::ResponseStarted { request, attempt } => json!(["started", request.0, attempt]),
        Event::AttemptFinished(f) => json!([
            "finished",
            f.request.0,
            f.attempt,
            &*f.endpoint,
            outcome(f.outcome),
            "latency",
            f.latency_ns,
            "closed",
            f.request_complete,
            "cost",
            f.settled_units.unwrap_or(0.0),
            "load",
            f.load_report
        ]),
        Event::ClientDisconnected(request) => json!(["left", request.0]),
        Event::TimerExpired(token) => json!(["timer", token]),
        Event::PeerMessage { from, text } => json!(["peer", from.0, text]),
        Event::ReturnedToService(_) | Event::ZoneTrafficShares(_) => panic!("no line says that"),
    }
}

/// Each line, what it is read as, and what is said where one of its places holds nothing or something else.
#[test]
fn each_kind_of_line_is_read_and_refused_as_it_was() {
    let mut now = String::new();
    let (mut seen, stage) = (Vec::new(), stage());
    for (line, plain) in lines().iter().zip(golden::text("bench_in.jsonl").lines()) {
        let row: Vec<Value> = serde_json::from_str(line).unwrap();
        now += &format!("{plain}\n  {}\n", read(&stage, line).unwrap());
        // Refused once for each kind.
        if seen.contains(&row[0]) {
            continue;
        }
        for place in 0..row.len() {
            for other in [Value::Null, json!({}), json!(-1.5)] {
                let mut row = row.clone();
                row[place] = other.clone();
                let said = read(&stage, &Value::from(row).to_string())
                    .map_or_else(|e| e.to_string(), |read| read.to_string());
                now += &format!("  [{place}] {other}: {said}\n");
            }
        }
        seen.push(row[0].clone());
    }
    for torn in [
        "",
        "[",
        "{}",
        "[]",
        "[1]",
        r#"["Sync"]"#,
        r#"["Inventory",0,[1]]"#,
        r#"["Inventory",0,[["m",1,"s",0,"a","Lost"]]]"#,
    ] {
        now += &format!("{torn}\n  {}\n", read(&stage, torn).unwrap_err());
    }
    golden::assert_same("bench_read.txt", now.as_bytes());
}

#[test]
fn each_action_is_written_as_it_was() {
    let (request, backend) = (RequestId(255), EndpointId::from("s \"ü\" 1"));
    let text = || "a \"b\" ü\n".to_string();
    let mut now = String::new();
    let mut action = |action| simulator::write_action(&mut now, 3, &action);
    action(Action::StartAttempt {
        request,
        endpoint: backend.clone(),
        timeout_ns: Some(5),
    });
    action(Action::CancelAttempt {
        request: RequestId(u64::MAX),
        attempt: 2,
    });
    action(Action::Reject {
        request,
        retry_after_ns: Some(125_000_000),
    });
    action(Action::Fail(request));
    action(Action::SetTimer {
        after_ns: 100,
        token: u64::MAX,
    });
    let mut protocol_request = |request| simulator::write_request(&mut now, 3, &request);
    protocol_request(SimulatorRequest::HealthCheck(backend.clone()));
    protocol_request(SimulatorRequest::CloseIdleConnections(backend));
    let mut action = |action| simulator::write_action(&mut now, 3, &action);
    action(Action::SendGossip {
        peer: Some(NodeId(7)),
        text: text(),
    });
    action(Action::SendGossip {
        peer: None,
        text: text(),
    });
    action(Action::Log(LogEvent::FilterChanged {
        filter: 3,
        load_index: -1,
        focal_rate: 12.25,
    }));
    action(Action::WatchEndpoints);
    let mut protocol_request = |request| simulator::write_request(&mut now, 3, &request);
    protocol_request(SimulatorRequest::CloseEndpointWatch);
    protocol_request(SimulatorRequest::FetchEndpoints);
    protocol_request(SimulatorRequest::AddToCounter {
        name: text(),
        amount: 1.5,
        ttl_ns: 9,
    });
    simulator::write_exception(&mut now, 3, &text());
    simulator::write_ready(&mut now, u64::MAX);
    golden::assert_same("bench_actions.jsonl", now.as_bytes());
}

/// The protocol has 0 where the policy sets no timeout and advises no wait.
#[test]
fn an_action_without_a_timeout_or_a_wait_is_written_with_0() {
    let request = RequestId(255);
    let mut written = String::new();
    let attempt = Action::StartAttempt {
        request,
        endpoint: "s1".into(),
        timeout_ns: None,
    };
    let rejection = Action::Reject {
        request,
        retry_after_ns: None,
    };
    simulator::write_action(&mut written, 3, &attempt);
    simulator::write_action(&mut written, 3, &rejection);
    let expected = [
        r#"["Try",3,"00000000000000ff",0,"s1"]"#,
        r#"["SayNo",3,"00000000000000ff",0]"#,
    ];
    assert_eq!(written.lines().collect::<Vec<_>>(), expected);
}

#[test]
fn a_play_gets_the_same_lines_from_the_program() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_applewall-simulator-host"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(lines().join("\n").as_bytes())
        .unwrap();
    let out = child.wait_with_output().unwrap();
    assert!(out.status.success());
    golden::assert_same("bench_out.jsonl", &out.stdout);
}
