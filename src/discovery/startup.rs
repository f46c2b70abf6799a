//! The fleet's turns at the list service, where the operators switched them on: the reckoning (`applewall_startup_scheduler`) with the
//! program's clock, its datagrams, and whether there is a list to decide from.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use applewall_startup_scheduler::{List, Muster, Turns, Word};
use tokio::sync::watch;

use crate::clock::Clock;
use crate::config::operator::Operator;
use crate::config::platform::Config;
use crate::peer_socket::PeerSocket;

/// Nanoseconds of a second.
const SECOND: f64 = 1e9;
/// Between looks at what peers' words make of the first turn: while they come in, and afterwards.
const LOOK: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(250));
/// Between looks at whether a word of the roll is due.
const SPREAD_LOOK: Duration = Duration::from_millis(30);

/// This ingress's turns.
pub(crate) struct Turn {
    core: Mutex<Turns>,
    clock: Clock,
    peers: Option<Arc<PeerSocket>>,
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
        peers: Option<Arc<PeerSocket>>,
    ) -> Option<Arc<Self>> {
        let set = &operator.cold_start;
        if !set.enabled.0 {
            return None;
        }
        let settings = &config.facts.policy;
        let list = rev.map_or(List::None, List::Old);
        let now = clock.now() as f64 / SECOND;
        let core = Turns::new(
            set,
            (settings.node_count, settings.node),
            list,
            config.seed,
            now,
            clock.unix_offset_seconds(),
        );
        match list {
            List::None => {
                tracing::info!("cold start: no list is known; not ready before there is one");
            }
            List::Old(rev) => {
                tracing::info!(
                    "cold start: ready with the known list, revision {rev}, not yet confirmed"
                );
            }
            List::Told(_) => {}
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

    fn core(&self) -> MutexGuard<'_, Turns> {
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
            let (word, whom) = self.core().hello(self.now());
            whom.into_iter()
                .for_each(|peer| peers.send(Some(peer), &word.write()));
            tokio::spawn(self.clone().spread(peers.clone()));
        }
        loop {
            // Words come in meanwhile and change it.
            let now = self.now();
            let (at, listens) = {
                let core = self.core();
                (core.first(now), core.listens(now))
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
    async fn spread(self: Arc<Self>, peers: Arc<PeerSocket>) {
        loop {
            let now = self.now();
            let word = self.core().spread(now);
            if let Some((to, word)) = word {
                peers.send(Some(to), &word.write());
            }
            if !self.core().spreads(now) {
                let (all, without, whole) = self.core().start();
                let known = if whole { "" } else { ", as far as is known" };
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
        self.core().again(self.now());
        self.first().await;
    }

    /// The service answered. Waits for the next turn.
    pub(crate) async fn answered(&self, rev: u64, news: bool) {
        let now = self.now();
        let at = self.core().answered(now, rev, news);
        if !self.listed.send_replace(true) {
            tracing::info!("cold start: ready with the list at revision {rev}");
        }
        tokio::time::sleep(Duration::from_secs_f64((at - now).max(0.0))).await;
        self.calls();
    }

    /// The service turned the call away, broke off or said nothing. Waits for the next turn.
    pub(crate) async fn failed(&self, turned_away: bool, retry_after: Option<f64>) {
        let now = self.now();
        let waited = now
            - *self
                .called
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
        let at = self.core().failed(now, waited, turned_away, retry_after);
        tokio::time::sleep(Duration::from_secs_f64((at - now).max(0.0))).await;
        self.calls();
    }

    /// How long a watch asks to wait.
    pub(crate) fn watch(&self) -> Duration {
        Duration::from_secs_f64(self.core().watch())
    }

    /// A datagram of a peer; true where it was a word on turns, and so no message for the module.
    pub(crate) fn hear(
        &self,
        peers: &PeerSocket,
        from: u32,
        text: &str,
        sender: SocketAddr,
    ) -> bool {
        if !Word::is(text) && !Muster::is(text) {
            return false;
        }
        let now = self.now();
        match (Word::read(text), Muster::read(text)) {
            (Some(word), _) => {
                let answer = self.core().hear(now, from, word);
                if let Some(answer) = answer {
                    let roll = self.core().muster(now);
                    peers.send(Some(from), &answer.write());
                    peers.send(Some(from), &roll.write());
                }
            }
            (None, Some(roll)) => self.core().hear_roll(now, from, &roll),
            (None, None) => {
                let mut told = self
                    .told
                    .lock()
                    .unwrap_or_else(std::sync::PoisonError::into_inner);
                // Once a life: whoever sends one such word may send any number.
                if !std::mem::replace(&mut *told, true) {
                    tracing::warn!("cold start: words of {sender} that cannot be read are dropped");
                }
            }
        }
        true
    }
}
