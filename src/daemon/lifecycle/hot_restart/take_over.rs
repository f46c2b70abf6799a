//! The new process's side of a hot restart: it receives the state, takes over, and executes the admin commands that it has
//! missed meanwhile.

use std::io;
use std::os::fd::OwnedFd;

use applewall_admin::{AdminCommand, MaintenanceSet};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::time::timeout;

use super::command_link::CommandLink;
use super::{transfer, HotRestart, ReceiveError, CONFIRMATION, EXCHANGE_TIMEOUT, TAKEN_OVER};
use crate::lifecycle::process_role::TransferredState;
use crate::lifecycle::shared_directory::SharedDirectory;
use crate::system::socket_retry::open_with_retries;

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
    pub(super) connection: UnixStream,
    /// The maintenance set in the state file before the state was exported; `None` if it could not be read.
    pub(super) written_before: Option<MaintenanceSet>,
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
}
