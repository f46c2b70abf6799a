//! The role of this process during a hot restart, and the state that the other process of the node receives.
//!
//! Hot restart changes the role through [`RoleOwner`]; other parts of the program only read it. The fields of
//! [`TransferredState`] keep their order and types, because a process of another version may decode them.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Instant;

use applewall::api::Endpoint;
use applewall_admin::MaintenanceSet;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Responsibility of this process while two processes of its node run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessRole {
    /// This process owns the state, the clients and the datagrams.
    Active,
    /// The state is being transferred: this process still accepts clients but no longer reads datagrams. The new process
    /// reads them once it has the state.
    TransferPending,
    /// The new process has taken over; this one only answers the requests that it has already accepted.
    Superseded,
}

/// The only writer of the role. Its transitions are `Active -> TransferPending -> Superseded`, and back to `Active` from
/// either when the new process fails.
pub(crate) struct RoleOwner {
    role: watch::Sender<ProcessRole>,
}

impl RoleOwner {
    /// Creates the owner of an active process's role, and a receiver for readers.
    pub(crate) fn new() -> (Self, watch::Receiver<ProcessRole>) {
        let (role, readers) = watch::channel(ProcessRole::Active);
        (RoleOwner { role }, readers)
    }

    /// Begins the transfer of the state to a new process.
    pub(super) fn begin_transfer(&self) -> PendingTransfer<'_> {
        self.role.send_replace(ProcessRole::TransferPending);
        PendingTransfer { role: &self.role }
    }

    /// Makes this process active again after the new one failed. Returns true if it was not active, in which case the engine
    /// has to resume too.
    pub(super) fn resume(&self) -> bool {
        self.role.send_if_modified(|role| {
            let changed = *role != ProcessRole::Active;
            *role = ProcessRole::Active;
            changed
        })
    }

    /// Waits until the last reader is dropped. A task that does not need the owner any more awaits this to keep it alive:
    /// dropping it would close the channel, which readers treat as the end of the program.
    pub(crate) async fn closed(&self) {
        self.role.closed().await;
    }

    #[cfg(test)]
    pub(super) fn current(&self) -> ProcessRole {
        *self.role.borrow()
    }
}

/// A transfer that has begun. The role becomes [`ProcessRole::Superseded`] only by completing one.
pub(super) struct PendingTransfer<'a> {
    role: &'a watch::Sender<ProcessRole>,
}

impl PendingTransfer<'_> {
    /// Records that the new process has taken over.
    pub(super) fn complete(self) {
        self.role.send_replace(ProcessRole::Superseded);
    }
}

/// The lifecycle state that request and connection handling read.
#[derive(Clone)]
pub(crate) struct ProcessStatus {
    /// The role of this process; always [`ProcessRole::Active`] if it does not take part in hot restarts.
    pub role: watch::Receiver<ProcessRole>,
    /// Set once, when the shutdown begins.
    pub shutdown_times: Arc<OnceLock<ShutdownTimes>>,
}

/// Times of a shutdown, fixed when it begins.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShutdownTimes {
    /// Requests that arrive from this instant on are late.
    pub late_from: Instant,
    /// Late requests are answered by this instant, even if their own deadline is later.
    pub late_answered_by: Instant,
    /// Every accepted request has reached its own deadline by this instant.
    pub responses_due_at: Instant,
}

impl ShutdownTimes {
    /// The instant by which a request that arrived at `arrived` has to be answered, if the shutdown limits it.
    pub(crate) fn answer_limit(&self, arrived: Instant) -> Option<Instant> {
        (arrived >= self.late_from).then_some(self.late_answered_by)
    }
}

/// The state that the old process transfers to the new one. It is encoded with postcard, which has no field names, so the
/// order and types of the fields are part of the protocol.
#[derive(Serialize, Deserialize)]
pub(crate) struct TransferredState {
    /// The time of the engine's clock, in nanoseconds, from which the new process continues it.
    pub now_ns: u64,
    /// Endpoints in maintenance.
    pub maintenance: MaintenanceSet,
    /// Whether the old process is draining or drained.
    pub draining: bool,
    /// The endpoint list as received from discovery, without the changes for maintenance.
    pub endpoints: Vec<(Endpoint, SocketAddr)>,
    /// The decision policy's snapshot.
    pub policy_state: Vec<u8>,
}

#[cfg(test)]
mod tests;
