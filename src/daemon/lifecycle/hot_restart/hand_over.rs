//! The old process's side of a hot restart: it exports its state, waits for the new process to take over, and sends the admin
//! commands that were executed meanwhile.

use std::convert::Infallible;

use applewall::api::RequestId;
use applewall_admin::AdminCommand;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::UnixStream;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::admin_changes::AdminState;
use super::{
    transfer, HandOverError, HotRestart, CONFIRMATION, EXCHANGE_TIMEOUT, TAKEN_OVER,
    TAKE_OVER_TIMEOUT,
};
use crate::admin::handle::ControlMessage;

/// The state that a new process receives.
struct ExportedState {
    /// The whole state, encoded.
    encoded: Vec<u8>,
    /// The part of it that admin commands change.
    admin_state: AdminState,
}

impl HotRestart {
    /// Transfers the state to a new process and relays admin commands until it exits.
    ///
    /// # Errors
    ///
    /// Always returns an error: the reason why the new process is not active or no longer active.
    pub(super) async fn hand_over(
        &self,
        mut stream: UnixStream,
    ) -> Result<Infallible, HandOverError> {
        transfer::read_greeting(&mut stream).await?;
        // From here on this process does not read datagrams; the new one starts reading once it has the state.
        let pending = self.role.begin_transfer();
        let exported = self.export_state().await?;
        timeout(
            EXCHANGE_TIMEOUT,
            transfer::send(&mut stream, &exported.encoded, self.peers.as_deref()),
        )
        .await
        .map_err(|_| HandOverError::SendTimeout)??;
        let (reading, writing) = stream.into_split();
        let mut reading = BufReader::new(reading);
        let mut line = String::new();
        match timeout(TAKE_OVER_TIMEOUT, reading.read_line(&mut line)).await {
            Ok(Ok(_)) if line.strip_suffix('\n') == Some(TAKEN_OVER) => {}
            Ok(_) => return Err(HandOverError::EndedEarly),
            Err(_) => return Err(HandOverError::TakeOverTimeout),
        }
        pending.complete();
        tracing::info!("hot restart: new process has taken over");
        // Commands are relayed from here on, so that each is either among the missed ones or relayed.
        let mut link = self.command_link(reading, writing);
        let missed = self.commands_since(&exported.admin_state).await?;
        link.begin(CONFIRMATION, missed, &self.executed_requests().await?);
        link.run().await;
        if !self.admin.phase.borrow().is_stopping() {
            return Err(HandOverError::EndedAfterTakeOver);
        }
        if self.another_process_listens().await {
            // The new process has itself handed over to another one. This process is about to exit and must not become
            // active again.
            std::future::pending::<()>().await;
        }
        Err(HandOverError::EndedWhileStopping)
    }

    /// Whether another process listens at the shared path and is therefore the node's active process. A killed process
    /// leaves its socket behind, but nothing listens there.
    async fn another_process_listens(&self) -> bool {
        let path = self.shared_directory.hot_restart_socket();
        let Ok(Ok(stream)) = timeout(EXCHANGE_TIMEOUT, UnixStream::connect(path)).await else {
            return false;
        };
        let own_id = i32::try_from(std::process::id()).ok();
        stream
            .peer_cred()
            .is_ok_and(|credentials| credentials.pid() != own_id)
    }

    /// Exports the state of the engine, including whether this process is draining.
    async fn export_state(&self) -> Result<ExportedState, HandOverError> {
        let (reply, exported) = oneshot::channel();
        let _ = self.control.send(ControlMessage::ExportState(reply)).await;
        let mut state = exported
            .await
            .map_err(|_| HandOverError::EngineStopped)?
            .map_err(HandOverError::Export)?;
        state.draining = self.is_draining();
        Ok(ExportedState {
            encoded: postcard::to_stdvec(&state).map_err(HandOverError::Unencodable)?,
            admin_state: AdminState {
                maintenance: state.maintenance,
                draining: state.draining,
            },
        })
    }

    /// The admin commands executed since the export, by their effect.
    async fn commands_since(
        &self,
        exported: &AdminState,
    ) -> Result<Vec<AdminCommand>, HandOverError> {
        let (reply, maintenance) = oneshot::channel();
        let _ = self
            .control
            .send(ControlMessage::ExportMaintenance(reply))
            .await;
        let current = AdminState {
            maintenance: maintenance
                .await
                .map_err(|_| HandOverError::EngineStopped)?,
            draining: self.is_draining(),
        };
        let missed = current.changes_since(exported, *self.admin.phase.borrow());
        if !missed.is_empty() {
            let commands = missed.len();
            tracing::info!(
                commands,
                "hot restart: changes by operators during the transfer sent to the new process"
            );
        }
        Ok(missed)
    }

    /// The requests that may have been executed, or may still be.
    async fn executed_requests(&self) -> Result<Vec<RequestId>, HandOverError> {
        let (reply, executed) = oneshot::channel();
        let export = ControlMessage::ExportExecutedRequests(reply);
        let _ = self.control.send(export).await;
        executed.await.map_err(|_| HandOverError::EngineStopped)
    }

    fn is_draining(&self) -> bool {
        !self.admin.phase.borrow().reports_healthy()
    }
}
