//! The calls, over gRPC.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::net::SocketAddr;
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

/// Entries of a full read that come at once; more come in further calls at the same revision.
const PAGE: i64 = 2_000;
/// An answer holds no more bytes than this: a registry's own limit on a request is 1.5 MiB, and a page may hold many.
const MOST: usize = 64 << 20;
/// Requests up a watch that wait for the connection.
const WAITING: usize = 8;

/// A connection to one member of the registry.
#[derive(Clone)]
pub(crate) struct Calls {
    channel: Channel,
    token: Option<AsciiMetadataValue>,
}

/// A watch's two ends.
pub(crate) struct Watch {
    up: mpsc::Sender<proto::WatchRequest>,
    /// What comes down.
    pub down: Streaming<proto::WatchResponse>,
}

struct Up(mpsc::Receiver<proto::WatchRequest>);

impl Stream for Up {
    type Item = proto::WatchRequest;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<proto::WatchRequest>> {
        self.0.poll_recv(cx)
    }
}

impl Calls {
    /// Connects.
    ///
    /// # Errors
    ///
    /// What the transport says; a token that can't go with a call.
    pub(crate) async fn connect(
        to: SocketAddr,
        patience: Duration,
        token: Option<&str>,
    ) -> Result<Self, Status> {
        // A secret is not told, not even a wrong one.
        let token = token.map(|t| t.trim().parse()).transpose();
        let mut token: Option<AsciiMetadataValue> =
            token.map_err(|_| Status::unauthenticated("the token cannot go with a call"))?;
        token.iter_mut().for_each(|t| t.set_sensitive(true));
        let endpoint = Endpoint::from_shared(format!("http://{to}"));
        let endpoint = endpoint.map_err(|e| Status::internal(e.to_string()))?;
        let endpoint = endpoint.connect_timeout(patience).tcp_nodelay(true);
        let channel = endpoint
            .connect()
            .await
            .map_err(|e| Status::unavailable(e.to_string()))?;
        Ok(Calls { channel, token })
    }

    fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        if let Some(token) = &self.token {
            request.metadata_mut().insert("token", token.clone());
        }
        request
    }

    async fn grpc(&self) -> Result<Grpc<Channel>, Status> {
        let mut grpc = Grpc::new(self.channel.clone()).max_decoding_message_size(MOST);
        grpc.ready()
            .await
            .map_err(|e| Status::unavailable(e.to_string()))?;
        Ok(grpc)
    }

    /// Reads all keys that begin with the prefix, page by page, all as they were at one revision; consistent with all
    /// that was written before.
    ///
    /// # Errors
    ///
    /// What the registry says.
    pub(crate) async fn read(&self, prefix: &[u8]) -> Result<proto::RangeResponse, Status> {
        let (mut whole, mut key, mut revision) =
            (proto::RangeResponse::default(), prefix.to_vec(), 0);
        loop {
            let range_end = proto::prefix_end(prefix);
            let request = proto::RangeRequest {
                key,
                range_end,
                limit: PAGE,
                revision,
                serializable: false,
            };
            let path = http::uri::PathAndQuery::from_static(proto::path::RANGE);
            let codec = ProstCodec::<proto::RangeRequest, proto::RangeResponse>::default();
            let page = self
                .grpc()
                .await?
                .unary(self.request(request), path, codec)
                .await?
                .into_inner();
            if whole.header.is_none() {
                revision = page.header.as_ref().map_or(0, |h| h.revision);
                whole.header = page.header;
            }
            let last = page.kvs.last().map(|kv| kv.key.clone());
            whole.kvs.extend(page.kvs);
            match last.filter(|_| page.more) {
                // From right behind the last one.
                Some(last) => key = [&last[..], &[0]].concat(),
                None => return Ok(whole),
            }
        }
    }

    /// Watches all keys that begin with the prefix, from a revision on.
    ///
    /// # Errors
    ///
    /// What the registry says.
    pub(crate) async fn watch(&self, prefix: &[u8], from: u64) -> Result<Watch, Status> {
        let (up, requests) = mpsc::channel(WAITING);
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
        up.try_send(create)
            .map_err(|e| Status::internal(e.to_string()))?;
        let path = http::uri::PathAndQuery::from_static(proto::path::WATCH);
        let codec = ProstCodec::<proto::WatchRequest, proto::WatchResponse>::default();
        let down = self
            .grpc()
            .await?
            .streaming(self.request(Up(requests)), path, codec)
            .await?
            .into_inner();
        Ok(Watch { up, down })
    }
}

impl Watch {
    /// Asks for a proof that the watch lives; where the connection takes none, its silence is found by itself.
    pub(crate) fn probe(&self) {
        let progress = proto::WatchRequest {
            request_union: Some(Union::Progress(proto::WatchProgressRequest {})),
        };
        let _ = self.up.try_send(progress);
    }
}
