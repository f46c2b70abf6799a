//! An etcd v3 registry: one store with its history, compactions that come often, and watches.
//!
//! As much of the public API as clients need: Range, Put, DeleteRange, Compact and Watch with progress requests and
//! split answers. A client library that nobody here wrote is driven against it in its tests.

#![expect(
    clippy::excessive_nesting,
    reason = "deep nesting is flattened as the module is reworked"
)]
#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use applewall_etcd_proto as proto;
use proto::watch_request::Union;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::body::Body;
use tonic::server::{Grpc, NamedService};
use tonic::{Request, Response, Status, Streaming};
use tonic_prost::ProstCodec;

/// Events of one answer at most, where the client takes split ones.
const FRAGMENT: usize = 16;

struct Store {
    cluster: u64,
    revision: i64,
    compacted: i64,
    /// History is kept for so many revisions; 0: for ever.
    keep: i64,
    kvs: BTreeMap<Vec<u8>, proto::KeyValue>,
    history: Vec<proto::Event>,
}

/// Calls that it answered, by kind.
#[derive(Debug, Default)]
pub struct Calls {
    /// Range.
    pub ranges: AtomicU64,
    /// Watches that were begun.
    pub watches: AtomicU64,
    /// Progress requests.
    pub progress: AtomicU64,
    /// Watches that were turned away for a compacted revision.
    pub compacted: AtomicU64,
}

/// The registry, for as long as the runtime lives.
#[derive(Clone)]
pub struct EtcdServer {
    store: Arc<Mutex<Store>>,
    news: Arc<watch::Sender<i64>>,
    /// What it was asked.
    pub calls: Arc<Calls>,
    /// Calls need this token, where one is named.
    token: Arc<Mutex<Option<String>>>,
}

impl EtcdServer {
    /// An empty one that compacts whatever is older than `keep` revisions at once; 0: it keeps all.
    pub fn new(cluster: u64, keep: i64) -> Self {
        let store = Store {
            cluster,
            revision: 1,
            compacted: 0,
            keep,
            kvs: BTreeMap::new(),
            history: Vec::new(),
        };
        EtcdServer {
            store: Arc::new(Mutex::new(store)),
            news: Arc::new(watch::Sender::new(1)),
            calls: Arc::default(),
            token: Arc::default(),
        }
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Calls without this token are turned away from now on.
    pub fn require_token(&self, token: &str) {
        *self
            .token
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = Some(token.to_string());
    }

    /// Listens on one more free port of loopback: another member of the same registry.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub async fn listen(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let router = tonic::transport::Server::builder()
            .add_service(Kv(self.clone()))
            .add_service(Watches(self.clone()));
        tokio::spawn(router.serve_with_incoming(TcpListenerStream::new(listener)));
        Ok(address)
    }

    /// Writes a key; the revision of that.
    pub fn put(&self, key: &str, value: &str) -> i64 {
        self.change(key.as_bytes(), Some(value.as_bytes().to_vec()))
    }

    /// Removes a key; the revision of that.
    pub fn delete(&self, key: &str) -> i64 {
        self.change(key.as_bytes(), None)
    }

    /// Forgets the history before a revision.
    pub fn compact(&self, revision: i64) {
        self.store().compact(revision);
    }

    /// The registry begins anew: another cluster, empty, its revisions counted from the start.
    pub fn reset(&self, cluster: u64) {
        let mut store = self.store();
        let keep = store.keep;
        *store = Store {
            cluster,
            revision: 1,
            compacted: 0,
            keep,
            kvs: BTreeMap::new(),
            history: Vec::new(),
        };
    }

    fn change(&self, key: &[u8], value: Option<Vec<u8>>) -> i64 {
        let mut store = self.store();
        store.revision += 1;
        let revision = store.revision;
        let old = store.kvs.get(key).cloned();
        let event = match value {
            Some(value) => {
                let created = old.as_ref().map_or(revision, |old| old.create_revision);
                let version = old.as_ref().map_or(0, |old| old.version) + 1;
                let kv = proto::KeyValue {
                    key: key.to_vec(),
                    create_revision: created,
                    mod_revision: revision,
                    version,
                    value,
                    lease: 0,
                };
                store.kvs.insert(key.to_vec(), kv.clone());
                proto::Event {
                    r#type: proto::EventType::Put as i32,
                    kv: Some(kv),
                    prev_kv: old,
                }
            }
            None => {
                store.kvs.remove(key);
                let kv = proto::KeyValue {
                    key: key.to_vec(),
                    mod_revision: revision,
                    ..Default::default()
                };
                proto::Event {
                    r#type: proto::EventType::Delete as i32,
                    kv: Some(kv),
                    prev_kv: old,
                }
            }
        };
        store.history.push(event);
        if store.keep > 0 {
            let before = revision - store.keep;
            store.compact(before);
        }
        drop(store);
        self.news.send_replace(revision);
        revision
    }

    fn allowed<T>(&self, request: &Request<T>) -> Result<(), Status> {
        let token = self
            .token
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .clone();
        let told = request
            .metadata()
            .get("token")
            .and_then(|t| t.to_str().ok());
        match token.is_some() && told != token.as_deref() {
            true => Err(Status::unauthenticated("etcdserver: invalid auth token")),
            false => Ok(()),
        }
    }

    fn range(&self, request: &proto::RangeRequest) -> Result<proto::RangeResponse, Status> {
        self.calls.ranges.fetch_add(1, Ordering::Relaxed);
        let store = self.store();
        if request.revision > 0 && request.revision < store.compacted {
            return Err(Status::out_of_range(
                "etcdserver: mvcc: required revision has been compacted",
            ));
        }
        let within = |key: &[u8]| within(key, &request.key, &request.range_end);
        let at = if request.revision > 0 {
            request.revision
        } else {
            store.revision
        };
        let all: Vec<_> = store
            .at(at)
            .into_values()
            .filter(|kv| within(&kv.key))
            .collect();
        let count = all.len();
        let limit = if request.limit > 0 {
            request.limit as usize
        } else {
            usize::MAX
        };
        let kvs: Vec<_> = all.into_iter().take(limit).collect();
        Ok(proto::RangeResponse {
            header: store.header(),
            more: kvs.len() < count,
            count: count as i64,
            kvs,
        })
    }

    async fn watch(self, mut up: Streaming<proto::WatchRequest>, down: Down) -> Option<()> {
        let create = loop {
            match up.message().await.ok()??.request_union? {
                Union::Create(create) => break create,
                Union::Progress(_) | Union::Cancel(_) => {}
            }
        };
        self.calls.watches.fetch_add(1, Ordering::Relaxed);
        let mut news = self.news.subscribe();
        let created = proto::WatchResponse {
            header: self.store().header(),
            created: true,
            ..Default::default()
        };
        down.send(Ok(created)).await.ok()?;
        let mut next = if create.start_revision > 0 {
            create.start_revision
        } else {
            self.store().revision + 1
        };
        loop {
            let (events, compacted, header) = {
                let store = self.store();
                let after = |event: &&proto::Event| {
                    let kv = event.kv.as_ref();
                    kv.is_some_and(|kv| {
                        kv.mod_revision >= next && within(&kv.key, &create.key, &create.range_end)
                    })
                };
                let mut events: Vec<_> = store.history.iter().filter(after).cloned().collect();
                // Told only where it is asked for.
                events
                    .iter_mut()
                    .filter(|_| !create.prev_kv)
                    .for_each(|event| event.prev_kv = None);
                let compacted = (next < store.compacted).then_some(store.compacted);
                let header = store.header();
                next = next.max(store.revision + 1);
                (events, compacted, header)
            };
            if let Some(revision) = compacted {
                self.calls.compacted.fetch_add(1, Ordering::Relaxed);
                let answer = proto::WatchResponse {
                    header,
                    canceled: true,
                    compact_revision: revision,
                    ..Default::default()
                };
                down.send(Ok(answer)).await.ok()?;
                return None;
            }
            // All of one revision go together, so that no answer ends inside it.
            let parts: Vec<&[proto::Event]> = match create.fragment {
                true => events.chunks(FRAGMENT).collect(),
                false => events.chunks(events.len().max(1)).collect(),
            };
            for (i, part) in parts.iter().enumerate() {
                let answer = proto::WatchResponse {
                    header: header.clone(),
                    fragment: i + 1 < parts.len(),
                    events: part.to_vec(),
                    ..Default::default()
                };
                down.send(Ok(answer)).await.ok()?;
            }
            tokio::select! {
                changed = news.changed() => changed.ok()?,
                message = up.message() => match message.ok()??.request_union? {
                    Union::Progress(_) => {
                        self.calls.progress.fetch_add(1, Ordering::Relaxed);
                        // Only of what was told: news that wait go first, by the loop.
                        let (header, behind) = {
                            let store = self.store();
                            (store.header(), next <= store.revision)
                        };
                        if !behind {
                            let answer = proto::WatchResponse { header, watch_id: -1, ..Default::default() };
                            down.send(Ok(answer)).await.ok()?;
                        }
                    }
                    Union::Cancel(_) => return None,
                    Union::Create(_) => {}
                },
            }
        }
    }
}

impl Store {
    fn header(&self) -> Option<proto::ResponseHeader> {
        let (cluster_id, revision) = (self.cluster, self.revision);
        Some(proto::ResponseHeader {
            cluster_id,
            member_id: 1,
            revision,
            raft_term: 2,
        })
    }

    /// The keys as they were at a revision: what each was before its first change after that.
    fn at(&self, revision: i64) -> BTreeMap<Vec<u8>, proto::KeyValue> {
        let mut kvs = self.kvs.clone();
        let later = |event: &&proto::Event| {
            event
                .kv
                .as_ref()
                .is_some_and(|kv| kv.mod_revision > revision)
        };
        for event in self.history.iter().rev().filter(later) {
            let Some(kv) = &event.kv else { continue };
            match &event.prev_kv {
                Some(before) => kvs.insert(kv.key.clone(), before.clone()),
                None => kvs.remove(&kv.key),
            };
        }
        kvs
    }

    fn compact(&mut self, revision: i64) {
        if revision > self.compacted {
            self.compacted = revision;
            self.history.retain(|event| {
                event
                    .kv
                    .as_ref()
                    .is_some_and(|kv| kv.mod_revision >= revision)
            });
        }
    }
}

fn within(key: &[u8], from: &[u8], end: &[u8]) -> bool {
    match end {
        [] => key == from,
        [0] => key >= from,
        end => key >= from && key < end,
    }
}

type Down = mpsc::Sender<Result<proto::WatchResponse, Status>>;
type Answered = Pin<Box<dyn Future<Output = Result<http::Response<Body>, Infallible>> + Send>>;

#[derive(Clone)]
struct Kv(EtcdServer);

impl NamedService for Kv {
    const NAME: &'static str = "etcdserverpb.KV";
}

/// Answers one unary call with a function of its message.
fn unary<M, A, F>(registry: EtcdServer, request: http::Request<Body>, answer: F) -> Answered
where
    M: prost::Message + Default + Send + 'static,
    A: prost::Message + Default + Send + 'static,
    F: Fn(&EtcdServer, M) -> Result<A, Status> + Clone + Send + Sync + 'static,
{
    Box::pin(async move {
        let service = tower::service_fn(move |request: Request<M>| {
            let answer = registry
                .allowed(&request)
                .and_then(|()| answer(&registry, request.into_inner()));
            std::future::ready(answer.map(Response::new))
        });
        Ok(Grpc::new(ProstCodec::<A, M>::default())
            .unary(service, request)
            .await)
    })
}

impl tower::Service<http::Request<Body>> for Kv {
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = Answered;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<Body>) -> Answered {
        let registry = self.0.clone();
        match request.uri().path() {
            proto::path::RANGE => unary(registry, request, |r, m: proto::RangeRequest| r.range(&m)),
            proto::path::PUT => unary(registry, request, |r, m: proto::PutRequest| {
                r.change(&m.key, Some(m.value));
                Ok(proto::PutResponse {
                    header: r.store().header(),
                })
            }),
            proto::path::DELETE_RANGE => {
                unary(registry, request, |r, m: proto::DeleteRangeRequest| {
                    let range = proto::RangeRequest {
                        key: m.key,
                        range_end: m.range_end,
                        ..Default::default()
                    };
                    let found = r.range(&range)?;
                    for kv in &found.kvs {
                        r.change(&kv.key, None);
                    }
                    Ok(proto::DeleteRangeResponse {
                        header: r.store().header(),
                        deleted: found.count,
                    })
                })
            }
            proto::path::COMPACT => unary(registry, request, |r, m: proto::CompactionRequest| {
                r.compact(m.revision);
                Ok(proto::CompactionResponse {
                    header: r.store().header(),
                })
            }),
            _ => Box::pin(std::future::ready(Ok(Status::unimplemented(
                "no such call",
            )
            .into_http()))),
        }
    }
}

#[derive(Clone)]
struct Watches(EtcdServer);

impl NamedService for Watches {
    const NAME: &'static str = "etcdserverpb.Watch";
}

impl tower::Service<http::Request<Body>> for Watches {
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = Answered;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<Body>) -> Answered {
        let registry = self.0.clone();
        Box::pin(async move {
            let service =
                tower::service_fn(move |request: Request<Streaming<proto::WatchRequest>>| {
                    let answer = registry.allowed(&request).map(|()| {
                        let (down, answers) = mpsc::channel(64);
                        tokio::spawn(registry.clone().watch(request.into_inner(), down));
                        Response::new(ReceiverStream::new(answers))
                    });
                    std::future::ready(answer)
                });
            let codec = ProstCodec::<proto::WatchResponse, proto::WatchRequest>::default();
            Ok(Grpc::new(codec).streaming(service, request).await)
        })
    }
}
