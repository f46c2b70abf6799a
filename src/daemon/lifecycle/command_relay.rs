//! Relays admin commands to the other process of the node, while two of them run.

use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

/// Maximum wait for the other process to execute an admin command. Half of `admin::handle::ANSWER_TIMEOUT`, so that a
/// hanging process does not delay the answer beyond its deadline.
const RELAY_TIMEOUT: Duration = Duration::from_millis(400);

/// An admin command that is relayed to the other process.
pub(crate) struct RelayedCommand {
    /// The command line, without its line ending.
    pub command: String,
    /// Completed once the other process has executed it.
    pub done: oneshot::Sender<()>,
}

/// The queue of commands to the other process, while it is connected.
pub(crate) type OtherProcess = watch::Receiver<Option<mpsc::Sender<RelayedCommand>>>;
/// Publishes [`OtherProcess`].
pub(crate) type OtherProcessSender = watch::Sender<Option<mpsc::Sender<RelayedCommand>>>;

/// Has the other process, if one is connected, execute a command. Returns once that process has executed it or exited, or
/// after [`RELAY_TIMEOUT`].
pub(crate) async fn relay_command(other_process: &OtherProcess, command: String) {
    let Some(queue) = other_process.borrow().clone() else {
        return;
    };
    let (done, answered) = oneshot::channel();
    if queue.send(RelayedCommand { command, done }).await.is_ok() {
        let _ = timeout(RELAY_TIMEOUT, answered).await;
    }
}

#[cfg(test)]
mod tests;
