//! One connection to an agent, over HTTP/1.1.

use std::net::SocketAddr;

use applewall_membership::ReadConsistency;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::header::{HeaderMap, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::blocking_query::BlockingQuery;
use crate::settings::Settings;

/// Most bytes of one answer, which is the whole list: room for tens of thousands of members.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// The request header that carries the token.
const TOKEN_HEADER: &str = "x-consul-token";
/// The response header with the index of the list.
const INDEX_HEADER: &str = "x-consul-index";
/// The response header that tells whether the agent knows a leader.
const LEADER_HEADER: &str = "x-consul-knownleader";

/// Why a query failed, for the log.
#[derive(Debug, thiserror::Error)]
pub(crate) enum QueryError {
    #[error("{path}: {source}")]
    TokenFile {
        path: String,
        source: std::io::Error,
    },
    #[error("{agent}: {source}")]
    Connect {
        agent: SocketAddr,
        source: std::io::Error,
    },
    /// Something in the token cannot stand in a header; the text must not quote a secret.
    #[error("the call cannot be written; see token_file")]
    Request,
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("no answer in time")]
    NoAnswer,
}

/// One key of an answer.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct KeyValue {
    pub(crate) key: String,
    /// In base64; null where it is empty.
    pub(crate) value: Option<String>,
    pub(crate) create_index: u64,
    pub(crate) modify_index: u64,
}

/// The list that a query is answered with.
pub(crate) struct ListAnswer {
    pub(crate) index: u64,
    pub(crate) leader_known: bool,
    pub(crate) entries: Vec<KeyValue>,
}

/// A connection, with the token that goes with each query on it.
pub(crate) struct AgentConnection {
    agent: SocketAddr,
    sender: http1::SendRequest<Empty<Bytes>>,
    driver: JoinHandle<()>,
    token: Option<String>,
}

impl Drop for AgentConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl AgentConnection {
    /// Connects. The token is read at each connection, so that it can be replaced while the program runs.
    pub(crate) async fn open(agent: SocketAddr, settings: &Settings) -> Result<Self, QueryError> {
        let read = |path: &String| match std::fs::read_to_string(path) {
            Ok(token) => Ok(token.trim().to_string()),
            Err(source) => Err(QueryError::TokenFile {
                path: path.clone(),
                source,
            }),
        };
        let token = settings.token_file.as_ref().map(read).transpose()?;
        let stream = TcpStream::connect(agent)
            .await
            .map_err(|source| QueryError::Connect { agent, source })?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(async move {
            // Its error shows in the query that it breaks.
            let _ = connection.await;
        });
        Ok(AgentConnection {
            agent,
            sender,
            driver,
            token,
        })
    }

    /// Sends a query for all keys with the prefix and reads its answer.
    pub(crate) async fn query(
        &mut self,
        prefix: &str,
        query: &BlockingQuery,
    ) -> Result<ListAnswer, QueryError> {
        let mut request = Request::get(path(prefix, query)).header(HOST, self.agent.to_string());
        if let Some(token) = &self.token {
            request = request.header(TOKEN_HEADER, token);
        }
        let request = request.body(Empty::new());
        let request = request.map_err(|_| QueryError::Request)?;
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        let (status, headers) = (response.status(), response.headers().clone());
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(QueryError::Body)?
            .to_bytes();
        let index = index(&headers);
        let entries = match status {
            StatusCode::OK => serde_json::from_slice(&body)?,
            // No key has the prefix.
            StatusCode::NOT_FOUND if index > 0 => Vec::new(),
            status => return Err(QueryError::Status(status)),
        };
        Ok(ListAnswer {
            index,
            leader_known: leader_known(&headers),
            entries,
        })
    }
}

fn path(prefix: &str, query: &BlockingQuery) -> String {
    let consistency = match query.consistency {
        ReadConsistency::Stale => "stale",
        ReadConsistency::Consistent => "consistent",
    };
    let wait = match query.index {
        0 => String::new(),
        index => format!("&index={index}&wait={}ms", query.wait_ms),
    };
    format!("/v1/kv/{prefix}?recurse=true&{consistency}{wait}")
}

/// The index of an answer; 0, which means none, where the header is missing or no number.
fn index(headers: &HeaderMap) -> u64 {
    let value = headers.get(INDEX_HEADER);
    let text = value.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// An agent that does not say so is taken to know a leader.
fn leader_known(headers: &HeaderMap) -> bool {
    let value = headers.get(LEADER_HEADER);
    value.is_none_or(|value| value.as_bytes() == b"true")
}
