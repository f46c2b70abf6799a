//! Watches discovery's endpoint list: the full list first, then the changes to it, over one connection after the other.
//!
//! Owner: the task that [`follow`] becomes. Input: the address of discovery, which a reload may change, and discovery's
//! answers. Output: updates of the endpoint list for the engine, or for the merge of registries. Invariants: a list is
//! replaced by a full list or changed by a delta that follows on its revision; a loss of discovery leaves the list as it was.
//!
//! [`machine`] decides what to do next, [`connection`] makes the calls, [`timing`] has the timeouts and delays.

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
use timing::{first_call_window, WatchTiming, SERVICE};

/// What the watch starts from.
pub(crate) struct WatchStart {
    /// Revision of the full list that the configuration has. The first call then requests
    /// the changes since: a fleet that restarts would otherwise fetch one full list for each node.
    pub revision: Option<u64>,
    /// Seed of the random delays.
    pub seed: u64,
    /// The startup schedule of the fleet's calls, where the operators enabled it: it replaces this module's delays.
    pub schedule: Option<Arc<StartupSchedule>>,
    /// Whether deltas without entries are passed on too: the merge of sources has to know that this one is current.
    pub pass_on_unchanged: bool,
}

/// Watches the endpoint list at the configured address until the receiver of updates is dropped.
pub(crate) async fn follow(
    mut discovery: watch::Receiver<SocketAddr>,
    start: WatchStart,
    settings: Arc<PlatformSettings>,
    clock: Clock,
    queue: mpsc::Sender<Message>,
) {
    // Before the delay: the known revision is of this address.
    let (mut address, mut revision) = (*discovery.borrow_and_update(), start.revision);
    let mut rng = SmallRng::seed_from_u64(start.seed);
    let watcher = Watcher {
        timing: WatchTiming::for_subscription(settings.policy.watch_endpoints),
        settings,
        clock,
        queue,
        pass_on_unchanged: start.pass_on_unchanged,
        schedule: start.schedule,
        loss: ConditionLog::default(),
    };
    watcher
        .wait_before_first_call(revision.is_some(), &mut rng)
        .await;
    loop {
        // A new address drops the old one's connection and revision, also in the middle of a call or a delay, the first one
        // among them.
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

/// Whether updates are still received.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ListConsumer {
    Listening,
    /// The engine or the merge has ended: the watch ends too.
    Dropped,
}

/// Carries out the actions of a [`WatchMachine`] and passes the updates on.
struct Watcher {
    settings: Arc<PlatformSettings>,
    clock: Clock,
    queue: mpsc::Sender<Message>,
    pass_on_unchanged: bool,
    schedule: Option<Arc<StartupSchedule>>,
    timing: WatchTiming,
    /// A loss that was logged and not ended by an answer, whichever address that came from.
    loss: ConditionLog,
}

/// The watch at one address of discovery.
struct AddressWatch<'watcher> {
    watcher: &'watcher Watcher,
    address: SocketAddr,
    machine: WatchMachine,
    connection: Option<WatchConnection>,
    /// Malformed entries that were logged.
    reported: ReportedEntries,
}

impl Watcher {
    async fn wait_before_first_call(&self, list_known: bool, rng: &mut SmallRng) {
        if let Some(schedule) = &self.schedule {
            schedule.wait_for_first_call().await;
        } else if list_known {
            // A node that has a list can wait for the nodes that started at the same moment.
            let window = first_call_window(
                self.settings.policy.node_count,
                Duration::from_nanos(self.settings.drain_notice_ns),
            );
            tokio::time::sleep(window.mul_f64(rng.random())).await;
        }
    }

    /// Watches the list at one address; ends when updates are no longer received.
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
        while watch.take_next_action(rng).await == ListConsumer::Listening {}
    }

    async fn back_off(&self, failure: CallFailure, delay: Duration, rng: &mut SmallRng) {
        let Some(schedule) = &self.schedule else {
            // Other nodes lost discovery at the same moment.
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

    /// How long a call lets discovery wait for changes.
    fn watch_wait(&self) -> Duration {
        match &self.schedule {
            Some(schedule) => schedule.watch_wait(),
            None => self.timing.watch_wait,
        }
    }

    /// How much later than its wait an answer may come.
    fn answer_margin(&self) -> Duration {
        match self.schedule {
            Some(_) => SERVICE.answer_margin,
            None => self.timing.answer_margin,
        }
    }

    async fn send(&self, kind: EndpointUpdateKind, entries: Vec<EndpointEntry>) -> ListConsumer {
        let update = Message::EndpointUpdate(EndpointUpdate { kind, entries });
        match self.queue.send(update).await {
            Ok(()) => ListConsumer::Listening,
            Err(_) => ListConsumer::Dropped,
        }
    }
}

impl AddressWatch<'_> {
    async fn take_next_action(&mut self, rng: &mut SmallRng) -> ListConsumer {
        let answered = match self.machine.next_action() {
            WatchAction::Connect { timeout } => {
                self.connect(timeout).await;
                return ListConsumer::Listening;
            }
            WatchAction::BackOff { failure, delay } => {
                self.watcher.back_off(failure, delay, rng).await;
                self.machine
                    .handle(Instant::now(), WatchInput::DelayElapsed);
                return ListConsumer::Listening;
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
        match answered {
            Ok(event) => self.event_received(event).await,
            Err(error) => {
                self.failed(&error);
                ListConsumer::Listening
            }
        }
    }

    async fn connect(&mut self, timeout: Duration) {
        match WatchConnection::open(self.address, timeout).await {
            Ok(connection) => {
                self.connection = Some(connection);
                self.machine.handle(Instant::now(), WatchInput::Connected);
            }
            Err(error) => self.failed(&error),
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

    /// Logs a loss once at each address, however many connection attempts it takes until discovery answers again.
    fn failed(&mut self, error: &WatchError) {
        self.connection = None;
        let input = WatchInput::Failed(error.failure());
        let change = self.machine.handle(Instant::now(), input);
        if change == Some(AvailabilityChange::Lost) {
            self.watcher.loss.begins();
            tracing::warn!(address = %self.address, %error, "endpoint list watch lost");
        }
    }

    async fn event_received(&mut self, event: WatchEvent) -> ListConsumer {
        let input = WatchInput::EventReceived(&event);
        self.machine.handle(Instant::now(), input);
        let (kind, list) = match event {
            WatchEvent::Snapshot(list) => (EndpointUpdateKind::Snapshot, list),
            WatchEvent::Delta(list) => (EndpointUpdateKind::Delta, list),
            WatchEvent::RevisionsRestarted => return ListConsumer::Listening,
        };
        if self.watcher.loss.ends() {
            let revision = list.revision;
            tracing::info!(address = %self.address, revision, "endpoint list watch recovered");
        }
        self.pass_on(kind, &list).await
    }

    /// Sends the update, and with a schedule waits for the time of the next call.
    async fn pass_on(&mut self, kind: EndpointUpdateKind, list: &EndpointList) -> ListConsumer {
        let watcher = self.watcher;
        let changed = list.complete || !list.targets.is_empty();
        if changed || watcher.pass_on_unchanged {
            let entries = list.entries_with_new_warnings(
                &mut self.reported,
                &watcher.settings,
                &watcher.clock,
            );
            if watcher.send(kind, entries).await == ListConsumer::Dropped {
                return ListConsumer::Dropped;
            }
        }
        if let Some(schedule) = &watcher.schedule {
            schedule.call_answered(list.revision, changed).await;
        }
        ListConsumer::Listening
    }
}

#[cfg(test)]
mod tests;
