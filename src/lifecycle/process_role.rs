//! What the rest of the program has to know of another process of this ingress: who is in charge, what one hands the
//! other, and how a call gets there. Knows neither of the two that use it.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use applewall::api::Endpoint;
use applewall_admin::Ledger;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

/// The other process has so long to carry out a call; then the caller's answer does not wait for it any more.
const CALL: Duration = Duration::from_millis(400);

/// Who this process is to the other one, if there is another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessRole {
    /// All is this process's.
    Active,
    /// The estate is handed out, and not taken over yet: clients are still this process's.
    TransferPending,
    /// The other one has taken over: this one answers what it has.
    Superseded,
}

/// What the rest of the program has to know of a process that takes over from this one.
#[derive(Clone)]
pub(crate) struct ProcessStatus {
    pub role: watch::Receiver<ProcessRole>,
    /// Set once this process was told to stop.
    pub shutdown_times: Arc<OnceLock<ShutdownTimes>>,
}

/// The times of a stop, which are fixed the moment it is told.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShutdownTimes {
    /// Requests that arrive from here on count as late.
    pub late_from: Instant,
    /// Late requests are answered by this instant, however much time they have left.
    pub late_answered_by: Instant,
    /// The process exits at this instant, whatever is still open.
    pub exit_at: Instant,
}

impl ShutdownTimes {
    /// The latest answer to a request that arrived at `arrived`, where the shutdown limits it.
    pub(crate) fn answer_limit(&self, arrived: Instant) -> Option<Instant> {
        (arrived >= self.late_from).then_some(self.late_answered_by)
    }
}

/// What one process hands another.
#[derive(Serialize, Deserialize)]
pub(crate) struct TransferredState {
    /// The module's clock.
    pub now_ns: u64,
    pub maintenance: Ledger,
    /// Draining or drained.
    pub draining: bool,
    /// The list, as discovery has it.
    pub endpoints: Vec<(Endpoint, SocketAddr)>,
    /// What the module keeps.
    pub policy_state: Vec<u8>,
}

/// A call for the other process, and where its answer goes.
pub(crate) struct RelayedCommand {
    pub command: String,
    pub done: oneshot::Sender<()>,
}

/// The way to the other process, while there is one.
pub(crate) type OtherProcess = watch::Receiver<Option<mpsc::Sender<RelayedCommand>>>;

/// Lets the other process, if there is one, carry out what this one has; returns once it has, or is gone.
pub(crate) async fn relay(other: &OtherProcess, call: String) {
    let Some(link) = other.borrow().clone() else {
        return;
    };
    let (reply, answer) = oneshot::channel();
    if link
        .send(RelayedCommand {
            command: call,
            done: reply,
        })
        .await
        .is_ok()
    {
        let _ = timeout(CALL, answer).await;
    }
}
