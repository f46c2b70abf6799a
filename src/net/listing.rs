//! The form of discovery's list, in its answers and in the configuration's `known`.

use std::net::SocketAddr;

use applewall::api::{Member, MemberState};
use applewall::wire::Facts;
use serde::Deserialize;
use serde_json::Value;

use super::clock::Clock;
use super::message::Entry;

/// One answer of discovery, also the form of `known` in the configuration.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Answer {
    pub rev: u64,
    #[serde(default)]
    pub all: bool,
    /// Read one by one: a malformed entry must not take the others with it.
    #[serde(default)]
    pub targets: Vec<Value>,
}

#[derive(Deserialize)]
struct Target {
    uid: String,
    endpoint: SocketAddr,
    #[serde(default)]
    az: String,
    #[serde(default)]
    pod_group: Option<i64>,
    #[serde(default)]
    model: String,
    state: String,
    #[serde(default)]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: u64,
}

impl Answer {
    /// The entries in the module's terms; what is malformed is left out and said so.
    pub fn entries(&self, facts: &Facts, clock: &Clock) -> Vec<Entry> {
        let read = |value: &Value| match entry(value, facts, clock) {
            Ok(entry) => Some(entry),
            Err(reason) => {
                tracing::warn!("name table: an entry of revision {} left out: {reason}", self.rev);
                None
            }
        };
        self.targets.iter().filter_map(read).collect()
    }
}

fn entry(value: &Value, facts: &Facts, clock: &Clock) -> Result<Entry, String> {
    let target = Target::deserialize(value).map_err(|e| e.to_string())?;
    let state = match target.state.as_str() {
        "in_service" => MemberState::Ready,
        "terminating" => MemberState::Draining,
        "terminated" => MemberState::Gone,
        other => return Err(format!("unknown state '{other}'")),
    };
    let member = Member {
        backend: target.uid.into(),
        scale: target.capacity_hint,
        started: clock.of_unix(target.boot_ms),
        zone: facts.zone(&target.az),
        cell: target.pod_group.unwrap_or(-1),
        kind: facts.kind(&target.model),
        state,
    };
    Ok(Entry { member, endpoint: target.endpoint })
}
