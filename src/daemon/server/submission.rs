//! Submits a completely received request to the engine and waits for its response.
//!
//! If the wait is dropped before the response, the engine is notified that the client has disconnected.

use std::sync::Arc;
use std::time::Instant;

use applewall::api::{self, RequestId};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::http::request::Parts;
use hyper::StatusCode;
use tokio::sync::{mpsc, oneshot};

use crate::engine::message::{
    ClientDisconnected, ClientPresence, ClientRequest, ForwardedRequest, Message,
};
use crate::headers::{CORRELATION_ID, IDEMPOTENCY_KEY};
use crate::observability::event_counts::{self, CountedEvent};
use crate::server::connection_table::ClientConnection;
use crate::server::context::ServerContext;
use crate::server::request;
use crate::server::request_body::ReceivedBody;
use crate::server::response::ClientResponse;

/// The engine's queue is full, so the request was not submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the engine's queue is full")]
pub(super) struct QueueFull;

/// A completely received request.
pub(super) struct Submission {
    /// The request as passed to the decision policy.
    pub request: api::Request,
    /// The head as received, of which only the parts in [`ForwardedRequest`] are forwarded.
    pub head: Parts,
    pub body: ReceivedBody,
    /// Deadline for the response.
    pub deadline: Instant,
}

impl Submission {
    /// Puts the request into the engine's queue.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full; the request does not reach the engine then.
    pub(super) fn submit<'a>(
        self,
        context: &'a ServerContext,
        connection: &ClientConnection,
    ) -> Result<PendingResponse<'a>, QueueFull> {
        let client = Arc::new(());
        let presence = ClientPresence {
            waiting: Arc::downgrade(&client),
            socket: connection.socket.clone(),
        };
        let (responder, response) = oneshot::channel();
        let (request, serial) = (self.request.id, context.next_serial());
        let message = Message::Request(ClientRequest {
            request: self.request,
            serial,
            deadline: self.deadline,
            forwarded: Arc::new(forwarded_request(self.head, self.body, presence)),
            responder,
        });
        context.queue.try_send(message).map_err(|_| {
            event_counts::count(CountedEvent::RejectedQueueFull);
            QueueFull
        })?;
        Ok(PendingResponse {
            response,
            disconnect: DisconnectGuard {
                request,
                serial,
                queue: &context.queue,
                has_response: false,
                _client: client,
            },
        })
    }
}

/// Builds the part of a request that is forwarded to endpoints.
fn forwarded_request(head: Parts, body: ReceivedBody, client: ClientPresence) -> ForwardedRequest {
    ForwardedRequest {
        method: head.method,
        target: request::origin_form(head.uri),
        host: head.headers.get(HOST).cloned(),
        correlation_id: head.headers[CORRELATION_ID].clone(),
        content_type: head.headers.get(CONTENT_TYPE).cloned(),
        idempotency_key: head.headers.get(IDEMPOTENCY_KEY).cloned(),
        body: body.bytes,
        _body_permit: body.permit,
        client,
    }
}

/// The pending response to a submitted request.
pub(super) struct PendingResponse<'a> {
    response: oneshot::Receiver<ClientResponse>,
    disconnect: DisconnectGuard<'a>,
}

impl PendingResponse<'_> {
    /// Waits for the response. Dropping the [`PendingResponse`] before that reports a disconnect to the engine.
    pub(super) async fn wait(&mut self) -> ClientResponse {
        let response = (&mut self.response).await;
        self.disconnect.has_response = true;
        response.unwrap_or(ClientResponse::Failed {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            reason: "the engine has stopped",
        })
    }
}

/// Reports to the engine that the client has disconnected, if dropped before the response is known.
struct DisconnectGuard<'a> {
    request: RequestId,
    serial: u64,
    queue: &'a mpsc::Sender<Message>,
    has_response: bool,
    /// Keeps [`ClientPresence::waiting`] alive while the client waits.
    _client: Arc<()>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.has_response {
            return;
        }
        // The message is lost if the queue is full. The engine also checks the client's presence before it forwards a
        // request.
        let _ = self
            .queue
            .try_send(Message::ClientDisconnected(ClientDisconnected {
                request: self.request,
                serial: self.serial,
            }));
    }
}
