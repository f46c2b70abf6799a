//! HTTP connection to discovery, used by the watch for one call at a time. A call requests the endpoint list, or the changes
//! since a known revision; its answer is a [`WatchEvent`]. A [`WatchError`] ends the connection.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{HOST, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

use crate::discovery::endpoint_list::EndpointList;
use crate::system::http_body;
use crate::upstream::connection::drive;

/// Maximum size of an answer's body. Bounds memory use if discovery sends an endless body.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
/// Path at which discovery serves the endpoint list.
const LIST_PATH: &str = "/v1/servers";

/// A valid answer of discovery, by its effect on the list that this node has.
#[derive(Debug)]
pub(super) enum WatchEvent {
    /// The full list, which may also answer a call for changes.
    Snapshot(EndpointList),
    /// The changes since the known revision; possibly none.
    Delta(EndpointList),
    /// Discovery answered with a revision below the known one. It has restarted its revisions, so its changes do not apply
    /// to the list that this node has.
    RevisionsRestarted,
}

/// Kind of failure of a call, which determines the retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CallFailure {
    /// No connection or no answer in time. The known revision stays valid.
    TimedOut,
    /// Discovery rejected the call. The known revision stays valid.
    Rejected {
        /// The answer's `Retry-After`, in seconds; `None` if it is missing or a date.
        retry_after_seconds: Option<f64>,
    },
    /// Discovery could not be reached, the connection broke, or the answer was invalid. The next answer may come from a
    /// discovery instance with other revisions.
    ConnectionLost,
}

/// Error of a connection attempt or a call to discovery.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    /// No connection or no answer in time.
    #[error("no answer in time")]
    TimedOut,
    /// The answer's status is not 200.
    #[error("status {status}")]
    Rejected {
        /// The answer's status.
        status: StatusCode,
        /// The answer's `Retry-After`, in seconds; `None` if it is missing or a date.
        retry_after_seconds: Option<f64>,
    },
    /// The connection could not be established.
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    /// The connection broke, or the peer did not send valid HTTP.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The HTTP request for the call could not be built.
    #[error("cannot build request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The answer's body is incomplete, or larger than [`MAX_LIST_BYTES`].
    #[error("cannot read body of answer: {0}")]
    Body(Box<dyn Error + Send + Sync>),
    /// The answer's body is not an endpoint list.
    #[error("answer is not an endpoint list: {0}")]
    Malformed(#[from] serde_json::Error),
    /// Discovery closed the connection before it answered.
    #[error("connection closed before an answer")]
    Closed,
    /// Discovery answered a call for the full list with a delta.
    #[error("answer is a delta at revision {revision}, expected the full list")]
    NotSnapshot {
        /// The answer's revision.
        revision: u64,
    },
}

impl WatchError {
    /// The kind of failure, which determines the retry.
    pub(super) fn failure(&self) -> CallFailure {
        match self {
            WatchError::TimedOut => CallFailure::TimedOut,
            WatchError::Rejected {
                retry_after_seconds,
                ..
            } => CallFailure::Rejected {
                retry_after_seconds: *retry_after_seconds,
            },
            WatchError::Connect(_)
            | WatchError::Http(_)
            | WatchError::Request(_)
            | WatchError::Body(_)
            | WatchError::Malformed(_)
            | WatchError::Closed
            | WatchError::NotSnapshot { .. } => CallFailure::ConnectionLost,
        }
    }
}

/// A connection to discovery, closed when dropped.
pub(super) struct WatchConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    connection: Connection<TokioIo<TcpStream>, Full<Bytes>>,
}

impl WatchConnection {
    /// Connects to discovery.
    pub(super) async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Self, WatchError> {
        let stream = timeout(connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| WatchError::TimedOut)??;
        // On failure, calls may be sent some milliseconds later but still work.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        Ok(WatchConnection {
            address,
            sender,
            connection,
        })
    }

    /// Requests the full list, or the changes since `revision`, for which discovery may wait up to `wait`.
    pub(super) async fn call(
        &mut self,
        revision: Option<u64>,
        wait: Duration,
        deadline: Instant,
    ) -> Result<WatchEvent, WatchError> {
        let path = match revision {
            None => LIST_PATH.to_string(),
            Some(revision) => {
                format!("{LIST_PATH}?after={revision}&wait_ms={}", wait.as_millis())
            }
        };
        let exchange = send_request(&mut self.sender, self.address, path);
        let result = timeout_at(deadline, drive(&mut self.connection, exchange, || false))
            .await
            .map_err(|_| WatchError::TimedOut)?;
        let response = result.ok_or(WatchError::Closed)??;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(WatchError::Rejected {
                status,
                retry_after_seconds: retry_after_seconds(&response),
            });
        }
        classify_answer(revision, serde_json::from_slice(response.body())?)
    }
}

/// Sends a request and reads the complete response.
async fn send_request(
    sender: &mut SendRequest<Full<Bytes>>,
    address: SocketAddr,
    path: String,
) -> Result<Response<Bytes>, WatchError> {
    sender.ready().await?;
    let request = Request::builder()
        .method(Method::GET)
        .uri(path)
        .header(HOST, address.to_string())
        .body(Full::default())?;
    let response = sender.send_request(request).await?;
    let (head, body) = response.into_parts();
    let body = http_body::read(body, MAX_LIST_BYTES, 0)
        .await
        .map_err(WatchError::Body)?;
    Ok(Response::from_parts(head, body))
}

/// The response's `Retry-After` in seconds; `None` if it is missing or a date.
fn retry_after_seconds(response: &Response<Bytes>) -> Option<f64> {
    let value = response.headers().get(RETRY_AFTER)?;
    value.to_str().ok()?.parse().ok()
}

/// Converts the answer to a call with the known revision `revision` to an event.
fn classify_answer(revision: Option<u64>, list: EndpointList) -> Result<WatchEvent, WatchError> {
    match revision {
        _ if list.complete => Ok(WatchEvent::Snapshot(list)),
        None => Err(WatchError::NotSnapshot {
            revision: list.revision,
        }),
        Some(known) if list.revision < known => Ok(WatchEvent::RevisionsRestarted),
        Some(_) => Ok(WatchEvent::Delta(list)),
    }
}

#[cfg(test)]
mod tests;
