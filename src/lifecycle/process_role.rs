//! What the rest of the program has to know of another process of this ingress: who is in charge, what one hands the
//! other, and how a call gets there. Knows neither of the two that use it.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use applewall::api::Endpoint;
use applewall_admin::MaintenanceSet;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

/// The other process has so long to carry out a call; then the caller's answer does not wait for it any more.
const CALL: Duration = Duration::from_millis(400);

/// Who this process is to the other one, if there is another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// All is this process's.
    Sole,
    /// The estate is handed out, and not taken over yet: clients are still this process's.
    HandedOut,
    /// The other one has taken over: this one answers what it has.
    Succeeded,
}

/// What the rest of the program has to know of a process that takes over from this one.
#[derive(Clone)]
pub(crate) struct Successor {
    pub role: watch::Receiver<Role>,
    /// Set once this process was told to stop.
    pub stopping: Arc<OnceLock<Stopping>>,
}

/// The times of a stop, which are fixed the moment it is told.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stopping {
    /// What is taken from here on has to be answered by the second moment.
    pub late: (Instant, Instant),
    /// When the program ends, whatever is still open.
    pub ends: Instant,
}

/// What one process hands another.
#[derive(Serialize, Deserialize)]
pub(crate) struct Estate {
    /// The module's clock.
    pub now: u64,
    pub withheld: MaintenanceSet,
    /// Draining or drained.
    pub drained: bool,
    /// The list, as discovery has it.
    pub listed: Vec<(Endpoint, SocketAddr)>,
    /// What the module keeps.
    pub module: Vec<u8>,
}

/// A call for the other process, and where its answer goes.
pub(crate) struct Relayed {
    pub call: String,
    pub reply: oneshot::Sender<()>,
}

/// The way to the other process, while there is one.
pub(crate) type Other = watch::Receiver<Option<mpsc::Sender<Relayed>>>;

/// Lets the other process, if there is one, carry out what this one has; returns once it has, or is gone.
pub(crate) async fn relay(other: &Other, call: String) {
    let Some(link) = other.borrow().clone() else {
        return;
    };
    let (reply, answer) = oneshot::channel();
    if link.send(Relayed { call, reply }).await.is_ok() {
        let _ = timeout(CALL, answer).await;
    }
}
