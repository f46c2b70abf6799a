//! The simulator's protocol: each kind of line is parsed and each action is written as recorded, and a whole run of the adapter
//! has the recorded output.

#![expect(
    clippy::too_many_lines,
    reason = "one function has all fields of an event or all actions"
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

/// The settings of the golden platform file in one line, with times and rates that suit the recorded run.
fn settings_line() -> String {
    let platform: Value = serde_json::from_str(&golden::text("platform.json")).unwrap();
    let mut settings = platform["settings"].clone();
    for class in settings["classes"].as_array_mut().unwrap() {
        (class["objective_ns"], class["deadline_ns"]) = (500_000_000.into(), 2_000_000_000.into());
    }
    for (pointer, value) in [
        ("tariffs/0/refill", 4),
        ("tariffs/0/peak_units", 8),
        ("tariffs/0/never_over_depth", 60),
    ] {
        *settings.pointer_mut(&format!("/{pointer}")).unwrap() = value.into();
    }
    for pointer in [
        "obligations/cold_ns",
        "obligations/fall_ns",
        "permissions/max_retry_after_ns",
    ] {
        *settings.pointer_mut(&format!("/{pointer}")).unwrap() = 3_000_000_000u64.into();
    }
    settings.to_string()
}

/// The recorded input, with the settings in place of `FACTS`.
fn lines() -> Vec<String> {
    golden::text("bench_in.jsonl")
        .lines()
        .map(|line| line.replace("FACTS", &settings_line()))
        .collect()
}

/// What lines are parsed with: a node's settings, and the numbered endpoint lists.
type Context = (Box<PlatformSettings>, [Arc<[Value]>; 2]);

fn context() -> Context {
    let mut all = lines()
        .into_iter()
        .map(|line| simulator::parse_line(&line).unwrap());
    let node_settings = all.by_ref().filter_map(|line| match line {
        InputLine::NodeStart { settings, .. } => Some(settings),
        _ => None,
    });
    let settings = node_settings.take(2).last().unwrap();
    let lists = all.filter_map(|line| match line {
        InputLine::EndpointList { entries, .. } => Some(entries.into()),
        _ => None,
    });
    (settings, lists.collect::<Vec<_>>().try_into().unwrap())
}

/// Parses a line; returns its fields as JSON.
fn parse((settings, lists): &Context, line: &str) -> Result<Value, ProtocolError> {
    Ok(match simulator::parse_line(line)? {
        InputLine::BatchStart { now_ns, batch } => json!(["now", now_ns, "seq", batch]),
        InputLine::BatchEnd => json!(["end"]),
        InputLine::NodeStart {
            node,
            seed,
            settings,
        } => {
            json!(["who", node, "seed", seed, "me", settings.policy.node.0])
        }
        InputLine::NodeStop { node } => json!(["who", node]),
        InputLine::EndpointList {
            list: number,
            entries,
        } => {
            json!([
                "sheet",
                number,
                "members",
                endpoints_json(&simulator::parse_endpoints(settings, &entries)?)
            ])
        }
        InputLine::Event { node, fields } => {
            let list = |number: u64| lists.get(number as usize).cloned();
            let event = simulator::parse_event(settings, &fields, list)?;
            json!([node, event_json(event)])
        }
    })
}

fn endpoints_json(endpoints: &[Endpoint]) -> Value {
    let state = |state| match state {
        EndpointState::Ready => "ready",
        EndpointState::Draining => "draining",
        EndpointState::Removed => "gone",
    };
    endpoints
        .iter()
        .map(|endpoint| {
            json!([
                &*endpoint.id,
                endpoint.weight,
                endpoint.started_at_ns,
                endpoint.zone.0,
                endpoint.cell.0,
                endpoint.machine_type.0,
                state(endpoint.state)
            ])
        })
        .collect()
}

fn event_json(event: NodeEvent) -> Value {
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
            endpoint,
            healthy,
            load_report,
        } => return json!(["probed", &*endpoint, healthy, load_report]),
        NodeEvent::CounterRead { name, total } => return json!(["counted", name, total]),
    };
    match event {
        Event::EndpointUpdate(update, endpoints) => {
            json!(["members", kind(update), endpoints_json(&endpoints)])
        }
        Event::Request(request) => json!([
            "request",
            request.id.0,
            "class",
            request.class.0,
            "plan",
            request.plan.0,
            "customer",
            &*request.customer,
            "units",
            request.units,
            "left",
            request.time_left_ns,
            "repeat",
            request.is_retry,
            "spread",
            request.nodes.size,
            "first",
            request.nodes.first.0
        ]),
        Event::ResponseStarted { request, attempt } => json!(["started", request.0, attempt]),
        Event::AttemptFinished(result) => json!([
            "finished",
            result.request.0,
            result.attempt,
            &*result.endpoint,
            outcome(result.outcome),
            "latency",
            result.latency_ns,
            "closed",
            result.request_complete,
            "cost",
            result.settled_units.unwrap_or(0.0),
            "load",
            result.load_report
        ]),
        Event::ClientDisconnected(request) => json!(["left", request.0]),
        Event::TimerExpired(token) => json!(["timer", token]),
        Event::PeerMessage { from, text } => json!(["peer", from.0, text]),
        Event::ReturnedToService(_) | Event::ZoneTrafficShares(_) => {
            panic!("not an event of the protocol")
        }
    }
}

/// For each line, what it is parsed to; and once for each kind of line, the error for other values in each of its fields.
#[test]
fn each_kind_of_line_is_parsed_or_refused_as_recorded() {
    let mut parsed = String::new();
    let (mut seen, context) = (Vec::new(), context());
    for (line, recorded_line) in lines().iter().zip(golden::text("bench_in.jsonl").lines()) {
        let row: Vec<Value> = serde_json::from_str(line).unwrap();
        parsed += &format!("{recorded_line}\n  {}\n", parse(&context, line).unwrap());
        if seen.contains(&row[0]) {
            continue;
        }
        for field in 0..row.len() {
            for other in [Value::Null, json!({}), json!(-1.5)] {
                let mut row = row.clone();
                row[field] = other.clone();
                let result = parse(&context, &Value::from(row).to_string())
                    .map_or_else(|error| error.to_string(), |value| value.to_string());
                parsed += &format!("  [{field}] {other}: {result}\n");
            }
        }
        seen.push(row[0].clone());
    }
    for malformed in [
        "",
        "[",
        "{}",
        "[]",
        "[1]",
        r#"["Sync"]"#,
        r#"["Inventory",0,[1]]"#,
        r#"["Inventory",0,[["m",1,"s",0,"a","Lost"]]]"#,
    ] {
        let error = parse(&context, malformed).unwrap_err();
        parsed += &format!("{malformed}\n  {error}\n");
    }
    golden::assert_same("bench_read.txt", parsed.as_bytes());
}

#[test]
fn each_action_is_written_as_recorded() {
    let (request, endpoint) = (RequestId(255), EndpointId::from("s \"ü\" 1"));
    let text = || "a \"b\" ü\n".to_string();
    let mut written = String::new();
    let mut action = |action| simulator::write_action(&mut written, 3, &action);
    action(Action::StartAttempt {
        request,
        endpoint: endpoint.clone(),
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
    let mut protocol_request = |request| simulator::write_request(&mut written, 3, &request);
    protocol_request(SimulatorRequest::HealthCheck(endpoint.clone()));
    protocol_request(SimulatorRequest::CloseIdleConnections(endpoint));
    let mut action = |action| simulator::write_action(&mut written, 3, &action);
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
    let mut protocol_request = |request| simulator::write_request(&mut written, 3, &request);
    protocol_request(SimulatorRequest::CloseEndpointWatch);
    protocol_request(SimulatorRequest::FetchEndpoints);
    protocol_request(SimulatorRequest::AddToCounter {
        name: text(),
        amount: 1.5,
        ttl_ns: 9,
    });
    simulator::write_exception(&mut written, 3, &text());
    simulator::write_ready(&mut written, u64::MAX);
    golden::assert_same("bench_actions.jsonl", written.as_bytes());
}

/// The protocol has 0 for an attempt without a timeout and for a rejection without `Retry-After`.
#[test]
fn an_action_without_a_timeout_or_a_retry_after_is_written_with_0() {
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
fn the_recorded_input_gets_the_recorded_output_from_the_program() {
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
