//! A fake etcd v3 server: a key-value store with history, compaction and watches.
//!
//! It has the part of the public API that clients need: Range, Put, DeleteRange, Compact, and Watch with progress requests
//! and fragmented responses. Its tests use a third-party client library.

mod service;
mod store;
mod watch;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use applewall_etcd_proto as proto;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Status};

use service::{KvService, WatchService};
use store::Store;

/// Counts of the calls to a server.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Range calls.
    pub ranges: AtomicU64,
    /// Watches that were created.
    pub watches: AtomicU64,
    /// Progress requests.
    pub progress: AtomicU64,
    /// Watches that were canceled because their revision had been compacted.
    pub compacted: AtomicU64,
}

/// A server that runs until the runtime shuts down. Clones share its state.
#[derive(Clone)]
pub struct EtcdServer {
    store: Arc<Mutex<Store>>,
    /// The current revision; its changes wake the watches.
    revision: Arc<tokio::sync::watch::Sender<i64>>,
    /// Counts of the calls to it.
    pub calls: Arc<CallCounts>,
    /// Token that calls need, if any.
    token: Arc<Mutex<Option<String>>>,
}

impl EtcdServer {
    /// An empty server. With each change it compacts the revisions older than the last `retained_revisions`; 0 disables
    /// this.
    pub fn new(cluster_id: u64, retained_revisions: i64) -> Self {
        let store = Store::new(cluster_id, retained_revisions);
        EtcdServer {
            revision: Arc::new(tokio::sync::watch::Sender::new(store.revision)),
            store: Arc::new(Mutex::new(store)),
            calls: Arc::default(),
            token: Arc::default(),
        }
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Rejects calls without this token from now on.
    pub fn require_token(&self, token: &str) {
        let mut required = self.token.lock().unwrap_or_else(PoisonError::into_inner);
        *required = Some(token.to_string());
    }

    /// Listens on a further free loopback port, as another member of the same cluster.
    ///
    /// # Errors
    ///
    /// Socket errors.
    pub async fn listen(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let router = tonic::transport::Server::builder()
            .add_service(KvService(self.clone()))
            .add_service(WatchService(self.clone()));
        tokio::spawn(router.serve_with_incoming(TcpListenerStream::new(listener)));
        Ok(address)
    }

    /// Writes a key; returns the new revision.
    pub fn put(&self, key: &str, value: &str) -> i64 {
        self.change(key.as_bytes(), Some(value.as_bytes().to_vec()))
    }

    /// Deletes a key; returns the new revision.
    pub fn delete(&self, key: &str) -> i64 {
        self.change(key.as_bytes(), None)
    }

    /// Discards the history before a revision.
    pub fn compact(&self, revision: i64) {
        self.store().compact(revision);
    }

    /// Replaces the store by an empty one of another cluster, whose revisions begin anew.
    pub fn reset(&self, cluster_id: u64) {
        let mut store = self.store();
        *store = Store::new(cluster_id, store.retained_revisions);
    }

    fn change(&self, key: &[u8], value: Option<Vec<u8>>) -> i64 {
        let revision = self.store().change(key, value);
        self.revision.send_replace(revision);
        revision
    }

    /// Checks the token of a call.
    fn authorize<T>(&self, request: &Request<T>) -> Result<(), Status> {
        let required = self.token.lock().unwrap_or_else(PoisonError::into_inner);
        let token = request.metadata().get("token");
        let token = token.and_then(|token| token.to_str().ok());
        if required.is_some() && token != required.as_deref() {
            return Err(Status::unauthenticated("etcdserver: invalid auth token"));
        }
        Ok(())
    }

    fn range(&self, request: &proto::RangeRequest) -> Result<proto::RangeResponse, Status> {
        self.calls.ranges.fetch_add(1, Ordering::Relaxed);
        self.store().range(request)
    }
}
