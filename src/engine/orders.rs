//! What operators and another process ask of the engine: instances withheld and given back, and handing over.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use applewall::api::{EndpointUpdateKind, Event};

use super::Engine;
use crate::admin::handle::{ControlMessage, ExportError, MaintenanceRequest};
use crate::engine::message::EndpointEntry;
use crate::lifecycle::process_role::TransferredState;

impl Engine {
    pub(super) fn order(&mut self, order: ControlMessage) {
        match order {
            ControlMessage::SetMaintenance(order) => self.instance(order),
            ControlMessage::ExportState(reply) => {
                self.handed = true;
                let _ = reply.send(self.hand_over());
            }
            ControlMessage::ResumeOwnership => {
                self.handed = false;
                self.brain.resume();
            }
        }
    }

    /// All that another process needs to go on from here.
    fn hand_over(&mut self) -> Result<TransferredState, ExportError> {
        let module = self.brain.export_snapshot()?;
        let (ledger, listed) = match &self.withheld {
            Some(withheld) => {
                let (ledger, listed) = withheld.state();
                (
                    ledger.clone(),
                    listed.map(|e| (e.endpoint.clone(), e.address)).collect(),
                )
            }
            None => Default::default(),
        };
        Ok(TransferredState {
            now_ns: self.now,
            maintenance: ledger,
            draining: false,
            endpoints: listed,
            policy_state: module,
        })
    }

    /// Withholds an instance, or gives one back; answered once the module and the connections know.
    fn instance(&mut self, order: MaintenanceRequest) {
        let MaintenanceRequest {
            id,
            enter: withhold,
            known_to_other_process: known,
            reply,
        } = order;
        let Some(withheld) = &mut self.withheld else {
            return;
        };
        let ruling = withheld.change(&id, withhold, known);
        let none_left = withheld.all_in_maintenance();
        let ledger = withheld.state().0.clone();
        if let Some(entry) = ruling.changed {
            tracing::info!(
                "operator: {id} {}",
                if withhold { "withheld" } else { "given back" }
            );
            let EndpointEntry {
                endpoint: member, ..
            } = &entry;
            let event = match withhold {
                true => Event::EndpointUpdate(EndpointUpdateKind::Delta, [member.clone()].into()),
                false => Event::ReturnedToService(member.clone()),
            };
            self.fleet.update(EndpointUpdateKind::Delta, &[entry]);
            self.event(event);
            if withhold && none_left {
                tracing::warn!("operator: all instances are withheld; every command is nacked");
            }
        }
        // A caller that left has had it carried out all the same.
        let _ = reply.send((ruling.answer, ledger));
    }
}
