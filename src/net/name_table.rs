//! The name table: discovery's list, taken whole at first and followed by a watch.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use applewall::api::ListKind;
use applewall::wire::Facts;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use super::clock::Clock;
use super::connection::drive;
use super::listing::Answer;
use super::message::Message;

/// How long a watch asks to wait.
const WAIT: Duration = Duration::from_secs(5);
/// By which an answer may come later than asked for.
const PATIENCE: Duration = Duration::from_secs(2);
/// First and longest wait after an error, for each ingress of the fleet: one discovery answers all of them, and one
/// that is overbooked stays so while all ask again at once. It doubles, and is drawn from half to one and a half.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(80));
/// Least of these waits, for a fleet of a few.
const LEAST: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Over which the first calls of a fleet that starts together are spread, for each ingress; and the part of the drain
/// rule's time that this may take at most. What discovery would have told counts as told from the start on: whoever
/// asks later than that sends on what has long drained.
const SPREAD: Duration = Duration::from_millis(10);
const SPREAD_PART: u32 = 5;
/// A list holds this at most: bounds memory against a discovery gone wild.
const LIST_MOST: usize = 4 * 1024 * 1024;

/// What following begins with.
pub struct Start {
    /// Revision of the whole list that an earlier life left, if there is one: what changed since is told in less than
    /// the list, and every restart of a fleet would else fetch it as many times.
    pub rev: Option<u64>,
    /// For random waits.
    pub seed: u64,
}

/// Follows the name table for as long as the engine lives, at the address that is in force. `proofs`: answers without
/// news go on too, as who merges sources has to know that this one is current.
pub async fn follow(
    mut discovery: watch::Receiver<SocketAddr>,
    start: Start,
    facts: Arc<Facts>,
    clock: Clock,
    queue: mpsc::Sender<Message>,
    proofs: bool,
) {
    let Start { mut rev, seed } = start;
    let mut rng = SmallRng::seed_from_u64(seed);
    if rev.is_some() {
        // Whoever has a list can wait a moment for those who started together with it.
        tokio::time::sleep(spread(facts.settings.gateways, facts.stop_sending).mul_f64(rng.random())).await;
    }
    loop {
        let address = *discovery.borrow_and_update();
        // A new address drops the old one's connection, its watch and its revision, also while that one is lost.
        tokio::select! {
            biased;
            Ok(()) = discovery.changed() => {}
            () = follow_one(address, &mut rev, &mut rng, &facts, &clock, &queue, proofs) => return,
        }
        rev = None;
    }
}

/// Over which the first calls of so many are spread, where a drain has to be kept within so many nanoseconds.
fn spread(fleet: u32, stop_sending: u64) -> Duration {
    (SPREAD * fleet).min(Duration::from_nanos(stop_sending) / SPREAD_PART)
}

/// First and longest wait after an error in a fleet of so many.
fn waits(fleet: u32) -> (Duration, Duration) {
    ((BACKOFF.0 * fleet).max(LEAST.0), (BACKOFF.1 * fleet).max(LEAST.1))
}

/// Follows the name table at one address.
async fn follow_one(
    discovery: SocketAddr,
    rev: &mut Option<u64>,
    rng: &mut SmallRng,
    facts: &Facts,
    clock: &Clock,
    queue: &mpsc::Sender<Message>,
    proofs: bool,
) {
    let waits = waits(facts.settings.gateways);
    let mut backoff = waits.0;
    let mut lost = false;
    loop {
        let followed = follow_connection(discovery, rev, facts, clock, queue, proofs, &mut lost);
        let Err(loss) = followed.await else { return };
        let reason = match loss {
            Loss::Busy(reason) => reason,
            // Another discovery may be there next, and count its revisions anew.
            Loss::Broken(reason) => {
                *rev = None;
                reason
            }
        };
        // Once a loss, however many tries it takes to get back.
        if !std::mem::replace(&mut lost, true) {
            backoff = waits.0;
            tracing::warn!("name table: lost discovery {discovery}: {reason}");
        }
        // Never in step with the others, who lost it at the same moment.
        tokio::time::sleep(backoff.mul_f64(rng.random_range(0.5..1.5))).await;
        backoff = (backoff * 2).min(waits.1);
    }
}

/// How discovery was lost.
enum Loss {
    /// It is there and does not answer in time, or says that it can't: what it told still holds.
    Busy(String),
    /// The connection is gone, or what came over it is no answer.
    Broken(String),
}

impl From<String> for Loss {
    fn from(reason: String) -> Self {
        Loss::Broken(reason)
    }
}

/// One connection's worth of following: the whole list, then each watch at once after the last answer.
/// Ends well when the engine is gone.
async fn follow_connection(
    discovery: SocketAddr,
    rev: &mut Option<u64>,
    facts: &Facts,
    clock: &Clock,
    queue: &mpsc::Sender<Message>,
    proofs: bool,
    lost: &mut bool,
) -> Result<(), Loss> {
    let late = |_| Loss::Busy("no answer in time".to_string());
    let stream = timeout(PATIENCE, TcpStream::connect(discovery)).await.map_err(late)?;
    let stream = stream.map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let (mut sender, mut connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    loop {
        let (path, wait) = match *rev {
            None => ("/v1/servers".to_string(), Duration::ZERO),
            Some(rev) => (format!("/v1/servers?after={rev}&wait_ms={}", WAIT.as_millis()), WAIT),
        };
        let call = async {
            sender.ready().await.map_err(|e| e.to_string())?;
            let request =
                Request::builder().method(Method::GET).uri(path).header(HOST, discovery.to_string());
            let request = request.body(Full::<Bytes>::default()).map_err(|e| e.to_string())?;
            let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
            let status = response.status();
            let body = Limited::new(response.into_body(), LIST_MOST).collect().await;
            Ok::<_, String>((status, body.map_err(|e| e.to_string())?.to_bytes()))
        };
        let answered =
            timeout(wait + PATIENCE, drive(&mut connection, call, || false)).await.map_err(late)?;
        let (status, body) = answered.ok_or_else(|| "the connection ended".to_string())??;
        if status != StatusCode::OK {
            return Err(Loss::Busy(format!("status {status}")));
        }
        let answer: Answer = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
        if rev.is_none() && !answer.all {
            return Err(Loss::Broken("asked for the whole list, got changes".to_string()));
        }
        // Discovery began anew: changes since a revision that it does not know are no changes to our list.
        if !answer.all && rev.is_some_and(|rev| answer.rev < rev) {
            *rev = None;
            continue;
        }
        if std::mem::take(lost) {
            tracing::info!("name table: discovery is back, revision {}", answer.rev);
        }
        *rev = Some(answer.rev);
        let kind = if answer.all { ListKind::Full } else { ListKind::Delta };
        if answer.all || !answer.targets.is_empty() || proofs {
            let entries = answer.entries(facts, clock);
            if queue.send(Message::Table(kind, entries)).await.is_err() {
                return Ok(());
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn however_large_the_fleet_the_first_call_leaves_time_to_keep_a_drain() {
        for (fleet, most) in [(3, 30), (13, 100), (300, 100), (10_000, 100)] {
            // A fifth of the rule's time; the answer and what is just being dialled have the rest.
            assert_eq!(spread(fleet, 500_000_000), Duration::from_millis(most), "{fleet} ingresses");
        }
    }

    #[test]
    fn a_fleet_that_lost_its_discovery_asks_no_more_often_the_larger_it_is() {
        assert_eq!(waits(3), (Duration::from_millis(60), Duration::from_secs(1)));
        for fleet in [13, 30, 100, 1000] {
            let (first, longest) = waits(fleet);
            // Calls a second of all ingresses together: at once after a loss, and while it lasts.
            let calls = |wait: Duration| f64::from(fleet) / wait.as_secs_f64();
            assert!(calls(first) <= 50.1 && calls(longest) <= 12.6, "{fleet} ingresses");
        }
    }
}
