//! Commands: a service client's request, read into the module's terms, and the tower service that answers it.

use std::convert::Infallible;
use std::future::{ready, Future};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use applewall::api::{self, RequestId};
use applewall::wire::Facts;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_TYPE, HOST};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, StatusCode, Uri};
use tokio::sync::{mpsc, oneshot, watch};
use tower::Service;

use super::answer::Answer;
use super::engine::Message;
use super::shutdown::Stage;
use super::BODY_MOST;

/// What is told with a nack that the module had no part in: about as long as its own.
const COME_BACK: Duration = Duration::from_millis(200);
/// Customers are numbers below this.
const CUSTOMERS: u64 = 1 << 33;

/// What passes on to an instance unchanged.
pub struct Passed {
    pub method: Method,
    pub target: Uri,
    pub host: Option<HeaderValue>,
    pub id: HeaderValue,
    pub content_type: Option<HeaderValue>,
    pub body: Bytes,
}

/// A command on its way to the engine.
pub struct Command {
    pub request: api::Request,
    /// Tells this command from another that a service client gave the same id.
    pub serial: u64,
    /// When the service client gives it up.
    pub deadline: Instant,
    pub passed: Arc<Passed>,
    pub reply: oneshot::Sender<Answer>,
}

/// What all connections share.
pub struct Gate {
    pub facts: Arc<Facts>,
    pub queue: mpsc::Sender<Message>,
    pub stages: watch::Receiver<Stage>,
    pub serials: AtomicU64,
}

/// The service on one connection.
#[derive(Clone)]
pub struct Commands {
    pub gate: Arc<Gate>,
    /// Nack everything: the connection is one too many.
    pub shed: bool,
    /// Set once a command has begun on the connection.
    pub used: Arc<AtomicBool>,
}

type Reply = Response<Full<Bytes>>;

impl Service<Request<Incoming>> for Commands {
    type Response = Reply;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Reply, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let arrived = Instant::now();
        self.used.store(true, Ordering::Relaxed);
        if request.uri().path() == "/healthz" {
            // Listening and decided from the known name table: ready.
            return Box::pin(ready(Ok(self.gate.finish(Response::default(), false))));
        }
        let (gate, shed) = (self.gate.clone(), self.shed);
        Box::pin(async move {
            let answer = if shed { nack() } else { gate.answer(request, arrived).await };
            Ok(gate.finish(answer.into(), shed))
        })
    }
}

/// Without the module: there is no room to ask it.
fn nack() -> Answer {
    let retry_after = COME_BACK.as_nanos() as u64;
    Answer::Nack { status: StatusCode::SERVICE_UNAVAILABLE, retry_after }
}

/// Tells the engine that the service client left, when the response future is dropped without an answer.
struct Waiting<'a> {
    id: RequestId,
    serial: u64,
    queue: &'a mpsc::Sender<Message>,
    answered: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.answered {
            // A full queue loses this; the engine then finds out at the command's deadline.
            let _ = self.queue.try_send(Message::Left(self.id, self.serial));
        }
    }
}

impl Gate {
    /// Closes the connection with its answer once the program is leaving.
    fn finish(&self, mut reply: Reply, close: bool) -> Reply {
        if close || *self.stages.borrow() != Stage::Serving {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    async fn answer(&self, request: Request<Incoming>, arrived: Instant) -> Answer {
        let (parts, body) = request.into_parts();
        let Some(id) = parts.headers.get("x-correlation-id").cloned() else {
            return Answer::Failed(StatusCode::BAD_REQUEST, "no X-Correlation-Id");
        };
        let mut read = match read(&self.facts, &parts.method, &id, &parts.headers) {
            Ok(read) => read,
            Err(reason) => return Answer::Failed(StatusCode::BAD_REQUEST, reason),
        };
        let deadline = arrived + Duration::from_nanos(read.left);
        let body = match body.is_end_stream() {
            true => Bytes::new(),
            false => match tokio::time::timeout_at(deadline.into(), collect(body)).await {
                Ok(Ok(body)) => body,
                Ok(Err(answer)) => return answer,
                Err(_) => return Answer::Failed(StatusCode::REQUEST_TIMEOUT, "the body came too slowly"),
            },
        };
        read.left = deadline.saturating_duration_since(Instant::now()).as_nanos() as u64;
        let passed = Passed {
            method: parts.method,
            target: origin(parts.uri),
            host: parts.headers.get(HOST).cloned(),
            id,
            content_type: parts.headers.get(CONTENT_TYPE).cloned(),
            body,
        };
        let (reply, answer) = oneshot::channel();
        let serial = self.serials.fetch_add(1, Ordering::Relaxed);
        let id = read.id;
        let command = Command { request: read, serial, deadline, passed: Arc::new(passed), reply };
        if self.queue.try_send(Message::Command(command)).is_err() {
            return nack();
        }
        let mut waiting = Waiting { id, serial, queue: &self.queue, answered: false };
        let answer = answer.await;
        waiting.answered = true;
        answer.unwrap_or(Answer::Failed(StatusCode::INTERNAL_SERVER_ERROR, "the engine has stopped"))
    }
}

async fn collect(body: Incoming) -> Result<Bytes, Answer> {
    match Limited::new(body, BODY_MOST).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => {
            Err(Answer::Failed(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"))
        }
        Err(_) => Err(Answer::Failed(StatusCode::BAD_REQUEST, "the body is not whole")),
    }
}

/// Path and query alone, also where the service client named a whole URI.
fn origin(uri: Uri) -> Uri {
    match uri.scheme() {
        None => uri,
        Some(_) => uri.path_and_query().cloned().unwrap_or_else(|| PathAndQuery::from_static("/")).into(),
    }
}

/// Reads the headers; the error is a plain reason for the service client.
fn read(
    facts: &Facts,
    method: &Method,
    id: &HeaderValue,
    headers: &HeaderMap,
) -> Result<api::Request, &'static str> {
    if method != Method::GET && method != Method::POST {
        return Err("the method is neither GET nor POST");
    }
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    let hex = |value: &HeaderValue| {
        let digits =
            value.to_str().ok().filter(|t| t.len() == 16 && t.bytes().all(|b| b.is_ascii_hexdigit()));
        digits.and_then(|t| u64::from_str_radix(t, 16).ok())
    };
    let id = hex(id).ok_or("X-Correlation-Id is not 16 hex digits")?;
    let class = text("x-service-class").and_then(|c| facts.class(c)).ok_or("unknown X-Service-Class")?;
    let plan = text("x-contract").and_then(|p| facts.plan(p)).ok_or("unknown X-Contract")?;
    let customer = headers.get("x-client-id").and_then(hex).filter(|c| *c < CUSTOMERS);
    let customer = customer.ok_or("X-Client-Id is not a number of 16 hex digits")?;
    let left = text("x-time-left-ms").and_then(|t| t.parse::<u64>().ok());
    let left = left.ok_or("X-Time-Left-Ms is not a whole number")?.saturating_mul(1_000_000);
    let metering = text("x-metering").unwrap_or_default();
    let part = |name: &str| {
        let parts = metering.split(',').filter_map(|p| p.trim().split_once('='));
        parts.filter(|(n, _)| *n == name).find_map(|(_, v)| v.parse::<u32>().ok())
    };
    let settings = &facts.settings;
    let units = part("units").filter(|u| f64::from(*u) <= settings.most_units.max(1.0));
    let spread = part("spread").filter(|s| (1..=settings.gateways).contains(s));
    let first = part("first").filter(|f| *f < settings.gateways);
    let (Some(units), Some(spread), Some(first)) = (units, spread, first) else {
        return Err("X-Metering does not name units, spread and first within the settings");
    };
    Ok(api::Request {
        id: RequestId(id),
        class,
        plan,
        customer: format!("{customer:016x}").into(),
        units: f64::from(units),
        // No try may wait for longer than its class: bounds what is held.
        left: left.min(settings.classes[class].deadline),
        repeat: text("x-repeat") == Some("1"),
        spread,
        first,
    })
}
