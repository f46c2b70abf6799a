//! The bench dialect: lines of JSON to [`crate::api`] and back. No decisions here.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::sync::Arc;

use serde::Deserialize;
use serde_json::{json, Value};

use crate::api::{
    Action, BackendId, Class, Event, Finished, KeyScope, ListKind, LoadField, Member, MemberState,
    Outcome, Plan, Repeats, Request, RequestId, Settings,
};

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
        facts: Box<Facts>,
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

/// Settings of one instance, with the names that its lines use.
#[derive(Debug)]
pub struct Facts {
    /// What the module is told.
    pub settings: Settings,
    /// An idle connection to a backend is closed after this.
    pub conn_idle: u64,
    /// A connection not up within this is given up.
    pub dial_timeout: u64,
    /// Nothing new goes to a backend this long after it was told to drain.
    pub stop_sending: u64,
    classes: HashMap<String, usize>,
    plans: HashMap<String, usize>,
    zones: HashMap<String, u32>,
    kinds: HashMap<String, u32>,
}

impl Facts {
    /// Index of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.get(name).copied()
    }
    /// Index of a plan.
    pub fn plan(&self, name: &str) -> Option<usize> {
        self.plans.get(name).copied()
    }
    /// Number of a kind of machine; those that the settings do not name are taken for the first.
    pub fn kind(&self, name: &str) -> u32 {
        self.kinds.get(name).copied().unwrap_or(0)
    }
    /// Names of all zones, by their numbers.
    pub fn zones(&self) -> Vec<String> {
        let mut names: Vec<_> = self.zones.iter().collect();
        names.sort_by_key(|(_, number)| **number);
        names.into_iter().map(|(name, _)| name.clone()).collect()
    }
    /// Number of a zone; one that the settings do not name is no gateway's own.
    pub fn zone(&self, name: &str) -> u32 {
        self.zones.get(name).copied().unwrap_or(u32::MAX - 1)
    }
}

#[derive(Deserialize)]
struct WireFacts {
    areas: Vec<String>,
    #[serde(default)]
    host_types: Vec<String>,
    zone: String,
    me: u32,
    peers_total: u32,
    classes: Vec<WireClass>,
    tariffs: Vec<WirePlan>,
    discovery: String,
    load_info: WireLoad,
    obligations: WireRules,
    permissions: WireLimits,
    specifics: WireSpecifics,
    #[serde(default)]
    weights: String,
}

#[derive(Deserialize)]
struct WireClass {
    name: String,
    objective_ns: u64,
    deadline_ns: u64,
    worth: f64,
    #[serde(default)]
    late_worth: f64,
    idempotency: String,
    #[serde(default)]
    key_scope: String,
    #[serde(default)]
    dedup_window_ns: u64,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct WirePlan {
    name: String,
    #[serde(default)]
    refill: f64,
    #[serde(default)]
    peak_units: f64,
    #[serde(default)]
    open: u32,
    #[serde(default = "one")]
    pays: f64,
    #[serde(default)]
    over_worth: f64,
    #[serde(default)]
    overrun_cost: f64,
    #[serde(default)]
    cap_rate: f64,
    #[serde(default)]
    never_over_depth: f64,
    #[serde(default)]
    hard_slack: f64,
}

#[derive(Deserialize)]
struct WireLoad {
    #[serde(default)]
    names: Vec<String>,
}

#[derive(Deserialize)]
struct WireRules {
    cold_share: f64,
    cold_ns: u64,
    overload_factor: f64,
    fall_ns: u64,
    #[serde(default = "half_second")]
    stop_sending_within_ns: u64,
}

#[derive(Deserialize)]
struct WireLimits {
    max_attempts: u32,
    max_retry_after_ns: u64,
    retry_after: bool,
    peer_messages: bool,
    second_copies: bool,
    may_cancel: bool,
    #[serde(default = "ten_seconds")]
    conn_idle_ns: u64,
    #[serde(default = "half_second")]
    dial_timeout_ns: u64,
}

#[derive(Deserialize)]
struct WireSpecifics {
    #[serde(default)]
    mail_per_s: f64,
    #[serde(default)]
    cost_after: bool,
    #[serde(default)]
    most_units: f64,
}

fn one() -> f64 {
    1.0
}

fn half_second() -> u64 {
    500_000_000
}

fn ten_seconds() -> u64 {
    10_000_000_000
}

/// Reads the settings object.
pub fn facts(value: &Value) -> Result<Facts, String> {
    let wire = WireFacts::deserialize(value).map_err(|e| format!("facts: {e}"))?;
    let zones: HashMap<String, u32> = wire.areas.iter().cloned().zip(0..).collect();
    let kinds: HashMap<String, u32> = wire.host_types.iter().cloned().zip(0..).collect();
    let class = |c: &WireClass| {
        let repeats = match c.idempotency.as_str() {
            "retryable" => Repeats::Safe,
            "dedup" => {
                let scope = match c.key_scope.as_str() {
                    "all" => KeyScope::All,
                    "zone" => KeyScope::Zone,
                    "cell" => KeyScope::Cell,
                    other => return Err(format!("facts: unknown key_scope '{other}'")),
                };
                Repeats::Keyed {
                    scope,
                    window: c.dedup_window_ns,
                }
            }
            "fragile" => Repeats::Unsafe,
            other => return Err(format!("facts: unknown idempotency '{other}'")),
        };
        Ok(Class {
            aim: c.objective_ns,
            deadline: c.deadline_ns,
            worth: c.worth,
            late_worth: c.late_worth,
            repeats,
            stream: c.stream,
        })
    };
    let plan = |p: &WirePlan| Plan {
        rate: p.refill,
        burst: p.peak_units,
        open: p.open,
        price: p.pays,
        over_worth: p.over_worth,
        over_cost: p.overrun_cost,
        ceiling_rate: p.cap_rate,
        ceiling_burst: p.never_over_depth,
        ceiling_slack: p.hard_slack,
    };
    let field = |n: &String| match n.as_str() {
        "utilization" => LoadField::Utilization,
        "outstanding" => LoadField::Outstanding,
        _ => LoadField::Other,
    };
    let settings = Settings {
        me: wire.me,
        gateways: wire.peers_total,
        zone: zones.get(&wire.zone).copied().unwrap_or(u32::MAX),
        kinds: kinds.len() as u32,
        classes: wire.classes.iter().map(class).collect::<Result<_, _>>()?,
        plans: wire.tariffs.iter().map(plan).collect(),
        subscribe: wire.discovery == "subscribe",
        sized: wire.weights == "nominal" || wire.weights == "rough",
        load_fields: wire.load_info.names.iter().map(field).collect(),
        cold_share: wire.obligations.cold_share,
        cold_time: wire.obligations.cold_ns,
        fall_multiple: wire.obligations.overload_factor,
        fall_window: wire.obligations.fall_ns,
        max_attempts: wire.permissions.max_attempts,
        max_retry_after: if wire.permissions.retry_after {
            wire.permissions.max_retry_after_ns
        } else {
            0
        },
        peer_messages: wire.permissions.peer_messages,
        second_copies: wire.permissions.second_copies,
        may_cancel: wire.permissions.may_cancel,
        mail_per_s: wire.specifics.mail_per_s,
        cost_after: wire.specifics.cost_after,
        most_units: wire.specifics.most_units,
    };
    Ok(Facts {
        settings,
        conn_idle: wire.permissions.conn_idle_ns,
        dial_timeout: wire.permissions.dial_timeout_ns,
        stop_sending: wire.obligations.stop_sending_within_ns,
        classes: wire
            .classes
            .iter()
            .map(|c| c.name.clone())
            .zip(0..)
            .collect(),
        plans: wire
            .tariffs
            .iter()
            .map(|p| p.name.clone())
            .zip(0..)
            .collect(),
        zones,
        kinds,
    })
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
            facts: Box::new(facts(f.at(3))?),
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
pub fn members(facts: &Facts, entries: &[Value]) -> Result<Arc<[Member]>, String> {
    let member = |v: &Value| {
        let Value::Array(row) = v else {
            return Err("an entry is not an array".to_string());
        };
        let f = Fields(row);
        let state = match f.text(5, "state")? {
            "Ready" => MemberState::Ready,
            "Terminating" => MemberState::Draining,
            "Gone" => MemberState::Gone,
            other => return Err(format!("unknown state '{other}'")),
        };
        let started = f.int_or_0(3, "last_start_ns")?;
        let cell = if f.at(6).is_null() {
            -1
        } else {
            f.at(6).as_i64().ok_or("'pod' is not a whole number")?
        };
        Ok(Member {
            backend: BackendId::from(f.text(2, "backend")?),
            scale: f.num_or_0(1, "scale")?,
            started: (started > 0).then_some(started),
            zone: facts.zone(f.text(4, "region_part")?),
            cell,
            kind: f.at(0).as_str().map_or(0, |kind| facts.kind(kind)),
            state,
        })
    };
    entries.iter().map(member).collect()
}

fn outcome(status: &str) -> Result<Outcome, String> {
    Ok(match status {
        "OK" => Outcome::Ok,
        "INTERNAL" => Outcome::Error,
        "RESOURCE_EXHAUSTED" => Outcome::Full,
        "DEADLINE_EXCEEDED" => Outcome::TimedOut,
        "UNAVAILABLE" => Outcome::NoConnection,
        "ABORTED" => Outcome::Reset,
        "CANCELLED" => Outcome::Cancelled,
        "TOO_LATE" => Outcome::NotSent,
        other => return Err(format!("unknown status '{other}'")),
    })
}

/// Reads an instance's event; `sheet` looks up the numbered lists.
pub fn event(
    facts: &Facts,
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
                "diff" => ListKind::Delta,
                "snapshot" => ListKind::Full,
                "disk" => ListKind::Cached,
                "error" => return Ok(Event::Members(ListKind::Failed, Arc::new([]))),
                other => return Err(format!("unknown scope '{other}'")),
            };
            let number = f.int(4, "sheet")?;
            let entries = sheet(number).ok_or_else(|| format!("no inventory {number}"))?;
            Event::Members(kind, members(facts, &entries)?)
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
                class: *facts
                    .classes
                    .get(class)
                    .ok_or_else(|| format!("unknown class '{class}'"))?,
                plan: *facts
                    .plans
                    .get(plan)
                    .ok_or_else(|| format!("unknown plan '{plan}'"))?,
                customer: f.text(10, "holder")?.into(),
                units: f.num_or_0(3, "price_units")?,
                left: left.max(0) as u64,
                repeat: f.int_or_0(6, "state_bits")? & 2 != 0,
                spread: whole(7, "n_entries")?,
                first: whole(8, "first_door")?,
            })
        }
        "Streaming" => Event::Started {
            request: f.request(2)?,
            attempt: f.int(3, "round_no")? as u32,
        },
        "Finished" => Event::Finished(Finished {
            request: f.request(2)?,
            attempt: f.int(3, "round_no")? as u32,
            backend: f.text(4, "backend")?.into(),
            outcome: outcome(f.text(5, "status")?)?,
            latency: f.int_or_0(6, "latency_ns")?,
            closed: f.flag(7, "closed")?,
            cost: f.num_or_0(9, "cost")?,
            load: f.load(10)?,
        }),
        "ClientLeft" => Event::ClientLeft(f.request(2)?),
        "Alarm" => {
            let cookie = f.text(2, "cookie")?;
            Event::Timer(
                cookie
                    .parse()
                    .map_err(|_| format!("'{cookie}' is no cookie of ours"))?,
            )
        }
        "ProbeDone" => Event::Probed {
            backend: f.text(2, "backend")?.into(),
            ok: f.text(3, "status")? == "OK",
            load: f.load(5)?,
        },
        "Datagram" => Event::Peer {
            from: f.int(2, "by")? as u32,
            text: f.text(3, "octets")?.to_string(),
        },
        "Counted" => Event::Counted {
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
        Action::Send {
            request,
            backend,
            timeout,
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
        Action::Cancel { request, attempt } => json!(["Revoke", who, job(request), attempt]),
        Action::Refuse {
            request,
            retry_after,
        } => json!(["SayNo", who, job(request), retry_after]),
        Action::Fail(request) => json!(["EndFailed", who, job(request)]),
        Action::Timer { after, token } => json!(["Defer", who, after, token.to_string()]),
        Action::Probe(backend) => json!(["AskLoad", who, &**backend]),
        Action::Close(backend) => json!(["Release", who, &**backend]),
        Action::Tell {
            peer: Some(peer),
            text,
        } => json!(["MemoTo", who, peer, text]),
        Action::Tell { peer: None, text } => json!(["MemoTo", who, "all", text]),
        Action::Log(text) => json!(["JournalLine", who, text]),
        Action::Watch(on) => json!(["StreamChanges", who, on]),
        Action::Fetch => json!(["ListAll", who]),
        Action::Count { name, amount, ttl } => json!(["PostAmount", who, name, amount, ttl]),
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
