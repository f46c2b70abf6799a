//! Relays admin commands, and which requests may have been executed, to the other process of the node, while two of them
//! run.
//!
//! A command is put into the queue to the other process in the order in which it took effect here; its caller then waits
//! until the other process has executed it.

use std::time::Duration;

use applewall::api::RequestId;
use applewall_admin::AdminCommand;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

/// Maximum wait for the other process to execute an admin command. Half of `admin::handle::ANSWER_TIMEOUT`, so that a
/// hanging process does not delay the answer beyond its deadline.
const RELAY_TIMEOUT: Duration = Duration::from_millis(400);

/// An admin command that is relayed to the other process.
pub(crate) struct RelayedCommand {
    /// The command.
    pub command: AdminCommand,
    /// Completed once the other process has executed it.
    pub done: oneshot::Sender<()>,
}

/// A message to the other process.
pub(crate) enum RelayedMessage {
    /// An admin command, which the other process executes too.
    Command(RelayedCommand),
    /// Requests that may have been executed, which the other process must not forward.
    ExecutedRequests(Vec<RequestId>),
}

/// The queue of messages to the other process. Unbounded, so that a process that hangs neither delays the commands here nor
/// misses one: callers that wait for [`RELAY_TIMEOUT`] on a few connections cannot fill it.
pub(crate) type CommandQueue = mpsc::UnboundedSender<RelayedMessage>;
/// The queue to the other process, while it is connected.
pub(crate) type OtherProcess = watch::Receiver<Option<CommandQueue>>;
/// Publishes [`OtherProcess`].
pub(crate) type OtherProcessSender = watch::Sender<Option<CommandQueue>>;

/// A command in the queue to the other process.
pub(crate) struct PendingRelay(oneshot::Receiver<()>);

impl PendingRelay {
    /// Waits until the other process has executed the command or exited, at most for [`RELAY_TIMEOUT`].
    pub(crate) async fn executed(self) {
        let _ = timeout(RELAY_TIMEOUT, self.0).await;
    }
}

/// Puts a command into the queue to the other process; `None` if no other process is connected.
pub(crate) fn relay_command(
    other_process: &OtherProcess,
    command: AdminCommand,
) -> Option<PendingRelay> {
    let queue = other_process.borrow().clone()?;
    let (done, executed) = oneshot::channel();
    let command = RelayedCommand { command, done };
    queue.send(RelayedMessage::Command(command)).ok()?;
    Some(PendingRelay(executed))
}

/// Puts requests that may have been executed into the queue to the other process, if one is connected.
pub(crate) fn relay_executed_requests(other_process: &OtherProcess, requests: Vec<RequestId>) {
    if let Some(queue) = &*other_process.borrow() {
        // Fails if the link has ended: the other process has exited.
        let _ = queue.send(RelayedMessage::ExecutedRequests(requests));
    }
}

#[cfg(test)]
mod tests;
