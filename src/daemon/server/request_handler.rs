//! Handles one request: parses its head, acquires a slot of its customer, reads its body and submits it to the engine.
//!
//! A request that is rejected before its body is read takes no memory for the body.

use std::time::Instant;

use hyper::body::Incoming;
use hyper::Request;

use crate::server::connection_table::ClientConnection;
use crate::server::context::ServerContext;
use crate::server::customer_slot::{CustomerSlot, NoSlotLeft};
use crate::server::forwarded_head;
use crate::server::request::{self, InvalidRequest, ParsedRequest};
use crate::server::request_body::{BodyReader, BodyState};
use crate::server::response::ClientResponse;
use crate::server::submission::{QueueFull, Submission};

/// How far the request has been read. The caller needs this even if the handler returns an error.
pub(super) struct RequestProgress {
    /// How much of the body has been read.
    pub body: BodyState,
    /// The customer's id, once the head has been parsed.
    pub customer: Option<u64>,
}

/// What [`RequestHandler::handle`] needs to handle one request.
pub(super) struct RequestHandler<'a> {
    /// State shared by all connections.
    pub context: &'a ServerContext,
    /// The connection on which the request was received.
    pub connection: &'a ClientConnection,
    /// When the request's head was read.
    pub arrived: Instant,
}

impl RequestHandler<'_> {
    /// Handles a request. An error is a response produced without the engine.
    pub(super) async fn handle(
        &self,
        request: Request<Incoming>,
        progress: &mut RequestProgress,
    ) -> Result<ClientResponse, ClientResponse> {
        let context = self.context;
        let (head, body) = request.into_parts();
        let ParsedRequest {
            mut request,
            customer,
        } = request::parse(&context.settings, &head.method, &head.headers)?;
        progress.customer = Some(customer);
        let head = forwarded_head::copy(head).ok_or(InvalidRequest::Target)?;
        // Acquired before the body is read, so that the body of a rejected request takes no memory.
        let _slot = CustomerSlot::acquire(self.connection, context.clock, customer)?;
        let accept_wait = self.connection.take_accept_wait();
        let deadline = context.response_deadline(self.arrived, accept_wait, request.time_left_ns);
        let body = self.body_reader(customer, deadline).read(body).await?;
        progress.body = body.state;
        let complete_at = Instant::now();
        let deadline = context.limited_by_shutdown(deadline, complete_at);
        let time_left = deadline.saturating_duration_since(complete_at);
        request.time_left_ns = time_left.as_nanos() as u64;
        // The request has been read completely: from here on the input is the next request or the client's disconnect.
        self.connection.await_response();
        let submission = Submission {
            request,
            head,
            body,
            deadline,
        };
        let mut pending = submission.submit(context, self.connection)?;
        Ok(pending.wait().await)
    }

    fn body_reader(&self, customer: u64, deadline: Instant) -> BodyReader<'_> {
        BodyReader {
            clock: self.context.clock,
            permits: &self.context.body_permits,
            monitored: self.connection.monitored.as_ref(),
            customer,
            arrived: self.arrived,
            deadline,
        }
    }
}

impl From<NoSlotLeft> for ClientResponse {
    fn from(_: NoSlotLeft) -> Self {
        ClientResponse::overloaded()
    }
}

impl From<QueueFull> for ClientResponse {
    fn from(_: QueueFull) -> Self {
        ClientResponse::overloaded()
    }
}
