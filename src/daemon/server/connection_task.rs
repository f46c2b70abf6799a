//! Serves one client connection until it ends, is evicted, aborted or idle for too long, or the process shuts down.
//!
//! Owner: the connection's own task. Input: the connection's stream. Output: responses, by the request service.
//! Invariants: a response that is being written is completed before the connection closes, unless the connection is aborted;
//! a connection that closes with unread input lingers, so that its client can read the response.

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
use crate::server::unanswered_input;

/// A head has to begin this long after the connection came up or the last response was sent, and to be complete this long
/// after its first byte: bounds how long a silent or slow client can occupy a connection.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Bounds a head, and what hyper reads ahead of a body: the buffer of one connection.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// How long a connection with unread input stays open for its client to read the response: closing at once would reset it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Bounds the bytes that are read and discarded meanwhile.
const MAX_LINGER_BYTES: usize = 512 * 1024;

type HttpConnection =
    http1::Connection<TokioIo<GuardedStream>, TowerToHyperService<RequestService>>;

/// Serves a connection until it ends. No `async fn`: its future would hold hyper's connection twice.
pub(super) fn serve(
    stream: GuardedStream,
    service: RequestService,
    mut phases: watch::Receiver<LifecyclePhase>,
) -> impl Future<Output = ()> {
    let connection = service.connection.clone();
    let aborted = connection.aborted.clone();
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
            () = closed_by_shutdown(&mut phases, &connection) => {
                (CountedEvent::ConnectionShutDown, None)
            }
        };
        event_counts::count(reason);
        tracing::debug!(?reason, "client connection closes");
        close(http, &connection, reason, ended).await;
    };
    async move {
        // An abort discards unwritten output with the connection.
        tokio::select! {
            biased;
            () = aborted.notified() => event_counts::count(CountedEvent::ConnectionAborted),
            () = served => {}
        }
    }
}

/// Closes a connection: after the response that is being written, and with a rejection where some of a request has arrived.
/// `ended` is how hyper ended the connection; `None` if hyper still serves it.
async fn close(
    mut http: HttpConnection,
    connection: &Arc<ClientConnection>,
    reason: CountedEvent,
    ended: Option<hyper::Result<()>>,
) {
    let is_closed_here = ended.is_none();
    let ended = match ended {
        Some(ended) => ended,
        // Without a request to finish, hyper would wait for the first one, or for the rest of a head.
        None if !connection.has_begun_request() || reason == CountedEvent::HeadTooSlow => Ok(()),
        None => finish(&mut http).await,
    };
    // Closing with unread input resets the connection, and the client might lose the response with it.
    let has_unread_input =
        connection.has_unread_input() || ended.is_err_and(|error| is_parse_error(&error));
    let parts = http.into_parts();
    let io = parts.io.into_inner();
    let buffered = !parts.read_buf.is_empty() || io.observer().has_pipelined_input();
    let mut stream = io.into_stream();
    let is_unanswered =
        is_closed_here && !has_unread_input && unanswered_input::has_arrived(&stream, buffered);
    if !(has_unread_input || is_unanswered) {
        return;
    }
    connection.await_end();
    let lingers = async move {
        if is_unanswered {
            event_counts::count(CountedEvent::RejectedAtClose);
            // A client that does not read the rejection has disconnected: the connection closes either way.
            let _ = unanswered_input::reject(&mut stream).await;
        }
        linger(stream).await;
    };
    tokio::select! {
        () = lingers => {}
        () = connection.evicted.notified() => {}
    }
}

/// Ends a connection after the response that is being written.
async fn finish(http: &mut HttpConnection) -> hyper::Result<()> {
    Pin::new(&mut *http).graceful_shutdown();
    poll_fn(|context| http.poll_without_shutdown(context)).await
}

/// Why a connection that awaited a request, or the rest of its head, for too long is closed.
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

/// Ends once the process's shutdown closes the connection. A request in flight is still answered: hyper finishes it before
/// the connection closes. A connection with an incomplete head closes with the response to that request. In the drained
/// phase a connection that has had no request stays open for one, for as long as a head may take.
async fn closed_by_shutdown(
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
            // The first request may be on its way, and would get no response.
            connection.idle_for(FIRST_REQUEST_GRACE).await;
        }
        if closes {
            return;
        }
        if matches!(phase, LifecyclePhase::Closing | LifecyclePhase::Drained) {
            // The response, or the head's timeout, ends the connection. Without a sender no phase follows.
            let _ = phases.wait_for(|next| *next != phase).await;
        } else if phases.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Ends the output, and discards input for a while, up to a bound.
async fn linger(mut stream: TcpStream) {
    let discard_input = async {
        stream.shutdown().await?;
        let mut left = MAX_LINGER_BYTES;
        let mut buffer = vec![0; MAX_HEAD_BYTES];
        loop {
            match stream.read(&mut buffer).await? {
                0 => return Ok::<_, io::Error>(()),
                read if read < left => left -= read,
                // The bound is reached; the response still needs its time to reach the client.
                _ => std::future::pending().await,
            }
        }
    };
    // The connection closes after this, also where reading failed or took too long.
    let _ = tokio::time::timeout(LINGER_TIMEOUT, discard_input).await;
}
