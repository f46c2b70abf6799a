//! Instances (limit servers): their connections, and the attempts made on them.
//!
//! hyper's connection is driven by hand, in the attempt's own task: nothing is sent twice behind our back, a
//! connection closes the moment its attempt is dropped, and an attempt costs no second task.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use applewall::api::{
    EndpointId, EndpointState, EndpointUpdateKind, LoadField, Outcome, RequestId,
};
use applewall::platform_settings::PlatformSettings;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit, Semaphore};

use crate::clock::Clock;
use crate::engine::message::{AttemptEnded, EndpointEntry, ForwardedRequest, Message};
use crate::limits::MAX_BODY_BYTES;
use crate::server::request::KEY;
use crate::server::response::{ResponseBody, ServedResponse};
use crate::server::slow_peers::Pacers;
use crate::server::streaming_body::flow;
use crate::upstream::body::{first_piece, pass_on, read_ahead, Due, Pacing};
use crate::upstream::connection::{drive, Connection, Watch, Watched};
use crate::upstream::response::{framed, load, outcome};

/// Part of the instance's idle limit after which we close a connection ourselves: crossing it is a reset.
const IDLE_PART: f64 = 0.6;
/// The head of an answer, and what is read ahead of a body, hold this at most.
const HEAD_MOST: usize = 16 * 1024;
/// What an attempt starts with: an idle connection, or a place for a new one.
enum Pooled {
    Idle(Connection),
    Place(OwnedSemaphorePermit),
}

/// What is known of an instance, and its idle connections.
struct State {
    endpoint: SocketAddr,
    /// It is to get nothing new.
    draining: bool,
    idle: Vec<Connection>,
}

/// One instance.
pub(crate) struct Instance {
    state: Mutex<State>,
}

impl Instance {
    fn new(endpoint: SocketAddr) -> Self {
        Instance {
            state: Mutex::new(State {
                endpoint,
                draining: false,
                idle: Vec::new(),
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // Nothing panics while it holds the lock; if it did, the state would still be whole.
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Limits on connections to instances.
struct Limits {
    dial: Duration,
    idle: Duration,
}

/// All instances that the name table has named.
pub(crate) struct ConnectionPool {
    instances: HashMap<EndpointId, Arc<Instance>>,
    places: Arc<Semaphore>,
    limits: Arc<Limits>,
    load_fields: Arc<[LoadField]>,
    /// Bytes that answers read ahead may hold together.
    ahead: Arc<Semaphore>,
    clock: Clock,
    pacers: Pacers,
    queue: mpsc::Sender<Message>,
}

/// Bounds on what the pool holds.
pub(crate) struct PoolLimits {
    /// Connections, idle ones among them.
    pub connections: usize,
    /// Bytes of responses that are read ahead.
    pub prefetch_bytes: usize,
}

/// An attempt that is to be made.
pub(crate) struct Attempt {
    pub request: RequestId,
    pub number: u32,
    pub endpoint: EndpointId,
    pub forwarded: Arc<ForwardedRequest>,
    /// When it is given up.
    pub until: Instant,
    /// From when on it may not be written any more.
    pub write_by: Option<Instant>,
    /// Where another one may follow: by when that would have to end.
    pub retry_until: Option<Instant>,
}

impl ConnectionPool {
    /// None yet, and room for so many connections; attempts report to the queue.
    pub(crate) fn new(
        facts: &PlatformSettings,
        limits: PoolLimits,
        clock: Clock,
        pacers: Pacers,
        queue: mpsc::Sender<Message>,
    ) -> Self {
        let timeouts = Limits {
            dial: Duration::from_nanos(facts.connect_timeout_ns),
            idle: Duration::from_nanos(facts.idle_connection_timeout_ns).mul_f64(IDLE_PART),
        };
        ConnectionPool {
            instances: HashMap::new(),
            places: Arc::new(Semaphore::new(limits.connections)),
            limits: Arc::new(timeouts),
            load_fields: facts.policy.load_report_fields.as_slice().into(),
            ahead: Arc::new(Semaphore::new(limits.prefetch_bytes)),
            clock,
            pacers,
            queue,
        }
    }

    /// Takes in news of the name table.
    pub(crate) fn update(&mut self, kind: EndpointUpdateKind, entries: &[EndpointEntry]) {
        if kind != EndpointUpdateKind::Delta {
            // What a whole list leaves out is gone; what it names is put right below.
            for instance in self.instances.values() {
                instance.state().draining = true;
            }
        }
        for EndpointEntry {
            endpoint: member,
            address: endpoint,
        } in entries
        {
            let ready = member.state == EndpointState::Ready;
            let instance = self
                .instances
                .entry(member.id.clone())
                .or_insert_with(|| Arc::new(Instance::new(*endpoint)));
            let mut state = instance.state();
            state.endpoint = *endpoint;
            state.draining = !ready;
            state.idle.retain(|c| c.endpoint == *endpoint);
        }
        // With it go its idle connections; attempts that are out hold it by themselves, and read that it drains.
        self.instances
            .retain(|_, instance| !instance.state().draining);
    }

    /// Closes idle connections to one instance.
    pub(crate) fn close_idle(&self, backend: &EndpointId) {
        self.instances
            .get(backend)
            .into_iter()
            .for_each(|i| i.state().idle.clear());
    }

    fn fresh(&self, connection: &Connection) -> bool {
        connection.since.elapsed() < self.limits.idle
    }

    /// Closes connections that have been idle for long.
    pub(crate) fn sweep(&self) {
        for instance in self.instances.values() {
            instance.state().idle.retain(|c| self.fresh(c));
        }
    }

    /// Idle connections.
    pub(crate) fn idle_connections(&self) -> usize {
        self.instances.values().map(|i| i.state().idle.len()).sum()
    }

    /// A place for a new connection; where all are taken, the connection that has been idle longest goes.
    fn place(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(place) = self.places.clone().try_acquire_owned() {
            return Some(place);
        }
        let oldest = |i: &&Arc<Instance>| i.state().idle.first().map(|c| c.since);
        let longest = self
            .instances
            .values()
            .filter(|i| oldest(i).is_some())
            .min_by_key(oldest)?;
        drop(longest.state().idle.remove(0));
        self.places.clone().try_acquire_owned().ok()
    }

    /// Starts an attempt in a task of its own, which reports once. Dropping what comes back cancels it.
    pub(crate) fn start(&self, attempt: Attempt) -> Result<oneshot::Sender<()>, Attempt> {
        let Some(instance) = self.instances.get(&attempt.endpoint) else {
            return Err(attempt);
        };
        // One that has been idle for long may be crossed by its end from over there, even before a sweep.
        let idle = instance.state().idle.pop().filter(|c| self.fresh(c));
        let pooled = idle
            .map(Pooled::Idle)
            .or_else(|| self.place().map(Pooled::Place));
        let Some(pooled) = pooled else {
            return Err(attempt);
        };
        let (cancel, cancelled) = oneshot::channel();
        let (instance, limits, fields) = (
            instance.clone(),
            self.limits.clone(),
            self.load_fields.clone(),
        );
        let queue = self.queue.clone();
        let pacer = self
            .pacers
            .borrow()
            .as_ref()
            .filter(|p| p.settings().enabled.0)
            .cloned();
        let pacing = pacer.map(|pacer| Pacing {
            pacer,
            clock: self.clock,
        });
        let ahead = self.ahead.clone();
        tokio::spawn(async move {
            let started = Instant::now();
            let Attempt {
                request,
                number,
                endpoint,
                forwarded: passed,
                until,
                write_by,
                retry_until: again,
            } = attempt;
            let due = Due {
                until,
                write_by,
                again,
            };
            let (begin, mut begun) = oneshot::channel();
            let carried = Carried {
                pacing: pacing.as_ref(),
                ahead: &ahead,
                begin,
            };
            let made = make(&instance, &limits, carried, pooled, &passed, due);
            tokio::pin!(made);
            // Whichever ends first drops the others, and a connection in use with them: it is closed before
            // the report, so that nothing else of the request can go out while it is open.
            let (result, goes_on) = tokio::select! {
                biased;
                result = &mut made => (result, false),
                // From here on the answer is the service client's, however long it takes.
                Ok(answer) = &mut begun => (Ok(answer), true),
                _ = cancelled => (Err(Outcome::Cancelled), false),
                () = tokio::time::sleep_until(until.into()) => (Err(Outcome::TimedOut), false),
            };
            // One that began and was through at one go: what it brought waits in its flow.
            let result = result.map(|whole| begun.try_recv().unwrap_or(whole));
            let mut ended = AttemptEnded {
                request,
                attempt: number,
                endpoint,
                outcome: Outcome::TimedOut,
                latency: started.elapsed(),
                load_report: Vec::new(),
                response: None,
            };
            match result {
                Ok((status, headers, body)) => {
                    ended.outcome = outcome(status, &headers);
                    ended.load_report = load(&headers, &fields);
                    let kind = headers.get(CONTENT_TYPE).cloned();
                    ended.response =
                        (ended.outcome == Outcome::Success).then_some(ServedResponse {
                            body,
                            content_type: kind,
                        });
                }
                Err(outcome) => ended.outcome = outcome,
            }
            let report = queue.send(Message::AttemptEnded(ended));
            if goes_on {
                // Both at once: the answer goes on while the engine's queue is full.
                let _ = tokio::join!(report, made);
            } else {
                let _ = report.await;
            }
        });
        Ok(cancel)
    }
}

/// What an attempt comes to, where it comes to an answer.
type Made = (StatusCode, HeaderMap, ResponseBody);

/// How an answer is carried.
struct Carried<'a> {
    pacing: Option<&'a Pacing>,
    ahead: &'a Arc<Semaphore>,
    /// Told once an answer is passed on while it still comes.
    begin: oneshot::Sender<Made>,
}

/// Makes one attempt on a connection; an error is how it ended without an answer.
async fn make(
    instance: &Instance,
    limits: &Limits,
    carried: Carried<'_>,
    pooled: Pooled,
    passed: &ForwardedRequest,
    due: Due,
) -> Result<Made, Outcome> {
    let Carried {
        pacing,
        ahead,
        begin,
    } = carried;
    let mut connection = match pooled {
        Pooled::Idle(mut connection) => match connection.usable().await {
            true => connection,
            // It ended while idle, and nothing was written on it: its place goes to a new one.
            false => dial(instance, limits, connection.close()).await?,
        },
        Pooled::Place(place) => dial(instance, limits, place).await?,
    };
    // A drain may have been told while the attempt dialled. Nothing is between this look and the first byte; what the
    // rule allows from the telling on is spent on the way from the agent to here.
    if instance.state().draining {
        return Err(Outcome::Overloaded);
    }
    // So may the service client have gone, and an attempt may not be called off where the settings don't allow it.
    // And the time of its key may be over, if it is a repeat.
    if passed.client_disconnected() || due.write_by.is_some_and(|by| Instant::now() >= by) {
        return Err(Outcome::NotSent);
    }
    let request = request(passed, connection.endpoint, due.until).ok_or(Outcome::NotSent)?;
    let before = connection.watch.written.load(Ordering::Relaxed);
    let (sender, watch) = (&mut connection.sender, connection.watch.clone());
    let exchange = async {
        let answer = sender.send_request(request);
        let answer = match pacing {
            None => answer.await.ok()?,
            Some(pacing) => tokio::select! {
                biased;
                answer = answer => answer.ok()?,
                () = pacing.head_stalls(&watch, due) => return None,
            },
        };
        let (parts, mut body) = answer.into_parts();
        if !framed(parts.version, parts.status, &parts.headers) {
            return None;
        }
        let length = body.size_hint().exact();
        let good = outcome(parts.status, &parts.headers) == Outcome::Success;
        // One that says that it is larger than what is read ahead is passed on as it comes; so is one that would have
        // to wait for room, which its service client's own reading gives it.
        let room = length.unwrap_or(MAX_BODY_BYTES as u64);
        let room = (room <= MAX_BODY_BYTES as u64)
            .then(|| ahead.clone().try_acquire_many_owned(room as u32).ok());
        let held = room.flatten();
        let (first, all) = match (pacing, &held) {
            (_, None) if good => first_piece(&mut body).await?,
            (None, _) => read_ahead(&mut body).await?,
            (Some(pacing), _) => pacing.collect(&mut body, due).await?,
        };
        if all || !good {
            return Some((parts.status, parts.headers, ResponseBody::Buffered(first)));
        }
        let (source, flow) = flow(length, held);
        watch.passing.store(true, Ordering::Relaxed);
        // Nobody waits for it where it was given up just now.
        begin
            .send((
                parts.status,
                parts.headers.clone(),
                ResponseBody::Streaming(flow),
            ))
            .ok()?;
        let whole = pass_on(source, first, &mut body).await;
        whole.then(|| {
            (
                parts.status,
                parts.headers,
                ResponseBody::Buffered(Bytes::new()),
            )
        })
    };
    let passing = connection.watch.clone();
    let passing = || passing.passing.load(Ordering::Relaxed);
    let driven = drive(&mut connection.driver, exchange, passing).await;
    connection.watch.passing.store(false, Ordering::Relaxed);
    let Some(answer) = driven.flatten() else {
        // Not a byte was written: it never ran. Otherwise it may have: part of it may have been the whole. A spoilt
        // answer ends here too, and one that was given up for its pace, and its connection with it: the module hears
        // of it as of any other break, once nothing of it is out.
        let written = connection.watch.written.load(Ordering::Relaxed) > before;
        return Err(if written {
            Outcome::ConnectionReset
        } else {
            Outcome::ConnectFailed
        });
    };
    if connection.usable().await {
        connection.since = Instant::now();
        let mut state = instance.state();
        if !state.draining && state.endpoint == connection.endpoint {
            state.idle.push(connection);
        }
    }
    Ok(answer)
}

/// Opens a connection, within the dial's time.
async fn dial(
    instance: &Instance,
    limits: &Limits,
    place: OwnedSemaphorePermit,
) -> Result<Connection, Outcome> {
    let endpoint = instance.state().endpoint;
    let dialled = tokio::time::timeout(limits.dial, TcpStream::connect(endpoint)).await;
    let Ok(Ok(stream)) = dialled else {
        return Err(Outcome::ConnectFailed);
    };
    let _ = stream.set_nodelay(true);
    let watch = Arc::new(Watch::default());
    let watched = Watched {
        stream: TokioIo::new(stream),
        watch: watch.clone(),
    };
    let handshake = http1::Builder::new()
        .max_buf_size(HEAD_MOST)
        .handshake(watched)
        .await;
    let (sender, driver) = handshake.map_err(|_| Outcome::ConnectFailed)?;
    let driver = Box::new(driver);
    let mut connection = Connection {
        sender,
        driver,
        watch,
        endpoint,
        since: Instant::now(),
        place,
    };
    match connection.usable().await {
        true => Ok(connection),
        false => Err(Outcome::ConnectFailed),
    }
}

/// The request as it goes to an instance.
fn request(
    passed: &ForwardedRequest,
    endpoint: SocketAddr,
    until: Instant,
) -> Option<Request<Full<Bytes>>> {
    let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
    let host = passed
        .host
        .clone()
        .or_else(|| HeaderValue::try_from(endpoint.to_string()).ok())?;
    let mut request = Request::builder()
        .method(passed.method.clone())
        .uri(passed.target.clone())
        .header(HOST, host)
        .header("x-correlation-id", &passed.correlation_id)
        .header("x-time-left-ms", left);
    if let Some(kind) = &passed.content_type {
        request = request.header(CONTENT_TYPE, kind);
    }
    if let Some(key) = &passed.idempotency_key {
        request = request.header(KEY, key);
    }
    request.body(Full::new(passed.body.clone())).ok()
}

#[cfg(test)]
mod tests;
