//! The form of discovery's list, in its answers and in the configuration's `known`.

#![expect(
    clippy::excessive_nesting,
    reason = "deep nesting is flattened as the module is reworked"
)]
#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::collections::HashSet;
use std::net::SocketAddr;

use applewall::api::{Endpoint, EndpointState};
use applewall::platform_settings::PlatformSettings;
use serde::Deserialize;
use serde_json::Value;

use crate::clock::Clock;
use crate::engine::message::EndpointEntry;

/// Malformed entries of an answer that are told of one by one, and of which it is kept that they were.
const TOLD: usize = 3;
const KEPT: usize = 1024;

/// One answer of discovery, also the form of `known` in the configuration.
#[derive(Clone, Debug, Default, Deserialize)]
pub(crate) struct Answer {
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
    pub(crate) fn entries(&self, facts: &PlatformSettings, clock: &Clock) -> Vec<EndpointEntry> {
        self.entries_but(&mut HashSet::new(), facts, clock)
    }

    /// The same; what was said of the answers before is not said again for as long as it stays as it was.
    pub(crate) fn entries_but(
        &self,
        said: &mut HashSet<String>,
        facts: &PlatformSettings,
        clock: &Clock,
    ) -> Vec<EndpointEntry> {
        let (mut entries, mut wrong) = (Vec::with_capacity(self.targets.len()), HashSet::new());
        let mut new = 0;
        for (place, value) in self.targets.iter().enumerate() {
            match entry(value, facts, clock) {
                Ok(entry) => entries.push(entry),
                Err(reason) => {
                    let uid = value
                        .get("uid")
                        .and_then(Value::as_str)
                        .unwrap_or("without a uid");
                    // An agent's text, and so a line of the log, is as long as it likes.
                    let uid: String = uid.escape_debug().take(40).collect();
                    if !said.contains(&format!("{uid}: {reason}")) {
                        new += 1;
                        if new <= TOLD {
                            tracing::warn!(
                                "name table: revision {}: targets[{place}] ({uid}) left out: {reason}",
                                self.rev
                            );
                        }
                    }
                    wrong.insert(format!("{uid}: {reason}"));
                }
            }
        }
        if new > TOLD {
            tracing::warn!(
                "name table: revision {}: {} more entries left out",
                self.rev,
                new - TOLD
            );
        }
        match self.all {
            true => *said = wrong,
            // Changes say nothing of what they leave out. Bounds what is kept of an agent gone wild.
            false if said.len() + wrong.len() <= KEPT => said.extend(wrong),
            false => {}
        }
        entries
    }
}

fn entry(value: &Value, facts: &PlatformSettings, clock: &Clock) -> Result<EndpointEntry, String> {
    let target = Target::deserialize(value).map_err(|e| e.to_string())?;
    let state = match target.state.as_str() {
        "in_service" => EndpointState::Ready,
        "terminating" => EndpointState::Draining,
        "terminated" => EndpointState::Removed,
        other => return Err(format!("unknown state '{other}'")),
    };
    let member = Endpoint {
        id: target.uid.into(),
        weight: target.capacity_hint,
        started_at_ns: clock.nanos_of_unix_ms(target.boot_ms),
        zone: facts.zone(&target.az),
        cell: target.pod_group.unwrap_or(-1),
        machine_type: facts.kind(&target.model),
        state,
    };
    Ok(EndpointEntry {
        endpoint: member,
        address: target.endpoint,
    })
}
