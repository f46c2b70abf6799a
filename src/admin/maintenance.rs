//! What discovery lists, as seen through the ledger of withheld instances: the list goes through here on its way to
//! the module and to the connections, so that both see one truth.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::collections::HashMap;

use applewall::api::{EndpointId, EndpointState, EndpointUpdateKind};
use applewall_admin::{AdminResponse, MaintenanceSet, MAX_IDS_IN_MAINTENANCE};

use crate::engine::message::EndpointEntry;

/// The list and the ledger. Kept only where there is a second address.
#[derive(Default)]
pub(crate) struct Withheld {
    ledger: MaintenanceSet,
    /// Every id that the list names, as it does.
    listed: HashMap<EndpointId, EndpointEntry>,
}

/// What an order comes to.
pub(crate) struct Ruling {
    pub answer: AdminResponse,
    /// The entry that has to be taken in again, changed by it.
    pub changed: Option<EndpointEntry>,
}

impl Withheld {
    /// One that goes on with a ledger.
    pub(crate) fn new(ledger: MaintenanceSet) -> Self {
        Withheld {
            ledger,
            listed: HashMap::new(),
        }
    }

    /// The ledger, and the list as discovery has it.
    pub(crate) fn parts(&self) -> (&MaintenanceSet, impl Iterator<Item = &EndpointEntry>) {
        (&self.ledger, self.listed.values())
    }

    /// Takes in news of the list; an instance that is withheld goes on as one that terminates.
    pub(crate) fn mask(&mut self, kind: EndpointUpdateKind, entries: &mut [EndpointEntry]) {
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
            if self.ledger.contains(id) {
                entry.endpoint.state = EndpointState::Draining;
            }
        }
    }

    /// Carries out an order as far as the ledger goes; `known`: the id is somebody's, whatever is listed here.
    pub(crate) fn order(&mut self, id: &str, withhold: bool, known: bool) -> Ruling {
        let entry = self.listed.get(id).cloned();
        let listed = known || entry.is_some();
        let ruled = match withhold {
            true => self.ledger.disable(id, listed),
            false => self.ledger.enable(id, listed),
        };
        let answer = match ruled {
            Ok(_) => {
                let state = match (&entry, withhold) {
                    (None, true) => "withheld, and not listed now",
                    (None, false) => "given back, and not listed now",
                    (_, true) => "withheld",
                    (_, false) => "given back",
                };
                AdminResponse::Done(format!("{state}; {} withheld in all", self.ledger.len()))
            }
            Err(_) if listed => AdminResponse::Error(format!(
                "{MAX_IDS_IN_MAINTENANCE} ids are withheld; no more are kept"
            )),
            Err(_) => AdminResponse::Error(format!("no instance has the id '{id}'")),
        };
        // One that does not serve by the list's own word changes nothing, in or out.
        let serves = |e: &EndpointEntry| e.endpoint.state == EndpointState::Ready;
        let changed = entry
            .filter(|e| ruled == Ok(true) && serves(e))
            .map(|mut entry| {
                if withhold {
                    entry.endpoint.state = EndpointState::Draining;
                }
                entry
            });
        Ruling { answer, changed }
    }

    /// True where instances are listed and all that would serve are withheld.
    pub(crate) fn none_left(&self) -> bool {
        let mut serving = self
            .listed
            .values()
            .filter(|e| e.endpoint.state == EndpointState::Ready)
            .peekable();
        serving.peek().is_some() && serving.all(|e| self.ledger.contains(&e.endpoint.id))
    }
}

#[cfg(test)]
mod tests;
