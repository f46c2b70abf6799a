//! Watches discovery's endpoint list: reads the full list first, then the changes, over one connection at a time.
//!
//! [`follow`] runs as a task and sends updates to the engine or to the merge of registries. A reload may change discovery's
//! address. A full list replaces the list; a delta is applied only to the revision that it is based on. When discovery is
//! lost, the list stays as it was.
//!
//! [`machine`] decides what to do next, [`connection`] makes the calls, [`timing`] defines the timeouts and delays.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use applewall::api::EndpointUpdateKind;
use applewall::platform_settings::PlatformSettings;
use applewall_membership::proportional_jitter;
use applewall_startup_scheduler::TimeSpan;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::clock::Clock;
use crate::discovery::endpoint_list::{EndpointList, ReportedEntries};
use crate::discovery::startup::{CallRejection, StartupSchedule};
use crate::engine::message::{EndpointEntry, EndpointUpdate, Message};
use crate::observability::condition_log::ConditionLog;

mod connection;
mod machine;
mod timing;

use connection::{CallFailure, WatchConnection, WatchError, WatchEvent};
use machine::{AvailabilityChange, CallScheduling, WatchAction, WatchInput, WatchMachine};
use timing::{first_call_window, WatchTiming, SERVICE_TIMING};

/// Initial state and options of the watch.
pub(crate) struct WatchStart {
    /// Revision of the configuration's full list, if it has one. The first call then requests only the changes since that
    /// revision; otherwise a restart of the fleet would fetch one full list per node.
    pub revision: Option<u64>,
    /// Seed of the random delays.
    pub seed: u64,
    /// Startup schedule of the fleet, if the operators enabled it. It replaces the delays of this module.
    pub schedule: Option<Arc<StartupSchedule>>,
    /// Whether to forward deltas without entries too. The merge needs them to know that this source is current.
    pub forward_empty_deltas: bool,
}

/// Watches the endpoint list at the configured address until the receiver of updates is dropped.
pub(crate) async fn follow(
    mut discovery: watch::Receiver<SocketAddr>,
    start: WatchStart,
    settings: Arc<PlatformSettings>,
    clock: Clock,
    queue: mpsc::Sender<Message>,
) {
    // Read before the delay, because the known revision belongs to this address.
    let (mut address, mut revision) = (*discovery.borrow_and_update(), start.revision);
    let mut rng = SmallRng::seed_from_u64(start.seed);
    let watcher = Watcher {
        timing: WatchTiming::for_subscription(settings.policy.watch_endpoints),
        settings,
        clock,
        queue,
        forward_empty_deltas: start.forward_empty_deltas,
        schedule: start.schedule,
        loss: ConditionLog::default(),
    };
    watcher
        .wait_before_first_call(revision.is_some(), &mut rng)
        .await;
    loop {
        // A new address drops the connection and the revision of the old one, even during a call or a delay.
        tokio::select! {
            biased;
            Ok(()) = discovery.changed() => {}
            () = watcher.follow_address(address, revision, &mut rng) => return,
        }
        revision = None;
        if let Some(schedule) = &watcher.schedule {
            schedule.service_changed().await;
        }
        address = *discovery.borrow_and_update();
    }
}

/// State of the receiver of updates.
#[derive(Clone, Copy, PartialEq, Eq)]
enum UpdateReceiver {
    Open,
    /// The engine or the merge has ended, so the watch ends too.
    Closed,
}

/// Settings and queue of the watch, shared by the watches at successive addresses.
struct Watcher {
    settings: Arc<PlatformSettings>,
    clock: Clock,
    queue: mpsc::Sender<Message>,
    forward_empty_deltas: bool,
    schedule: Option<Arc<StartupSchedule>>,
    timing: WatchTiming,
    /// Whether a loss of discovery was logged. Ends with an answer from any address.
    loss: ConditionLog,
}

/// The watch at one address of discovery: performs the actions of a [`WatchMachine`] and forwards the updates.
struct AddressWatch<'watcher> {
    watcher: &'watcher Watcher,
    address: SocketAddr,
    machine: WatchMachine,
    connection: Option<WatchConnection>,
    /// Rejected entries that were already logged.
    reported: ReportedEntries,
}

impl Watcher {
    async fn wait_before_first_call(&self, list_known: bool, rng: &mut SmallRng) {
        if let Some(schedule) = &self.schedule {
            schedule.wait_for_first_call().await;
        } else if list_known {
            // A node that already has a list spreads its call among those of nodes that started at the same time.
            let window = first_call_window(
                self.settings.policy.node_count,
                Duration::from_nanos(self.settings.drain_notice_ns),
            );
            tokio::time::sleep(window.mul_f64(rng.random())).await;
        }
    }

    /// Watches the list at one address until the receiver of updates is closed.
    async fn follow_address(&self, address: SocketAddr, revision: Option<u64>, rng: &mut SmallRng) {
        let scheduling = match self.schedule {
            Some(_) => CallScheduling::Fleet,
            None => CallScheduling::PerNode,
        };
        let node_count = self.settings.policy.node_count;
        let mut watch = AddressWatch {
            watcher: self,
            address,
            machine: WatchMachine::new(
                Instant::now(),
                self.timing,
                scheduling,
                node_count,
                revision,
            ),
            connection: None,
            reported: ReportedEntries::default(),
        };
        while watch.perform_next_action(rng).await == UpdateReceiver::Open {}
    }

    async fn back_off(&self, failure: CallFailure, delay: Duration, rng: &mut SmallRng) {
        let Some(schedule) = &self.schedule else {
            // Jitter, because other nodes lost discovery at the same time.
            return tokio::time::sleep(proportional_jitter(delay, rng)).await;
        };
        let rejection = match failure {
            CallFailure::Rejected {
                retry_after_seconds,
            } => Some(CallRejection {
                retry_after: retry_after_seconds.map(TimeSpan::from_seconds),
            }),
            CallFailure::TimedOut | CallFailure::ConnectionLost => None,
        };
        schedule.call_failed(rejection).await;
    }

    /// How long discovery may hold a call until there are changes.
    fn watch_wait(&self) -> Duration {
        match &self.schedule {
            Some(schedule) => schedule.watch_wait(),
            None => self.timing.watch_wait,
        }
    }

    /// How long after the end of [`Self::watch_wait`] the answer to a call may arrive before the call times out.
    fn answer_margin(&self) -> Duration {
        match self.schedule {
            Some(_) => SERVICE_TIMING.answer_margin,
            None => self.timing.answer_margin,
        }
    }

    async fn send(&self, kind: EndpointUpdateKind, entries: Vec<EndpointEntry>) -> UpdateReceiver {
        let update = Message::EndpointUpdate(EndpointUpdate { kind, entries });
        match self.queue.send(update).await {
            Ok(()) => UpdateReceiver::Open,
            Err(_) => UpdateReceiver::Closed,
        }
    }
}

impl AddressWatch<'_> {
    async fn perform_next_action(&mut self, rng: &mut SmallRng) -> UpdateReceiver {
        let result = match self.machine.next_action() {
            WatchAction::Connect { timeout } => {
                self.connect(timeout).await;
                return UpdateReceiver::Open;
            }
            WatchAction::BackOff { failure, delay } => {
                self.watcher.back_off(failure, delay, rng).await;
                self.machine
                    .handle(Instant::now(), WatchInput::DelayElapsed);
                return UpdateReceiver::Open;
            }
            WatchAction::FirstCall { revision, deadline } => {
                self.call(revision, Duration::ZERO, deadline).await
            }
            WatchAction::ReadList => {
                let deadline = Instant::now() + self.watcher.answer_margin();
                self.call(None, Duration::ZERO, deadline).await
            }
            WatchAction::AwaitChanges { since } => {
                let wait = self.watcher.watch_wait();
                let deadline = Instant::now() + wait + self.watcher.answer_margin();
                self.call(Some(since), wait, deadline).await
            }
        };
        match result {
            Ok(event) => self.handle_event(event).await,
            Err(error) => {
                self.handle_failure(&error);
                UpdateReceiver::Open
            }
        }
    }

    async fn connect(&mut self, timeout: Duration) {
        match WatchConnection::open(self.address, timeout).await {
            Ok(connection) => {
                self.connection = Some(connection);
                self.machine.handle(Instant::now(), WatchInput::Connected);
            }
            Err(error) => self.handle_failure(&error),
        }
    }

    async fn call(
        &mut self,
        revision: Option<u64>,
        wait: Duration,
        deadline: Instant,
    ) -> Result<WatchEvent, WatchError> {
        match &mut self.connection {
            Some(connection) => connection.call(revision, wait, deadline).await,
            None => Err(WatchError::Closed),
        }
    }

    /// Logs a loss once at each address, no matter how many connection attempts follow until discovery answers again.
    fn handle_failure(&mut self, error: &WatchError) {
        self.connection = None;
        let input = WatchInput::Failed(error.failure());
        let change = self.machine.handle(Instant::now(), input);
        if change == Some(AvailabilityChange::Lost) {
            self.watcher.loss.begins();
            tracing::warn!(address = %self.address, %error, "endpoint list watch lost");
        }
    }

    async fn handle_event(&mut self, event: WatchEvent) -> UpdateReceiver {
        let input = WatchInput::EventReceived(&event);
        self.machine.handle(Instant::now(), input);
        let (kind, list) = match event {
            WatchEvent::Snapshot(list) => (EndpointUpdateKind::Snapshot, list),
            WatchEvent::Delta(list) => (EndpointUpdateKind::Delta, list),
            WatchEvent::RevisionsRestarted => return UpdateReceiver::Open,
        };
        if self.watcher.loss.ends() {
            let revision = list.revision;
            tracing::info!(address = %self.address, revision, "endpoint list watch recovered");
        }
        self.forward(kind, &list).await
    }

    /// Sends the update. With a startup schedule, also waits for the time of the next call.
    async fn forward(&mut self, kind: EndpointUpdateKind, list: &EndpointList) -> UpdateReceiver {
        let watcher = self.watcher;
        let changed = list.complete || !list.targets.is_empty();
        if changed || watcher.forward_empty_deltas {
            let entries = list.entries_with_new_warnings(
                &mut self.reported,
                &watcher.settings,
                &watcher.clock,
            );
            if watcher.send(kind, entries).await == UpdateReceiver::Closed {
                return UpdateReceiver::Closed;
            }
        }
        if let Some(schedule) = &watcher.schedule {
            schedule.call_answered(list.revision, changed).await;
        }
        UpdateReceiver::Open
    }
}

#[cfg(test)]
mod tests;
