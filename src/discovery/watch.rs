//! The name table: discovery's list, taken whole at first and followed by a watch.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use applewall::api::EndpointUpdateKind;
use applewall::platform_settings::PlatformSettings;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{HOST, RETRY_AFTER};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{timeout, timeout_at, Instant};

use crate::clock::Clock;
use crate::discovery::endpoint_list::Answer;
use crate::discovery::startup::Turn;
use crate::engine::message::{EndpointUpdate, Message};
use crate::upstream::connection::drive;

/// Where lists are pushed, an agent on this very machine has them: a call costs nobody anything, and what the agent holds
/// counts as told, whether it was asked or not. Silence counts too: what a watch misses counts as told 6 s after it
/// fell silent. So a watch waits for `AGENT.watch`, silence is noticed `AGENT.patience` after that, and each further call
/// has `AGENT.proof` from the connect on, one at once after the other: 3 + 0.5 + 0.3 s, which leaves room for eight more
/// before 6 + 0.5 s. An agent that was silent and is back is asked within 0.3 s, of the 0.5 s that a drain has.
const AGENT: Pace = Pace {
    watch: Duration::from_secs(3),
    patience: Duration::from_millis(500),
    proof: Some(Duration::from_millis(300)),
    backoff: (Duration::from_millis(25), Duration::from_millis(160)),
    at_once: true,
};
/// The first call of a connection may take longer the longer discovery has been lost: one that is slow rather than silent
/// is heard in the end.
const SLOWER: u32 = 40;
/// Where lists have to be subscribed to, one discovery answers all ingresses, and one that is overbooked stays so while
/// all ask again at once: the waits after an error are for each ingress of the fleet, and silence waits for
/// [`LATE_MOST`] at most, as the call has waited for seconds already.
const SERVICE: Pace = Pace {
    watch: Duration::from_secs(5),
    patience: Duration::from_secs(2),
    proof: None,
    backoff: (Duration::from_millis(20), Duration::from_millis(80)),
    at_once: false,
};
/// Least of the waits after an error of a service, for a fleet of a few.
const LEAST: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
const LATE_MOST: Duration = Duration::from_secs(1);
/// Over which the first calls of a fleet that starts together are spread, for each ingress; and the part of the drain
/// rule's time that this may take at most. What discovery would have told counts as told from the start on: whoever
/// asks later than that sends on what has long drained.
const SPREAD: Duration = Duration::from_millis(10);
const SPREAD_PART: u32 = 20;
/// A list holds this at most: bounds memory against a discovery gone wild.
const LIST_MOST: usize = 4 * 1024 * 1024;

/// What following begins with.
pub(crate) struct Start {
    /// Revision of the whole list that an earlier life left, if there is one: what changed since is told in less than
    /// the list, and every restart of a fleet would else fetch it as many times.
    pub rev: Option<u64>,
    /// For random waits.
    pub seed: u64,
    /// The fleet's turns, where the operators switched them on: they go before all waits of this module.
    pub turn: Option<Arc<Turn>>,
}

/// Follows the name table for as long as the engine lives, at the address that is in force. `proofs`: answers without
/// news go on too, as who merges sources has to know that this one is current.
pub(crate) async fn follow(
    mut discovery: watch::Receiver<SocketAddr>,
    start: Start,
    facts: Arc<PlatformSettings>,
    clock: Clock,
    queue: mpsc::Sender<Message>,
    proofs: bool,
) {
    let Start {
        mut rev,
        seed,
        turn,
    } = start;
    let mut rng = SmallRng::seed_from_u64(seed);
    let pace = Pace::of(facts.policy.watch_endpoints);
    let follower = Follower {
        facts,
        clock,
        queue,
        proofs,
        turn,
        pace,
    };
    if let Some(turn) = &follower.turn {
        turn.first().await;
    } else if rev.is_some() {
        // Whoever has a list can wait a moment for those who started together with it.
        let settings = (
            follower.facts.policy.node_count,
            follower.facts.drain_notice_ns,
        );
        tokio::time::sleep(spread(settings.0, settings.1).mul_f64(rng.random())).await;
    }
    loop {
        let address = *discovery.borrow_and_update();
        // A new address drops the old one's connection, its watch and its revision, also while that one is lost.
        tokio::select! {
            biased;
            Ok(()) = discovery.changed() => {}
            () = follower.follow_one(address, &mut rev, &mut rng) => return,
        }
        rev = None;
        if let Some(turn) = &follower.turn {
            turn.moved().await;
        }
    }
}

/// Over which the first calls of so many are spread, where a drain has to be kept within so many nanoseconds.
fn spread(fleet: u32, stop_sending: u64) -> Duration {
    (SPREAD * fleet).min(Duration::from_nanos(stop_sending) / SPREAD_PART)
}

/// How closely discovery is followed.
#[derive(Clone, Copy)]
struct Pace {
    /// How long a watch asks to wait.
    watch: Duration,
    /// By which its answer may come later than that.
    patience: Duration,
    /// Within which the first call of a connection, which does not wait, has its answer, the connect included. None:
    /// that call is a watch as any other.
    proof: Option<Duration>,
    /// First and longest wait after an error. It doubles, and is drawn from half to one and a half.
    backoff: (Duration, Duration),
    /// The first try after a loss comes at once.
    at_once: bool,
}

impl Pace {
    /// Which of the two it is comes from the settings.
    fn of(subscribe: bool) -> Self {
        if subscribe {
            SERVICE
        } else {
            AGENT
        }
    }

    /// The wait before the next try, in a fleet of so many, after so many others since the loss.
    fn wait(&self, fleet: u32, loss: &Loss, tries: u32) -> Duration {
        let doubled = |first: Duration, longest: Duration, times: u32| {
            first.saturating_mul(1 << times.min(16)).min(longest)
        };
        // Whoever says that it is asked too much is spared, whoever else it serves.
        if matches!(loss, Loss::TurnedAway(..)) || !self.at_once {
            let (first, longest) = SERVICE.backoff;
            let wait = doubled(
                (first * fleet).max(LEAST.0),
                (longest * fleet).max(LEAST.1),
                tries,
            );
            return if matches!(loss, Loss::Late) {
                wait.min(LATE_MOST)
            } else {
                wait
            };
        }
        match (loss, tries) {
            // The call itself has waited.
            (Loss::Late, _) | (_, 0) => Duration::ZERO,
            (_, tries) => doubled(self.backoff.0, self.backoff.1, tries - 1),
        }
    }

    /// Within which the first call of a connection has its answer, where discovery has been lost for so long.
    fn proof(&self, lost: Duration) -> Option<Duration> {
        self.proof
            .map(|proof| (lost / SLOWER).clamp(proof, SERVICE.patience))
    }
}

/// How discovery was lost.
enum Loss {
    /// It is there and does not answer in time: what it told still holds.
    Late,
    /// It says that it can't, and in how many seconds to come again, if it tells: what it told still holds.
    TurnedAway(String, Option<f64>),
    /// The connection is gone, or what came over it is no answer.
    Broken(String),
}

impl From<String> for Loss {
    fn from(reason: String) -> Self {
        Loss::Broken(reason)
    }
}

/// What following needs at any address.
struct Follower {
    facts: Arc<PlatformSettings>,
    clock: Clock,
    queue: mpsc::Sender<Message>,
    proofs: bool,
    turn: Option<Arc<Turn>>,
    pace: Pace,
}

impl Follower {
    /// Follows the name table at one address.
    async fn follow_one(&self, discovery: SocketAddr, rev: &mut Option<u64>, rng: &mut SmallRng) {
        let (mut lost, mut tries, mut said) = (None, 0, HashSet::new());
        loop {
            let Err(loss) = self
                .follow_connection(discovery, rev, &mut lost, &mut said)
                .await
            else {
                return;
            };
            tries = if lost.is_some() { tries + 1 } else { 0 };
            let wait = self.pace.wait(self.facts.policy.node_count, &loss, tries);
            let (reason, turned_away, retry_after) = match loss {
                Loss::Late => ("no answer in time".to_string(), false, None),
                Loss::TurnedAway(reason, retry_after) => (reason, true, retry_after),
                // Another discovery may be there next, and count its revisions anew. With turns, a whole list for each
                // break is what the service is spared: one that counts anew is known by a lower revision.
                Loss::Broken(reason) => {
                    *rev = rev.filter(|_| self.turn.is_some());
                    (reason, false, None)
                }
            };
            // Once a loss, however many tries it takes to get back.
            if lost.is_none() {
                lost = Some(Instant::now());
                tracing::warn!("name table: lost discovery {discovery}: {reason}");
            }
            if let Some(turn) = &self.turn {
                turn.failed(turned_away, retry_after).await;
                continue;
            }
            // Never in step with the others, who lost it at the same moment.
            tokio::time::sleep(wait.mul_f64(rng.random_range(0.5..1.5))).await;
        }
    }

    /// One connection's worth of following: the whole list, then each watch at once after the last answer.
    /// Ends well when the engine is gone.
    async fn follow_connection(
        &self,
        discovery: SocketAddr,
        rev: &mut Option<u64>,
        lost: &mut Option<Instant>,
        said: &mut HashSet<String>,
    ) -> Result<(), Loss> {
        // The fleet's turns have a pace of their own.
        let mut proof = self
            .pace
            .proof(lost.map_or(Duration::ZERO, |since| since.elapsed()));
        proof = proof.filter(|_| self.turn.is_none());
        let proven = proof.map(|proof| Instant::now() + proof);
        let connects = proof.unwrap_or(SERVICE.patience);
        let stream = timeout(connects, TcpStream::connect(discovery))
            .await
            .map_err(|_| Loss::Late)?;
        let stream = stream.map_err(|e| e.to_string())?;
        let _ = stream.set_nodelay(true);
        let (mut sender, mut connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| e.to_string())?;
        let watch = || {
            self.turn
                .as_ref()
                .map_or(self.pace.watch, |turn| turn.watch())
        };
        let patience = if self.turn.is_some() {
            SERVICE.patience
        } else {
            self.pace.patience
        };
        let mut proven = proven.into_iter();
        loop {
            // The first call of a connection proves that discovery speaks, before one waits for what it has to say.
            let first = proven.next();
            let (path, wait) = match *rev {
                None => ("/v1/servers".to_string(), Duration::ZERO),
                Some(rev) => {
                    let wait = if first.is_some() {
                        Duration::ZERO
                    } else {
                        watch()
                    };
                    (
                        format!("/v1/servers?after={rev}&wait_ms={}", wait.as_millis()),
                        wait,
                    )
                }
            };
            let until = first.unwrap_or_else(|| Instant::now() + wait + patience);
            let call = async {
                sender.ready().await.map_err(|e| e.to_string())?;
                let request = Request::builder()
                    .method(Method::GET)
                    .uri(path)
                    .header(HOST, discovery.to_string());
                let request = request
                    .body(Full::<Bytes>::default())
                    .map_err(|e| e.to_string())?;
                let response = sender
                    .send_request(request)
                    .await
                    .map_err(|e| e.to_string())?;
                let status = response.status();
                let told = response
                    .headers()
                    .get(RETRY_AFTER)
                    .and_then(|v| v.to_str().ok()?.parse().ok());
                let body = Limited::new(response.into_body(), LIST_MOST)
                    .collect()
                    .await;
                Ok::<_, String>((status, told, body.map_err(|e| e.to_string())?.to_bytes()))
            };
            let answered = timeout_at(until, drive(&mut connection, call, || false))
                .await
                .map_err(|_| Loss::Late)?;
            let (status, told, body) =
                answered.ok_or_else(|| "the connection ended".to_string())??;
            if status != StatusCode::OK {
                return Err(Loss::TurnedAway(format!("status {status}"), told));
            }
            let answer: Answer = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
            if rev.is_none() && !answer.all {
                return Err(Loss::Broken(
                    "asked for the whole list, got changes".to_string(),
                ));
            }
            // Discovery began anew: changes since a revision that it does not know are no changes to our list.
            if !answer.all && rev.is_some_and(|rev| answer.rev < rev) {
                *rev = None;
                continue;
            }
            if lost.take().is_some() {
                tracing::info!("name table: discovery is back, revision {}", answer.rev);
            }
            *rev = Some(answer.rev);
            let kind = if answer.all {
                EndpointUpdateKind::Snapshot
            } else {
                EndpointUpdateKind::Delta
            };
            let news = answer.all || !answer.targets.is_empty();
            if news || self.proofs {
                let entries = answer.entries_but(said, &self.facts, &self.clock);
                if self
                    .queue
                    .send(Message::EndpointUpdate(EndpointUpdate { kind, entries }))
                    .await
                    .is_err()
                {
                    return Ok(());
                }
            }
            if let Some(turn) = &self.turn {
                turn.answered(answer.rev, news).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
