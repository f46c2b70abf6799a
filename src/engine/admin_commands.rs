//! Admin commands that the engine carries out: endpoints put into maintenance and returned to service, and the state
//! that a hot restart transfers.
//!
//! Owner: the engine. Input: commands of the admin listener. Output: one reply a command. Invariant: a reply is sent
//! once the policy and the connection pool both know of the change.

use applewall::api::{EndpointUpdateKind, Event};

use super::Engine;
use crate::admin::listener::{self, Order};
use crate::engine::message::EndpointEntry;
use crate::lifecycle::process_role::Estate;

impl Engine {
    pub(super) fn handle_admin_command(&mut self, command: Order) {
        match command {
            Order::Instance(command) => self.change_maintenance(command),
            Order::HandOver(reply) => {
                self.gossip_handed_over = true;
                // A process that gave up the hand-over meanwhile takes everything back by a command of its own.
                let _ = reply.send(self.export_state());
            }
            Order::TakeBack => {
                self.gossip_handed_over = false;
                self.policy.resume();
            }
        }
    }

    /// Everything that another process needs to go on from here.
    fn export_state(&mut self) -> Result<Estate, String> {
        let snapshot = self.policy.export_snapshot();
        let module = snapshot.map_err(|error| error.to_string())?;
        let (withheld, listed) = match &self.maintenance {
            Some(maintenance) => {
                let (ledger, listed) = maintenance.parts();
                let listed = listed.map(|entry| (entry.endpoint.clone(), entry.address));
                (ledger.clone(), listed.collect())
            }
            None => Default::default(),
        };
        Ok(Estate {
            now: self.now,
            withheld,
            drained: false,
            listed,
            module,
        })
    }

    /// Puts an endpoint into maintenance, or returns it to service.
    fn change_maintenance(&mut self, command: listener::Instance) {
        let listener::Instance {
            id,
            withhold,
            known,
            reply,
        } = command;
        let Some(maintenance) = &mut self.maintenance else {
            return;
        };
        let ruling = maintenance.order(&id, withhold, known);
        let none_left = maintenance.none_left();
        let ledger = maintenance.parts().0.clone();
        if let Some(entry) = ruling.changed {
            tracing::info!(
                "operator: {id} {}",
                if withhold { "withheld" } else { "given back" }
            );
            self.apply_maintenance(entry, withhold);
            if withhold && none_left {
                tracing::warn!("operator: all instances are withheld; every command is nacked");
            }
        }
        // The command is carried out also where its caller has disconnected.
        let _ = reply.send((ruling.answer, ledger));
    }

    fn apply_maintenance(&mut self, entry: EndpointEntry, in_maintenance: bool) {
        let endpoint = entry.endpoint.clone();
        self.pool.update(EndpointUpdateKind::Delta, &[entry]);
        self.handle_event(if in_maintenance {
            Event::EndpointUpdate(EndpointUpdateKind::Delta, [endpoint].into())
        } else {
            Event::ReturnedToService(endpoint)
        });
    }
}
