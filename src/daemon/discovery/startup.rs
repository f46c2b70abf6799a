//! Schedules this node's calls to discovery when the fleet starts, if the operators enabled it. Connects the scheduler
//! (`applewall_startup_scheduler`) with the program's clock and datagrams.
//!
//! Shared by the watch, which makes the calls, and the peer socket, which receives messages. No call begins before its
//! scheduled time.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use applewall::api::NodeId;
use applewall_startup_scheduler::{
    CallFailure, Input, ListState, Message, Output, Start, StartupScheduler, TimeSpan, Timestamp,
};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::clock::Clock;
use crate::config::operator::OperatorConfig;
use crate::config::platform::PlatformConfig;
use crate::system::peer_socket::{DatagramHandler, PeerSocket};

const NANOS_PER_SECOND: f64 = 1e9;
/// Interval between checks of whether the first call is due while peers reply. Short, because each reply may change the
/// scheduled time.
const REPLY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The same interval after the replies have been collected, when few messages can still change the scheduled time.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between checks of whether a cohort message is due.
const COHORT_POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Schedule of this node's calls to discovery.
pub(crate) struct StartupSchedule {
    /// Locked for one operation at a time, never across an await.
    core: Mutex<StartupScheduler>,
    clock: Clock,
    peers: Option<Arc<PeerSocket>>,
    /// True once an endpoint list is known, so that requests can be served.
    has_endpoints: watch::Sender<bool>,
    /// When the current call began.
    call_started_at: Mutex<Timestamp>,
    /// Whether an undecodable message was logged.
    undecodable_logged: AtomicBool,
    /// Tasks that disseminate the start cohort; each new address of discovery starts another one.
    dissemination: Mutex<JoinSet<()>>,
}

/// A response in which discovery rejects a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallRejection {
    /// The response's `Retry-After`; `None` if it is missing or a date.
    pub retry_after: Option<TimeSpan>,
}

/// Locks a mutex of the schedule. No code panics while it holds one; if one did, the state would still be consistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl StartupSchedule {
    /// Returns the schedule, or `None` if it is not enabled and calls are made immediately. `revision` is that of the list
    /// from an earlier process or from the configuration, if any.
    pub(crate) fn new(
        operator: &OperatorConfig,
        config: &PlatformConfig,
        revision: Option<u64>,
        clock: Clock,
        peers: Option<Arc<PeerSocket>>,
    ) -> Option<Arc<Self>> {
        let cold_start = &operator.cold_start;
        if !cold_start.enabled.0 {
            return None;
        }
        let policy = &config.settings.policy;
        let list = revision.map_or(ListState::Missing, ListState::Restored);
        let now = timestamp(clock.now());
        let start = Start {
            node: policy.node,
            fleet_size: policy.node_count,
            list,
            seed: config.seed,
            now,
            unix_time_of_origin: TimeSpan::from_seconds(clock.unix_offset_seconds()),
        };
        let core = StartupScheduler::new(cold_start, start);
        match revision {
            None => tracing::info!("node not ready: no endpoint list known"),
            Some(revision) => {
                tracing::info!(revision, "node ready with unconfirmed endpoint list");
            }
        }
        let has_endpoints = watch::channel(revision.is_some()).0;
        Some(Arc::new(StartupSchedule {
            core: Mutex::new(core),
            clock,
            peers,
            has_endpoints,
            call_started_at: Mutex::new(now),
            undecodable_logged: AtomicBool::new(false),
            dissemination: Mutex::default(),
        }))
    }

    /// Reports to the readiness probe once an endpoint list is known.
    pub(crate) async fn publish_readiness(self: Arc<Self>, published: watch::Sender<bool>) {
        let mut has_endpoints = self.has_endpoints.subscribe();
        if has_endpoints.wait_for(|available| *available).await.is_ok() {
            published.send_replace(true);
        }
        // Dropping the sender would end the tasks that wait for a change.
        published.closed().await;
    }

    fn core(&self) -> MutexGuard<'_, StartupScheduler> {
        lock(&self.core)
    }

    fn now(&self) -> Timestamp {
        timestamp(self.clock.now())
    }

    fn call_started(&self) {
        *lock(&self.call_started_at) = self.now();
    }

    /// Asks peers which other nodes are starting, and waits for the scheduled time of the first call.
    pub(super) async fn wait_for_first_call(self: &Arc<Self>) {
        if let Some(peers) = &self.peers {
            peers.writable().await;
            let output = self.core().handle(self.now(), Input::Started);
            send(peers, output);
            let dissemination = self.clone().disseminate_cohort(peers.clone());
            lock(&self.dissemination).spawn(dissemination);
        }
        loop {
            // Messages of peers change the scheduled time, so it is checked at short intervals.
            let now = self.now();
            let first_call_at = self.core().first_call_at(now);
            if first_call_at <= now {
                return self.call_started();
            }
            let interval = if self.core().is_collecting_replies(now) {
                REPLY_POLL_INTERVAL
            } else {
                POLL_INTERVAL
            };
            let remaining = Duration::from_secs_f64((first_call_at - now).as_seconds());
            tokio::time::sleep(interval.min(remaining)).await;
        }
    }

    /// Sends cohort messages to peers until the fleet has started. Continues after this node's first call, because peers
    /// derive from the cohort which node calls next.
    async fn disseminate_cohort(self: Arc<Self>, peers: Arc<PeerSocket>) {
        loop {
            let now = self.now();
            let output = self.core().handle(now, Input::GossipTimer);
            send(&peers, output);
            if !self.core().is_gossiping(now) {
                let cohort = self.core().cohort_summary();
                tracing::info!(
                    started = cohort.started,
                    without_list = cohort.without_list,
                    complete = cohort.is_complete,
                    "start cohort settled"
                );
                return;
            }
            tokio::time::sleep(COHORT_POLL_INTERVAL).await;
        }
    }

    /// Reschedules the first call after the configured address of discovery changed. All nodes of the fleet reload at about
    /// the same time, so their calls are scheduled as at a start.
    pub(super) async fn service_changed(self: &Arc<Self>) {
        self.core().handle(self.now(), Input::ServiceChanged);
        self.wait_for_first_call().await;
    }

    /// Records that discovery answered a call, and waits for the time of the next one. `changed` is true for a full list
    /// and for a delta with entries.
    pub(super) async fn call_answered(&self, revision: u64, changed: bool) {
        let now = self.now();
        let answered = Input::CallAnswered { revision, changed };
        let output = self.core().handle(now, answered);
        let was_ready = self.has_endpoints.send_replace(true);
        if !was_ready {
            tracing::info!(revision, "node ready with endpoint list");
        }
        self.wait_for_next_call(now, &output).await;
    }

    /// Records that discovery rejected a call (`rejection`) or did not answer it, and waits for the time of the next one.
    pub(super) async fn call_failed(&self, rejection: Option<CallRejection>) {
        let now = self.now();
        let failure = CallFailure {
            duration: now - *lock(&self.call_started_at),
            rejected: rejection.is_some(),
            retry_after: rejection.and_then(|rejection| rejection.retry_after),
        };
        let output = self.core().handle(now, Input::CallFailed(failure));
        self.wait_for_next_call(now, &output).await;
    }

    async fn wait_for_next_call(&self, now: Timestamp, output: &Output) {
        let wait = output
            .next_call_at
            .map_or(0.0, |at| (at - now).as_seconds());
        tokio::time::sleep(Duration::from_secs_f64(wait.max(0.0))).await;
        self.call_started();
    }

    /// How long discovery may hold a call until there are changes.
    pub(super) fn watch_wait(&self) -> Duration {
        Duration::from_secs_f64(self.core().watch_duration().as_seconds())
    }
}

impl DatagramHandler for StartupSchedule {
    /// Returns true if the datagram is a startup message, even an undecodable one.
    fn handle(&self, peers: &PeerSocket, from: NodeId, text: &str, sender: SocketAddr) -> bool {
        if !Message::is_startup_message(text) {
            return false;
        }
        let now = self.now();
        if let Ok(message) = Message::decode(text) {
            let received = Input::MessageReceived { from, message };
            let output = self.core().handle(now, received);
            send(peers, output);
        } else if !self.undecodable_logged.swap(true, Ordering::Relaxed) {
            // Logged once per process, because a sender may send any number of such messages.
            tracing::warn!(%sender, "undecodable startup message dropped");
        }
        true
    }
}

/// Converts a time of the engine's clock to the scheduler's type.
fn timestamp(nanos: u64) -> Timestamp {
    Timestamp::from_seconds(nanos as f64 / NANOS_PER_SECOND)
}

/// Sends the scheduler's messages to peers.
fn send(peers: &PeerSocket, output: Output) {
    for outgoing in output.messages {
        peers.send(Some(outgoing.to), &outgoing.message.encode());
    }
}
