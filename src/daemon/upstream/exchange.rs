//! One request and its response over one connection to an endpoint.
//!
//! The exchange and hyper's connection are polled in the attempt's task. A request is sent at most once. Dropping the
//! exchange closes its connection; the connection is reused only after the response has been read completely. On
//! failure, the number of bytes written determines whether the request may have been executed.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use applewall::api::Outcome;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::client::conn::http1::SendRequest;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Request, Response, StatusCode};
use tokio::sync::{oneshot, OwnedSemaphorePermit};

use super::body::{self, Prefetched, UpstreamBody};
use super::connection::{drive, ConnectionWatch, UpstreamConnection};
use super::context::AttemptContext;
use super::deadlines::AttemptDeadlines;
use super::endpoint::ConnectionLease;
use super::response::{classify, is_delimited, ExchangeFailure};
use crate::engine::message::ForwardedRequest;
use crate::headers::{CORRELATION_ID, IDEMPOTENCY_KEY, TIME_LEFT_MS};
use crate::observability::event_counts;
use crate::resources::limits::MAX_BODY_BYTES;
use crate::send_rule::{self, WriteFacts};
use crate::server::response::ResponseBody;
use crate::server::streaming_body;

/// An endpoint's response, which is complete or whose body is still being received.
pub(super) struct UpstreamResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: ResponseBody,
}

/// Everything that the exchange of one attempt needs besides its connection.
pub(super) struct Exchange<'a> {
    /// The endpoint and what the attempt shares with others: timeouts, limits and the queue to the engine.
    pub context: &'a AttemptContext,
    /// The part of the client's request that is sent.
    pub forwarded: &'a ForwardedRequest,
    /// Checked before the first byte; the time left is sent to the endpoint.
    pub deadlines: AttemptDeadlines,
    /// Set once the head of a successful response has arrived that is longer than is prefetched, or may be.
    pub long_response_begun: &'a AtomicBool,
}

impl Exchange<'_> {
    /// Runs the exchange. A response that is streamed is sent to `stream_start` when it begins; the exchange then ends
    /// with the body. An error is the outcome of an exchange without a response.
    pub(super) async fn run(
        &self,
        lease: ConnectionLease,
        stream_start: oneshot::Sender<UpstreamResponse>,
    ) -> Result<UpstreamResponse, Outcome> {
        let mut connection = self.connect(lease).await?;
        // Nothing is awaited between this check and the first byte.
        self.check_may_send()?;
        let request = self
            .build_request(connection.address)
            .ok_or(Outcome::NotSent)?;
        let UpstreamConnection {
            sender,
            driver,
            watch,
            ..
        } = &mut connection;
        let written_before = watch.written.load(Ordering::Relaxed);
        watch.exchange_open.store(true, Ordering::Relaxed);
        let response = self.request_response(sender, watch, request, stream_start);
        let is_streaming = || watch.streaming.load(Ordering::Relaxed);
        let response = drive(driver, response, is_streaming).await.flatten();
        watch.streaming.store(false, Ordering::Relaxed);
        let Some(response) = response else {
            let written = watch.written.load(Ordering::Relaxed) - written_before;
            return Err(ExchangeFailure::from_bytes_written(written).into());
        };
        watch.exchange_open.store(false, Ordering::Relaxed);
        self.return_to_pool(connection).await;
        Ok(response)
    }

    /// Returns the leased idle connection if it is still usable, otherwise a new one.
    async fn connect(&self, lease: ConnectionLease) -> Result<UpstreamConnection, Outcome> {
        let permit = match lease {
            ConnectionLease::Idle(mut connection) => {
                if connection.is_usable().await {
                    return Ok(connection);
                }
                // The endpoint closed it while it was idle. Nothing has been written on it, so a new connection may
                // replace it.
                connection.close()
            }
            ConnectionLease::Permit(permit) => permit,
        };
        let address = self.context.endpoint.lock().address;
        UpstreamConnection::dial(address, self.context.timeouts.connect, permit).await
    }

    /// Applies the send rule again, since the situation may have changed while the connection was established.
    fn check_may_send(&self) -> Result<(), Outcome> {
        let facts = WriteFacts {
            now: Instant::now(),
            response_by: self.deadlines.response_by,
            first_byte_by: self.deadlines.first_byte_by,
            is_draining: self.context.endpoint.lock().draining,
            client_disconnected: self.forwarded.client_disconnected(),
        };
        send_rule::check_write(&facts).map_err(|refusal| {
            event_counts::count(refusal.counted_as());
            let correlation_id = self
                .forwarded
                .head
                .correlation_id
                .to_str()
                .unwrap_or_default();
            tracing::debug!(correlation_id, ?refusal, "attempt not sent");
            refusal.outcome()
        })
    }

    /// Builds the request to the endpoint; `None` if a part of it is not valid HTTP.
    fn build_request(&self, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
        let head = &self.forwarded.head;
        let time_left = self
            .deadlines
            .response_by
            .saturating_duration_since(Instant::now());
        let host = head
            .host
            .clone()
            .or_else(|| HeaderValue::try_from(address.to_string()).ok())?;
        let mut request = Request::builder()
            .method(head.method.clone())
            .uri(head.target.clone())
            .header(HOST, host)
            .header(CORRELATION_ID, &head.correlation_id)
            .header(TIME_LEFT_MS, time_left.as_millis() as u64);
        if let Some(content_type) = &head.content_type {
            request = request.header(CONTENT_TYPE, content_type);
        }
        if let Some(key) = &head.idempotency_key {
            request = request.header(IDEMPOTENCY_KEY, key);
        }
        request.body(Full::new(self.forwarded.body.clone())).ok()
    }

    /// Sends the request and reads its response; `None` if the response is malformed, truncated or abandoned.
    async fn request_response(
        &self,
        sender: &mut SendRequest<Full<Bytes>>,
        watch: &ConnectionWatch,
        request: Request<Full<Bytes>>,
        stream_start: oneshot::Sender<UpstreamResponse>,
    ) -> Option<UpstreamResponse> {
        let response = sender.send_request(request);
        let response = match &self.context.response_monitor {
            None => response.await.ok()?,
            Some(monitor) => tokio::select! {
                biased;
                response = response => response.ok()?,
                () = monitor.wait_for_stalled_head(watch, self.deadlines) => return None,
            },
        };
        if !is_delimited(response.version(), response.status(), response.headers()) {
            return None;
        }
        self.receive_body(response, watch, stream_start).await
    }

    /// Prefetches a body, or streams it if it is too long for that.
    async fn receive_body(
        &self,
        response: Response<UpstreamBody>,
        watch: &ConnectionWatch,
        stream_start: oneshot::Sender<UpstreamResponse>,
    ) -> Option<UpstreamResponse> {
        let (parts, mut body) = response.into_parts();
        let length = body.size_hint().exact();
        let success = classify(parts.status, &parts.headers) == Outcome::Success;
        let permit = self.acquire_prefetch(length);
        let is_long = success && (length.is_none() || permit.is_none());
        self.long_response_begun.store(is_long, Ordering::Relaxed);
        let forward_by = self.deadlines.last_response_by;
        let prefetched = match (&self.context.response_monitor, &permit) {
            (_, None) if success => body::first_chunk(&mut body, forward_by).await?,
            (Some(monitor), _) if !is_long => monitor.prefetch(&mut body, self.deadlines).await?,
            _ => body::prefetch(&mut body, forward_by).await?,
        };
        let response = |headers, body| UpstreamResponse {
            status: parts.status,
            headers,
            body,
        };
        let Prefetched { bytes, is_complete } = prefetched;
        if is_complete || !success {
            let bytes = body::count(bytes, permit);
            return Some(response(parts.headers, ResponseBody::Buffered(bytes)));
        }
        let (sender, streaming) = streaming_body::channel(length, permit);
        watch.streaming.store(true, Ordering::Relaxed);
        // Fails if the attempt was cancelled or timed out in the same poll.
        stream_start
            .send(response(
                parts.headers.clone(),
                ResponseBody::Streaming(streaming),
            ))
            .ok()?;
        let is_forwarded = body::forward(sender, bytes, &mut body).await;
        is_forwarded.then(|| response(parts.headers, ResponseBody::Buffered(Bytes::new())))
    }

    /// Acquires memory permits to prefetch a body of this length. `None` if the body is too long or not enough permits
    /// are available: the body is then streamed at the rate at which the client reads.
    fn acquire_prefetch(&self, length: Option<u64>) -> Option<OwnedSemaphorePermit> {
        let bytes = length.unwrap_or(MAX_BODY_BYTES as u64);
        if bytes > MAX_BODY_BYTES as u64 {
            return None;
        }
        let prefetch = self.context.prefetch.clone();
        prefetch.try_acquire_many_owned(bytes as u32).ok()
    }

    /// Returns a connection to the pool if it is still usable and its endpoint is in service at the same address.
    async fn return_to_pool(&self, mut connection: UpstreamConnection) {
        if connection.is_usable().await {
            connection.idle_since = Instant::now();
            let mut connections = self.context.endpoint.lock();
            if !connections.draining && connections.address == connection.address {
                connections.idle.push(connection);
            }
        }
    }
}

#[cfg(test)]
pub(super) mod tests;
