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

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::unix::{OwnedWriteHalf, SocketAddr};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;

use crate::admin::handle::{AdminHandle, ControlMessage};
use crate::lifecycle::command_relay::OtherProcessSender;
use crate::lifecycle::process_role::RoleOwner;
use crate::lifecycle::shared_directory::SharedDirectory;
use crate::system::peer_socket::PeerSocket;

mod admin_changes;
mod command_link;
mod error;
mod executed_command;
mod hand_over;
mod take_over;
mod transfer;

use command_link::{CommandLink, Incoming};
pub(crate) use error::{HandOverError, ReceiveError};
pub(crate) use take_over::{receive_transfer, OldProcess, ReceivedTransfer};

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

impl HotRestart {
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

    fn command_link(&self, reading: Incoming, writing: OwnedWriteHalf) -> CommandLink {
        let (admin, other_process) = (self.admin.clone(), self.other_process.clone());
        CommandLink::new(admin, other_process, reading, writing)
    }
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
