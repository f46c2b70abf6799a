//! Lines to the simulator: one per action, and the end of each reply.

use std::fmt::Write as _;

use serde_json::{json, Value};

use crate::api::{Action, EndpointId, RequestId};

/// Encoding of an attempt without a timeout and of a rejection without an advised delay.
const NONE_NS: u64 = 0;

/// A request to the simulator for which the policy has no [`Action`], so that it never makes one.
#[derive(Clone, Debug, PartialEq)]
pub enum SimulatorRequest {
    /// Check an endpoint's health.
    HealthCheck(EndpointId),
    /// Close idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Close the watch that [`Action::WatchEndpoints`] has opened.
    CloseEndpointWatch,
    /// Fetch the full endpoint list once.
    FetchEndpoints,
    /// Add to a counter of the counter service.
    AddToCounter {
        /// Name of the counter.
        name: String,
        /// Amount to add to the counter's total.
        amount: f64,
        /// Lifetime of the counter, if this creates it.
        ttl_ns: u64,
    },
}

/// Appends one action of a node as a line.
pub fn write_action(reply: &mut String, node: u64, action: &Action) {
    if let Action::StartAttempt {
        request,
        endpoint,
        timeout_ns,
    } = action
    {
        let timeout_ns = timeout_ns.unwrap_or(NONE_NS);
        return write_attempt(reply, node, *request, endpoint, timeout_ns);
    }
    write_line(reply, &action_line(node, action));
}

/// Appends a line of a node that does not correspond to an action of the policy.
pub fn write_request(reply: &mut String, node: u64, request: &SimulatorRequest) {
    write_line(reply, &request_line(node, request));
}

fn write_line(reply: &mut String, line: &Value) {
    // Writing to a string cannot fail.
    let _ = writeln!(reply, "{line}");
}

/// Writes the most frequent line without building a JSON value; the request's id needs no escaping.
fn write_attempt(
    reply: &mut String,
    node: u64,
    request: RequestId,
    endpoint: &EndpointId,
    timeout_ns: u64,
) {
    let request = request_id(request);
    let endpoint = Value::from(endpoint.as_str());
    let _ = writeln!(
        reply,
        "[\"Try\",{node},\"{request}\",{timeout_ns},{endpoint}]"
    );
}

fn request_id(request: RequestId) -> String {
    format!("{:016x}", request.0)
}

fn action_line(node: u64, action: &Action) -> Value {
    match action {
        Action::StartAttempt {
            request,
            endpoint,
            timeout_ns,
        } => {
            let request = request_id(*request);
            let timeout_ns = timeout_ns.unwrap_or(NONE_NS);
            json!(["Try", node, request, timeout_ns, endpoint.as_str()])
        }
        Action::CancelAttempt { request, attempt } => {
            json!(["Revoke", node, request_id(*request), attempt])
        }
        Action::Reject {
            request,
            retry_after_ns,
        } => {
            let retry_after_ns = retry_after_ns.unwrap_or(NONE_NS);
            json!(["SayNo", node, request_id(*request), retry_after_ns])
        }
        Action::Fail(request) => json!(["EndFailed", node, request_id(*request)]),
        Action::SetTimer { after_ns, token } => {
            json!(["Defer", node, after_ns, token.to_string()])
        }
        Action::SendGossip {
            peer: Some(peer),
            text,
        } => json!(["MemoTo", node, peer.0, text]),
        Action::SendGossip { peer: None, text } => json!(["MemoTo", node, "all", text]),
        Action::Log(event) => json!(["JournalLine", node, event.to_string()]),
        Action::WatchEndpoints => json!(["StreamChanges", node, true]),
    }
}

fn request_line(node: u64, request: &SimulatorRequest) -> Value {
    match request {
        SimulatorRequest::HealthCheck(endpoint) => json!(["AskLoad", node, endpoint.as_str()]),
        SimulatorRequest::CloseIdleConnections(endpoint) => {
            json!(["Release", node, endpoint.as_str()])
        }
        SimulatorRequest::CloseEndpointWatch => json!(["StreamChanges", node, false]),
        SimulatorRequest::FetchEndpoints => json!(["ListAll", node]),
        SimulatorRequest::AddToCounter {
            name,
            amount,
            ttl_ns,
        } => json!(["PostAmount", node, name, amount, ttl_ns]),
    }
}

/// Appends a report that a node's policy has panicked.
pub fn write_exception(reply: &mut String, node: u64, message: &str) {
    write_line(reply, &json!(["Exception", node, message]));
}

/// Appends the end of a reply, with the number of the batch that it answers.
pub fn write_ready(reply: &mut String, batch: u64) {
    write_line(reply, &json!(["Ready", batch]));
}
