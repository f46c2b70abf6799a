//! Asks.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use applewall_membership::{MemberRecord, MemberUpdate};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::header::{HeaderMap, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::course::{Answer, Ask, Course};
use crate::settings::Settings;

/// A whole list at an index; who is missing from it has gone.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// The index.
    pub index: u64,
    /// All that was written before it was asked for is in it.
    pub consistent: bool,
    /// All members.
    pub updates: Vec<MemberUpdate>,
}

/// First bound on the wait after a failure.
const BACKOFF: u64 = 20_000_000;
/// A list holds this at most.
const MOST: usize = 16 << 20;
/// Entries that are told of as malformed at most, once each.
const TOLD: usize = 100;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Pair {
    key: String,
    /// In base64; null where it is empty.
    value: Option<String>,
    create_index: u64,
    modify_index: u64,
}

struct Connection {
    sender: http1::SendRequest<Empty<Bytes>>,
    driver: JoinHandle<()>,
    token: Option<String>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Follows the store for as long as it is polled; each list that is newer goes to `take`.
///
/// # Cancel safety
///
/// Dropping it drops the connection; lists are given in whole or not at all.
pub async fn follow(settings: &Settings, seed: u64, mut take: impl FnMut(ListUpdate)) {
    let Some(agent) = settings.agent else {
        return std::future::pending().await;
    };
    let mut course = Course::new(
        settings.wait.as_nanos() / 1_000_000,
        (BACKOFF, settings.backoff.as_nanos()),
        seed,
    );
    let (start, mut lost, mut bad) = (Instant::now(), false, BTreeSet::new());
    let mut connection = None;
    loop {
        let ask = course.ask(start.elapsed().as_nanos() as u64);
        let time = match ask.index {
            0 => settings.patience.0,
            _ => Duration::from_millis(ask.wait_ms) + settings.patience.0,
        };
        let one = async {
            let mut open = match connection.take() {
                Some(open) => open,
                None => connect(agent, settings).await?,
            };
            let answer = get(&mut open, agent, settings, &ask).await?;
            // Only one whose answer was read whole is used again.
            connection = Some(open);
            Ok::<_, String>(answer)
        };
        let answer = tokio::time::timeout(time, one)
            .await
            .unwrap_or_else(|_| Err("no answer in time".into()));
        let (list, answer) = match answer {
            Ok((index, led, pairs)) => (pairs, Answer::List { index, led }),
            Err(reason) => {
                if !std::mem::replace(&mut lost, true) {
                    tracing::warn!("consul: lost: {reason}; the list stays as it was");
                }
                (Vec::new(), Answer::Failed)
            }
        };
        let (taken, wait) = course.answered(answer);
        if let (Some(consistent), Answer::List { index, .. }) = (taken, answer) {
            if std::mem::take(&mut lost) {
                tracing::info!("consul: it is back");
            }
            let items = list
                .into_iter()
                .filter_map(|pair| item(pair, settings, &mut bad))
                .collect();
            take(ListUpdate {
                index,
                consistent,
                updates: items,
            });
        }
        tokio::time::sleep(Duration::from_nanos(wait)).await;
    }
}

async fn connect(agent: std::net::SocketAddr, settings: &Settings) -> Result<Connection, String> {
    let token = match &settings.token_file {
        Some(file) => Some(
            std::fs::read_to_string(file)
                .map_err(|e| format!("{file}: {e}"))?
                .trim()
                .to_string(),
        ),
        None => None,
    };
    let stream = TcpStream::connect(agent)
        .await
        .map_err(|e| format!("{agent}: {e}"))?;
    let _ = stream.set_nodelay(true);
    let (sender, driver) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    let driver = tokio::spawn(async move {
        let _ = driver.await;
    });
    Ok(Connection {
        sender,
        driver,
        token,
    })
}

async fn get(
    connection: &mut Connection,
    agent: std::net::SocketAddr,
    settings: &Settings,
    ask: &Ask,
) -> Result<(u64, bool, Vec<Pair>), String> {
    let mode = if ask.stale { "stale" } else { "consistent" };
    let block = match ask.index {
        0 => String::new(),
        index => format!("&index={index}&wait={}ms", ask.wait_ms),
    };
    let path = format!("/v1/kv/{}?recurse=true&{mode}{block}", settings.prefix);
    let mut request = Request::get(path).header(HOST, agent.to_string());
    if let Some(token) = &connection.token {
        request = request.header("x-consul-token", token);
    }
    // What is wrong with the token is not told: it is a secret.
    let request = request
        .body(Empty::new())
        .map_err(|_| "the call cannot be written; see token_file".to_string())?;
    connection.sender.ready().await.map_err(|e| e.to_string())?;
    let answer = connection
        .sender
        .send_request(request)
        .await
        .map_err(|e| e.to_string())?;
    let (status, headers) = (answer.status(), answer.headers().clone());
    let body = Limited::new(answer.into_body(), MOST)
        .collect()
        .await
        .map_err(|e| e.to_string())?
        .to_bytes();
    let index = number(&headers, "x-consul-index").unwrap_or(0);
    let led = headers
        .get("x-consul-knownleader")
        .is_none_or(|v| v.as_bytes() == b"true");
    match status {
        // No key has the prefix.
        StatusCode::NOT_FOUND if index > 0 => Ok((index, led, Vec::new())),
        StatusCode::OK => Ok((
            index,
            led,
            serde_json::from_slice(&body).map_err(|e| e.to_string())?,
        )),
        status => Err(format!("status {status}")),
    }
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn item(pair: Pair, settings: &Settings, bad: &mut BTreeSet<String>) -> Option<MemberUpdate> {
    let id = pair
        .key
        .strip_prefix(&settings.prefix)
        .filter(|id| !id.is_empty())?
        .to_string();
    let value = STANDARD.decode(pair.value.unwrap_or_default());
    let entry = match value {
        Ok(value) => MemberRecord::parse(&value, &settings.allowed).map_err(|e| e.to_string()),
        Err(e) => Err(e.to_string()),
    };
    match &entry {
        Ok(_) => drop(bad.remove(&id)),
        // Told once, and left out: the others stay.
        Err(reason) if bad.len() < TOLD && bad.insert(id.clone()) => {
            tracing::warn!("consul: {id} left out: {reason}");
        }
        Err(_) => {}
    }
    Some(MemberUpdate {
        id,
        revision: pair.modify_index,
        create_revision: pair.create_index,
        record: entry.ok(),
    })
}
