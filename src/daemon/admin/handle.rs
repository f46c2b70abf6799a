//! Executes admin commands: passes those about endpoints to the engine and those about the drain to the lifecycle driver,
//! through separate queues.
//!
//! Each connection to the admin address and the link to the other process have a clone of the handle. Commands from the
//! admin address are answered within [`ANSWER_TIMEOUT`]. After each change the newest maintenance set is sent to the state
//! writer.
//!
//! While two processes of a node run, a change that is confirmed holds in both. It is executed here, relayed to the other
//! process and written to disk, in the same order for all commands, even if its caller no longer waits. A process that is
//! still taking over executes no changes of its own: it does not know yet what the old process changes meanwhile.

use std::sync::Arc;
use std::time::Duration;

use applewall::api::RequestId;
use applewall_admin::{AdminCommand, AdminResponse, LifecyclePhase, MaintenanceSet};
use tokio::sync::{mpsc, oneshot, watch, OwnedRwLockReadGuard, RwLock};
use tokio::time::timeout;

use crate::admin::maintenance::{CommandOrigin, MaintenanceChange};
use crate::admin::state_writer::{self, PendingWrite, StateQueue};
use crate::lifecycle::command_relay::{relay_command, OtherProcess, PendingRelay};
use crate::lifecycle::process_role::TransferredState;

/// Maximum time from a command to its answer. Callers expect the answer within 1 s; the rest is left for the network. A
/// command that takes longer is answered with an error.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Capacity of the queues to the engine and to the lifecycle driver. Larger than the number of admin connections, so that no
/// command waits for capacity. The engine empties its control queue before any other.
const QUEUE_CAPACITY: usize = 16;

// Texts of error answers. Operators' scripts match them, so they must not change.
const TIMED_OUT: &str = "not decided in time; it may still come into force, so ask again";
const STOPPING: &str = "this process was told to stop";
/// Answer to `READY` until the takeover from the old process is complete.
const TAKING_OVER: &str = "not yet: this process still takes over from the one before";
/// Answer to `READY` while no endpoint list is known.
const NO_ENDPOINT_LIST: &str = "not yet: no endpoint list known";
const ABOUT_TO_END: &str = "this process is about to end";

/// Why the engine could not export its state.
pub(crate) type ExportError = Box<dyn std::error::Error + Send + Sync>;

/// A message that the engine handles before all others.
pub(crate) enum ControlMessage {
    /// Put an endpoint into maintenance, or return it to service.
    SetMaintenance(MaintenanceRequest),
    /// Export the engine's state for the transfer to a new process.
    ExportState(oneshot::Sender<Result<TransferredState, ExportError>>),
    /// Export the maintenance set, for what has changed since the state was exported.
    ExportMaintenance(oneshot::Sender<MaintenanceSet>),
    /// Export the requests that may have been executed and must not be executed again.
    ExportExecutedRequests(oneshot::Sender<Vec<RequestId>>),
    /// Record requests that the other process may have executed.
    RecordExecutedRequests(Vec<RequestId>),
    /// Resume gossip, with the ceilings' full rates, because the new process has failed.
    ResumeOwnership,
}

/// Request to put an endpoint into maintenance or to return it to service.
pub(crate) struct MaintenanceRequest {
    /// The endpoint's id, as the operator gave it; it may be unknown.
    pub id: String,
    /// Whether the endpoint enters or leaves maintenance.
    pub change: MaintenanceChange,
    /// The process that received the command.
    pub origin: CommandOrigin,
    /// Completed with the answer and the maintenance set after the change.
    pub reply: oneshot::Sender<(AdminResponse, MaintenanceSet)>,
}

/// The change that `DRAIN` or `UNDRAIN` requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainChange {
    /// Report failure at the health check, and after a notice period close connections.
    Begin,
    /// Return this process to service; rejected once it is stopping.
    End,
}

/// Request to begin or end the drain.
pub(crate) struct DrainRequest {
    /// Whether to begin or end it.
    pub change: DrainChange,
    /// Completed with the answer once the phase is in effect.
    pub reply: oneshot::Sender<AdminResponse>,
}

/// The receivers of the handle's queues.
pub(crate) struct AdminReceivers {
    /// Control messages for the engine.
    pub control: mpsc::Receiver<ControlMessage>,
    /// Drain requests for the lifecycle driver.
    pub drain_requests: mpsc::Receiver<DrainRequest>,
}

/// Creates the queues from the handle to the engine and to the lifecycle driver.
pub(crate) fn channels() -> (
    mpsc::Sender<ControlMessage>,
    mpsc::Sender<DrainRequest>,
    AdminReceivers,
) {
    let (control, control_receiver) = mpsc::channel(QUEUE_CAPACITY);
    let (drain_requests, drain_receiver) = mpsc::channel(QUEUE_CAPACITY);
    let receivers = AdminReceivers {
        control: control_receiver,
        drain_requests: drain_receiver,
    };
    (control, drain_requests, receivers)
}

/// Executes admin commands.
#[derive(Clone)]
pub(crate) struct AdminHandle {
    /// The queue of control messages to the engine.
    pub control: mpsc::Sender<ControlMessage>,
    /// The queue to the lifecycle driver.
    pub drain_requests: mpsc::Sender<DrainRequest>,
    /// The phase that the lifecycle driver has published; part of the answer to `READY`.
    pub phase: watch::Receiver<LifecyclePhase>,
    /// True once this process can serve.
    pub ready: watch::Receiver<bool>,
    /// True once an endpoint list is known.
    pub has_endpoints: watch::Receiver<bool>,
    /// The queue to the state writer, if the maintenance set is written to disk.
    pub state_queue: Option<StateQueue>,
    /// The queue to the other process of this node, while one is connected.
    pub other_process: OtherProcess,
    /// Keeps changes in order. Held from the request to the engine or the lifecycle driver until the change is in the queues
    /// to the other process and to the state writer, so that both see changes in the order in which they took effect.
    pub change_lock: Arc<tokio::sync::Mutex<()>>,
    /// Read-locked by each command from its receipt until its answer has been written.
    pub open_commands: Arc<RwLock<()>>,
}

/// A change that is in effect in this process.
struct Change {
    /// The answer to the command.
    answer: AdminResponse,
    /// The change in the queue to the other process, if it is relayed.
    relayed: Option<PendingRelay>,
    /// The new maintenance set in the queue to the state writer, if it is written.
    write: Option<PendingWrite>,
}

/// Keeps the process from exiting until a command has its answer.
pub(super) struct OpenCommand {
    _guard: OwnedRwLockReadGuard<()>,
}

impl AdminHandle {
    /// Begins a command; the process waits for it before it exits.
    pub(super) async fn begin_command(&self) -> OpenCommand {
        OpenCommand {
            _guard: self.open_commands.clone().read_owned().await,
        }
    }

    /// Waits until the commands that have been received are answered, which takes at most [`ANSWER_TIMEOUT`]. Later ones are
    /// not answered any more.
    pub(crate) async fn finish_commands(&self) {
        let answered = self.open_commands.write();
        // The process exits in either case.
        let _ = timeout(ANSWER_TIMEOUT, answered).await;
    }

    /// Executes a command from the admin address: in this process, and in the other one if there is one.
    pub(super) async fn execute(&self, command: AdminCommand) -> AdminResponse {
        if command == AdminCommand::Ready {
            return self.ready();
        }
        let handle = self.clone();
        // In a task of its own, because a caller that no longer waits must not end a command halfway.
        let executed = tokio::spawn(async move { handle.execute_in_both(command).await });
        match timeout(ANSWER_TIMEOUT, executed).await {
            Ok(answer) => answer.unwrap_or_else(|_| about_to_end()),
            Err(_) => AdminResponse::Error(TIMED_OUT.to_string()),
        }
    }

    /// Executes a change in this process and in the other one, and waits until it is written to disk.
    async fn execute_in_both(&self, command: AdminCommand) -> AdminResponse {
        // Fails only when the process ends.
        let _ = self.ready.clone().wait_for(|ready| *ready).await;
        let change = self.change(command, CommandOrigin::AdminAddress).await;
        let answer = match (change.answer, change.write) {
            (AdminResponse::Done(text), Some(write)) => {
                AdminResponse::Done(confirmation(text, write).await)
            }
            (answer, _) => answer,
        };
        if let Some(relayed) = change.relayed {
            relayed.executed().await;
        }
        answer
    }

    /// Executes a command that the other process has relayed. Does not wait until it is written to disk, for which the
    /// caller waits at the other process.
    pub(crate) async fn execute_relayed(&self, command: AdminCommand) -> AdminResponse {
        match command {
            AdminCommand::Ready => self.ready(),
            command => {
                let change = self.change(command, CommandOrigin::OtherProcess);
                change.await.answer
            }
        }
    }

    /// Executes a change in this process, and puts it into the queues to the other process and to the state writer.
    async fn change(&self, command: AdminCommand, origin: CommandOrigin) -> Change {
        let _order = self.change_lock.lock().await;
        let (answer, maintenance) = self.change_here(command.clone(), origin).await;
        let mut change = Change {
            answer,
            relayed: None,
            write: None,
        };
        if !matches!(change.answer, AdminResponse::Done(_)) {
            return change;
        }
        if origin == CommandOrigin::AdminAddress {
            change.relayed = relay_command(&self.other_process, command);
        }
        if let (Some(maintenance), Some(queue)) = (maintenance, &self.state_queue) {
            change.write = Some(state_writer::write(queue, maintenance).await);
        }
        change
    }

    /// Executes a change in this process only; returns the answer and, if it concerns an endpoint, the new maintenance set.
    async fn change_here(
        &self,
        command: AdminCommand,
        origin: CommandOrigin,
    ) -> (AdminResponse, Option<MaintenanceSet>) {
        match command {
            AdminCommand::Ready => (self.ready(), None),
            AdminCommand::Disable(id) => {
                self.change_maintenance(id, MaintenanceChange::Enter, origin)
                    .await
            }
            AdminCommand::Enable(id) => {
                self.change_maintenance(id, MaintenanceChange::Leave, origin)
                    .await
            }
            AdminCommand::Drain => (self.change_drain(DrainChange::Begin).await, None),
            AdminCommand::Undrain => (self.change_drain(DrainChange::End).await, None),
        }
    }

    /// The answer to `READY`: whether this process can serve.
    fn ready(&self) -> AdminResponse {
        let phase = *self.phase.borrow();
        if phase.is_stopping() {
            AdminResponse::Error(STOPPING.to_string())
        } else if !*self.ready.borrow() {
            AdminResponse::Error(TAKING_OVER.to_string())
        } else if !*self.has_endpoints.borrow() {
            AdminResponse::Error(NO_ENDPOINT_LIST.to_string())
        } else {
            AdminResponse::Done(phase.as_str().to_string())
        }
    }

    /// Changes an endpoint's maintenance in the engine; returns the answer and the new maintenance set.
    async fn change_maintenance(
        &self,
        id: String,
        change: MaintenanceChange,
        origin: CommandOrigin,
    ) -> (AdminResponse, Option<MaintenanceSet>) {
        let (reply, result) = oneshot::channel();
        let request = ControlMessage::SetMaintenance(MaintenanceRequest {
            id,
            change,
            origin,
            reply,
        });
        if self.control.send(request).await.is_err() {
            return (about_to_end(), None);
        }
        match result.await {
            Ok((answer, maintenance)) => (answer, Some(maintenance)),
            Err(_) => (about_to_end(), None),
        }
    }

    /// Begins or ends the drain in the lifecycle driver.
    async fn change_drain(&self, change: DrainChange) -> AdminResponse {
        let (reply, answer) = oneshot::channel();
        let request = DrainRequest { change, reply };
        if self.drain_requests.send(request).await.is_err() {
            return about_to_end();
        }
        answer.await.unwrap_or_else(|_| about_to_end())
    }
}

/// The text of a confirmation once the new maintenance set has been written. It includes the error if the first attempt
/// failed; the set is in effect even then, and the state writer retries.
async fn confirmation(text: String, write: PendingWrite) -> String {
    match write.first_attempt().await {
        Ok(()) => text,
        Err(error) => format!("{text}; not written down: {error}"),
    }
}

/// The answer to a command after the engine or the lifecycle driver has ended.
fn about_to_end() -> AdminResponse {
    AdminResponse::Error(ABOUT_TO_END.to_string())
}

#[cfg(test)]
pub(crate) mod tests;
