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
/// First and longest wait after an error; it doubles.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// A list holds this at most: bounds memory against a discovery gone wild.
const LIST_MOST: usize = 4 * 1024 * 1024;

/// Follows the name table for as long as the engine lives, at the address that is in force. `proofs`: answers without
/// news go on too, as who merges sources has to know that this one is current.
pub async fn follow(
    mut discovery: watch::Receiver<SocketAddr>,
    facts: Arc<Facts>,
    clock: Clock,
    queue: mpsc::Sender<Message>,
    proofs: bool,
) {
    loop {
        let address = *discovery.borrow_and_update();
        // A new address drops the old one's connection, its watch and its revision, also while that one is lost.
        tokio::select! {
            biased;
            Ok(()) = discovery.changed() => {}
            () = follow_one(address, &facts, &clock, &queue, proofs) => return,
        }
    }
}

/// Follows the name table at one address.
async fn follow_one(
    discovery: SocketAddr,
    facts: &Facts,
    clock: &Clock,
    queue: &mpsc::Sender<Message>,
    proofs: bool,
) {
    let mut backoff = BACKOFF.0;
    let mut lost = false;
    loop {
        let reason =
            match follow_connection(discovery, facts, clock, queue, proofs, &mut backoff, &mut lost).await {
                Ok(()) => return,
                Err(reason) => reason,
            };
        // Once a loss, however many tries it takes to get back.
        if !std::mem::replace(&mut lost, true) {
            tracing::warn!("name table: lost discovery {discovery}: {reason}");
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(BACKOFF.1);
    }
}

/// One connection's worth of following: the whole list, then each watch at once after the last answer.
/// Ends well when the engine is gone.
async fn follow_connection(
    discovery: SocketAddr,
    facts: &Facts,
    clock: &Clock,
    queue: &mpsc::Sender<Message>,
    proofs: bool,
    backoff: &mut Duration,
    lost: &mut bool,
) -> Result<(), String> {
    let late = |_| "no answer in time".to_string();
    let stream = timeout(PATIENCE, TcpStream::connect(discovery)).await.map_err(late)?;
    let stream = stream.map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let (mut sender, mut connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    let mut rev = None;
    loop {
        let (path, wait) = match rev {
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
        let answered = timeout(wait + PATIENCE, drive(&mut connection, call)).await.map_err(late)?;
        let (status, body) = answered.ok_or("the connection ended")??;
        if status != StatusCode::OK {
            return Err(format!("status {status}"));
        }
        let answer: Answer = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
        if rev.is_none() && !answer.all {
            return Err("asked for the whole list, got changes".to_string());
        }
        // Discovery began anew: changes since a revision that it does not know are no changes to our list.
        if !answer.all && rev.is_some_and(|rev| answer.rev < rev) {
            rev = None;
            continue;
        }
        if std::mem::take(lost) {
            tracing::info!("name table: discovery is back, revision {}", answer.rev);
        }
        *backoff = BACKOFF.0;
        rev = Some(answer.rev);
        let kind = if answer.all { ListKind::Full } else { ListKind::Delta };
        if answer.all || !answer.targets.is_empty() || proofs {
            let entries = answer.entries(facts, clock);
            if queue.send(Message::Table(kind, entries)).await.is_err() {
                return Ok(());
            }
        }
    }
}
