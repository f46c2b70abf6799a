//! A fake Consul agent: a key-value store with recursive reads and blocking queries.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::http::{self, Kind, Message};

/// Wait time of a blocking query that states none: Consul's default.
const DEFAULT_WAIT_MS: u64 = 300_000;

#[derive(Clone)]
struct Pair {
    value: String,
    create_index: u64,
    modify_index: u64,
}

#[derive(Clone)]
struct Store {
    index: u64,
    pairs: BTreeMap<String, Pair>,
    leader_known: bool,
}

impl Store {
    fn new() -> Self {
        Store {
            index: 1,
            pairs: BTreeMap::new(),
            leader_known: true,
        }
    }

    fn put(&mut self, key: &str, value: Option<&str>) {
        self.index += 1;
        let Some(value) = value else {
            self.pairs.remove(key);
            return;
        };
        let old = self.pairs.get(key);
        let pair = Pair {
            value: value.to_string(),
            create_index: old.map_or(self.index, |old| old.create_index),
            modify_index: self.index,
        };
        self.pairs.insert(key.to_string(), pair);
    }

    /// Entries whose keys have the prefix, in Consul's JSON format.
    fn entries(&self, prefix: &str) -> Vec<Value> {
        let matching = self.pairs.iter().filter(|(key, _)| key.starts_with(prefix));
        let entry = |(key, pair): (&String, &Pair)| {
            json!({"Key": key, "Value": STANDARD.encode(&pair.value), "CreateIndex": pair.create_index,
                   "ModifyIndex": pair.modify_index, "LockIndex": 0, "Flags": 0})
        };
        matching.map(entry).collect()
    }
}

/// A Consul agent that runs until the runtime shuts down.
pub struct ConsulAgent {
    /// Address on which it listens.
    pub address: SocketAddr,
    store: watch::Sender<Store>,
    /// Earlier contents that answer stale reads while the agent lags.
    stale_store: watch::Sender<Option<Store>>,
    /// Number of reads answered.
    pub reads: Arc<AtomicU64>,
}

impl ConsulAgent {
    /// Starts an agent with an empty store on a free loopback port.
    ///
    /// # Errors
    ///
    /// Socket errors.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let agent = ConsulAgent {
            address: listener.local_addr()?,
            store: watch::Sender::new(Store::new()),
            stale_store: watch::Sender::new(None),
            reads: Arc::new(AtomicU64::new(0)),
        };
        let server = Server {
            store: agent.store.subscribe(),
            stale_store: agent.stale_store.subscribe(),
            reads: agent.reads.clone(),
        };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(stream));
            }
        });
        Ok(agent)
    }

    /// Writes a key, or deletes it if the value is `None`.
    pub fn put(&self, key: &str, value: Option<&str>) {
        self.store.send_modify(|store| store.put(key, value));
    }

    /// While lagging, the agent answers stale reads with the contents that the store has now.
    pub fn set_lagging(&self, lagging: bool) {
        self.stale_store
            .send_replace(lagging.then(|| self.store.borrow().clone()));
    }

    /// Empties the store and resets its index, as after the loss of the cluster's data.
    pub fn reset(&self) {
        self.store.send_replace(Store::new());
    }

    /// Sets whether the agent knows a leader of the cluster.
    pub fn set_leader_known(&self, known: bool) {
        self.store.send_modify(|store| store.leader_known = known);
    }
}

/// Parameters of a read, which blocks until the index changes.
struct Query {
    prefix: String,
    index: u64,
    wait: Duration,
    allows_stale: bool,
}

impl Query {
    fn from_request(request: &Message) -> Self {
        let target = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|part| part.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let index = parameter("index").and_then(|value| value.parse().ok());
        let wait_ms = parameter("wait").and_then(|value| value.strip_suffix("ms")?.parse().ok());
        Query {
            prefix: path.strip_prefix("/v1/kv/").unwrap_or_default().to_string(),
            index: index.unwrap_or(0),
            wait: Duration::from_millis(wait_ms.unwrap_or(DEFAULT_WAIT_MS)),
            allows_stale: query.split('&').any(|part| part == "stale"),
        }
    }
}

/// State shared by the connections of an agent.
#[derive(Clone)]
struct Server {
    store: watch::Receiver<Store>,
    stale_store: watch::Receiver<Option<Store>>,
    reads: Arc<AtomicU64>,
}

impl Server {
    async fn serve(mut self, mut stream: TcpStream) -> io::Result<()> {
        let mut unread = Vec::new();
        while let Some(request) = http::read(&mut stream, &mut unread, Kind::Request).await? {
            let query = Query::from_request(&request);
            let store = self.await_store(&query).await;
            self.reads.fetch_add(1, Ordering::Relaxed);
            let entries = store.entries(&query.prefix);
            let (status, body) = if entries.is_empty() {
                ("404 Not Found", String::new())
            } else {
                ("200 OK", Value::from(entries).to_string())
            };
            let response = format!(
                "HTTP/1.1 {status}\r\nX-Consul-Index: {}\r\nX-Consul-KnownLeader: {}\r\nContent-Length: {}\r\n\r\n{body}",
                store.index,
                store.leader_known,
                body.len()
            );
            stream.write_all(response.as_bytes()).await?;
        }
        Ok(())
    }

    /// Returns the contents that answer a query, once their index differs from the query's or the wait time has passed.
    /// Stale reads of a lagging agent do not wait.
    async fn await_store(&mut self, query: &Query) -> Store {
        let stale_store = self.stale_store.borrow().clone();
        if let Some(stale_store) = stale_store.filter(|_| query.allows_stale) {
            return stale_store;
        }
        let changed = self.store.wait_for(|store| store.index != query.index);
        let _ = tokio::time::timeout(query.wait, changed).await;
        self.store.borrow().clone()
    }
}
