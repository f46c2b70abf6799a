//! The fleet's turns at the list service, where the operators switched them on: the reckoning (`applewall_startup_scheduler`) with the
//! program's clock, its datagrams, and whether there is a list to decide from.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use applewall_startup_scheduler::{
    CallFailure, Input, ListState, Message, Output, Seconds, Start, StartupScheduler,
};
use tokio::sync::watch;

use crate::clock::Clock;
use crate::config::operator::Operator;
use crate::config::platform::Config;
use crate::peer_socket::Peers;

/// Nanoseconds of a second.
const SECOND: f64 = 1e9;
/// Between looks at what peers' words make of the first turn: while they come in, and afterwards.
const LOOK: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(250));
/// Between looks at whether a word of the roll is due.
const SPREAD_LOOK: Duration = Duration::from_millis(30);

/// This ingress's turns.
pub(crate) struct Turn {
    core: Mutex<StartupScheduler>,
    clock: Clock,
    peers: Option<Arc<Peers>>,
    /// True once there is a list that it may believe.
    listed: watch::Sender<bool>,
    /// When its present call began, s.
    called: Mutex<f64>,
    /// Words that could not be read were told of.
    told: Mutex<bool>,
}

impl Turn {
    /// None where they are switched off: then calls are made as ever, and any list counts.
    pub(crate) fn new(
        operator: &Operator,
        config: &Config,
        rev: Option<u64>,
        clock: Clock,
        peers: Option<Arc<Peers>>,
    ) -> Option<Arc<Self>> {
        let set = &operator.cold_start;
        if !set.enabled.0 {
            return None;
        }
        let settings = &config.facts.policy;
        let list = rev.map_or(ListState::Missing, ListState::Restored);
        let now = clock.now() as f64 / SECOND;
        let core = StartupScheduler::new(
            set,
            Start {
                node: settings.node,
                fleet_size: settings.node_count,
                list,
                seed: config.seed,
                now,
                unix_time_of_zero: clock.unix(),
            },
        );
        match list {
            ListState::Missing => {
                tracing::info!("cold start: no list is known; not ready before there is one");
            }
            ListState::Restored(rev) => {
                tracing::info!(
                    "cold start: ready with the known list, revision {rev}, not yet confirmed"
                );
            }
            ListState::Confirmed(_) => {}
        }
        let listed = watch::channel(rev.is_some()).0;
        Some(Arc::new(Turn {
            core: Mutex::new(core),
            clock,
            peers,
            listed,
            called: Mutex::new(now),
            told: Mutex::new(false),
        }))
    }

    /// Tells those who say whether this process is ready, once there is a list.
    pub(crate) async fn tell(self: Arc<Self>, listed: watch::Sender<bool>) {
        let mut own = self.listed.subscribe();
        if own.wait_for(|there| *there).await.is_ok() {
            listed.send_replace(true);
        }
        // Held for as long as anybody asks: its receivers see the last word in any case.
        listed.closed().await;
    }

    fn core(&self) -> MutexGuard<'_, StartupScheduler> {
        self.core
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn now(&self) -> f64 {
        self.clock.now() as f64 / SECOND
    }

    /// Its turn has come: a call begins.
    fn calls(&self) {
        *self
            .called
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = self.now();
    }

    /// Asks peers who else starts, and waits for the first turn.
    pub(crate) async fn first(self: &Arc<Self>) {
        if let Some(peers) = &self.peers {
            peers.writable().await;
            let output = self.core().handle(self.now(), Input::Started);
            send(peers, output);
            tokio::spawn(self.clone().spread(peers.clone()));
        }
        loop {
            // Words come in meanwhile and change it.
            let now = self.now();
            let (at, listens) = {
                let core = self.core();
                (core.first_call_at(now), core.is_collecting_replies(now))
            };
            if at <= now {
                return self.calls();
            }
            let look = if listens { LOOK.0 } else { LOOK.1 };
            tokio::time::sleep(look.min(Duration::from_secs_f64(at - now))).await;
        }
    }

    /// Passes on who starts together with this one, for as long as its start goes on: past its first call too, as others
    /// know by it whose turn is next.
    async fn spread(self: Arc<Self>, peers: Arc<Peers>) {
        loop {
            let now = self.now();
            let output = self.core().handle(now, Input::GossipTimer);
            send(&peers, output);
            if !self.core().is_gossiping(now) {
                let cohort = self.core().cohort_summary();
                let (all, without) = (cohort.started, cohort.without_list);
                let known = if cohort.is_complete {
                    ""
                } else {
                    ", as far as is known"
                };
                tracing::info!(
                    "cold start: {all} have started together, {without} without a list{known}"
                );
                return;
            }
            tokio::time::sleep(SPREAD_LOOK).await;
        }
    }

    /// Another list service is named: whoever was told that was told together.
    pub(crate) async fn moved(self: &Arc<Self>) {
        self.core().handle(self.now(), Input::ServiceChanged);
        self.first().await;
    }

    /// Waits for the next turn.
    async fn wait(&self, now: Seconds, output: &Output) {
        let wait = output.next_call_at.map_or(0.0, |at| at - now);
        tokio::time::sleep(Duration::from_secs_f64(wait.max(0.0))).await;
        self.calls();
    }

    /// The service answered. Waits for the next turn.
    pub(crate) async fn answered(&self, rev: u64, news: bool) {
        let now = self.now();
        let answered = Input::CallAnswered {
            revision: rev,
            changed: news,
        };
        let output = self.core().handle(now, answered);
        if !self.listed.send_replace(true) {
            tracing::info!("cold start: ready with the list at revision {rev}");
        }
        self.wait(now, &output).await;
    }

    /// The service turned the call away, broke off or said nothing. Waits for the next turn.
    pub(crate) async fn failed(&self, turned_away: bool, retry_after: Option<f64>) {
        let now = self.now();
        let waited = now
            - *self
                .called
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
        let failure = CallFailure {
            duration: waited,
            rejected: turned_away,
            retry_after,
        };
        let output = self.core().handle(now, Input::CallFailed(failure));
        self.wait(now, &output).await;
    }

    /// How long a watch asks to wait.
    pub(crate) fn watch(&self) -> Duration {
        Duration::from_secs_f64(self.core().watch_duration())
    }

    /// A datagram of a peer; true where it was a word on turns, and so no message for the module.
    pub(crate) fn hear(&self, peers: &Peers, from: u32, text: &str, sender: SocketAddr) -> bool {
        if !Message::is_startup_message(text) {
            return false;
        }
        let now = self.now();
        if let Ok(message) = Message::decode(text) {
            let output = self
                .core()
                .handle(now, Input::MessageReceived { from, message });
            send(peers, output);
        } else {
            let mut told = self
                .told
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            // Once a life: whoever sends one such message may send any number.
            if !std::mem::replace(&mut *told, true) {
                tracing::warn!(
                    "cold start: messages of {sender} that cannot be decoded are dropped"
                );
            }
        }
        true
    }
}

/// Sends what the scheduler has to tell peers.
fn send(peers: &Peers, output: Output) {
    for outgoing in output.messages {
        peers.tell(Some(outgoing.to), &outgoing.message.encode());
    }
}
