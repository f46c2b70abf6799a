//! Hot restart: a new process takes over from the old one while both serve (docs/service-days-design.md).
//!
//! The active process listens on a Unix socket in the shared directory. The new process connects, receives the state and
//! reports that it has taken over. From then on the connection carries admin commands in both directions. When it closes,
//! the other process has exited; if that was the new process, the old one becomes active again, even while it is stopping,
//! unless another process is active.
//!
//! No admin command is missed in between: the old process sends what was changed since it exported its state together with
//! its confirmation, and the new one executes that before it is ready. Commands at the new process's own admin address wait
//! until it is ready. The new process also adopts what the old one wrote to the state file meanwhile, in case that one exits
//! before it confirms, or is of a version that sends no such commands.
//!
//! The old process accepts clients until the new one has reported, and the new one only after that report was confirmed.
//! During the transfer neither process reads datagrams for a moment; they wait in the receive buffer of the UDP socket,
//! which both processes share.

use std::convert::Infallible;
use std::io;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::time::Duration;

use applewall_admin::{AdminCommand, MaintenanceSet};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedWriteHalf, SocketAddr};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::admin::handle::{AdminHandle, ControlMessage};
use crate::lifecycle::command_relay::OtherProcessSender;
use crate::lifecycle::process_role::{RoleOwner, TransferredState};
use crate::lifecycle::shared_directory::SharedDirectory;
use crate::system::peer_socket::PeerSocket;
use crate::system::socket_retry::open_with_retries;

mod admin_changes;
mod command_link;
mod error;
mod transfer;

use admin_changes::AdminState;
use command_link::{CommandLink, Incoming};
pub(crate) use error::{HandOverError, ReceiveError};

/// Timeout of each exchange for which the other process does no work. Both run on one host, so a process that takes longer
/// is hanging.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout from the end of the transfer until the new process reports that it has taken over. In this time it decodes the
/// state and opens its sockets; a new process that takes longer counts as failed.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_secs(10);
/// Line that the new process sends once it has taken over. The spelling is part of the protocol between versions.
const TAKEN_OVER: &str = "taken over";
/// Line with which the old process confirms [`TAKEN_OVER`]. The spelling is part of the protocol between versions.
const CONFIRMATION: &[u8; 6] = b"yours\n";

/// What the new process received from the old one.
pub(crate) struct ReceivedTransfer {
    /// The state of the old process.
    pub state: TransferredState,
    /// The old process's UDP socket, if it has peers.
    pub datagram_socket: Option<OwnedFd>,
    /// The old process, which waits for the report that the new one has taken over.
    pub old_process: OldProcess,
}

/// The old process, seen by the new one.
pub(crate) struct OldProcess {
    connection: UnixStream,
    /// The maintenance set in the state file before the state was exported; `None` if it could not be read.
    written_before: Option<MaintenanceSet>,
}

/// Receives the state of the active process; `None` if no process is active, or if its state could not be received.
pub(crate) async fn receive_transfer(directory: &SharedDirectory) -> Option<ReceivedTransfer> {
    let path = directory.hot_restart_socket();
    // Read before the old process exports its state, so that no later change is overlooked.
    let written_before = directory.try_read_maintenance_set();
    // Retries, because giving up after a transient failure would leave the node with two active processes.
    let stream = match open_with_retries(|| UnixStream::connect(&path)).await {
        Ok(stream) => stream,
        Err(error) => {
            // A killed process leaves its socket behind; `HotRestart::listen` replaces it.
            if error.kind() != io::ErrorKind::NotFound {
                tracing::info!(path = %path.display(), %error, "hot restart: no old process is listening");
            }
            return None;
        }
    };
    let received = timeout(EXCHANGE_TIMEOUT, transfer::receive(stream, written_before))
        .await
        .unwrap_or(Err(ReceiveError::Timeout));
    received
        .inspect_err(
            |error| tracing::warn!(%error, "hot restart: no state received from the old process"),
        )
        .ok()
}

/// Both sides of a hot restart: this process starts as the new one, and is later the old one for the next new process.
pub(crate) struct HotRestart {
    /// Directory of the Unix socket that connects the two processes.
    pub shared_directory: SharedDirectory,
    /// The only writer of this process's role.
    pub role: RoleOwner,
    /// Publishes the queue to the other process while it is connected, so that admin commands are relayed.
    pub other_process: OtherProcessSender,
    /// Executes the admin commands that the other process relays.
    pub admin: AdminHandle,
    /// The queue to the engine, which exports the state, and resumes if the new process fails.
    pub control: mpsc::Sender<ControlMessage>,
    /// The UDP socket, which the new process continues to use.
    pub peers: Option<Arc<PeerSocket>>,
}

/// This process's part in a hot restart after it has become the active one.
pub(crate) struct ActiveProcess {
    hot_restart: HotRestart,
    /// The socket for new processes; `None` if it could not be created.
    listener: Option<UnixListener>,
    /// The link to the old process, until that has exited.
    old_process: Option<CommandLink>,
    /// Changes that the old process wrote to the state file during the transfer.
    written_changes: Vec<AdminCommand>,
}

impl ActiveProcess {
    /// Executes the admin commands that the old process executed after it had exported its state: those whose effect it wrote
    /// to the state file, then those that it sent with its confirmation.
    pub(crate) async fn execute_missed_commands(&mut self) {
        for command in std::mem::take(&mut self.written_changes) {
            self.hot_restart.admin.execute_relayed(command).await;
        }
        let Some(link) = &mut self.old_process else {
            return;
        };
        if link.execute_received().await.is_none() {
            self.old_process = None;
        }
    }

    /// Relays admin commands until the old process has exited, then hands over to new processes for as long as the program
    /// runs.
    pub(crate) async fn run(self) {
        let hot_restart = self.hot_restart;
        if let Some(link) = self.old_process {
            link.run().await;
            tracing::info!("hot restart: old process has exited");
        }
        match self.listener {
            Some(listener) => hot_restart.serve_new_processes(listener).await,
            // No new process can connect. Keep the sender of the role alive: readers treat a closed channel as the end of
            // the program.
            None => hot_restart.role.closed().await,
        }
    }
}

impl HotRestart {
    /// Completes the transfer from the old process, if there is one; `old_process` is the connection to it. Once this
    /// returns, this process is the active one, and its admin commands are relayed.
    pub(crate) async fn take_over(self, old_process: Option<OldProcess>) -> ActiveProcess {
        let listener = self.listen();
        let (mut link, mut written_changes) = (None, Vec::new());
        if let Some(old_process) = old_process {
            link = self.report_taken_over(old_process.connection).await;
            written_changes = self.written_since(old_process.written_before);
        }
        ActiveProcess {
            hot_restart: self,
            listener,
            old_process: link,
            written_changes,
        }
    }

    /// What has changed in the state file; nothing if it cannot be read.
    fn written_since(&self, before: Option<MaintenanceSet>) -> Vec<AdminCommand> {
        let written = self.shared_directory.try_read_maintenance_set();
        match (before, written) {
            (Some(before), Some(written)) => written.changes_since(&before),
            _ => Vec::new(),
        }
    }

    /// Reports to the old process that this one has taken over; returns the link to it once it has confirmed.
    async fn report_taken_over(&self, stream: UnixStream) -> Option<CommandLink> {
        let (reading, mut writing) = stream.into_split();
        let mut reading = BufReader::new(reading);
        let exchange = async {
            writing
                .write_all(format!("{TAKEN_OVER}\n").as_bytes())
                .await?;
            let mut confirmation = [0; CONFIRMATION.len()];
            reading.read_exact(&mut confirmation).await
        };
        if let Ok(Ok(_)) = timeout(EXCHANGE_TIMEOUT, exchange).await {
            return Some(self.command_link(reading, writing));
        }
        tracing::warn!("hot restart: old process did not confirm the takeover");
        None
    }

    fn command_link(&self, reading: Incoming, writing: OwnedWriteHalf) -> CommandLink {
        let (admin, other_process) = (self.admin.clone(), self.other_process.clone());
        CommandLink::new(admin, other_process, reading, writing)
    }

    /// Hands over to a new process. If that fails, this process becomes active again and waits for the next one.
    async fn serve_new_processes(&self, mut listener: UnixListener) {
        // The previous listener: a new process may have connected to it while the hand-over to another one failed.
        let mut previous: Option<UnixListener> = None;
        loop {
            let accepted = tokio::select! {
                accepted = accept_from(previous.as_ref()) => accepted,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(EXCHANGE_TIMEOUT).await;
                continue;
            };
            let Err(error) = self.hand_over(stream).await;
            tracing::warn!(%error, "hot restart: new process failed, this process stays active");
            if self.role.resume() {
                let _ = self.control.send(ControlMessage::ResumeOwnership).await;
                // The new process has replaced this process's socket with its own.
                if let Some(replacement) = self.listen() {
                    previous = Some(std::mem::replace(&mut listener, replacement));
                }
            }
        }
    }

    /// Listens for a new process. Binds the socket at a path of its own and renames it to the shared path, so that the
    /// shared path never disappears.
    fn listen(&self) -> Option<UnixListener> {
        let own_path = self.shared_directory.own_hot_restart_socket();
        let path = self.shared_directory.hot_restart_socket();
        let _ = std::fs::remove_file(&own_path);
        let bound = UnixListener::bind(&own_path).and_then(|listener| {
            std::fs::rename(&own_path, &path)?;
            Ok(listener)
        });
        bound
            .inspect_err(|error| {
                let _ = std::fs::remove_file(&own_path);
                tracing::warn!(path = %path.display(), %error, "hot restart: socket could not be created");
            })
            .ok()
    }

    /// Transfers the state to a new process and relays admin commands until it exits.
    ///
    /// # Errors
    ///
    /// Always returns an error: the reason why the new process is not active or no longer active.
    async fn hand_over(&self, mut stream: UnixStream) -> Result<Infallible, HandOverError> {
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
        link.begin(
            CONFIRMATION,
            self.commands_since(&exported.admin_state).await?,
        );
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

    fn is_draining(&self) -> bool {
        !self.admin.phase.borrow().reports_healthy()
    }
}

/// The state that a new process receives.
struct ExportedState {
    /// The whole state, encoded.
    encoded: Vec<u8>,
    /// The part of it that admin commands change.
    admin_state: AdminState,
}

/// Accepts a connection from a listener; without a listener, never completes.
async fn accept_from(listener: Option<&UnixListener>) -> io::Result<(UnixStream, SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
mod golden;
