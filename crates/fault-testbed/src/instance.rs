//! The fake limit servers of a trial. Each has a number of cores and a queue; new connections cost work; overload during the
//! warm-up makes it fail.
//!
//! Input: requests of ingresses on proxied streams; faults. Output: responses, and journal entries on connections, attempts
//! and incarnations. Invariant: connections do not outlive the incarnation that accepted them.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use applewall_fakes::http::{self, Kind, Message};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::{watch, Semaphore};

use crate::capacity::{OverloadTracker, ServerModel};
use crate::journal::{Event, Journal};

/// Time of the start of an incarnation with [`StartTime::LongAgo`].
const LONG_AGO_SECONDS: f64 = -1e6;

const NO_REQUEST_ID: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
const FAILED: &[u8] = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
const FULL: &[u8] = b"HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

/// When a limit server started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartTime {
    /// It starts now and has to warm up.
    Now,
    /// It started so long ago that its warm-up is over.
    LongAgo,
}

/// A fake limit server.
pub struct Instance {
    number: usize,
    model: ServerModel,
    load: Mutex<OverloadTracker>,
    /// Number of the current incarnation; `None` while the server is stopped. A change closes all connections.
    incarnation: watch::Sender<Option<u64>>,
    cores: Semaphore,
    requests: AtomicUsize,
    connections: AtomicUsize,
    never_responds: AtomicBool,
    fails_requests: AtomicBool,
    truncates_responses: AtomicBool,
    journal: Journal,
}

/// Increments a counter, and decrements it when dropped.
struct CountGuard<'a>(&'a AtomicUsize);

impl<'a> CountGuard<'a> {
    fn new(counter: &'a AtomicUsize) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        CountGuard(counter)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An attempt in progress; records its end when dropped, however it ends.
struct Attempt<'a> {
    instance: &'a Instance,
    request: u64,
    ingress: usize,
}

impl<'a> Attempt<'a> {
    fn begin(instance: &'a Instance, request: u64, ingress: usize) -> Self {
        instance.journal.record(Event::AttemptArrived {
            request,
            instance: instance.number,
            ingress,
        });
        Attempt {
            instance,
            request,
            ingress,
        }
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        self.instance.journal.record(Event::AttemptEnded {
            request: self.request,
            instance: self.instance.number,
            ingress: self.ingress,
        });
    }
}

/// What to do with a connection after a request.
enum ConnectionAction {
    KeepAlive,
    Close,
}

impl Instance {
    /// Starts a server.
    pub fn start(
        number: usize,
        model: ServerModel,
        start: StartTime,
        journal: &Journal,
    ) -> Arc<Self> {
        let started_at = match start {
            StartTime::Now => journal.now(),
            StartTime::LongAgo => LONG_AGO_SECONDS,
        };
        journal.record(Event::InstanceStarted {
            instance: number,
            warming_up: start == StartTime::Now,
        });
        Arc::new(Instance {
            number,
            model,
            load: Mutex::new(OverloadTracker::new(model, started_at)),
            incarnation: watch::channel(Some(0)).0,
            cores: Semaphore::new(model.cores),
            requests: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            never_responds: AtomicBool::new(false),
            fails_requests: AtomicBool::new(false),
            truncates_responses: AtomicBool::new(false),
            journal: journal.clone(),
        })
    }

    /// True if it accepts connections.
    pub fn running(&self) -> bool {
        self.incarnation.borrow().is_some()
    }

    /// Starts a new incarnation, which has to warm up.
    pub fn restart(&self) {
        *self.load() = OverloadTracker::new(self.model, self.journal.now());
        self.journal.record(Event::InstanceStarted {
            instance: self.number,
            warming_up: true,
        });
        self.incarnation.send_modify(|incarnation| {
            *incarnation = Some(incarnation.map_or(0, |number| number + 1));
        });
    }

    /// Stops the server permanently.
    pub fn stop(&self) {
        if self.incarnation.send_replace(None).is_some() {
            self.journal.record(Event::InstanceStopped {
                instance: self.number,
            });
        }
    }

    /// Sets whether it accepts requests and never responds.
    pub fn set_never_responds(&self, never_responds: bool) {
        self.never_responds.store(never_responds, Ordering::Relaxed);
    }

    /// Sets whether it closes the connection in the middle of the body of each response.
    pub fn set_truncates_responses(&self, truncates_responses: bool) {
        self.truncates_responses
            .store(truncates_responses, Ordering::Relaxed);
    }

    /// Sets whether it responds to every request with 500 immediately.
    pub fn set_fails_requests(&self, fails_requests: bool) {
        self.fails_requests.store(fails_requests, Ordering::Relaxed);
    }

    fn load(&self) -> MutexGuard<'_, OverloadTracker> {
        self.load.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds arriving work, as a multiple of that of a request; returns false if the server has failed from overload.
    fn arrive(&self, requests: f64) -> bool {
        let survives = self.load().arrive(self.journal.now(), requests);
        if !survives && self.running() {
            self.journal.record(Event::InstanceOverloaded {
                instance: self.number,
            });
            self.incarnation.send_replace(None);
        }
        survives
    }

    /// Serves one connection of an ingress until either side ends it.
    pub async fn serve(self: Arc<Self>, mut stream: DuplexStream, ingress: usize) {
        let mut incarnation = self.incarnation.subscribe();
        let current = *incarnation.borrow_and_update();
        self.journal.record(Event::ConnectionOpened {
            instance: self.number,
            ingress,
        });
        let _counted = CountGuard::new(&self.connections);
        if current.is_none() || !self.arrive(self.model.connection_cost()) {
            return;
        }
        tokio::select! {
            _ = self.serve_requests(&mut stream, ingress) => {}
            _ = incarnation.wait_for(|incarnation| *incarnation != current) => {}
        }
    }

    async fn serve_requests(&self, stream: &mut DuplexStream, ingress: usize) -> io::Result<()> {
        let mut unread = Vec::new();
        // The cost of the connection is added to the first request.
        let mut extra_cost = self.model.connection_cost();
        while let Some(request) = http::read(stream, &mut unread, Kind::Request).await? {
            let Some(id) = request_id(&request) else {
                stream.write_all(NO_REQUEST_ID).await?;
                continue;
            };
            let _attempt = Attempt::begin(self, id, ingress);
            if let Some(time_left_ms) = time_left_ms(&request) {
                self.journal.record(Event::DeadlineForwarded {
                    request: id,
                    time_left_ms,
                });
            }
            match self.serve_request(stream, id, &mut extra_cost).await? {
                ConnectionAction::KeepAlive => {}
                ConnectionAction::Close => return Ok(()),
            }
        }
        Ok(())
    }

    async fn serve_request(
        &self,
        stream: &mut DuplexStream,
        id: u64,
        extra_cost: &mut f64,
    ) -> io::Result<ConnectionAction> {
        if !self.arrive(1.0) {
            return Ok(ConnectionAction::Close);
        }
        if self.fails_requests.load(Ordering::Relaxed) {
            stream.write_all(FAILED).await?;
            return Ok(ConnectionAction::KeepAlive);
        }
        let connections = self.connections.load(Ordering::Relaxed);
        if connections > self.model.max_connections
            || self.requests.load(Ordering::Relaxed) >= self.model.max_requests
        {
            stream.write_all(FULL).await?;
            return Ok(ConnectionAction::KeepAlive);
        }
        let _counted = CountGuard::new(&self.requests);
        // The work stops if the ingress closes the connection.
        let mut byte = [0];
        tokio::select! {
            () = self.work(*extra_cost) => {}
            _ = stream.read(&mut byte) => return Ok(ConnectionAction::Close),
        }
        *extra_cost = 0.0;
        let busy = 1.0 - self.cores.available_permits() as f64 / self.model.cores as f64;
        let body = format!("{id:016x} by {}", self.number);
        let length = body.len();
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Backend-Load: util={busy:.2}\r\nContent-Length: {length}\r\n\r\n"
        );
        let response = head + &body;
        if self.truncates_responses.load(Ordering::Relaxed) {
            let sent = response.len() - length / 2;
            stream.write_all(&response.as_bytes()[..sent]).await?;
            return Ok(ConnectionAction::Close);
        }
        stream.write_all(response.as_bytes()).await?;
        Ok(ConnectionAction::KeepAlive)
    }

    async fn work(&self, extra_cost: f64) {
        let Ok(_core) = self.cores.acquire().await else {
            return;
        };
        let seconds = self.load().request_seconds(self.journal.now()) * (1.0 + extra_cost);
        tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        if self.never_responds.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }
}

fn time_left_ms(request: &Message) -> Option<u64> {
    request.header("x-time-left-ms")?.parse().ok()
}

fn request_id(request: &Message) -> Option<u64> {
    u64::from_str_radix(request.header("x-correlation-id")?, 16).ok()
}
