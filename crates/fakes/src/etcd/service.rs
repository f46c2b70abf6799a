//! The gRPC services of the server: key-value store and watches.

use std::convert::Infallible;
use std::future::{ready, Future};
use std::pin::Pin;
use std::task::{Context, Poll};

use applewall_etcd_proto as proto;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::body::Body;
use tonic::server::{Grpc, NamedService};
use tonic::{Request, Response, Status, Streaming};
use tonic_prost::ProstCodec;

use super::{watch, EtcdServer};

/// Maximum number of queued responses of a watch.
const WATCH_BUFFER: usize = 64;

type ResponseFuture =
    Pin<Box<dyn Future<Output = Result<http::Response<Body>, Infallible>> + Send>>;

/// The key-value service.
#[derive(Clone)]
pub(super) struct KvService(pub(super) EtcdServer);

impl NamedService for KvService {
    const NAME: &'static str = "etcdserverpb.KV";
}

/// Answers a unary call with the result of `respond`.
fn unary<M, R, F>(server: EtcdServer, request: http::Request<Body>, respond: F) -> ResponseFuture
where
    M: prost::Message + Default + Send + 'static,
    R: prost::Message + Default + Send + 'static,
    F: Fn(&EtcdServer, M) -> Result<R, Status> + Clone + Send + Sync + 'static,
{
    Box::pin(async move {
        let service = tower::service_fn(move |request: Request<M>| {
            let response = server
                .authorize(&request)
                .and_then(|()| respond(&server, request.into_inner()));
            ready(response.map(Response::new))
        });
        let codec = ProstCodec::<R, M>::default();
        Ok(Grpc::new(codec).unary(service, request).await)
    })
}

fn put(server: &EtcdServer, request: proto::PutRequest) -> proto::PutResponse {
    server.change(&request.key, Some(request.value));
    proto::PutResponse {
        header: server.store().header(),
    }
}

fn delete_range(
    server: &EtcdServer,
    request: proto::DeleteRangeRequest,
) -> Result<proto::DeleteRangeResponse, Status> {
    let found = server.range(&proto::RangeRequest {
        key: request.key,
        range_end: request.range_end,
        ..Default::default()
    })?;
    for entry in &found.kvs {
        server.change(&entry.key, None);
    }
    Ok(proto::DeleteRangeResponse {
        header: server.store().header(),
        deleted: found.count,
    })
}

fn compact(server: &EtcdServer, request: &proto::CompactionRequest) -> proto::CompactionResponse {
    server.compact(request.revision);
    proto::CompactionResponse {
        header: server.store().header(),
    }
}

impl tower::Service<http::Request<Body>> for KvService {
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = ResponseFuture;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<Body>) -> ResponseFuture {
        let server = self.0.clone();
        match request.uri().path() {
            proto::path::RANGE => unary(server, request, |server, message| server.range(&message)),
            proto::path::PUT => unary(server, request, |server, message| Ok(put(server, message))),
            proto::path::DELETE_RANGE => unary(server, request, delete_range),
            proto::path::COMPACT => unary(server, request, |server, message| {
                Ok(compact(server, &message))
            }),
            _ => {
                let status =
                    Status::unimplemented("method not implemented by the fake etcd server");
                Box::pin(ready(Ok(status.into_http())))
            }
        }
    }
}

/// The watch service.
#[derive(Clone)]
pub(super) struct WatchService(pub(super) EtcdServer);

impl NamedService for WatchService {
    const NAME: &'static str = "etcdserverpb.Watch";
}

impl WatchService {
    /// Starts to serve a watch; returns the stream of its responses.
    fn watch(
        &self,
        request: Request<Streaming<proto::WatchRequest>>,
    ) -> Result<Response<ReceiverStream<Result<proto::WatchResponse, Status>>>, Status> {
        self.0.authorize(&request)?;
        let (responses, stream) = mpsc::channel(WATCH_BUFFER);
        tokio::spawn(watch::serve(
            self.0.clone(),
            request.into_inner(),
            responses,
        ));
        Ok(Response::new(ReceiverStream::new(stream)))
    }
}

impl tower::Service<http::Request<Body>> for WatchService {
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = ResponseFuture;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<Body>) -> ResponseFuture {
        let service = self.clone();
        Box::pin(async move {
            let watch = tower::service_fn(move |request| ready(service.watch(request)));
            let codec = ProstCodec::<proto::WatchResponse, proto::WatchRequest>::default();
            Ok(Grpc::new(codec).streaming(watch, request).await)
        })
    }
}
