//! Presents endpoints in maintenance as draining to the decision policy and to the connection pools. Every update of the
//! endpoint list passes this filter first.
//!
//! Owned by the engine, if there is an admin address. An id stays in maintenance until it is returned to service, whatever
//! happens to it in the endpoint list.

use std::collections::HashMap;

use applewall::api::{EndpointId, EndpointState, EndpointUpdateKind};
use applewall_admin::{AdminResponse, MaintenanceError, MaintenanceSet, MAX_IDS_IN_MAINTENANCE};

use crate::engine::message::EndpointEntry;

/// The endpoint list and the maintenance set.
#[derive(Default)]
pub(crate) struct MaintenanceFilter {
    set: MaintenanceSet,
    /// The endpoint list, without the changes for maintenance.
    listed: HashMap<EndpointId, EndpointEntry>,
}

/// Whether an endpoint enters or leaves maintenance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MaintenanceChange {
    /// The endpoint gets no attempts until it leaves maintenance.
    Enter,
    /// The endpoint gets attempts again, as far as its state in the endpoint list allows.
    Leave,
}

/// The process that received a command from an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandOrigin {
    /// This process, at its admin address.
    AdminAddress,
    /// The other process of this node, which relayed the command. It has accepted the endpoint's id, so the id counts as
    /// known even if it is not in this process's endpoint list.
    OtherProcess,
}

/// The result of a maintenance request.
pub(crate) struct MaintenanceOutcome {
    /// The confirmation, or the reason why the request was rejected.
    pub answer: AdminResponse,
    /// The endpoint's new entry for the decision policy and the pools, if the request changes it.
    pub changed: Option<EndpointEntry>,
}

impl MaintenanceFilter {
    /// Creates a filter with a maintenance set and an empty list.
    pub(crate) fn new(set: MaintenanceSet) -> Self {
        MaintenanceFilter {
            set,
            listed: HashMap::new(),
        }
    }

    /// The maintenance set, and the endpoint list without the changes for maintenance.
    pub(crate) fn state(&self) -> (&MaintenanceSet, impl Iterator<Item = &EndpointEntry>) {
        (&self.set, self.listed.values())
    }

    /// Records an update of the list, and changes endpoints in maintenance in `entries` to draining.
    pub(crate) fn apply(&mut self, kind: EndpointUpdateKind, entries: &mut [EndpointEntry]) {
        if matches!(
            kind,
            EndpointUpdateKind::Cached | EndpointUpdateKind::Snapshot
        ) {
            self.listed.clear();
        }
        for entry in entries {
            let id = &entry.endpoint.id;
            if entry.endpoint.state == EndpointState::Removed {
                self.listed.remove(id);
                continue;
            }
            self.listed.insert(id.clone(), entry.clone());
            if self.set.contains(id) {
                entry.endpoint.state = EndpointState::Draining;
            }
        }
    }

    /// Puts the endpoint `id` into maintenance or returns it to service. Rejects an unknown id, unless the other process
    /// accepted it.
    pub(crate) fn change(
        &mut self,
        id: &str,
        change: MaintenanceChange,
        origin: CommandOrigin,
    ) -> MaintenanceOutcome {
        let entry = self.listed.get(id).cloned();
        let exists = origin == CommandOrigin::OtherProcess || entry.is_some();
        let result = match change {
            MaintenanceChange::Enter => self.set.disable(id, exists),
            MaintenanceChange::Leave => self.set.enable(id, exists),
        };
        let answer = match result {
            Ok(_) => self.confirmation(change, entry.is_some()),
            Err(error) => rejection(id, error),
        };
        // An endpoint that is not in service in the list receives no attempts anyway, so its entry does not change.
        let changed = entry
            .filter(|entry| result == Ok(true) && is_in_service(entry))
            .map(|entry| entry_after(change, entry));
        MaintenanceOutcome { answer, changed }
    }

    /// The answer to a change that was made. Operators' scripts match its words, so they must not change.
    fn confirmation(&self, change: MaintenanceChange, is_listed: bool) -> AdminResponse {
        let state = match change {
            MaintenanceChange::Enter => "withheld",
            MaintenanceChange::Leave => "given back",
        };
        let not_listed = if is_listed {
            ""
        } else {
            ", and not listed now"
        };
        AdminResponse::Done(format!(
            "{state}{not_listed}; {} withheld in all",
            self.set.len()
        ))
    }

    /// Whether there are endpoints that are listed as in service, and all of them are in maintenance.
    pub(crate) fn all_in_maintenance(&self) -> bool {
        let mut in_service = self
            .listed
            .values()
            .filter(|entry| is_in_service(entry))
            .peekable();
        in_service.peek().is_some() && in_service.all(|entry| self.set.contains(&entry.endpoint.id))
    }
}

/// The answer to a rejected change. Operators' scripts match its words, so they must not change.
fn rejection(id: &str, error: MaintenanceError) -> AdminResponse {
    AdminResponse::Error(match error {
        MaintenanceError::Full => {
            format!("{MAX_IDS_IN_MAINTENANCE} ids are withheld; no more are kept")
        }
        MaintenanceError::UnknownEndpoint => format!("no instance has the id '{id}'"),
    })
}

/// The entry of an endpoint in service for the decision policy and the pools after a change of its maintenance.
fn entry_after(change: MaintenanceChange, mut entry: EndpointEntry) -> EndpointEntry {
    if change == MaintenanceChange::Enter {
        entry.endpoint.state = EndpointState::Draining;
    }
    entry
}

/// Whether the list has the endpoint as in service.
fn is_in_service(entry: &EndpointEntry) -> bool {
    entry.endpoint.state == EndpointState::Ready
}

#[cfg(test)]
mod tests;
