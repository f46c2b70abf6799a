//! Submits a completely received request to the engine and waits for its response.
//!
//! If the wait is dropped before the response, the engine is notified that the client has disconnected.

use std::sync::Arc;
use std::time::Instant;

use applewall::api::{self, RequestId};
use hyper::StatusCode;
use tokio::sync::{mpsc, oneshot};

use crate::engine::message::{
    ClientDisconnected, ClientPresence, ClientRequest, ForwardedHead, ForwardedRequest, Message,
};
use crate::observability::event_counts::{self, CountedEvent};
use crate::server::connection_table::ClientConnection;
use crate::server::context::ServerContext;
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
    /// The part of the head that is forwarded.
    pub head: ForwardedHead,
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
            forwarded: Arc::new(ForwardedRequest {
                head: self.head,
                body: self.body.bytes,
                _body_permit: self.body.permit,
                client: presence,
            }),
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
            reason: "the request was abandoned",
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
