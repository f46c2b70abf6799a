//! Hot restart: a new process takes over from the old one while both serve (docs/service-days-design.md).
//!
//! Owner: the task that [`HotRestart::run`] becomes, and `serve` during startup. Input: the other process, on a Unix socket
//! in the shared directory. Output: the transferred state, the role of this process, and relayed admin commands. The active
//! process listens; the new process connects, receives the state and reports that it has taken over. From then on the
//! connection carries admin commands in both directions; when it closes, the other process has exited, and the old one is
//! active again, also while it stops, unless another process is. Invariant: the old process accepts clients until the new
//! one has reported, and the new one only after that report was confirmed. While the state is transferred, for a moment no
//! process reads datagrams: they wait in the socket, which both have.

use std::convert::Infallible;
use std::io;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedWriteHalf, SocketAddr};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::admin::handle::{AdminHandle, ControlMessage, ExportError};
use crate::lifecycle::process_role::{OtherProcessSender, RoleOwner, TransferredState};
use crate::lifecycle::shared_directory::SharedDirectory;
use crate::system::peer_socket::PeerSocket;
use crate::system::socket_retry::open_with_retries;

mod command_link;
mod transfer;

use command_link::{CommandLink, IncomingLines};

/// Bounds each exchange that needs no work in the other process. Both run on one host, so a process that takes longer
/// hangs.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);
/// Bounds the time from the end of the transfer until the new process reports that it has taken over. In this time it
/// decodes the state and opens its sockets; a new process that takes longer has failed.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_secs(10);
/// Line that the new process sends once it has taken over. The spelling is part of the protocol between versions.
const TAKEN_OVER: &str = "taken over";
/// Line by which the old process confirms [`TAKEN_OVER`]. The spelling is part of the protocol between versions.
const CONFIRMATION: &[u8; 6] = b"yours\n";

/// Why a new process received no state from the old one.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReceiveError {
    /// The connection to the old process failed.
    #[error("the connection to the old process failed: {0}")]
    Connection(#[from] io::Error),
    /// The old process did not send the state within [`STEP_TIMEOUT`].
    #[error("the old process did not send its state in time")]
    Timeout,
    /// The old process closed the connection before the header was complete.
    #[error("the old process closed the connection before it sent its state")]
    Closed,
    /// The header has another format mark, or a length above the limit.
    #[error("the old process speaks another protocol version")]
    Version,
    /// The state's bytes are not of this version's format.
    #[error("the state of the old process cannot be decoded: {0}")]
    Undecodable(#[source] postcard::Error),
}

/// Why a new process did not take over, or did not stay.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HandOverError {
    /// The connection to the new process failed.
    #[error("the connection to the new process failed: {0}")]
    Connection(#[from] io::Error),
    /// The new process sent no greeting within [`STEP_TIMEOUT`].
    #[error("the new process sent no greeting in time")]
    GreetingTimeout,
    /// The new process sent another greeting.
    #[error("the new process speaks another protocol version")]
    Version,
    /// The engine ended before it exported the state.
    #[error("the engine of this process has stopped")]
    EngineStopped,
    /// The engine could not export the state.
    #[error("the engine of this process could not export its state: {0}")]
    Export(#[source] ExportError),
    /// The state can't be written as bytes.
    #[error("the state of this process cannot be encoded: {0}")]
    Unencodable(#[source] postcard::Error),
    /// The new process did not read the state within [`STEP_TIMEOUT`].
    #[error("the new process did not read the state in time")]
    SendTimeout,
    /// The new process closed the connection, or sent another line than [`TAKEN_OVER`].
    #[error("the new process ended before it had taken over")]
    EndedEarly,
    /// The new process did not report within [`TAKE_OVER_TIMEOUT`].
    #[error("the new process did not report in time")]
    TakeOverTimeout,
    /// The new process had taken over and ended while this process was stopping, and no other process is active.
    #[error("the new process ended while this process was stopping, which accepts clients until it exits")]
    EndedWhileStopping,
    /// The new process had taken over and ended, and this process was not stopping.
    #[error("the new process ended before this process was told to stop")]
    EndedAfterTakeOver,
}

/// What the new process received from the old one.
pub(crate) struct ReceivedTransfer {
    /// The state of the old process.
    pub state: TransferredState,
    /// The old process's UDP socket, where it has peers.
    pub datagram_socket: Option<OwnedFd>,
    /// The connection to the old process, on which the new one reports that it has taken over.
    pub connection: UnixStream,
}

/// Receives the state of the active process; none where no process is active, or its state could not be received.
pub(crate) async fn receive_transfer(directory: &SharedDirectory) -> Option<ReceivedTransfer> {
    let path = directory.hot_restart_socket();
    // Giving up at a transient failure would leave two active processes of one node.
    let stream = match open_with_retries(|| UnixStream::connect(&path)).await {
        Ok(stream) => stream,
        Err(error) => {
            // A process that was killed leaves its socket behind; `HotRestart::listen` replaces it.
            if error.kind() != io::ErrorKind::NotFound {
                tracing::info!(path = %path.display(), %error, "hot restart: no old process listens");
            }
            return None;
        }
    };
    let received = timeout(STEP_TIMEOUT, transfer::receive(stream))
        .await
        .unwrap_or(Err(ReceiveError::Timeout));
    received
        .inspect_err(
            |error| tracing::warn!(%error, "hot restart: no state received from the old process"),
        )
        .ok()
}

/// Both sides of a hot restart: this process is first the new one, and later the old one for the next.
pub(crate) struct HotRestart {
    /// The folder of the Unix socket on which the two processes meet.
    pub shared_directory: SharedDirectory,
    /// The only writer of this process's role.
    pub role: RoleOwner,
    /// Publishes the connection to the other process while it is open, for admin commands to be relayed.
    pub other_process: OtherProcessSender,
    /// Carries out the admin commands that the other process relays.
    pub admin: AdminHandle,
    /// The engine's queue: it exports the state, and resumes where the new process fails.
    pub control: mpsc::Sender<ControlMessage>,
    /// The UDP socket, which the new process continues to use.
    pub peers: Option<Arc<PeerSocket>>,
}

impl HotRestart {
    /// Completes the transfer from the old process, where there is one (`old_process` is the connection to it), then
    /// serves new processes for as long as the program runs. `active` is completed once this process is the active one.
    pub(crate) async fn run(self, old_process: Option<UnixStream>, active: oneshot::Sender<()>) {
        let listener = self.listen();
        let confirmed = match old_process {
            Some(stream) => self.report_taken_over(stream).await,
            None => None,
        };
        // The receiver waits for this one message and may have been dropped with its task.
        let _ = active.send(());
        if let Some(stream) = confirmed {
            let (reading, writing) = stream.into_split();
            let lines = BufReader::new(reading).lines();
            self.relay_commands(lines, writing).await;
            tracing::info!("hot restart: old process has exited");
        }
        match listener {
            Some(listener) => self.serve_new_processes(listener).await,
            // No new process can connect. The role must keep its sender: readers treat a closed channel as the end.
            None => self.role.closed().await,
        }
    }

    /// Tells the old process that this one has taken over; returns the connection once the old process has confirmed.
    async fn report_taken_over(&self, mut stream: UnixStream) -> Option<UnixStream> {
        let exchange = async {
            stream
                .write_all(format!("{TAKEN_OVER}\n").as_bytes())
                .await?;
            let mut confirmation = [0; CONFIRMATION.len()];
            stream.read_exact(&mut confirmation).await
        };
        if let Ok(Ok(_)) = timeout(STEP_TIMEOUT, exchange).await {
            return Some(stream);
        }
        tracing::warn!("hot restart: old process did not confirm the takeover");
        None
    }

    /// Hands over to a new process; where that fails, this process becomes active again and waits for the next.
    async fn serve_new_processes(&self, mut listener: UnixListener) {
        // The listener before, to which a new process may have connected while another one's hand-over failed.
        let mut former: Option<UnixListener> = None;
        loop {
            let accepted = tokio::select! {
                accepted = accept_from(former.as_ref()) => accepted,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(STEP_TIMEOUT).await;
                continue;
            };
            let Err(error) = self.hand_over(stream).await;
            tracing::warn!(%error, "hot restart: new process failed, this process stays active");
            if self.role.resume() {
                let _ = self.control.send(ControlMessage::ResumeOwnership).await;
                // The new process has renamed its own socket over this process's.
                if let Some(replacement) = self.listen() {
                    former = Some(std::mem::replace(&mut listener, replacement));
                }
            }
        }
    }

    /// Listens for a new process. The socket is bound at a path of this process and renamed over whatever is in the
    /// shared place, so that a connecting process never finds the path missing.
    fn listen(&self) -> Option<UnixListener> {
        let own = self.shared_directory.new_hot_restart_socket();
        let path = self.shared_directory.hot_restart_socket();
        let _ = std::fs::remove_file(&own);
        let bound = UnixListener::bind(&own).and_then(|listener| {
            std::fs::rename(&own, &path)?;
            Ok(listener)
        });
        bound
            .inspect_err(|error| {
                let _ = std::fs::remove_file(&own);
                tracing::warn!(path = %path.display(), %error, "hot restart: socket could not be created");
            })
            .ok()
    }

    /// Transfers the state to a new process and relays admin commands until it exits.
    ///
    /// # Errors
    ///
    /// Always: the reason why the new process is not active, or no longer.
    async fn hand_over(&self, mut stream: UnixStream) -> Result<Infallible, HandOverError> {
        transfer::read_greeting(&mut stream).await?;
        // From here on this process reads no datagrams; the new one does so once it has the state.
        let pending = self.role.begin_transfer();
        let state = self.export_state().await?;
        timeout(
            STEP_TIMEOUT,
            transfer::send(&mut stream, &state, self.peers.as_deref()),
        )
        .await
        .map_err(|_| HandOverError::SendTimeout)??;
        let (reading, mut writing) = stream.into_split();
        let mut lines = BufReader::new(reading).lines();
        match timeout(TAKE_OVER_TIMEOUT, lines.next_line()).await {
            Ok(Ok(Some(line))) if line == TAKEN_OVER => {}
            Ok(_) => return Err(HandOverError::EndedEarly),
            Err(_) => return Err(HandOverError::TakeOverTimeout),
        }
        pending.complete();
        tracing::info!("hot restart: new process has taken over");
        // A write error means that the new process exited after it had taken over, as does the end of the relay.
        if writing.write_all(CONFIRMATION).await.is_ok() {
            self.relay_commands(lines, writing).await;
        }
        if !self.admin.phase.borrow().is_stopping() {
            return Err(HandOverError::EndedAfterTakeOver);
        }
        if self.another_process_listens().await {
            // The new process has handed over in its turn: this one exits, and must not become active before that.
            std::future::pending::<()>().await;
        }
        Err(HandOverError::EndedWhileStopping)
    }

    /// True if a process other than this one listens at the shared path, and so is the node's active process. A process
    /// that was killed leaves its socket behind, where nobody listens.
    async fn another_process_listens(&self) -> bool {
        let path = self.shared_directory.hot_restart_socket();
        let Ok(Ok(stream)) = timeout(STEP_TIMEOUT, UnixStream::connect(path)).await else {
            return false;
        };
        let own_id = i32::try_from(std::process::id()).ok();
        stream
            .peer_cred()
            .is_ok_and(|credentials| credentials.pid() != own_id)
    }

    /// The encoded state of the engine, with whether this process drains.
    async fn export_state(&self) -> Result<Vec<u8>, HandOverError> {
        let (reply, exported) = oneshot::channel();
        let _ = self.control.send(ControlMessage::ExportState(reply)).await;
        let mut state = exported
            .await
            .map_err(|_| HandOverError::EngineStopped)?
            .map_err(HandOverError::Export)?;
        state.draining = !self.admin.phase.borrow().reports_healthy();
        postcard::to_stdvec(&state).map_err(HandOverError::Unencodable)
    }

    /// Relays admin commands in both directions until the other process exits.
    async fn relay_commands(&self, lines: IncomingLines, writing: OwnedWriteHalf) {
        CommandLink::new(&self.admin, &self.other_process, lines, writing)
            .run()
            .await;
    }
}

/// Accepts from a listener; waits for ever where there is none.
async fn accept_from(listener: Option<&UnixListener>) -> io::Result<(UnixStream, SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
mod golden;
