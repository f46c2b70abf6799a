//! HTTP/1.1 client for an agent.

use std::error::Error;
use std::net::SocketAddr;

use applewall_membership::ReadConsistency;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{HeaderMap, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::blocking_query::BlockingQuery;
use crate::settings::Settings;

/// Maximum size of a response, which is the full list: enough for tens of thousands of members.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Request header with the token.
const TOKEN_HEADER: &str = "x-consul-token";
/// Response header with the index of the list.
const INDEX_HEADER: &str = "x-consul-index";
/// Response header that is `true` if there is a known leader.
const LEADER_HEADER: &str = "x-consul-knownleader";

/// Why a query failed, for the log.
#[derive(Debug, thiserror::Error)]
pub(crate) enum QueryError {
    #[error("token file {path} cannot be read: {source}")]
    TokenFile {
        path: String,
        source: std::io::Error,
    },
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// The token has a byte that is not valid in a header. The text must not quote the token, which is a secret.
    #[error("token in token_file is not a valid header value")]
    InvalidToken,
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error("response body cannot be read: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("response is not a list of keys: {0}")]
    Json(#[from] serde_json::Error),
    #[error("response has status {0}")]
    Status(StatusCode),
    #[error("no response within the timeout")]
    TimedOut,
}

/// One key of a response.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct KeyValue {
    pub(crate) key: String,
    /// The value in base64; null if it is empty.
    pub(crate) value: Option<String>,
    pub(crate) create_index: u64,
    pub(crate) modify_index: u64,
}

/// A response with a list of keys.
pub(crate) struct ListResponse {
    /// The index of the list; 0 if the response had none.
    pub(crate) index: u64,
    /// Whether there is a known leader; true if the response does not say.
    pub(crate) leader_known: bool,
    /// All keys with the prefix; empty if the store has none.
    pub(crate) entries: Vec<KeyValue>,
}

/// A connection to an agent, with the token that is sent with each query. Closed when this is dropped.
pub(crate) struct AgentConnection {
    agent: SocketAddr,
    sender: http1::SendRequest<Empty<Bytes>>,
    /// The task that reads and writes the connection; aborted when this is dropped.
    driver: JoinHandle<()>,
    token: Option<String>,
}

impl Drop for AgentConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl AgentConnection {
    /// Connects to the agent. The token is read from its file for each connection, so that it can be replaced while the
    /// process is running.
    pub(crate) async fn open(agent: SocketAddr, settings: &Settings) -> Result<Self, QueryError> {
        let token = settings.token_file.as_deref().map(read_token).transpose()?;
        let stream = TcpStream::connect(agent)
            .await
            .map_err(QueryError::Connect)?;
        // If this fails, queries may be sent a few milliseconds later, but work otherwise.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(async move {
            // An error of the connection is reported by the query in flight.
            let _ = connection.await;
        });
        Ok(AgentConnection {
            agent,
            sender,
            driver,
            token,
        })
    }

    /// Sends a query for all keys with the prefix, and reads the whole response.
    pub(crate) async fn query(
        &mut self,
        prefix: &str,
        query: &BlockingQuery,
    ) -> Result<ListResponse, QueryError> {
        let mut request = Request::get(path(prefix, query)).header(HOST, self.agent.to_string());
        if let Some(token) = &self.token {
            request = request.header(TOKEN_HEADER, token);
        }
        let request = request
            .body(Empty::new())
            .map_err(|_| QueryError::InvalidToken)?;
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        let (status, headers) = (response.status(), response.headers().clone());
        let body = read_body(response.into_body())
            .await
            .map_err(QueryError::Body)?;
        let index = index(&headers);
        let entries = match status {
            StatusCode::OK => serde_json::from_slice(&body)?,
            // Consul's response if no key has the prefix.
            StatusCode::NOT_FOUND if index > 0 => Vec::new(),
            status => return Err(QueryError::Status(status)),
        };
        Ok(ListResponse {
            index,
            leader_known: leader_known(&headers),
            entries,
        })
    }
}

/// Reads a body into one buffer. Frames are copied, since each refers to a whole read buffer, however short it is.
async fn read_body(body: Incoming) -> Result<BytesMut, Box<dyn Error + Send + Sync>> {
    let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
    let mut received = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            received.extend_from_slice(&data);
        }
    }
    Ok(received)
}

fn read_token(path: &str) -> Result<String, QueryError> {
    let token = std::fs::read_to_string(path).map_err(|source| QueryError::TokenFile {
        path: path.to_string(),
        source,
    })?;
    Ok(token.trim().to_string())
}

/// The path of a query with its parameters.
fn path(prefix: &str, query: &BlockingQuery) -> String {
    let consistency = match query.consistency {
        ReadConsistency::Stale => "stale",
        ReadConsistency::Consistent => "consistent",
    };
    let wait = match query.index {
        None => String::new(),
        Some(index) => format!("&index={index}&wait={}ms", query.wait_ms),
    };
    format!("/v1/kv/{prefix}?recurse=true&{consistency}{wait}")
}

/// The index of a response; 0 if the header is missing or not a number.
fn index(headers: &HeaderMap) -> u64 {
    let value = headers.get(INDEX_HEADER);
    let text = value.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Whether there is a known leader. If the header is missing, a leader is assumed.
fn leader_known(headers: &HeaderMap) -> bool {
    let value = headers.get(LEADER_HEADER);
    value.is_none_or(|value| value.as_bytes() == b"true")
}
