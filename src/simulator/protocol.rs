//! The bench dialect: lines of JSON to [`crate::api`] and back. No decisions here.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::missing_errors_doc,
    reason = "errors are documented as they are typed"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::fmt::Write as _;
use std::sync::Arc;

use serde_json::{json, Value};

use crate::api::{
    Action, AttemptResult, Endpoint, EndpointId, EndpointState, EndpointUpdateKind, Event, Outcome,
    Request, RequestId,
};
use crate::platform_settings::{self, PlatformSettings};

/// One line of input.
#[derive(Debug)]
pub enum Line {
    /// A batch begins.
    Sync {
        /// Its clock.
        now: u64,
        /// Its number.
        seq: u64,
    },
    /// A batch ends.
    End,
    /// An instance starts.
    Boot {
        /// Its number.
        who: u64,
        /// Its seed.
        seed: u64,
        /// Its settings and the names they use.
        facts: Box<PlatformSettings>,
    },
    /// An instance was stopped.
    Down {
        /// Its number.
        who: u64,
    },
    /// A numbered list of backends.
    Inventory {
        /// Its number.
        sheet: u64,
        /// The entries, as they came.
        entries: Vec<Value>,
    },
    /// Anything else, for one instance.
    Event {
        /// Its number.
        who: u64,
        /// The whole line.
        fields: Vec<Value>,
    },
}

/// The values of one line, read by position.
struct Fields<'a>(&'a [Value]);

impl<'a> Fields<'a> {
    fn at(&self, i: usize) -> &'a Value {
        self.0.get(i).unwrap_or(&Value::Null)
    }
    fn int(&self, i: usize, name: &str) -> Result<u64, String> {
        self.at(i)
            .as_u64()
            .ok_or_else(|| format!("'{name}' is not a whole number"))
    }
    fn int_or_0(&self, i: usize, name: &str) -> Result<u64, String> {
        if self.at(i).is_null() {
            return Ok(0);
        }
        self.int(i, name)
    }
    fn num_or_0(&self, i: usize, name: &str) -> Result<f64, String> {
        if self.at(i).is_null() {
            return Ok(0.0);
        }
        self.at(i)
            .as_f64()
            .ok_or_else(|| format!("'{name}' is not a number"))
    }
    fn text(&self, i: usize, name: &str) -> Result<&'a str, String> {
        self.at(i)
            .as_str()
            .ok_or_else(|| format!("'{name}' is not text"))
    }
    fn flag(&self, i: usize, name: &str) -> Result<bool, String> {
        if self.at(i).is_null() {
            return Ok(false);
        }
        self.at(i)
            .as_bool()
            .ok_or_else(|| format!("'{name}' is not true or false"))
    }
    fn request(&self, i: usize) -> Result<RequestId, String> {
        let text = self.text(i, "job")?;
        if text.len() != 16 {
            return Err("'job' is not 16 hex digits".into());
        }
        u64::from_str_radix(text, 16)
            .map(RequestId)
            .map_err(|_| "'job' is not 16 hex digits".into())
    }
    fn load(&self, i: usize) -> Result<Vec<f64>, String> {
        match self.at(i) {
            Value::Null => Ok(Vec::new()),
            Value::Array(row) => {
                let num = |v: &Value| {
                    if v.is_null() {
                        return Ok(0.0);
                    }
                    v.as_f64()
                        .ok_or_else(|| "'usage' holds something that is not a number".to_string())
                };
                row.iter().map(num).collect()
            }
            _ => Err("'usage' is not an array".into()),
        }
    }
}

/// Reads one line; the error is a plain reason.
pub fn parse_line(line: &str) -> Result<Line, String> {
    let value: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
    let Value::Array(fields) = value else {
        return Err("not an array".into());
    };
    let f = Fields(&fields);
    Ok(match f.text(0, "event name")? {
        "Sync" => Line::Sync {
            now: f.int(1, "time_ns")?,
            seq: f.int(2, "round")?,
        },
        "End" => Line::End,
        "Boot" => Line::Boot {
            who: f.int(1, "who")?,
            seed: f
                .at(2)
                .as_u64()
                .or_else(|| f.at(2).as_i64().map(|v| v as u64))
                .ok_or("'salt' is not a whole number")?,
            facts: Box::new(platform_settings::facts(f.at(3))?),
        },
        "Down" => Line::Down {
            who: f.int(1, "who")?,
        },
        "Inventory" => {
            let Value::Array(entries) = f.at(2) else {
                return Err("'entries' is not an array".into());
            };
            Line::Inventory {
                sheet: f.int(1, "sheet")?,
                entries: entries.clone(),
            }
        }
        _ => Line::Event {
            who: f.int(1, "who")?,
            fields,
        },
    })
}

/// Reads the entries of an inventory with one instance's zone names.
pub fn members(facts: &PlatformSettings, entries: &[Value]) -> Result<Arc<[Endpoint]>, String> {
    let member = |v: &Value| {
        let Value::Array(row) = v else {
            return Err("an entry is not an array".to_string());
        };
        let f = Fields(row);
        let state = match f.text(5, "state")? {
            "Ready" => EndpointState::Ready,
            "Terminating" => EndpointState::Draining,
            "Gone" => EndpointState::Removed,
            other => return Err(format!("unknown state '{other}'")),
        };
        let started = f.int_or_0(3, "last_start_ns")?;
        let cell = if f.at(6).is_null() {
            -1
        } else {
            f.at(6).as_i64().ok_or("'pod' is not a whole number")?
        };
        Ok(Endpoint {
            id: EndpointId::from(f.text(2, "backend")?),
            weight: f.num_or_0(1, "scale")?,
            started_at_ns: (started > 0).then_some(started),
            zone: facts.zone(f.text(4, "region_part")?),
            cell,
            machine_type: f.at(0).as_str().map_or(0, |kind| facts.kind(kind)),
            state,
        })
    };
    entries.iter().map(member).collect()
}

fn outcome(status: &str) -> Result<Outcome, String> {
    Ok(match status {
        "OK" => Outcome::Success,
        "INTERNAL" => Outcome::Failure,
        "RESOURCE_EXHAUSTED" => Outcome::Overloaded,
        "DEADLINE_EXCEEDED" => Outcome::TimedOut,
        "UNAVAILABLE" => Outcome::ConnectFailed,
        "ABORTED" => Outcome::ConnectionReset,
        "CANCELLED" => Outcome::Cancelled,
        "TOO_LATE" => Outcome::NotSent,
        other => return Err(format!("unknown status '{other}'")),
    })
}

/// Reads an instance's event; `sheet` looks up the numbered lists.
pub fn event(
    facts: &PlatformSettings,
    fields: &[Value],
    sheet: impl Fn(u64) -> Option<Arc<[Value]>>,
) -> Result<Event, String> {
    let f = Fields(fields);
    let whole = |i: usize, name: &str| -> Result<u32, String> {
        let v = f.num_or_0(i, name)?;
        if v < 0.0 || v.fract() != 0.0 || v > f64::from(u32::MAX) {
            return Err(format!("'{name}' is not a whole number"));
        }
        Ok(v as u32)
    };
    Ok(match f.text(0, "event name")? {
        "Discovery" => {
            let kind = match f.text(2, "scope")? {
                "diff" => EndpointUpdateKind::Delta,
                "snapshot" => EndpointUpdateKind::Snapshot,
                "disk" => EndpointUpdateKind::Cached,
                "error" => {
                    return Ok(Event::EndpointUpdate(
                        EndpointUpdateKind::Failed,
                        Arc::new([]),
                    ))
                }
                other => return Err(format!("unknown scope '{other}'")),
            };
            let number = f.int(4, "sheet")?;
            let entries = sheet(number).ok_or_else(|| format!("no inventory {number}"))?;
            Event::EndpointUpdate(kind, members(facts, &entries)?)
        }
        "Demand" => {
            let class = f.text(9, "service")?;
            let plan = f.text(4, "tariff")?;
            let left = f
                .at(5)
                .as_i64()
                .ok_or("'time_left_ns' is not a whole number")?;
            Event::Request(Request {
                id: f.request(2)?,
                class: facts
                    .class(class)
                    .ok_or_else(|| format!("unknown class '{class}'"))?,
                plan: facts
                    .plan(plan)
                    .ok_or_else(|| format!("unknown plan '{plan}'"))?,
                customer: f.text(10, "holder")?.into(),
                units: f.num_or_0(3, "price_units")?,
                time_left_ns: left.max(0) as u64,
                is_retry: f.int_or_0(6, "state_bits")? & 2 != 0,
                node_set_size: whole(7, "n_entries")?,
                first_node: whole(8, "first_door")?,
            })
        }
        "Streaming" => Event::ResponseStarted {
            request: f.request(2)?,
            attempt: f.int(3, "round_no")? as u32,
        },
        "Finished" => Event::AttemptFinished(AttemptResult {
            request: f.request(2)?,
            attempt: f.int(3, "round_no")? as u32,
            endpoint: f.text(4, "backend")?.into(),
            outcome: outcome(f.text(5, "status")?)?,
            latency_ns: f.int_or_0(6, "latency_ns")?,
            request_complete: f.flag(7, "closed")?,
            settled_units: f.num_or_0(9, "cost")?,
            load_report: f.load(10)?,
        }),
        "ClientLeft" => Event::ClientDisconnected(f.request(2)?),
        "Alarm" => {
            let cookie = f.text(2, "cookie")?;
            Event::TimerExpired(
                cookie
                    .parse()
                    .map_err(|_| format!("'{cookie}' is no cookie of ours"))?,
            )
        }
        "ProbeDone" => Event::HealthChecked {
            endpoint: f.text(2, "backend")?.into(),
            healthy: f.text(3, "status")? == "OK",
            load_report: f.load(5)?,
        },
        "Datagram" => Event::PeerMessage {
            from: f.int(2, "by")? as u32,
            text: f.text(3, "octets")?.to_string(),
        },
        "Counted" => Event::CounterRead {
            name: f.text(2, "slot_name")?.to_string(),
            total: if f.text(3, "status")? == "OK" {
                Some(f.num_or_0(4, "sum")?)
            } else {
                None
            },
        },
        other => return Err(format!("unknown event '{other}'")),
    })
}

/// Appends one action as a line.
pub fn write_action(out: &mut String, who: u64, action: &Action) {
    let job = |r: &RequestId| format!("{:016x}", r.0);
    let line = match action {
        Action::StartAttempt {
            request,
            endpoint: backend,
            timeout_ns: timeout,
        } => {
            // The commonest line, written without building a value; ids and names need no escapes.
            let name = Value::from(&**backend);
            let _ = writeln!(
                out,
                "[\"Try\",{who},\"{:016x}\",{timeout},{name}]",
                request.0
            );
            return;
        }
        Action::CancelAttempt { request, attempt } => json!(["Revoke", who, job(request), attempt]),
        Action::Reject {
            request,
            retry_after_ns: retry_after,
        } => json!(["SayNo", who, job(request), retry_after]),
        Action::Fail(request) => json!(["EndFailed", who, job(request)]),
        Action::SetTimer {
            after_ns: after,
            token,
        } => json!(["Defer", who, after, token.to_string()]),
        Action::HealthCheck(backend) => json!(["AskLoad", who, &**backend]),
        Action::CloseIdleConnections(backend) => json!(["Release", who, &**backend]),
        Action::SendGossip {
            peer: Some(peer),
            text,
        } => json!(["MemoTo", who, peer, text]),
        Action::SendGossip { peer: None, text } => json!(["MemoTo", who, "all", text]),
        Action::Log(text) => json!(["JournalLine", who, text]),
        Action::WatchEndpoints(on) => json!(["StreamChanges", who, on]),
        Action::FetchEndpoints => json!(["ListAll", who]),
        Action::AddToCounter {
            name,
            amount,
            ttl_ns: ttl,
        } => json!(["PostAmount", who, name, amount, ttl]),
    };
    let _ = writeln!(out, "{line}");
}

/// Appends a report that the module broke.
pub fn write_exception(out: &mut String, who: u64, words: &str) {
    let _ = writeln!(out, "{}", json!(["Exception", who, words]));
}

/// Appends the end of a reply.
pub fn write_ready(out: &mut String, seq: u64) {
    let _ = writeln!(out, "[\"Ready\",{seq}]");
}
