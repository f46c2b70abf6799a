//! Instances (limit servers): their connections, and the attempts made on them.
//!
//! hyper's connection is driven by hand, in the attempt's own task: nothing is sent twice behind our back, a
//! connection closes the moment its attempt is dropped, and an attempt costs no second task.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use applewall::api::{BackendId, ListKind, LoadField, MemberState, Outcome, RequestId};
use applewall::wire::Facts;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit, Semaphore};

use applewall_pace::socket::Pacer;
use applewall_pace::{Holder, Incoming, Reason, Verdict};

use super::answer::Content;
use super::clock::Clock;
use super::connection::{drive, Connection, Watch, Watched};
use super::flow::{flow, Source};
use super::message::{Ended, Entry, Message, Passed};
use super::pace::Pacers;
use super::reply::{framed, load, outcome};
use super::BODY_MOST;

/// Part of the instance's idle limit after which we close a connection ourselves: crossing it is a reset.
const IDLE_PART: f64 = 0.6;
/// The head of an answer, and what is read ahead of a body, hold this at most.
const HEAD_MOST: usize = 16 * 1024;
/// An answer of unknown length is read ahead for so long: most are whole by then.
const AHEAD: Duration = Duration::from_millis(100);
/// An answer that is passed on may stand still for so long, on either side.
const STALLED: Duration = Duration::from_secs(20);
/// By which the last send to a draining instance comes before the rule's limit.
const DRAIN_MARGIN: Duration = Duration::from_millis(100);

/// What an attempt starts with: an idle connection, or a place for a new one.
enum Pooled {
    Idle(Connection),
    Place(OwnedSemaphorePermit),
}

/// What is known of an instance, and its idle connections.
struct State {
    endpoint: SocketAddr,
    /// Since when it is to get nothing new.
    drained: Option<Instant>,
    idle: Vec<Connection>,
}

/// One instance.
pub struct Instance {
    state: Mutex<State>,
}

impl Instance {
    fn new(endpoint: SocketAddr) -> Self {
        Instance { state: Mutex::new(State { endpoint, drained: None, idle: Vec::new() }) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // Nothing panics while it holds the lock; if it did, the state would still be whole.
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// What answers of instances are held to, where the operator's settings ask for that.
struct Pacing {
    pacer: Arc<Pacer>,
    clock: Clock,
}

/// Limits on connections to instances.
struct Limits {
    dial: Duration,
    idle: Duration,
    stop_sending: Duration,
}

/// All instances that the name table has named.
pub struct Fleet {
    instances: HashMap<BackendId, Arc<Instance>>,
    places: Arc<Semaphore>,
    limits: Arc<Limits>,
    load_fields: Arc<[LoadField]>,
    /// Bytes that answers read ahead may hold together.
    ahead: Arc<Semaphore>,
    clock: Clock,
    pacers: Pacers,
    queue: mpsc::Sender<Message>,
}

/// An attempt that is to be made.
pub struct Attempt {
    pub request: RequestId,
    pub number: u32,
    pub backend: BackendId,
    pub passed: Arc<Passed>,
    /// When it is given up.
    pub until: Instant,
    /// Where another one may follow: by when that would have to end.
    pub again: Option<Instant>,
}

impl Fleet {
    /// None yet, and room for so many connections; attempts report to the queue.
    pub fn new(
        facts: &Facts,
        (places, ahead): (usize, usize),
        clock: Clock,
        pacers: Pacers,
        queue: mpsc::Sender<Message>,
    ) -> Self {
        let limits = Limits {
            dial: Duration::from_nanos(facts.dial_timeout),
            idle: Duration::from_nanos(facts.conn_idle).mul_f64(IDLE_PART),
            stop_sending: Duration::from_nanos(facts.stop_sending).saturating_sub(DRAIN_MARGIN),
        };
        Fleet {
            instances: HashMap::new(),
            places: Arc::new(Semaphore::new(places)),
            limits: Arc::new(limits),
            load_fields: facts.settings.load_fields.as_slice().into(),
            ahead: Arc::new(Semaphore::new(ahead)),
            clock,
            pacers,
            queue,
        }
    }

    /// Takes in news of the name table.
    pub fn update(&mut self, kind: ListKind, entries: &[Entry]) {
        let now = Instant::now();
        if kind != ListKind::Delta {
            // What a whole list leaves out is gone; what it names is put right below.
            for instance in self.instances.values() {
                instance.state().drained.get_or_insert(now);
            }
        }
        for Entry { member, endpoint } in entries {
            let ready = member.state == MemberState::Ready;
            let instance = self
                .instances
                .entry(member.backend.clone())
                .or_insert_with(|| Arc::new(Instance::new(*endpoint)));
            let mut state = instance.state();
            state.endpoint = *endpoint;
            state.drained = if ready { None } else { Some(state.drained.unwrap_or(now)) };
            state.idle.retain(|c| c.endpoint == *endpoint);
        }
        // With it go its idle connections; attempts that are out hold it by themselves, and read that it drains.
        self.instances.retain(|_, instance| instance.state().drained.is_none());
    }

    /// Closes idle connections to one instance.
    pub fn close(&self, backend: &BackendId) {
        self.instances.get(backend).into_iter().for_each(|i| i.state().idle.clear());
    }

    fn fresh(&self, connection: &Connection) -> bool {
        connection.since.elapsed() < self.limits.idle
    }

    /// Closes connections that have been idle for long.
    pub fn sweep(&self) {
        for instance in self.instances.values() {
            instance.state().idle.retain(|c| self.fresh(c));
        }
    }

    /// Idle connections.
    pub fn idle(&self) -> usize {
        self.instances.values().map(|i| i.state().idle.len()).sum()
    }

    /// A place for a new connection; where all are taken, the connection that has been idle longest goes.
    fn place(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(place) = self.places.clone().try_acquire_owned() {
            return Some(place);
        }
        let oldest = |i: &&Arc<Instance>| i.state().idle.first().map(|c| c.since);
        let longest = self.instances.values().filter(|i| oldest(i).is_some()).min_by_key(oldest)?;
        drop(longest.state().idle.remove(0));
        self.places.clone().try_acquire_owned().ok()
    }

    /// Starts an attempt in a task of its own, which reports once. Dropping what comes back cancels it.
    pub fn start(&self, attempt: Attempt) -> Result<oneshot::Sender<()>, Attempt> {
        let Some(instance) = self.instances.get(&attempt.backend) else { return Err(attempt) };
        // One that has been idle for long may be crossed by its end from over there, even before a sweep.
        let idle = instance.state().idle.pop().filter(|c| self.fresh(c));
        let pooled = idle.map(Pooled::Idle).or_else(|| self.place().map(Pooled::Place));
        let Some(pooled) = pooled else { return Err(attempt) };
        let (cancel, cancelled) = oneshot::channel();
        let (instance, limits, fields) = (instance.clone(), self.limits.clone(), self.load_fields.clone());
        let queue = self.queue.clone();
        let pacer = self.pacers.borrow().as_ref().filter(|p| p.settings().enabled.0).cloned();
        let pacing = pacer.map(|pacer| Pacing { pacer, clock: self.clock });
        let ahead = self.ahead.clone();
        tokio::spawn(async move {
            let started = Instant::now();
            let Attempt { request, number, backend, passed, until, again } = attempt;
            let due = Due { until, again };
            let (begin, mut begun) = oneshot::channel();
            let carried = Carried { pacing: pacing.as_ref(), ahead: &ahead, begin };
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
            let mut ended = Ended {
                request,
                number,
                backend,
                outcome: Outcome::TimedOut,
                latency: started.elapsed(),
                load: Vec::new(),
                served: None,
            };
            match result {
                Ok((status, headers, body)) => {
                    ended.outcome = outcome(status, &headers);
                    ended.load = load(&headers, &fields);
                    let kind = headers.get(CONTENT_TYPE).cloned();
                    ended.served = (ended.outcome == Outcome::Ok).then_some((body, kind));
                }
                Err(outcome) => ended.outcome = outcome,
            }
            let report = queue.send(Message::Ended(ended));
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

/// When an attempt is given up, and by when another one would have to end.
#[derive(Clone, Copy)]
struct Due {
    until: Instant,
    again: Option<Instant>,
}

impl Pacing {
    /// True while giving up is of use: another attempt fits, if the module wants one.
    fn may_give_up(&self, due: Due) -> bool {
        let room = self.pacer.settings().retry_room.0;
        due.again.is_some_and(|again| again.saturating_duration_since(Instant::now()) >= room)
    }

    fn note(&self, reason: Reason) {
        self.pacer.note(Holder { customer: None, peer: None }, reason);
    }

    /// Ends once a head that has begun to come takes longer than the pause that is allowed inside an answer.
    async fn head_stalls(&self, watch: &Watch, due: Due) {
        watch.armed.store(true, Ordering::Relaxed);
        watch.began.notified().await;
        // In two halves: time in which the program stood still passes in one of them only.
        let half = self.pacer.settings().pause.0 / 2;
        tokio::time::sleep(half).await;
        tokio::time::sleep(half).await;
        if !self.may_give_up(due) {
            std::future::pending::<()>().await;
        }
        self.note(Reason::InStalled);
    }

    /// Reads a body ahead; none where it is spoilt, stalls or can't be whole in time.
    async fn collect(&self, body: &mut Answered, due: Due) -> Option<(Bytes, bool)> {
        let length = body.size_hint().exact();
        let (now, until) = (self.clock.now(), self.clock.at(due.until));
        let mut transfer = Incoming::new(self.pacer.settings(), now, until, length);
        let mut whole = BytesMut::with_capacity(length.unwrap_or(0) as usize);
        loop {
            let next = match transfer.verdict(self.clock.now()) {
                Verdict::Wait(next) => next,
                // Nothing is gained by giving up: it may yet come, until the attempt's own time is up.
                _ if !self.may_give_up(due) => u64::MAX,
                verdict => {
                    let stalled = verdict == Verdict::Stalled;
                    self.note(if stalled { Reason::InStalled } else { Reason::InHopeless });
                    return None;
                }
            };
            let frame = async {
                match next {
                    u64::MAX => Ok(body.frame().await),
                    next => tokio::time::timeout_at(self.clock.instant(next).into(), body.frame()).await,
                }
            };
            match frame.await {
                Ok(None) => return Some((whole.freeze(), true)),
                Ok(Some(frame)) => {
                    if let Ok(data) = frame.ok()?.into_data() {
                        transfer.arrive(self.clock.now(), data.len() as u64);
                        whole.extend_from_slice(&data);
                        if whole.len() > BODY_MOST {
                            return Some((whole.freeze(), false));
                        }
                    }
                }
                // Time for another look.
                Err(_) => {}
            }
        }
    }
}

/// The body of an instance's answer.
type Answered = hyper::body::Incoming;
/// What an attempt comes to, where it comes to an answer.
type Made = (StatusCode, HeaderMap, Content);

/// How an answer is carried.
struct Carried<'a> {
    pacing: Option<&'a Pacing>,
    ahead: &'a Arc<Semaphore>,
    /// Told once an answer is passed on while it still comes.
    begin: oneshot::Sender<Made>,
}

/// Reads a body ahead: what came, and whether that is all. One that does not say how long it is may be one whose first
/// bytes count, so it is read ahead for a moment only.
async fn read_ahead(body: &mut Answered) -> Option<(Bytes, bool)> {
    let mut whole = BytesMut::new();
    let moment = match body.size_hint().exact() {
        Some(_) => Duration::MAX,
        None => AHEAD,
    };
    let moment = tokio::time::sleep(moment);
    tokio::pin!(moment);
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = &mut moment, if !whole.is_empty() => return Some((whole.freeze(), false)),
        };
        let Some(frame) = frame else { return Some((whole.freeze(), true)) };
        if let Ok(data) = frame.ok()?.into_data() {
            // Most answers are one piece, and that is passed on as it is.
            if whole.is_empty() && body.is_end_stream() {
                return Some((data, true));
            }
            whole.extend_from_slice(&data);
            if whole.len() > BODY_MOST {
                return Some((whole.freeze(), false));
            }
        }
    }
}

/// One piece, where the body can't be read ahead.
async fn first_piece(body: &mut Answered) -> Option<(Bytes, bool)> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            return Some((data, body.is_end_stream()));
        }
    }
    Some((Bytes::new(), true))
}

/// Passes the rest of a body on; false where one of the two sides gave up.
async fn pass_on(source: Source, first: Bytes, body: &mut Answered) -> bool {
    if source.pass(first).await.is_err() {
        return false;
    }
    loop {
        // Guards against an instance that goes silent in the middle, and a service client that no longer reads: each
        // would hold both connections for ever.
        let Ok(frame) = tokio::time::timeout(STALLED, body.frame()).await else { return false };
        match frame {
            None => break,
            Some(Err(_)) => return false,
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                match tokio::time::timeout(STALLED, source.pass(data)).await {
                    Ok(Ok(())) => {}
                    _ => return false,
                }
            }
        }
    }
    source.end().await;
    true
}

/// Makes one attempt on a connection; an error is how it ended without an answer.
async fn make(
    instance: &Instance,
    limits: &Limits,
    carried: Carried<'_>,
    pooled: Pooled,
    passed: &Passed,
    due: Due,
) -> Result<Made, Outcome> {
    let Carried { pacing, ahead, begin } = carried;
    let mut connection = match pooled {
        Pooled::Idle(mut connection) => match connection.usable().await {
            true => connection,
            // It ended while idle, and nothing was written on it: its place goes to a new one.
            false => dial(instance, limits, connection.close()).await?,
        },
        Pooled::Place(place) => dial(instance, limits, place).await?,
    };
    // A drain may have been told while the attempt dialled.
    if instance.state().drained.is_some_and(|since| since.elapsed() > limits.stop_sending) {
        return Err(Outcome::Full);
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
        let good = outcome(parts.status, &parts.headers) == Outcome::Ok;
        // One that says that it is larger than what is read ahead is passed on as it comes; so is one that would have
        // to wait for room, which its service client's own reading gives it.
        let room = length.unwrap_or(BODY_MOST as u64);
        let room = (room <= BODY_MOST as u64).then(|| ahead.clone().try_acquire_many_owned(room as u32).ok());
        let held = room.flatten();
        let (first, all) = match (pacing, &held) {
            (_, None) if good => first_piece(&mut body).await?,
            (None, _) => read_ahead(&mut body).await?,
            (Some(pacing), _) => pacing.collect(&mut body, due).await?,
        };
        if all || !good {
            return Some((parts.status, parts.headers, Content::Whole(first)));
        }
        let (source, flow) = flow(length, held);
        watch.passing.store(true, Ordering::Relaxed);
        // Nobody waits for it where it was given up just now.
        begin.send((parts.status, parts.headers.clone(), Content::Flow(flow))).ok()?;
        let whole = pass_on(source, first, &mut body).await;
        whole.then(|| (parts.status, parts.headers, Content::Whole(Bytes::new())))
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
        return Err(if written { Outcome::Reset } else { Outcome::NoConnection });
    };
    if connection.usable().await {
        connection.since = Instant::now();
        let mut state = instance.state();
        if state.drained.is_none() && state.endpoint == connection.endpoint {
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
    let Ok(Ok(stream)) = dialled else { return Err(Outcome::NoConnection) };
    let _ = stream.set_nodelay(true);
    let watch = Arc::new(Watch::default());
    let watched = Watched { stream: TokioIo::new(stream), watch: watch.clone() };
    let handshake = http1::Builder::new().max_buf_size(HEAD_MOST).handshake(watched).await;
    let (sender, driver) = handshake.map_err(|_| Outcome::NoConnection)?;
    let driver = Box::new(driver);
    let mut connection = Connection { sender, driver, watch, endpoint, since: Instant::now(), place };
    match connection.usable().await {
        true => Ok(connection),
        false => Err(Outcome::NoConnection),
    }
}

/// The request as it goes to an instance.
fn request(passed: &Passed, endpoint: SocketAddr, until: Instant) -> Option<Request<Full<Bytes>>> {
    let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
    let host = passed.host.clone().or_else(|| HeaderValue::try_from(endpoint.to_string()).ok())?;
    let mut request = Request::builder()
        .method(passed.method.clone())
        .uri(passed.target.clone())
        .header(HOST, host)
        .header("x-correlation-id", &passed.id)
        .header("x-time-left-ms", left);
    if let Some(kind) = &passed.content_type {
        request = request.header(CONTENT_TYPE, kind);
    }
    request.body(Full::new(passed.body.clone())).ok()
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    fn passed() -> Passed {
        Passed {
            method: hyper::Method::GET,
            target: "/api".parse().unwrap(),
            host: None,
            id: HeaderValue::from_static("0000000000000007"),
            content_type: None,
            body: Bytes::new(),
            _held: None,
        }
    }

    fn limits() -> Limits {
        let second = Duration::from_secs(1);
        Limits { dial: 20 * second, idle: second, stop_sending: second }
    }

    /// One attempt at an address, on an instance told to drain at some moment; given up after far longer than it
    /// takes.
    async fn attempt(endpoint: SocketAddr, drained: Option<Instant>) -> Option<Outcome> {
        let limits = limits();
        let place = Pooled::Place(Arc::new(Semaphore::new(1)).try_acquire_owned().unwrap());
        let instance = Instance::new(endpoint);
        instance.state().drained = drained;
        let (passed, until) = (passed(), Instant::now() + Duration::from_secs(20));
        let (ahead, begin) = (Arc::new(Semaphore::new(1 << 20)), oneshot::channel().0);
        let carried = Carried { pacing: None, ahead: &ahead, begin };
        let made = make(&instance, &limits, carried, place, &passed, Due { until, again: None });
        tokio::time::timeout(Duration::from_secs(20), made).await.expect("an end").err()
    }

    /// One attempt that gets this for an answer; the rest of what the instance would see of the connection.
    async fn answered(answer: &str) -> Option<Outcome> {
        let (listener, endpoint) = listen().await;
        let answers = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
            stream.write_all(answer.as_bytes()).await.unwrap();
            if answer.contains("Connection: close") || answer.starts_with("HTTP/1.0") {
                stream.shutdown().await.unwrap();
            }
            stream
        };
        // The connection stays open at its other end.
        let (outcome, _stream) = tokio::join!(attempt(endpoint, None), answers);
        outcome
    }

    #[tokio::test]
    async fn an_answer_counts_only_if_it_is_whole_by_its_own_framing() {
        let ok = "HTTP/1.1 200 OK\r\n";
        let good = [
            "Content-Length: 4\r\n\r\nfine",
            "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
            "X-Backend-Load: util=many\r\nContent-Length: 4\r\n\r\nfine",
            "Content-Length: 4\r\n\r\nfine and more than belongs to it",
        ];
        for rest in good {
            assert_eq!(answered(&format!("{ok}{rest}")).await, None, "{rest}");
        }
        for head in ["HTTP/1.0 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n"] {
            assert_eq!(answered(&format!("{head}\r\nup to the end")).await, None, "{head}");
        }
        let chunks = "Transfer-Encoding: chunked\r\n\r\n4;a=b\r\nfine\r\n0\r\nX-Trailer: x\r\n\r\n";
        assert_eq!(answered(&format!("{ok}{chunks}")).await, None);
        let ahead = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
        assert_eq!(answered(&format!("{ahead}{ok}{}", good[0])).await, None);
        let spoilt = [
            "\r\nno length, and no end",
            "Content-Length: 4\r\nContent-Length: 4\r\n\r\nfine",
            "Content-Length: 4\r\nContent-Length: 5\r\n\r\nfine",
            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
            "Content-Length: -4\r\n\r\nfine",
            "Content-Length: 3000000000\r\n\r\nand so on",
            "Transfer-Encoding: chunked\r\n\r\n3\r\nfine\r\n0\r\n\r\n",
            "Transfer-Encoding: gzip\r\n\r\nfine",
            "no header\r\n\r\n",
        ];
        for rest in spoilt {
            assert_eq!(answered(&format!("{ok}{rest}")).await, Some(Outcome::Reset), "{rest}");
        }
        let switched = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n";
        assert_eq!(answered(switched).await, Some(Outcome::Reset));
        assert_eq!(answered(&format!("{ok}X: {}", "x".repeat(HEAD_MOST))).await, Some(Outcome::Reset));
        assert_eq!(answered("noise").await, Some(Outcome::Reset));
    }

    #[tokio::test]
    async fn what_comes_on_an_idle_connection_is_no_answer_to_the_next_request() {
        let (listener, endpoint) = listen().await;
        let (limits, instance) = (limits(), Instance::new(endpoint));
        let (passed, until) = (passed(), Instant::now() + Duration::from_secs(20));
        let due = Due { until, again: None };
        let pool = Arc::new(Semaphore::new(1));
        let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let serve = async |body: &str| {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
            stream.write_all(answer(body).as_bytes()).await.unwrap();
            stream
        };
        let place = Pooled::Place(pool.clone().try_acquire_owned().unwrap());
        let ahead = Arc::new(Semaphore::new(1 << 20));
        let carried = || Carried { pacing: None, ahead: &ahead, begin: oneshot::channel().0 };
        let first = make(&instance, &limits, carried(), place, &passed, due);
        let (_, stream) = tokio::join!(first, serve("first"));
        // A second copy, which the reactor has not seen: nothing is awaited between.
        assert!(stream.try_write(answer("first").as_bytes()).unwrap() > 0);
        let idle = instance.state().idle.pop().unwrap();
        let second = make(&instance, &limits, carried(), Pooled::Idle(idle), &passed, due);
        let served = async { tokio::join!(second, serve("second")).0 };
        let second = tokio::time::timeout(Duration::from_secs(20), served).await.expect("a new connection");
        assert!(matches!(second.ok().unwrap().2, Content::Whole(body) if body == "second"));
        // The one place went from the old connection to the new one.
        assert_eq!(pool.available_permits(), 0);
        instance.state().idle.clear();
        assert_eq!(pool.available_permits(), 1);
    }

    async fn listen() -> (tokio::net::TcpListener, SocketAddr) {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endpoint = listener.local_addr().unwrap();
        (listener, endpoint)
    }

    #[tokio::test]
    async fn a_drain_told_while_an_attempt_dials_keeps_it_from_being_written() {
        let (listener, endpoint) = listen().await;
        let long_ago = Instant::now().checked_sub(Duration::from_secs(2));
        assert_eq!(attempt(endpoint, long_ago).await, Some(Outcome::Full));
        // The connection came up, and ended without a byte.
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.unwrap();
        assert!(bytes.is_empty());
    }

    #[tokio::test]
    async fn what_was_written_may_have_run_and_what_found_no_connection_never_did() {
        let (listener, endpoint) = listen().await;
        let breaks = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let read = stream.read(&mut [0; 1024]).await.unwrap();
            assert!(read > 0);
        };
        let (outcome, ()) = tokio::join!(attempt(endpoint, None), breaks);
        assert_eq!(outcome, Some(Outcome::Reset));
        drop(listener);
        assert_eq!(attempt(endpoint, None).await, Some(Outcome::NoConnection));
    }

    #[tokio::test]
    async fn an_answer_that_begins_and_ends_at_one_go_is_passed_on_whole() {
        let (listener, endpoint) = listen().await;
        let (queue, mut inbox) = mpsc::channel(8);
        let facts = super::super::config::Config::sample().facts;
        // No room to read ahead: passed on from its first piece.
        let mut fleet = Fleet::new(&facts, (1, 0), Clock::start(), super::super::pace::none(), queue);
        let member =
            applewall::api::Member { backend: "s-1".into(), state: MemberState::Ready, ..Default::default() };
        fleet.update(ListKind::Full, &[Entry { member, endpoint }]);
        let until = Instant::now() + Duration::from_secs(30);
        let (request, passed) = (RequestId(7), Arc::new(passed()));
        let attempt = Attempt { request, number: 0, backend: "s-1".into(), passed, until, again: None };
        let _cancel = fleet.start(attempt).ok().unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(format!("{head}4\r\nfine\r\n0\r\n\r\n").as_bytes()).await.unwrap();
        let Some(Message::Ended(ended)) = inbox.recv().await else { panic!("no report") };
        let body = match ended.served.expect("served").0 {
            Content::Whole(body) => body,
            Content::Flow(flow) => flow.collect().await.unwrap().to_bytes(),
        };
        assert_eq!(body, "fine");
    }

    #[tokio::test]
    async fn without_a_place_an_attempt_is_not_sent_and_places_come_back() {
        let (_listener, endpoint) = listen().await;
        let (queue, mut inbox) = mpsc::channel(8);
        let facts = super::super::config::Config::sample().facts;
        let mut fleet = Fleet::new(&facts, (1, 0), Clock::start(), super::super::pace::none(), queue);
        let member =
            applewall::api::Member { backend: "s-1".into(), state: MemberState::Ready, ..Default::default() };
        fleet.update(ListKind::Full, &[Entry { member, endpoint }]);
        let attempt = |number| Attempt {
            request: RequestId(7),
            number,
            backend: "s-1".into(),
            passed: Arc::new(passed()),
            until: Instant::now() + Duration::from_secs(30),
            again: None,
        };
        let cancel = fleet.start(attempt(0)).ok().unwrap();
        assert!(fleet.start(attempt(1)).is_err());
        drop(cancel);
        let Some(Message::Ended(ended)) = inbox.recv().await else { panic!("no report") };
        assert_eq!((ended.number, ended.outcome), (0, Outcome::Cancelled));
        assert!(fleet.start(attempt(1)).is_ok());
    }
}
