//! The bench's lines: each kind read to what it means, each action written as it was, and a whole play of both.

mod golden;

use std::io::Write;
use std::process::{Command, Stdio};
use std::sync::Arc;

use applewall::api::*;
use applewall::wire::{self, Facts, Line};
use serde_json::{json, Value};

/// The settings of the platform's committed file with times and rates that let a play go on, in one line.
fn facts() -> String {
    let platform: Value = serde_json::from_str(&golden::text("platform.json")).unwrap();
    let mut settings = platform["settings"].clone();
    for class in settings["classes"].as_array_mut().unwrap() {
        (class["objective_ns"], class["deadline_ns"]) = (500_000_000.into(), 2_000_000_000.into());
    }
    for (at, value) in
        [("tariffs/0/refill", 4), ("tariffs/0/peak_units", 8), ("tariffs/0/never_over_depth", 60)]
    {
        *settings.pointer_mut(&format!("/{at}")).unwrap() = value.into();
    }
    for at in ["obligations/cold_ns", "obligations/fall_ns", "permissions/max_retry_after_ns"] {
        *settings.pointer_mut(&format!("/{at}")).unwrap() = 3_000_000_000u64.into();
    }
    settings.to_string()
}

fn lines() -> Vec<String> {
    golden::text("bench_in.jsonl").lines().map(|line| line.replace("FACTS", &facts())).collect()
}

type Stage = (Box<Facts>, [Arc<[Value]>; 2]);

/// The settings with what only bench lines are read by: one instance's, and its numbered lists.
fn stage() -> Stage {
    let mut all = lines().into_iter().map(|line| wire::parse_line(&line).unwrap());
    let boots = all.by_ref().filter_map(|line| match line {
        Line::Boot { facts, .. } => Some(facts),
        _ => None,
    });
    let facts = boots.take(2).last().unwrap();
    let sheets = all.filter_map(|line| match line {
        Line::Inventory { entries, .. } => Some(entries.into()),
        _ => None,
    });
    (facts, sheets.collect::<Vec<_>>().try_into().unwrap())
}

/// A line read by position: its event's fields as JSON.
fn read((facts, sheets): &Stage, line: &str) -> Result<Value, String> {
    Ok(match wire::parse_line(line)? {
        Line::Sync { now, seq } => json!(["now", now, "seq", seq]),
        Line::End => json!(["end"]),
        Line::Boot { who, seed, facts } => json!(["who", who, "seed", seed, "me", facts.settings.me]),
        Line::Down { who } => json!(["who", who]),
        Line::Inventory { sheet, entries } => {
            json!(["sheet", sheet, "members", list(&wire::members(facts, &entries)?)])
        }
        Line::Event { who, fields } => {
            let sheet = |n: u64| sheets.get(n as usize).cloned();
            json!([who, event(wire::event(facts, &fields, sheet)?)])
        }
    })
}

fn list(members: &[Member]) -> Value {
    let state = |state| match state {
        MemberState::Ready => "ready",
        MemberState::Draining => "draining",
        MemberState::Gone => "gone",
    };
    members
        .iter()
        .map(|m| json!([&*m.backend, m.scale, m.started, m.zone, m.cell, m.kind, state(m.state)]))
        .collect()
}

fn event(event: Event) -> Value {
    let kind = |kind| match kind {
        ListKind::Cached => "cached",
        ListKind::Full => "full",
        ListKind::Delta => "delta",
        ListKind::Failed => "failed",
    };
    let outcome = |outcome| match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Full => "full",
        Outcome::TimedOut => "timed out",
        Outcome::NoConnection => "no connection",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not sent",
    };
    match event {
        Event::Members(how, members) => json!(["members", kind(how), list(&members)]),
        Event::Request(r) => json!([
            "request",
            r.id.0,
            "class",
            r.class,
            "plan",
            r.plan,
            "customer",
            &*r.customer,
            "units",
            r.units,
            "left",
            r.left,
            "repeat",
            r.repeat,
            "spread",
            r.spread,
            "first",
            r.first
        ]),
        Event::Started { request, attempt } => json!(["started", request.0, attempt]),
        Event::Finished(f) => json!([
            "finished",
            f.request.0,
            f.attempt,
            &*f.backend,
            outcome(f.outcome),
            "latency",
            f.latency,
            "closed",
            f.closed,
            "cost",
            f.cost,
            "load",
            f.load
        ]),
        Event::ClientLeft(request) => json!(["left", request.0]),
        Event::Timer(token) => json!(["timer", token]),
        Event::Probed { backend, ok, load } => json!(["probed", &*backend, ok, load]),
        Event::Peer { from, text } => json!(["peer", from, text]),
        Event::Counted { name, total } => json!(["counted", name, total]),
        Event::GivenBack(_) | Event::Shares(_) => panic!("no line says that"),
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
                let said =
                    read(&stage, &Value::from(row).to_string()).map_or_else(|e| e, |read| read.to_string());
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
    golden::same("bench_read.txt", now.as_bytes());
}

#[test]
fn each_action_is_written_as_it_was() {
    let (request, backend) = (RequestId(255), BackendId::from("s \"ü\" 1"));
    let text = || "a \"b\" ü\n".to_string();
    let actions = [
        Action::Send { request, backend: backend.clone(), timeout: 5 },
        Action::Cancel { request: RequestId(u64::MAX), attempt: 2 },
        Action::Refuse { request, retry_after: 125_000_000 },
        Action::Fail(request),
        Action::Timer { after: 100, token: u64::MAX },
        Action::Probe(backend.clone()),
        Action::Close(backend),
        Action::Tell { peer: Some(7), text: text() },
        Action::Tell { peer: None, text: text() },
        Action::Log(text()),
        Action::Watch(true),
        Action::Watch(false),
        Action::Fetch,
        Action::Count { name: text(), amount: 1.5, ttl: 9 },
    ];
    let mut now = String::new();
    actions.iter().for_each(|action| wire::write_action(&mut now, 3, action));
    wire::write_exception(&mut now, 3, &text());
    wire::write_ready(&mut now, u64::MAX);
    golden::same("bench_actions.jsonl", now.as_bytes());
}

#[test]
fn a_play_gets_the_same_lines_from_the_program() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_applewall-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(lines().join("\n").as_bytes()).unwrap();
    let out = child.wait_with_output().unwrap();
    assert!(out.status.success());
    golden::same("bench_out.jsonl", &out.stdout);
}
