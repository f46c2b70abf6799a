//! What operators and another process ask of the engine: instances withheld and given back, and handing over.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use applewall::api::{EndpointUpdateKind, Event};

use super::Engine;
use crate::admin::listener::{self, Order};
use crate::engine::message::EndpointEntry;
use crate::lifecycle::process_role::Estate;

impl Engine {
    pub(super) fn order(&mut self, order: Order) {
        match order {
            Order::Instance(order) => self.instance(order),
            Order::HandOver(reply) => {
                self.handed = true;
                let _ = reply.send(self.hand_over());
            }
            Order::TakeBack => {
                self.handed = false;
                self.brain.resume();
            }
        }
    }

    /// All that another process needs to go on from here.
    fn hand_over(&mut self) -> Result<Estate, String> {
        let module = self
            .brain
            .export_snapshot()
            .map_err(|error| error.to_string())?;
        let (ledger, listed) = match &self.withheld {
            Some(withheld) => {
                let (ledger, listed) = withheld.parts();
                (
                    ledger.clone(),
                    listed.map(|e| (e.endpoint.clone(), e.address)).collect(),
                )
            }
            None => Default::default(),
        };
        Ok(Estate {
            now: self.now,
            withheld: ledger,
            drained: false,
            listed,
            module,
        })
    }

    /// Withholds an instance, or gives one back; answered once the module and the connections know.
    fn instance(&mut self, order: listener::Instance) {
        let listener::Instance {
            id,
            withhold,
            known,
            reply,
        } = order;
        let Some(withheld) = &mut self.withheld else {
            return;
        };
        let ruling = withheld.order(&id, withhold, known);
        let none_left = withheld.none_left();
        let ledger = withheld.parts().0.clone();
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
