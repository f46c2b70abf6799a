//! A Consul-style agent: recursive reads of a key-value store, blocking by index.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::http::{self, Kind};

#[derive(Clone, Default)]
struct Store {
    index: u64,
    /// Value, create index, modify index.
    pairs: BTreeMap<String, (String, u64, u64)>,
    led: bool,
}

/// The agent, for as long as the runtime lives.
pub struct ConsulAgent {
    /// Where it listens.
    pub address: SocketAddr,
    store: watch::Sender<Store>,
    /// What lagging reads are answered from, where it lags.
    lagging: watch::Sender<Option<Store>>,
    /// Reads that it answered.
    pub reads: Arc<AtomicU64>,
}

impl ConsulAgent {
    /// An empty one on a free port of loopback.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let store = watch::Sender::new(Store {
            index: 1,
            led: true,
            ..Store::default()
        });
        let (lagging, reads) = (watch::Sender::new(None), Arc::new(AtomicU64::new(0)));
        let (follower, lag, count) = (store.subscribe(), lagging.subscribe(), reads.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (follower, lag, count) = (follower.clone(), lag.clone(), count.clone());
                tokio::spawn(async move {
                    let _ = serve(stream, follower, lag, &count).await;
                });
            }
        });
        Ok(ConsulAgent {
            address,
            store,
            lagging,
            reads,
        })
    }

    /// Writes a key, or removes it.
    pub fn put(&self, key: &str, value: Option<&str>) {
        self.store.send_modify(|store| {
            store.index += 1;
            let index = store.index;
            match value {
                Some(value) => {
                    let created = store
                        .pairs
                        .get(key)
                        .map_or(index, |(_, created, _)| *created);
                    store
                        .pairs
                        .insert(key.to_string(), (value.to_string(), created, index));
                }
                None => drop(store.pairs.remove(key)),
            }
        });
    }

    /// From now on, reads that may be stale are answered from what there is at this moment; or from the present again.
    pub fn set_lagging(&self, lag: bool) {
        self.lagging
            .send_replace(lag.then(|| self.store.borrow().clone()));
    }

    /// The store begins anew, empty, its index counted from the start.
    pub fn reset(&self) {
        self.store.send_replace(Store {
            index: 1,
            led: true,
            ..Store::default()
        });
    }

    /// Whether it knows a leader.
    pub fn set_leader_known(&self, led: bool) {
        self.store.send_modify(|store| store.led = led);
    }
}

async fn serve(
    mut stream: TcpStream,
    mut store: watch::Receiver<Store>,
    lagging: watch::Receiver<Option<Store>>,
    reads: &AtomicU64,
) -> io::Result<()> {
    let mut rest = Vec::new();
    while let Some(request) = http::read(&mut stream, &mut rest, Kind::Request).await? {
        let (path, query) = request
            .first
            .1
            .split_once('?')
            .unwrap_or((&request.first.1, ""));
        let prefix = path.strip_prefix("/v1/kv/").unwrap_or_default().to_string();
        let value = |name: &str| {
            query
                .split('&')
                .filter_map(|p| p.split_once('='))
                .find(|(n, _)| *n == name)
        };
        let index = value("index")
            .and_then(|(_, v)| v.parse::<u64>().ok())
            .unwrap_or(0);
        let wait = value("wait")
            .and_then(|(_, v)| v.strip_suffix("ms")?.parse().ok())
            .unwrap_or(300_000);
        let stale = query.split('&').any(|part| part == "stale");
        let lagged = lagging.borrow().clone().filter(|_| stale);
        let list = match lagged {
            Some(old) => old,
            None => {
                let newer = store.wait_for(|store| store.index != index);
                let _ = tokio::time::timeout(Duration::from_millis(wait), newer).await;
                store.borrow().clone()
            }
        };
        reads.fetch_add(1, Ordering::Relaxed);
        let pairs = list
            .pairs
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix));
        let pairs: Vec<_> = pairs
            .map(|(key, (value, created, modified))| {
                json!({"Key": key, "Value": STANDARD.encode(value), "CreateIndex": created,
                       "ModifyIndex": modified, "LockIndex": 0, "Flags": 0})
            })
            .collect();
        let (status, body) = match pairs.is_empty() {
            true => ("404 Not Found", String::new()),
            false => ("200 OK", serde_json::Value::from(pairs).to_string()),
        };
        let answer = format!(
            "HTTP/1.1 {status}\r\nX-Consul-Index: {}\r\nX-Consul-KnownLeader: {}\r\nContent-Length: {}\r\n\r\n{body}",
            list.index,
            list.led,
            body.len()
        );
        stream.write_all(answer.as_bytes()).await?;
    }
    Ok(())
}
