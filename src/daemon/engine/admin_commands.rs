//! Admin commands that the engine carries out: maintenance of endpoints and the state transferred in a hot restart.
//!
//! Each command gets one reply. The reply to a maintenance command is sent after both the policy and the connection
//! pool have applied the change.

use applewall::api::{EndpointUpdateKind, Event};

use super::Engine;
use crate::admin::handle::{ControlMessage, ExportError, MaintenanceRequest};
use crate::admin::maintenance::MaintenanceChange;
use crate::engine::message::EndpointEntry;
use crate::lifecycle::process_role::TransferredState;

impl Engine {
    pub(super) fn handle_admin_command(&mut self, command: ControlMessage) {
        match command {
            ControlMessage::SetMaintenance(command) => self.change_maintenance(command),
            ControlMessage::ExportState(reply) => {
                self.gossip_handed_over = true;
                // Fails if hot restart no longer waits for the state; it then sends `ResumeOwnership`.
                let _ = reply.send(self.export_state());
            }
            ControlMessage::ExportMaintenance(reply) => {
                let maintenance = self.maintenance.as_ref();
                let maintenance = maintenance.map(|filter| filter.state().0.clone());
                // Fails if hot restart no longer waits for it.
                let _ = reply.send(maintenance.unwrap_or_default());
            }
            ControlMessage::ExportExecutedRequests(reply) => {
                // Fails if hot restart no longer waits for them.
                let _ = reply.send(self.executed_requests());
            }
            ControlMessage::RecordExecutedRequests(requests) => {
                let now = self.now;
                requests
                    .into_iter()
                    .for_each(|request| self.executed.record(now, request));
            }
            ControlMessage::ResumeOwnership => {
                self.gossip_handed_over = false;
                self.policy.resume();
            }
        }
    }

    /// Collects the state that the successor process continues from.
    fn export_state(&mut self) -> Result<TransferredState, ExportError> {
        let policy_state = self.policy.export_snapshot()?;
        let (maintenance, endpoints) = match &self.maintenance {
            Some(filter) => {
                let (maintenance, listed) = filter.state();
                let listed = listed.map(|entry| (entry.endpoint.clone(), entry.address));
                (maintenance.clone(), listed.collect())
            }
            None => Default::default(),
        };
        Ok(TransferredState {
            now_ns: self.now,
            maintenance,
            draining: false,
            endpoints,
            policy_state,
        })
    }

    /// Puts an endpoint into maintenance or returns it to service.
    fn change_maintenance(&mut self, command: MaintenanceRequest) {
        let MaintenanceRequest {
            id,
            change,
            origin,
            reply,
        } = command;
        let Some(maintenance) = &mut self.maintenance else {
            return;
        };
        let outcome = maintenance.change(&id, change, origin);
        let none_in_service = maintenance.all_in_maintenance();
        let ids = maintenance.state().0.clone();
        if let Some(entry) = outcome.changed {
            match change {
                MaintenanceChange::Enter => self.enter_maintenance(entry, none_in_service),
                MaintenanceChange::Leave => self.return_to_service(entry),
            }
        }
        // Fails if the caller has disconnected; the command has been carried out.
        let _ = reply.send((outcome.answer, ids));
    }

    /// Stops sending requests to an endpoint.
    fn enter_maintenance(&mut self, entry: EndpointEntry, none_in_service: bool) {
        let endpoint = entry.endpoint.clone();
        tracing::info!(endpoint = %endpoint.id, "endpoint in maintenance");
        self.pool.update(EndpointUpdateKind::Delta, &[entry]);
        self.handle_event(Event::EndpointUpdate(
            EndpointUpdateKind::Delta,
            [endpoint].into(),
        ));
        if none_in_service {
            tracing::warn!("all endpoints are in maintenance, every request is rejected");
        }
    }

    /// Resumes sending requests to an endpoint, which the policy treats as just started.
    fn return_to_service(&mut self, entry: EndpointEntry) {
        let endpoint = entry.endpoint.clone();
        tracing::info!(endpoint = %endpoint.id, "endpoint returned to service");
        self.pool.update(EndpointUpdateKind::Delta, &[entry]);
        self.handle_event(Event::ReturnedToService(endpoint));
    }
}
