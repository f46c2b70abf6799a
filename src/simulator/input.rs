//! Lines from the simulator, each a JSON array whose first value is its type.

use std::sync::Arc;

use serde_json::Value;

use super::fields::{Fields, ProtocolError};
use crate::api::{
    AttemptResult, CellId, Endpoint, EndpointId, EndpointState, EndpointUpdateKind, Event, NodeId,
    NodeSet, Outcome, Request,
};
use crate::platform_settings::PlatformSettings;

/// Bit of a request's state that marks a retry by the client.
const RETRY_BIT: u64 = 2;
/// Cell of an endpoint whose entry has none.
const NO_CELL: CellId = CellId(-1);

/// One line of input.
#[derive(Debug)]
pub enum InputLine {
    /// Begins a batch: the lines up to its end, which all happen at one time.
    BatchStart {
        /// Virtual time of the batch, in nanoseconds.
        now_ns: u64,
        /// Number of the batch, which the end of the reply repeats.
        batch: u64,
    },
    /// Ends a batch, whose reply is now due.
    BatchEnd,
    /// A node starts, with a new policy.
    NodeStart {
        /// Number by which later lines refer to the node.
        node: u64,
        /// Seed of the policy's random generator.
        seed: u64,
        /// Settings of the node, which also resolve the names in its events.
        settings: Box<PlatformSettings>,
    },
    /// A node has stopped; its policy is dropped.
    NodeStop {
        /// Number from the node's start.
        node: u64,
    },
    /// An endpoint list, to which later events of any node refer by its number.
    EndpointList {
        /// Number of the list. A later list with the same number replaces it.
        list: u64,
        /// Entries as received; [`parse_endpoints`] resolves their names by the settings of a node.
        entries: Vec<Value>,
    },
    /// Any other line: an event of one node, for [`parse_event`].
    Event {
        /// Number from the node's start.
        node: u64,
        /// All values of the line, including the event's name and the node's number.
        fields: Vec<Value>,
    },
}

/// An event of a node: an input of its policy, or an answer to a request that the policy never makes.
#[derive(Debug)]
pub enum NodeEvent {
    /// An input of the policy.
    Policy(Event),
    /// A health check has completed or failed. The policy does not request any.
    HealthChecked {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// Whether the endpoint passed it.
        healthy: bool,
        /// Load report, in the order of the settings' fields; empty if there is none.
        load_report: Vec<f64>,
    },
    /// The counter service has answered. The policy does not call it.
    CounterRead {
        /// Name of the counter.
        name: String,
        /// Its total, if the call succeeded.
        total: Option<f64>,
    },
}

/// Parses one line.
///
/// # Errors
///
/// Returns an error if the line is not a JSON array, or if a value is missing or has the wrong type.
pub fn parse_line(line: &str) -> Result<InputLine, ProtocolError> {
    let Value::Array(values) = serde_json::from_str(line)? else {
        return Err(ProtocolError::NotAnArray);
    };
    let fields = Fields(&values);
    match fields.text(0, "event name")? {
        "Sync" => Ok(InputLine::BatchStart {
            now_ns: fields.integer(1, "time_ns")?,
            batch: fields.integer(2, "round")?,
        }),
        "End" => Ok(InputLine::BatchEnd),
        "Boot" => Ok(InputLine::NodeStart {
            node: fields.integer(1, "who")?,
            seed: seed(fields.at(2))?,
            settings: Box::new(PlatformSettings::from_json(fields.at(3))?),
        }),
        "Down" => Ok(InputLine::NodeStop {
            node: fields.integer(1, "who")?,
        }),
        "Inventory" => endpoint_list(&fields),
        _ => Ok(InputLine::Event {
            node: fields.integer(1, "who")?,
            fields: values,
        }),
    }
}

/// Parses a seed; a negative number stands for its bit pattern.
fn seed(value: &Value) -> Result<u64, ProtocolError> {
    let bits = value
        .as_u64()
        .or_else(|| value.as_i64().map(|seed| seed as u64));
    bits.ok_or(ProtocolError::field("salt", "is not a whole number"))
}

fn endpoint_list(fields: &Fields<'_>) -> Result<InputLine, ProtocolError> {
    let Value::Array(entries) = fields.at(2) else {
        return Err(ProtocolError::field("entries", "is not an array"));
    };
    Ok(InputLine::EndpointList {
        list: fields.integer(1, "sheet")?,
        entries: entries.clone(),
    })
}

/// Parses the entries of an endpoint list, resolving names by a node's settings.
///
/// # Errors
///
/// Returns an error if an entry is not an array, or if a value is missing or has the wrong type.
pub fn parse_endpoints(
    settings: &PlatformSettings,
    entries: &[Value],
) -> Result<Arc<[Endpoint]>, ProtocolError> {
    entries
        .iter()
        .map(|entry| parse_endpoint(settings, entry))
        .collect()
}

fn parse_endpoint(settings: &PlatformSettings, entry: &Value) -> Result<Endpoint, ProtocolError> {
    let Value::Array(values) = entry else {
        return Err(ProtocolError::EntryNotAnArray);
    };
    let fields = Fields(values);
    let state = match fields.text(5, "state")? {
        "Ready" => EndpointState::Ready,
        "Terminating" => EndpointState::Draining,
        "Gone" => EndpointState::Removed,
        other => return Err(ProtocolError::unknown("state", other)),
    };
    let started_at_ns = fields.integer_or_zero(3, "last_start_ns")?;
    let cell = match fields.at(6) {
        Value::Null => NO_CELL,
        value => value
            .as_i64()
            .map(CellId)
            .ok_or(ProtocolError::field("pod", "is not a whole number"))?,
    };
    let machine_type = fields.at(0).as_str();
    Ok(Endpoint {
        id: EndpointId::from(fields.text(2, "backend")?),
        weight: fields.number_or_zero(1, "scale")?,
        started_at_ns: (started_at_ns > 0).then_some(started_at_ns),
        zone: settings.zone(fields.text(4, "region_part")?),
        cell,
        machine_type: machine_type
            .map(|name| settings.machine_type(name))
            .unwrap_or_default(),
        state,
    })
}

/// Parses a node's event. `list` returns the entries of the endpoint list with a number, if it was sent.
///
/// # Errors
///
/// Returns an error if the event is unknown, or if a value is missing, unknown or of the wrong type.
pub fn parse_event(
    settings: &PlatformSettings,
    fields: &[Value],
    list: impl Fn(u64) -> Option<Arc<[Value]>>,
) -> Result<NodeEvent, ProtocolError> {
    let fields = Fields(fields);
    let event = match fields.text(0, "event name")? {
        "Discovery" => endpoint_update(settings, &fields, list)?,
        "Demand" => request(settings, &fields)?,
        "Streaming" => Event::ResponseStarted {
            request: fields.request_id(2)?,
            attempt: fields.integer(3, "round_no")? as u32,
        },
        "Finished" => attempt_result(&fields)?,
        "ClientLeft" => Event::ClientDisconnected(fields.request_id(2)?),
        "Alarm" => timer(&fields)?,
        "ProbeDone" => return health_check(&fields),
        "Datagram" => Event::PeerMessage {
            from: NodeId(fields.integer(2, "by")? as u32),
            text: fields.text(3, "octets")?.to_string(),
        },
        "Counted" => return counter(&fields),
        other => return Err(ProtocolError::unknown("event", other)),
    };
    Ok(NodeEvent::Policy(event))
}

fn health_check(fields: &Fields<'_>) -> Result<NodeEvent, ProtocolError> {
    Ok(NodeEvent::HealthChecked {
        endpoint: fields.text(2, "backend")?.into(),
        healthy: fields.text(3, "status")? == "OK",
        load_report: fields.load_report(5)?,
    })
}

fn endpoint_update(
    settings: &PlatformSettings,
    fields: &Fields<'_>,
    list: impl Fn(u64) -> Option<Arc<[Value]>>,
) -> Result<Event, ProtocolError> {
    let kind = match fields.text(2, "scope")? {
        "diff" => EndpointUpdateKind::Delta,
        "snapshot" => EndpointUpdateKind::Snapshot,
        "disk" => EndpointUpdateKind::Cached,
        "error" => {
            let failed = EndpointUpdateKind::Failed;
            return Ok(Event::EndpointUpdate(failed, Arc::new([])));
        }
        other => return Err(ProtocolError::unknown("scope", other)),
    };
    let number = fields.integer(4, "sheet")?;
    let entries = list(number).ok_or(ProtocolError::UnknownList(number))?;
    let endpoints = parse_endpoints(settings, &entries)?;
    Ok(Event::EndpointUpdate(kind, endpoints))
}

fn request(settings: &PlatformSettings, fields: &Fields<'_>) -> Result<Event, ProtocolError> {
    let class = fields.text(9, "service")?;
    let plan = fields.text(4, "tariff")?;
    let time_left_ns = fields.at(5).as_i64().ok_or(ProtocolError::field(
        "time_left_ns",
        "is not a whole number",
    ))?;
    Ok(Event::Request(Request {
        id: fields.request_id(2)?,
        class: settings
            .class(class)
            .ok_or_else(|| ProtocolError::unknown("class", class))?,
        plan: settings
            .plan(plan)
            .ok_or_else(|| ProtocolError::unknown("plan", plan))?,
        customer: fields.text(10, "holder")?.into(),
        units: fields.number_or_zero(3, "price_units")?,
        time_left_ns: time_left_ns.max(0) as u64,
        is_retry: fields.integer_or_zero(6, "state_bits")? & RETRY_BIT != 0,
        nodes: NodeSet {
            size: fields.count_or_zero(7, "n_entries")?,
            first: NodeId(fields.count_or_zero(8, "first_door")?),
        },
    }))
}

fn attempt_result(fields: &Fields<'_>) -> Result<Event, ProtocolError> {
    Ok(Event::AttemptFinished(AttemptResult {
        request: fields.request_id(2)?,
        attempt: fields.integer(3, "round_no")? as u32,
        endpoint: fields.text(4, "backend")?.into(),
        outcome: outcome(fields.text(5, "status")?)?,
        latency_ns: fields.integer_or_zero(6, "latency_ns")?,
        request_complete: fields.flag(7, "closed")?,
        settled_units: settled_units(fields)?,
        load_report: fields.load_report(10)?,
    }))
}

/// Actual units according to a response; `None` for 0, which means that the response reports none.
fn settled_units(fields: &Fields<'_>) -> Result<Option<f64>, ProtocolError> {
    let units = fields.number_or_zero(9, "cost")?;
    Ok((units != 0.0).then_some(units))
}

fn outcome(status: &str) -> Result<Outcome, ProtocolError> {
    match status {
        "OK" => Ok(Outcome::Success),
        "INTERNAL" => Ok(Outcome::Failure),
        "RESOURCE_EXHAUSTED" => Ok(Outcome::Overloaded),
        "DEADLINE_EXCEEDED" => Ok(Outcome::TimedOut),
        "UNAVAILABLE" => Ok(Outcome::ConnectFailed),
        "ABORTED" => Ok(Outcome::ConnectionReset),
        "CANCELLED" => Ok(Outcome::Cancelled),
        "TOO_LATE" => Ok(Outcome::NotSent),
        other => Err(ProtocolError::unknown("status", other)),
    }
}

fn timer(fields: &Fields<'_>) -> Result<Event, ProtocolError> {
    let token = fields.text(2, "cookie")?;
    let number = token
        .parse()
        .map_err(|_| ProtocolError::UnknownToken(token.to_string()))?;
    Ok(Event::TimerExpired(number))
}

fn counter(fields: &Fields<'_>) -> Result<NodeEvent, ProtocolError> {
    let name = fields.text(2, "slot_name")?.to_string();
    let succeeded = fields.text(3, "status")? == "OK";
    let total = if succeeded {
        Some(fields.number_or_zero(4, "sum")?)
    } else {
        None
    };
    Ok(NodeEvent::CounterRead { name, total })
}
