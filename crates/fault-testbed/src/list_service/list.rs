//! The list of limit servers: its entries and revisions, and the responses made from it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use serde_json::{json, Value};

use crate::fault::ListServiceFault;

/// State of a limit server's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryState {
    /// The server may receive requests.
    InService,
    /// The server drains: no new request may go to it.
    Draining,
    /// The entry is not on the full list; responses to watches report it as terminated.
    Removed,
}

impl EntryState {
    /// The platform's name of the state.
    fn name(self) -> &'static str {
        match self {
            EntryState::InService => "in_service",
            EntryState::Draining => "terminating",
            EntryState::Removed => "terminated",
        }
    }
}

/// An entry of the list.
#[derive(Clone, Debug)]
pub(super) struct ListEntry {
    instance: usize,
    id: String,
    zone: usize,
    /// Start time of the instance, Unix time; 0, the platform's notation for a start long ago.
    boot_ms: u64,
    state: EntryState,
    /// Revision of the list at the last change of this entry.
    revision: u64,
}

#[derive(Clone, Debug, Default)]
pub(super) struct ListState {
    pub(super) revision: u64,
    entries: Vec<ListEntry>,
    faults: Vec<ListServiceFault>,
    /// Number of restores from a backup so far.
    pub(super) restores: u64,
}

impl ListState {
    pub(super) fn silent(&self) -> bool {
        self.faults.contains(&ListServiceFault::Silent)
    }

    /// Highest fraction of requests that a fault rejects.
    pub(super) fn rejected_fraction(&self) -> f64 {
        let fraction = |fault: &ListServiceFault| match fault {
            ListServiceFault::Rejects(fraction) => *fraction,
            _ => 0.0,
        };
        self.faults.iter().map(fraction).fold(0.0, f64::max)
    }

    /// Highest fraction of responses that a fault truncates.
    pub(super) fn truncated_fraction(&self) -> f64 {
        let fraction = |fault: &ListServiceFault| match fault {
            ListServiceFault::Truncates(fraction) => *fraction,
            _ => 0.0,
        };
        self.faults.iter().map(fraction).fold(0.0, f64::max)
    }

    /// Adds an entry for an instance in service, or replaces the instance's entry.
    pub(super) fn add(&mut self, instance: usize, zone: usize, boot_ms: u64) {
        self.revision += 1;
        self.entries.retain(|entry| entry.instance != instance);
        self.entries.push(ListEntry {
            instance,
            id: instance_id(instance),
            zone,
            boot_ms,
            state: EntryState::InService,
            revision: self.revision,
        });
    }

    /// Changes the state of an instance's entry.
    pub(super) fn set_entry_state(&mut self, instance: usize, state: EntryState) {
        self.revision += 1;
        for entry in &mut self.entries {
            if entry.instance == instance {
                entry.state = state;
                entry.revision = self.revision;
            }
        }
    }

    /// Begins a fault.
    pub(super) fn begin_fault(&mut self, fault: ListServiceFault) {
        self.faults.retain(|active| *active != fault);
        self.faults.push(fault);
        if fault == ListServiceFault::Restored {
            self.revision = 1;
            self.restores += 1;
            for entry in &mut self.entries {
                entry.revision = 1;
            }
        }
    }

    /// Ends a fault.
    pub(super) fn end_fault(&mut self, fault: ListServiceFault) {
        self.faults.retain(|active| *active != fault);
    }

    /// The full list as one ingress receives it.
    pub(super) fn snapshot(&self, endpoints: &Endpoints) -> Snapshot {
        let present = self.entries.iter().filter(|entry| entry.in_full_list());
        Snapshot {
            revision: self.revision,
            targets: present.map(|entry| entry.target(endpoints)).collect(),
        }
    }
}

impl ListEntry {
    /// Whether the entry is on the full list.
    fn in_full_list(&self) -> bool {
        self.state != EntryState::Removed
    }

    /// The JSON form of the entry, with the address at which one ingress reaches the instance.
    fn target(&self, endpoints: &Endpoints) -> Value {
        let endpoint = endpoints.lock().unwrap_or_else(PoisonError::into_inner)[self.instance];
        json!({"uid": self.id, "endpoint": endpoint.to_string(), "az": format!("z{}", self.zone), "model": "m",
            "pod_group": 0, "state": self.state.name(), "capacity_hint": 1.0, "boot_ms": self.boot_ms})
    }
}

/// Addresses at which one ingress reaches the limit servers, by instance.
pub type Endpoints = Arc<Mutex<Vec<SocketAddr>>>;

/// One revision of the list, with its entries in the platform's JSON form.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The revision.
    pub revision: u64,
    /// The entries.
    pub targets: Vec<Value>,
}

/// A response: the full list, or the changes after a revision.
pub(super) struct Response {
    pub(super) state: ListState,
    pub(super) scope: ResponseScope,
}

/// The entries that a response contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseScope {
    /// All that are not removed.
    FullList,
    /// All that have changed after this revision.
    ChangesAfter(u64),
}

impl Response {
    /// Whether this is a full list.
    pub(super) fn full(&self) -> bool {
        self.scope == ResponseScope::FullList
    }

    /// The body as one ingress receives it.
    pub(super) fn body(&self, endpoints: &Endpoints) -> String {
        // Changes include removed entries, the full list does not.
        let included = |entry: &&ListEntry| match self.scope {
            ResponseScope::FullList => entry.in_full_list(),
            ResponseScope::ChangesAfter(revision) => entry.revision > revision,
        };
        let entries = self.state.entries.iter().filter(included);
        let targets: Vec<Value> = entries.map(|entry| entry.target(endpoints)).collect();
        json!({"rev": self.state.revision, "all": self.full(), "targets": targets}).to_string()
    }

    /// Instances that the response reports as draining or removed; a full list reports removed ones by their absence.
    pub(super) fn removals(&self) -> impl Iterator<Item = usize> + '_ {
        let included = |entry: &&ListEntry| match self.scope {
            ResponseScope::FullList => true,
            ResponseScope::ChangesAfter(revision) => entry.revision > revision,
        };
        let entries = self.state.entries.iter().filter(included);
        let removed = |entry: &&ListEntry| entry.state != EntryState::InService;
        entries.filter(removed).map(|entry| entry.instance)
    }
}

/// The id of an instance in the list.
pub fn instance_id(instance: usize) -> String {
    format!("s-{instance:04}")
}
