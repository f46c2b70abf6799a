//! Serves one client connection until it ends, is evicted, aborted or idle for too long, or the process shuts down.
//!
//! A response that is being written is completed before the connection closes, unless the connection is aborted. A
//! connection that closes with unread input lingers, so that its client can read the response.

use std::future::{poll_fn, Future};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use applewall_admin::LifecyclePhase;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::observability::event_counts::{self, CountedEvent};
use crate::server::connection_table::{ClientConnection, FIRST_REQUEST_GRACE};
use crate::server::framing::GuardedStream;
use crate::server::service::RequestService;
use crate::server::unanswered_input::{self, ClosingConnection};

/// A request head has to begin within this time after the connection was established or the last response was sent, and
/// be complete within this time after its first byte. Bounds how long an idle or slow client can occupy a
/// connection.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Size limit of a connection's read buffer, which bounds a request head and the part of a body that hyper buffers.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// How long a connection on which input is unread, or may still arrive, stays open so that its client can read the
/// response. Closing it immediately would reset it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// A response may make no progress for this long during a shutdown because its client does not read. Bounds how long such
/// a client can delay the exit.
const SHUTDOWN_WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Size of one read while lingering.
const LINGER_READ_BYTES: usize = 4 * 1024;
/// Maximum number of bytes that are read and discarded while lingering.
const MAX_LINGER_BYTES: usize = 512 * 1024;

type HttpConnection =
    http1::Connection<TokioIo<GuardedStream>, TowerToHyperService<RequestService>>;

/// Serves a connection until it ends. Not an `async fn`, whose future would store hyper's connection twice.
pub(super) fn serve(
    stream: GuardedStream,
    service: RequestService,
    mut phases: watch::Receiver<LifecyclePhase>,
) -> impl Future<Output = ()> {
    let connection = service.connection.clone();
    let aborted = connection.aborted.clone();
    let stalled = stalled_in_shutdown(phases.clone(), connection.clone());
    let departed = connection.clone();
    let mut http = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(service));
    let served = async move {
        let (reason, ended) = tokio::select! {
            biased;
            ended = poll_fn(|context| http.poll_without_shutdown(context)) => {
                (CountedEvent::ConnectionEnded, Some(ended))
            }
            () = connection.evicted.notified() => (CountedEvent::ConnectionEvicted, None),
            () = connection.idle_for(HEAD_TIMEOUT) => (idle_reason(&connection), None),
            () = wait_for_shutdown(&mut phases, &connection) => {
                (CountedEvent::ConnectionShutDown, None)
            }
        };
        event_counts::count(reason);
        tracing::debug!(?reason, "closing client connection");
        close(http, &connection, reason, ended).await;
    };
    async move {
        // An abort drops the connection, which discards unwritten output.
        tokio::select! {
            biased;
            () = aborted.notified() => event_counts::count(CountedEvent::ConnectionAborted),
            () = served => {}
            () = departed.disconnected_behind_input() => event_counts::count(CountedEvent::ConnectionEnded),
            () = stalled => {
                tracing::warn!("client does not read its response, connection closed for the shutdown");
            }
        }
    }
}

/// Closes a connection after the response that is being written. A request that has arrived at least in part is
/// rejected, and so is the first request of a new connection, which may still arrive. `ended` is the result with which
/// hyper ended the connection; `None` if hyper still serves it.
async fn close(
    mut http: HttpConnection,
    connection: &Arc<ClientConnection>,
    reason: CountedEvent,
    ended: Option<hyper::Result<()>>,
) {
    let is_closed_by_server = ended.is_none();
    let ended = match ended {
        Some(ended) => ended,
        // Without a request in progress, hyper would wait for the first request or for the rest of a head.
        None if !connection.has_begun_request() || reason == CountedEvent::HeadTooSlow => Ok(()),
        None => shut_down_gracefully(&mut http).await,
    };
    // Closing a connection with unread input resets it, which may cost the client its response.
    let has_unread_input =
        connection.has_unread_input() || ended.is_err_and(|error| is_parse_error(&error));
    let parts = http.into_parts();
    let io = parts.io.into_inner();
    let has_buffered_input = !parts.read_buf.is_empty() || io.observer().has_pipelined_input();
    let mut stream = io.into_stream();
    let closing = ClosingConnection {
        stream: &stream,
        has_begun_request: connection.has_begun_request(),
        has_buffered_input,
    };
    let needs_rejection = is_closed_by_server && !has_unread_input && closing.needs_rejection();
    if !(has_unread_input || needs_rejection) {
        return;
    }
    connection.await_client_close();
    let reject_and_linger = async move {
        if needs_rejection {
            event_counts::count(CountedEvent::RejectedAtClose);
            // Fails if the client has disconnected; the connection is closed in either case.
            let _ = unanswered_input::reject(&mut stream).await;
        }
        linger(stream).await;
    };
    // The rejection is written even if the connection has already been evicted.
    tokio::select! {
        biased;
        () = reject_and_linger => {}
        () = connection.evicted.notified() => {}
    }
}

/// Shuts hyper's connection down after the response that is being written.
async fn shut_down_gracefully(http: &mut HttpConnection) -> hyper::Result<()> {
    Pin::new(&mut *http).graceful_shutdown();
    poll_fn(|context| http.poll_without_shutdown(context)).await
}

/// The reason for closing a connection that has awaited a request, or the rest of its head, for too long.
fn idle_reason(connection: &ClientConnection) -> CountedEvent {
    if connection.is_reading_head() {
        CountedEvent::HeadTooSlow
    } else {
        CountedEvent::ConnectionIdle
    }
}

fn is_parse_error(error: &hyper::Error) -> bool {
    error.is_parse() || error.is_parse_too_large()
}

/// Completes once the shutdown of the process closes the connection. A request in flight is still answered, since hyper
/// completes it before the connection closes. A connection with an incomplete head closes after the response to that
/// request. In the drained phase, a connection that has not had a request stays open for one until the head timeout.
async fn wait_for_shutdown(
    phases: &mut watch::Receiver<LifecyclePhase>,
    connection: &ClientConnection,
) {
    loop {
        let phase = *phases.borrow_and_update();
        let closes = match phase {
            LifecyclePhase::Closing => !connection.is_reading_head(),
            LifecyclePhase::Drained => {
                connection.has_begun_request() && !connection.is_reading_head()
            }
            _ => false,
        };
        if closes && !connection.has_begun_request() {
            // The first request may be in transit and would only be rejected.
            connection.idle_for(FIRST_REQUEST_GRACE).await;
        }
        if closes {
            return;
        }
        if matches!(phase, LifecyclePhase::Closing | LifecyclePhase::Drained) {
            // The connection ends with its response or with the head timeout. An error means that no phase will follow.
            let _ = phases.wait_for(|next| *next != phase).await;
        } else if phases.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Completes once the shutdown waits for a response that the client does not read.
async fn stalled_in_shutdown(
    mut phases: watch::Receiver<LifecyclePhase>,
    connection: Arc<ClientConnection>,
) {
    let closing = phases.wait_for(|phase| *phase == LifecyclePhase::Closing);
    if closing.await.is_err() {
        // No phase will follow.
        std::future::pending::<()>().await;
    }
    connection.write_blocked_for(SHUTDOWN_WRITE_TIMEOUT).await;
}

/// Shuts down the output, and discards input up to a time limit and a size limit.
async fn linger(mut stream: TcpStream) {
    let discard_input = async {
        stream.shutdown().await?;
        let mut left = MAX_LINGER_BYTES;
        let mut buffer = vec![0; LINGER_READ_BYTES];
        loop {
            match stream.read(&mut buffer).await? {
                0 => return Ok::<_, io::Error>(()),
                read if read < left => left -= read,
                // At the size limit, stop reading but keep the connection open so that the client can read the
                // response.
                _ => std::future::pending().await,
            }
        }
    };
    // The connection is closed afterwards even if reading failed or timed out.
    let _ = tokio::time::timeout(LINGER_TIMEOUT, discard_input).await;
}
