//! gRPC client for one member of the registry's cluster.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use applewall_etcd_proto as proto;
use proto::watch_request::Union;
use tokio::sync::mpsc;
use tokio_stream::Stream;
use tonic::client::Grpc;
use tonic::metadata::AsciiMetadataValue;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status, Streaming};
use tonic_prost::ProstCodec;

/// Maximum number of keys in one response to a full read; further calls read the next keys at the same revision. Limits
/// the registry's work for one response, independently of the size of the fleet.
const KEYS_PER_PAGE: i64 = 2_000;

/// Maximum size of a response. A registry accepts values of up to 1.5 MiB, and a page contains many of them.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Maximum number of requests queued on the stream of a watch: its creation and progress requests.
const MAX_QUEUED_WATCH_REQUESTS: usize = 8;

/// Metadata key of the token.
const TOKEN_METADATA: &str = "token";

/// A connection to one member of the registry's cluster, with the token that is sent with each call.
#[derive(Clone)]
pub(crate) struct RegistryClient {
    channel: Channel,
    token: Option<AsciiMetadataValue>,
}

/// The bidirectional stream of a watch.
pub(crate) struct Watch {
    requests: mpsc::Sender<proto::WatchRequest>,
    /// The responses of the registry. The watch ends with this stream.
    pub(crate) responses: Streaming<proto::WatchResponse>,
}

/// The requests of a watch, as the stream that the gRPC client sends.
struct WatchRequests(mpsc::Receiver<proto::WatchRequest>);

impl Stream for WatchRequests {
    type Item = proto::WatchRequest;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<proto::WatchRequest>> {
        self.0.poll_recv(context)
    }
}

fn unavailable(error: impl ToString) -> Status {
    Status::unavailable(error.to_string())
}

fn internal(error: impl ToString) -> Status {
    Status::internal(error.to_string())
}

impl RegistryClient {
    /// Connects to the registry.
    ///
    /// # Errors
    ///
    /// The transport's error, or `unauthenticated` if the token is not a valid metadata value.
    pub(crate) async fn connect(
        address: SocketAddr,
        timeout: Duration,
        token: Option<&str>,
    ) -> Result<Self, Status> {
        // The error must not quote the token: it is a secret.
        let token = token.map(|token| token.trim().parse()).transpose();
        let mut token: Option<AsciiMetadataValue> = token.map_err(|_| {
            Status::unauthenticated("token in token_file is not a valid metadata value")
        })?;
        if let Some(token) = &mut token {
            token.set_sensitive(true);
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(internal)?;
        let endpoint = endpoint.connect_timeout(timeout).tcp_nodelay(true);
        let channel = endpoint.connect().await.map_err(unavailable)?;
        Ok(RegistryClient { channel, token })
    }

    fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        if let Some(token) = &self.token {
            request.metadata_mut().insert(TOKEN_METADATA, token.clone());
        }
        request
    }

    async fn grpc(&self) -> Result<Grpc<Channel>, Status> {
        let grpc = Grpc::new(self.channel.clone());
        let mut grpc = grpc.max_decoding_message_size(MAX_RESPONSE_BYTES);
        grpc.ready().await.map_err(unavailable)?;
        Ok(grpc)
    }

    async fn range(&self, request: proto::RangeRequest) -> Result<proto::RangeResponse, Status> {
        let path = http::uri::PathAndQuery::from_static(proto::path::RANGE);
        let codec = ProstCodec::<proto::RangeRequest, proto::RangeResponse>::default();
        let response = self
            .grpc()
            .await?
            .unary(self.request(request), path, codec)
            .await?;
        Ok(response.into_inner())
    }

    /// Reads all keys with the prefix, page by page, at a single revision. The read is consistent: the list includes
    /// everything that was written before the read.
    ///
    /// # Errors
    ///
    /// The error of the registry or of the transport.
    pub(crate) async fn read_prefix(&self, prefix: &[u8]) -> Result<proto::RangeResponse, Status> {
        let mut list = proto::RangeResponse::default();
        let (mut key, mut revision) = (prefix.to_vec(), 0);
        loop {
            let request = proto::RangeRequest {
                key,
                range_end: proto::prefix_end(prefix),
                limit: KEYS_PER_PAGE,
                revision,
                serializable: false,
            };
            let page = self.range(request).await?;
            if list.header.is_none() {
                // The following pages are read at the revision of the first one.
                revision = page.header.as_ref().map_or(0, |header| header.revision);
                list.header = page.header;
            }
            let last_key = page.kvs.last().map(|kv| kv.key.clone());
            list.kvs.extend(page.kvs);
            match last_key.filter(|_| page.more) {
                // The immediate successor of the last key in byte order.
                Some(last_key) => key = [&last_key[..], &[0]].concat(),
                None => return Ok(list),
            }
        }
    }

    /// Watches all keys with the prefix, starting at the revision `from`.
    ///
    /// # Errors
    ///
    /// The error of the registry or of the transport.
    pub(crate) async fn watch_prefix(&self, prefix: &[u8], from: u64) -> Result<Watch, Status> {
        let (requests, request_stream) = mpsc::channel(MAX_QUEUED_WATCH_REQUESTS);
        let create = proto::WatchCreateRequest {
            key: prefix.to_vec(),
            range_end: proto::prefix_end(prefix),
            start_revision: i64::try_from(from).unwrap_or(i64::MAX),
            progress_notify: true,
            fragment: true,
            ..Default::default()
        };
        let create = proto::WatchRequest {
            request_union: Some(Union::Create(create)),
        };
        requests.try_send(create).map_err(internal)?;
        let path = http::uri::PathAndQuery::from_static(proto::path::WATCH);
        let codec = ProstCodec::<proto::WatchRequest, proto::WatchResponse>::default();
        let responses = self
            .grpc()
            .await?
            .streaming(self.request(WatchRequests(request_stream)), path, codec)
            .await?
            .into_inner();
        Ok(Watch {
            requests,
            responses,
        })
    }
}

impl Watch {
    /// Requests a progress notification to check that the watch is alive. If the queue of requests is full or closed,
    /// the request is dropped; the notification then does not arrive, and the watch is considered dead.
    pub(crate) fn request_progress(&self) {
        let progress = proto::WatchRequest {
            request_union: Some(Union::Progress(proto::WatchProgressRequest {})),
        };
        let _ = self.requests.try_send(progress);
    }
}
