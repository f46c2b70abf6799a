//! What discovery lists, as seen through the ledger of withheld instances: the list goes through here on its way to
//! the module and to the connections, so that both see one truth.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::collections::HashMap;

use applewall::api::{EndpointId, EndpointState, EndpointUpdateKind};
use applewall_admin::{Answer, Ledger, LEDGER_MOST};

use crate::engine::message::EndpointEntry;

/// The list and the ledger. Kept only where there is a second address.
#[derive(Default)]
pub(crate) struct MaintenanceFilter {
    ledger: Ledger,
    /// Every id that the list names, as it does.
    listed: HashMap<EndpointId, EndpointEntry>,
}

/// What an order comes to.
pub(crate) struct MaintenanceOutcome {
    pub answer: Answer,
    /// The entry that has to be taken in again, changed by it.
    pub changed: Option<EndpointEntry>,
}

impl MaintenanceFilter {
    /// One that goes on with a ledger.
    pub(crate) fn new(ledger: Ledger) -> Self {
        MaintenanceFilter {
            ledger,
            listed: HashMap::new(),
        }
    }

    /// The ledger, and the list as discovery has it.
    pub(crate) fn state(&self) -> (&Ledger, impl Iterator<Item = &EndpointEntry>) {
        (&self.ledger, self.listed.values())
    }

    /// Takes in news of the list; an instance that is withheld goes on as one that terminates.
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
            if self.ledger.holds(id) {
                entry.endpoint.state = EndpointState::Draining;
            }
        }
    }

    /// Carries out an order as far as the ledger goes; `known`: the id is somebody's, whatever is listed here.
    pub(crate) fn change(&mut self, id: &str, withhold: bool, known: bool) -> MaintenanceOutcome {
        let entry = self.listed.get(id).cloned();
        let listed = known || entry.is_some();
        let ruled = match withhold {
            true => self.ledger.withhold(id, listed),
            false => self.ledger.give_back(id, listed),
        };
        let answer = match ruled {
            Ok(_) => {
                let state = match (&entry, withhold) {
                    (None, true) => "withheld, and not listed now",
                    (None, false) => "given back, and not listed now",
                    (_, true) => "withheld",
                    (_, false) => "given back",
                };
                Answer::Done(format!("{state}; {} withheld in all", self.ledger.len()))
            }
            Err(_) if listed => {
                Answer::Error(format!("{LEDGER_MOST} ids are withheld; no more are kept"))
            }
            Err(_) => Answer::Error(format!("no instance has the id '{id}'")),
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
        MaintenanceOutcome { answer, changed }
    }

    /// True where instances are listed and all that would serve are withheld.
    pub(crate) fn all_in_maintenance(&self) -> bool {
        let mut serving = self
            .listed
            .values()
            .filter(|e| e.endpoint.state == EndpointState::Ready)
            .peekable();
        serving.peek().is_some() && serving.all(|e| self.ledger.holds(&e.endpoint.id))
    }
}

#[cfg(test)]
mod tests;
