//! Commands: a service client's request, read into the module's terms, and the tower service that answers it.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::convert::Infallible;
use std::future::{ready, Future};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use applewall::api::{self, Idempotency, RequestId};
use applewall::platform_settings::PlatformSettings;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_TYPE, HOST};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, StatusCode, Uri};
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tower::Service;

use applewall_admin::Stage;
use applewall_slow_peer::socket::Pacer;
use applewall_slow_peer::{Reason, Verdict};

use crate::clock::Clock;
use crate::engine::message::{ClientDisconnected, ClientRequest, ForwardedRequest, Message};
use crate::lifecycle::process_role::Successor;
use crate::limits::MAX_BODY_BYTES;
use crate::server::connection_table::Seat;
use crate::server::response::{ClientResponse, HttpResponse, ResponseBody, ServedResponse};

/// What is told with a nack that the module had no part in: about as long as its own.
const COME_BACK: Duration = Duration::from_millis(200);
/// A body has to be whole this long after its head.
const BODY: Duration = Duration::from_secs(2);
const TOO_SLOW: &str = "the body came too slowly";
const ID: &str = "x-correlation-id";
/// What instances drop the repeats of a keyed class by (IETF draft-ietf-httpapi-idempotency-key-header).
pub(crate) const KEY: &str = "idempotency-key";
/// Customers are numbers below this.
const CUSTOMERS: u64 = 1 << 33;

/// What all connections share.
pub(crate) struct Gate {
    pub facts: Arc<PlatformSettings>,
    pub queue: mpsc::Sender<Message>,
    pub stages: watch::Receiver<Stage>,
    /// There is a list to decide from.
    pub listed: watch::Receiver<bool>,
    pub serials: AtomicU64,
    /// Bytes that all waiting bodies may hold together.
    pub bodies: Arc<Semaphore>,
    pub clock: Clock,
    pub successor: Successor,
}

/// The service on one connection.
#[derive(Clone)]
pub(crate) struct Commands {
    pub gate: Arc<Gate>,
    /// Nack everything: the connection is one too many.
    pub shed: bool,
    pub seat: Arc<Seat>,
}

impl Service<Request<Incoming>> for Commands {
    type Response = HttpResponse;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<HttpResponse, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let arrived = Instant::now();
        self.seat.begin();
        if let Some(paced) = &self.seat.paced {
            paced.pacer.command(paced.id);
        }
        if request.uri().path() == "/healthz" {
            // Listening, and decided from a name table that may be believed: ready.
            self.seat.wait();
            let mut reply = HttpResponse::new(Either::Left(Full::default()));
            if !(self.gate.stages.borrow().healthy() && *self.gate.listed.borrow()) {
                *reply.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            return Box::pin(ready(Ok(self.gate.finish(reply, false))));
        }
        let Commands { gate, shed, seat } = self.clone();
        Box::pin(async move {
            let mut body = if request.body().is_end_stream() {
                Taken::Whole
            } else {
                Taken::Unread
            };
            let mut customer = None;
            let answer = match seat.distrusted() {
                true => ClientResponse::Failed {
                    status: StatusCode::BAD_REQUEST,
                    reason: "both Content-Length and Transfer-Encoding",
                },
                false if shed => nack(),
                false => {
                    gate.answer(request, arrived, &seat, &mut customer, &mut body)
                        .await
                }
            };
            let mut answer = gate.hold(&seat, customer, answer);
            // What was not read would be read as the next head, or in vain; what comes after chunks is not guarded.
            let close = shed || body != Taken::Whole || seat.unread();
            if body == Taken::Unread {
                seat.leave_unread();
            }
            match &mut answer {
                // Not silent until it is through.
                ClientResponse::Served(ServedResponse {
                    body: ResponseBody::Streaming(flow),
                    ..
                }) => flow.keep(seat),
                _ => seat.wait(),
            }
            Ok(gate.finish(answer.into(), close))
        })
    }
}

/// How far the body of a command was taken.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Taken {
    Unread,
    /// All of it, in chunks.
    Chunks,
    Whole,
}

/// Without the module: there is no room to ask it.
fn nack() -> ClientResponse {
    let retry_after = COME_BACK.as_nanos() as u64;
    ClientResponse::Rejected {
        status: StatusCode::SERVICE_UNAVAILABLE,
        retry_after_ns: retry_after,
    }
}

/// Tells the engine that the service client left, when the response future is dropped without an answer.
struct Waiting<'a> {
    id: RequestId,
    serial: u64,
    queue: &'a mpsc::Sender<Message>,
    answered: bool,
    /// See [`ForwardedRequest::client_disconnected`].
    _asker: Arc<()>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.answered {
            // A full queue loses this; the engine then finds out by itself, before it sends the command on.
            let _ = self
                .queue
                .try_send(Message::ClientDisconnected(ClientDisconnected {
                    request: self.id,
                    serial: self.serial,
                }));
        }
    }
}

/// A customer's place among open commands, given back when it is dropped.
struct Entered<'a>(&'a Pacer, u64);

impl Drop for Entered<'_> {
    fn drop(&mut self) {
        self.0.leave(self.1);
    }
}

impl Gate {
    /// Takes an answer into account for as long as it waits to be read. Without room for it, and with nobody to blame
    /// for that, the command still gets its one final answer at once: a short one.
    fn hold(&self, seat: &Seat, customer: Option<u64>, answer: ClientResponse) -> ClientResponse {
        let Some(paced) = &seat.paced else {
            return answer;
        };
        // One that is passed on holds next to nothing here, however slowly it is read.
        let ClientResponse::Served(ServedResponse {
            body: ResponseBody::Buffered(body),
            ..
        }) = &answer
        else {
            paced.pacer.answered(paced.id);
            return answer;
        };
        let begun = paced.pacer.begin(
            self.clock.now(),
            paced.id,
            paced.holder(customer),
            body.len() as u64,
        );
        match begun {
            Ok(()) => answer,
            Err(_) => {
                paced.pacer.answered(paced.id);
                ClientResponse::Failed {
                    status: StatusCode::INSUFFICIENT_STORAGE,
                    reason: "no room for the answer",
                }
            }
        }
    }

    /// Closes the connection with its answer once the program is leaving.
    fn finish(&self, mut reply: HttpResponse, close: bool) -> HttpResponse {
        if close || self.stages.borrow().last_answers() {
            reply
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        arrived: Instant,
        seat: &Seat,
        customer: &mut Option<u64>,
        taken: &mut Taken,
    ) -> ClientResponse {
        let (parts, body) = request.into_parts();
        let (mut read, number) = match read(&self.facts, &parts.method, &parts.headers) {
            Ok(read) => read,
            Err(reason) => {
                return ClientResponse::Failed {
                    status: StatusCode::BAD_REQUEST,
                    reason,
                }
            }
        };
        *customer = Some(number);
        // Before its body is read: what is refused need not be held.
        let _entered = match &seat.paced {
            Some(paced) if paced.pacer.enter(self.clock.now(), number).is_err() => return nack(),
            Some(paced) => Some(Entered(&paced.pacer, number)),
            None => None,
        };
        let mut deadline = arrived + Duration::from_nanos(read.time_left_ns);
        if let Some((_, by)) = self
            .successor
            .stopping
            .get()
            .map(|s| s.late)
            .filter(|(from, _)| arrived >= *from)
        {
            deadline = deadline.min(by);
        }
        let (body, held) = match body.is_end_stream() {
            true => (Bytes::new(), None),
            false => {
                let length = body.size_hint().exact();
                let room = length.unwrap_or(MAX_BODY_BYTES as u64);
                if room > MAX_BODY_BYTES as u64 {
                    return ClientResponse::Failed {
                        status: StatusCode::PAYLOAD_TOO_LARGE,
                        reason: "the body is too large",
                    };
                }
                let Ok(held) = self.bodies.clone().try_acquire_many_owned(room as u32) else {
                    return nack();
                };
                let pacer = seat
                    .paced
                    .as_ref()
                    .map(|p| &p.pacer)
                    .filter(|p| p.settings().enabled.0);
                let time = pacer.map_or(BODY, |p| p.settings().upload_time.0);
                let until = deadline.min(arrived + time);
                let collect = async {
                    match pacer {
                        Some(pacer) => self.collect_paced(body, pacer, until, length).await,
                        None => collect(body).await,
                    }
                };
                match tokio::time::timeout_at(until.into(), collect).await {
                    Ok(Ok(body)) => {
                        *taken = if length.is_some() {
                            Taken::Whole
                        } else {
                            Taken::Chunks
                        };
                        (body, Some(held))
                    }
                    Ok(Err(answer)) => {
                        if let (
                            ClientResponse::Failed {
                                status: StatusCode::REQUEST_TIMEOUT,
                                ..
                            },
                            Some(paced),
                        ) = (&answer, &seat.paced)
                        {
                            paced.pacer.note(paced.holder(Some(number)), Reason::Upload);
                        }
                        return answer;
                    }
                    Err(_) => {
                        return ClientResponse::Failed {
                            status: StatusCode::REQUEST_TIMEOUT,
                            reason: TOO_SLOW,
                        }
                    }
                }
            }
        };
        read.time_left_ns = deadline
            .saturating_duration_since(Instant::now())
            .as_nanos() as u64;
        // From here on nothing of the command is read: what comes now is the next one's, or the client's end.
        if *taken != Taken::Unread {
            seat.answering();
        }
        let asker = Arc::new(());
        let passed = ForwardedRequest {
            method: parts.method,
            target: origin(parts.uri),
            host: parts.headers.get(HOST).cloned(),
            correlation_id: parts.headers[ID].clone(),
            content_type: parts.headers.get(CONTENT_TYPE).cloned(),
            idempotency_key: parts.headers.get(KEY).cloned(),
            body,
            _body_permit: held,
            client: Arc::downgrade(&asker),
        };
        let (reply, answer) = oneshot::channel();
        let serial = self.serials.fetch_add(1, Ordering::Relaxed);
        let id = read.id;
        let command = ClientRequest {
            request: read,
            serial,
            deadline,
            forwarded: Arc::new(passed),
            responder: reply,
        };
        if self.queue.try_send(Message::Request(command)).is_err() {
            return nack();
        }
        let mut waiting = Waiting {
            id,
            serial,
            queue: &self.queue,
            answered: false,
            _asker: asker,
        };
        let answer = answer.await;
        waiting.answered = true;
        answer.unwrap_or(ClientResponse::Failed {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            reason: "the engine has stopped",
        })
    }
}

impl Gate {
    /// The same, given up as soon as it stalls or can't be whole in time: what it holds is free again.
    async fn collect_paced(
        &self,
        body: Incoming,
        pacer: &Pacer,
        until: Instant,
        length: Option<u64>,
    ) -> Result<Bytes, ClientResponse> {
        let (mut body, mut whole) = (Limited::new(body, MAX_BODY_BYTES), BytesMut::new());
        let now = self.clock.now();
        let mut transfer = applewall_slow_peer::Incoming::new(
            pacer.settings(),
            now,
            self.clock.nanos_at(until),
            length,
        );
        loop {
            let Verdict::Wait(next) = transfer.verdict(self.clock.now()) else {
                return Err(ClientResponse::Failed {
                    status: StatusCode::REQUEST_TIMEOUT,
                    reason: TOO_SLOW,
                });
            };
            let next = self.clock.instant(next).into();
            match tokio::time::timeout_at(next, body.frame()).await {
                Ok(None) => return Ok(whole.freeze()),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        transfer.arrive(self.clock.now(), data.len() as u64);
                        whole.extend_from_slice(&data);
                    }
                }
                Ok(Some(Err(e))) => return Err(unread(&*e)),
                // Time for another look.
                Err(_) => {}
            }
        }
    }
}

/// What is told of a body that could not be read.
fn unread(error: &(dyn std::error::Error + 'static)) -> ClientResponse {
    match error.is::<http_body_util::LengthLimitError>() {
        true => ClientResponse::Failed {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            reason: "the body is too large",
        },
        false => ClientResponse::Failed {
            status: StatusCode::BAD_REQUEST,
            reason: "the body is not whole",
        },
    }
}

async fn collect(body: Incoming) -> Result<Bytes, ClientResponse> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) => Err(unread(&*e)),
    }
}

/// Path and query alone, also where the service client named a whole URI.
fn origin(uri: Uri) -> Uri {
    match uri.scheme() {
        None => uri,
        Some(_) => uri
            .path_and_query()
            .cloned()
            .unwrap_or_else(|| PathAndQuery::from_static("/"))
            .into(),
    }
}

/// The one value of a header; none where it is missing, comes twice or is no text.
fn one<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).into_iter();
    values
        .next()
        .filter(|_| values.next().is_none())?
        .to_str()
        .ok()
}

/// Digits alone: no sign, no space.
fn digits(text: &str) -> Option<u64> {
    text.bytes()
        .all(|b| b.is_ascii_digit())
        .then(|| text.parse().ok())
        .flatten()
}

fn hex(text: &str) -> Option<u64> {
    let whole = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    whole.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// Units, spread and first, each named once.
fn metering(text: &str) -> Option<[u32; 3]> {
    let mut parts = [None; 3];
    for part in text.split(',') {
        let (name, value) = part.trim().split_once('=')?;
        if let Some(i) = ["units", "spread", "first"].iter().position(|n| *n == name) {
            let value = u32::try_from(digits(value)?).ok()?;
            // A part that comes twice says two things: whose quota would it be?
            if parts[i].replace(value).is_some() {
                return None;
            }
        }
    }
    Some([parts[0]?, parts[1]?, parts[2]?])
}

/// Reads the headers; the error is a plain reason for the service client. Nothing that is read in doubt may be
/// served, or charged to a customer.
fn read(
    facts: &PlatformSettings,
    method: &Method,
    headers: &HeaderMap,
) -> Result<(api::Request, u64), &'static str> {
    if method != Method::GET && method != Method::POST {
        return Err("the method is neither GET nor POST");
    }
    let id = one(headers, ID)
        .and_then(hex)
        .ok_or("X-Correlation-Id is not 16 hex digits")?;
    let class = one(headers, "x-service-class").and_then(|c| facts.class(c));
    let class = class.ok_or("unknown X-Service-Class")?;
    // A repeat goes out under the same key, or it runs twice: without one, or with two, none could be sent.
    match (
        headers.get_all(KEY).iter().count(),
        facts.policy.classes[class].idempotency,
    ) {
        (1, _) => {}
        (0, Idempotency::IdempotencyKey { .. }) => {
            return Err("no Idempotency-Key, which this class is repeated by")
        }
        (0, _) => {}
        _ => return Err("Idempotency-Key comes twice"),
    }
    let plan = one(headers, "x-contract")
        .and_then(|p| facts.plan(p))
        .ok_or("unknown X-Contract")?;
    let customer = one(headers, "x-client-id")
        .and_then(hex)
        .filter(|c| *c < CUSTOMERS);
    let customer = customer.ok_or("X-Client-Id is not a number of 16 hex digits")?;
    let left = one(headers, "x-time-left-ms")
        .and_then(digits)
        .ok_or("X-Time-Left-Ms is not a whole number")?;
    let settings = &facts.policy;
    let set = one(headers, "x-metering")
        .and_then(metering)
        .filter(|[units, spread, first]| {
            let n = settings.node_count.max(1);
            (1..=settings.max_request_units.max(1.0) as u32).contains(units)
            && (1..=n).contains(spread)
            && *first < n
            // A set without this ingress: the customer's quota is not kept here.
            && (settings.node + n - first) % n < *spread
        });
    let Some([units, spread, first]) = set else {
        return Err(
            "X-Metering does not name units, and a set with this ingress, within the settings",
        );
    };
    let request = api::Request {
        id: RequestId(id),
        class,
        plan,
        customer: format!("{customer:016x}").into(),
        units: f64::from(units),
        // No try may wait for longer than its class: bounds what is held.
        time_left_ns: left
            .saturating_mul(1_000_000)
            .min(settings.classes[class].deadline_ns),
        is_retry: one(headers, "x-repeat") == Some("1"),
        node_set_size: spread,
        first_node: first,
    };
    Ok((request, customer))
}
