//! The tower service of one client connection: answers health checks, rejects requests on connections that are over the
//! limit or have ambiguous framing, and passes all others to the request handler.
//!
//! A request gets exactly one response. The connection awaits its next request only once the response is known, and a
//! connection with unread input closes after its response.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::{Request, StatusCode};
use tower::Service;

use crate::server::connection_table::ClientConnection;
use crate::server::context::ServerContext;
use crate::server::request_body::BodyState;
use crate::server::request_handler::{RequestHandler, RequestProgress};
use crate::server::response::{ClientResponse, HttpResponse, ResponseBody, ServedResponse};
use crate::server::response_accounting::account_for;

/// The path for health checks, which are answered without the engine and on every connection.
const HEALTH_PATH: &str = "/healthz";

/// The service of one client connection.
#[derive(Clone)]
pub(crate) struct RequestService {
    /// State shared by all connections.
    pub context: Arc<ServerContext>,
    /// Whether a connection limit is exceeded: requests are rejected, and the connection closes after its first
    /// response.
    pub sheds_load: bool,
    /// The connection on which the requests are received.
    pub connection: Arc<ClientConnection>,
}

impl Service<Request<Incoming>> for RequestService {
    type Response = HttpResponse;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<HttpResponse, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let arrived = Instant::now();
        self.connection.begin_request();
        if let Some(monitored) = &self.connection.monitored {
            monitored.monitor.request_started(monitored.id);
        }
        Box::pin(self.clone().serve(request, arrived))
    }
}

impl RequestService {
    /// 200 if the process is healthy, otherwise 503.
    fn health_response(&self) -> HttpResponse {
        self.connection.await_request();
        let mut response = HttpResponse::new(Either::Left(Full::default()));
        if !self.context.is_healthy() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        set_connection_close(&mut response, self.context.closes_after_response());
        response
    }

    #[expect(
        clippy::manual_async_fn,
        reason = "the future of an async fn would store the request twice"
    )]
    fn serve(
        self,
        request: Request<Incoming>,
        arrived: Instant,
    ) -> impl Future<Output = Result<HttpResponse, Infallible>> {
        async move {
            if request.uri().path() == HEALTH_PATH {
                yield_to_others().await;
                return Ok(self.health_response());
            }
            let mut progress = RequestProgress {
                body: BodyState::before_reading(request.body()),
                customer: None,
            };
            let response = match self.rejection() {
                Some(rejection) => Err(rejection),
                None => self.handle(request, arrived, &mut progress).await,
            };
            let response = response.unwrap_or_else(|response| response);
            if !matches!(response, ClientResponse::Served(_)) {
                yield_to_others().await;
            }
            Ok(self.into_http(response, &progress))
        }
    }

    /// Handles a request. An error is a response produced without the engine.
    async fn handle(
        &self,
        request: Request<Incoming>,
        arrived: Instant,
        progress: &mut RequestProgress,
    ) -> Result<ClientResponse, ClientResponse> {
        let handler = RequestHandler {
            context: &self.context,
            connection: &self.connection,
            arrived,
        };
        handler.handle(request, progress).await
    }

    /// The response to all requests on a connection that is over the limit or has ambiguous framing, otherwise `None`.
    fn rejection(&self) -> Option<ClientResponse> {
        if self.connection.has_ambiguous_framing() {
            return Some(ClientResponse::Failed {
                status: StatusCode::BAD_REQUEST,
                reason: "both Content-Length and Transfer-Encoding",
            });
        }
        self.sheds_load.then(ClientResponse::overloaded)
    }

    /// Accounts for a response, updates the state of the connection and converts the response for hyper.
    fn into_http(self, response: ClientResponse, progress: &RequestProgress) -> HttpResponse {
        let RequestService {
            context,
            sheds_load,
            connection,
        } = self;
        let mut response = account_for(response, &connection, progress.customer, context.clock);
        // The rest of an unread body would have to be read and discarded, or be taken for the next head. The input
        // after a chunked body is not checked by the framing guard.
        let closes =
            sheds_load || progress.body != BodyState::Complete || connection.has_unread_input();
        if progress.body == BodyState::Unread {
            connection.set_unread_input();
        }
        if let ClientResponse::Served(ServedResponse {
            body: ResponseBody::Streaming(body),
            ..
        }) = &mut response
        {
            // The connection awaits its next request once the body has been written.
            body.hold_connection(connection);
        } else {
            connection.await_request();
        }
        let mut response = response.into();
        set_connection_close(&mut response, closes || context.closes_after_response());
        response
    }
}

/// Lets the runtime serve other connections before a response that no endpoint has made. Otherwise one client that sends
/// requests for which there are such responses, without a pause, would keep the others waiting.
async fn yield_to_others() {
    tokio::task::yield_now().await;
}

/// Adds `Connection: close` if the connection closes after this response.
fn set_connection_close(response: &mut HttpResponse, closes: bool) {
    if closes {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
}
