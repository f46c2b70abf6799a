//! The fake list service of a trial: full lists and watches, a limit on its request rate, and its faults.
//!
//! Input: requests of ingresses on proxied streams; changes of the list and of its faults. Output: responses, and
//! journal entries on each of them. Invariant: an entry's revision is the list's revision at its last change.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use applewall_fakes::http::{self, Kind, Message};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use tokio::io::{AsyncWriteExt, DuplexStream};
use tokio::sync::watch;

use crate::fault::ListServiceFault;
use crate::journal::{Event, Journal};

/// Longest time that a watch waits for a change, whatever the request says.
const MAX_WATCH_MS: u64 = 60_000;
/// A tenth of a second's requests are served though they come at once.
const BURSTS_PER_SECOND: f64 = 10.0;

/// Limits of the service, and how it rejects requests beyond them.
#[derive(Clone, Copy, Debug)]
pub struct ListServiceLimits {
    /// Requests per second that it answers; 0: any number.
    pub requests_per_second: f64,
    /// Time until a rejection is sent.
    pub rejection_delay: Duration,
    /// `Retry-After` of a rejection; zero: no such header.
    pub retry_after: Duration,
}

/// An entry of the list.
#[derive(Clone, Debug)]
struct ListEntry {
    instance: usize,
    id: String,
    zone: usize,
    /// Start of the instance, Unix time; 0: long ago.
    boot_ms: u64,
    /// `None`: removed.
    state: Option<&'static str>,
    revision: u64,
}

#[derive(Clone, Debug, Default)]
struct State {
    revision: u64,
    entries: Vec<ListEntry>,
    faults: Vec<ListServiceFault>,
    /// Number of restores from a backup so far.
    restores: u64,
}

impl State {
    fn silent(&self) -> bool {
        self.faults.contains(&ListServiceFault::Silent)
    }

    /// Highest fraction of requests that a fault rejects.
    fn rejected_fraction(&self) -> f64 {
        let fraction = |fault: &ListServiceFault| match fault {
            ListServiceFault::Rejects(fraction) => *fraction,
            _ => 0.0,
        };
        self.faults.iter().map(fraction).fold(0.0, f64::max)
    }

    /// Highest fraction of responses that a fault truncates.
    fn truncated_fraction(&self) -> f64 {
        let fraction = |fault: &ListServiceFault| match fault {
            ListServiceFault::Truncates(fraction) => *fraction,
            _ => 0.0,
        };
        self.faults.iter().map(fraction).fold(0.0, f64::max)
    }
}

/// Token bucket of the request rate.
struct RequestBudget {
    requests: f64,
    refilled_at: f64,
}

/// The service; shared by all connections to it.
pub struct ListService {
    state: watch::Sender<State>,
    limits: ListServiceLimits,
    budget: Mutex<RequestBudget>,
    journal: Journal,
    seed: u64,
    /// How far the clock that starts are told by was stepped.
    clock_offset_ms: AtomicI64,
}

/// Addresses of the limit servers as one ingress reaches them, by instance.
pub type Endpoints = Arc<Mutex<Vec<SocketAddr>>>;

/// A revision of the list, with its entries in the JSON form of the platform.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The revision.
    pub revision: u64,
    /// The entries.
    pub targets: Vec<Value>,
}

/// What one response shows: the full list, or what changed after a revision.
struct Response {
    state: State,
    full: bool,
    /// Revision that the ingress has; 0 for a full list.
    after: u64,
}

impl Response {
    fn entries(&self) -> impl Iterator<Item = &ListEntry> {
        // Removed entries are part of the changes, not of the full list.
        self.state.entries.iter().filter(|entry| match self.full {
            true => entry.state.is_some(),
            false => entry.revision > self.after,
        })
    }

    /// Instances that the response shows, or shows by their absence, to drain or to be removed.
    fn removals(&self) -> impl Iterator<Item = usize> + '_ {
        let shown = |entry: &&ListEntry| self.full || entry.revision > self.after;
        let entries = self.state.entries.iter().filter(shown);
        let removed = |entry: &&ListEntry| entry.state != Some("in_service");
        entries.filter(removed).map(|entry| entry.instance)
    }
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// The id of an instance on the list.
pub fn instance_id(instance: usize) -> String {
    format!("s-{instance:04}")
}

fn target(entry: &ListEntry, endpoints: &Endpoints) -> Value {
    let endpoint = endpoints.lock().unwrap_or_else(PoisonError::into_inner)[entry.instance];
    json!({"uid": entry.id, "endpoint": endpoint.to_string(), "az": format!("z{}", entry.zone), "model": "m",
        "pod_group": 0, "state": entry.state.unwrap_or("terminated"), "capacity_hint": 1.0, "boot_ms": entry.boot_ms})
}

impl ListService {
    /// A service with an empty list.
    pub fn new(limits: ListServiceLimits, seed: u64, journal: &Journal) -> Arc<Self> {
        Arc::new(ListService {
            state: watch::channel(State::default()).0,
            budget: Mutex::new(RequestBudget {
                requests: limits.burst(),
                refilled_at: 0.0,
            }),
            limits,
            journal: journal.clone(),
            clock_offset_ms: AtomicI64::new(0),
            seed,
        })
    }

    /// Adds an instance, or replaces its entry; `cold` ones have just started.
    pub fn add(&self, instance: usize, zone: usize, cold: bool) {
        self.state.send_modify(|state| {
            state.revision += 1;
            let entry = ListEntry {
                instance,
                id: instance_id(instance),
                zone,
                boot_ms: if cold { self.stepped_unix_ms() } else { 0 },
                state: Some("in_service"),
                revision: state.revision,
            };
            state.entries.retain(|entry| entry.instance != instance);
            state.entries.push(entry);
        });
    }

    /// Steps the clock by which starts are told.
    pub fn step_clock(&self, offset_ms: i64) {
        self.clock_offset_ms.store(offset_ms, Ordering::Relaxed);
    }

    fn stepped_unix_ms(&self) -> u64 {
        let offset_ms = self.clock_offset_ms.load(Ordering::Relaxed);
        unix_ms().saturating_add_signed(offset_ms)
    }

    /// Shows an instance as draining, or as removed.
    pub fn mark(&self, instance: usize, draining: bool) {
        self.state.send_modify(|state| {
            state.revision += 1;
            let revision = state.revision;
            for entry in &mut state.entries {
                if entry.instance == instance {
                    entry.state = draining.then_some("terminating");
                    entry.revision = revision;
                }
            }
        });
    }

    /// Begins a fault.
    pub fn begin_fault(&self, fault: ListServiceFault) {
        self.state.send_modify(|state| {
            state.faults.retain(|active| *active != fault);
            state.faults.push(fault);
            if fault == ListServiceFault::Restored {
                state.revision = 1;
                state.restores += 1;
                for entry in &mut state.entries {
                    entry.revision = 1;
                }
            }
        });
    }

    /// Ends a fault.
    pub fn end_fault(&self, fault: ListServiceFault) {
        self.state
            .send_modify(|state| state.faults.retain(|active| *active != fault));
    }

    /// The full list as one ingress would get it now.
    pub fn snapshot(&self, endpoints: &Endpoints) -> Snapshot {
        let state = self.state.borrow();
        let present = state.entries.iter().filter(|entry| entry.state.is_some());
        Snapshot {
            revision: state.revision,
            targets: present.map(|entry| target(entry, endpoints)).collect(),
        }
    }

    /// Whether one more request is within the request rate.
    fn within_rate(&self) -> bool {
        let rate = self.limits.requests_per_second;
        if rate <= 0.0 {
            return true;
        }
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.journal.now();
        let refilled = budget.requests + (now - budget.refilled_at) * rate;
        budget.requests = refilled.min(self.limits.burst());
        budget.refilled_at = now;
        let accepted = budget.requests >= 1.0;
        budget.requests -= f64::from(u8::from(accepted));
        accepted
    }

    /// Serves one connection of an ingress; `number` counts its connections.
    ///
    /// # Errors
    ///
    /// Errors of the stream.
    pub async fn serve(
        self: Arc<Self>,
        mut stream: DuplexStream,
        ingress: usize,
        endpoints: Endpoints,
        number: u64,
    ) -> io::Result<()> {
        let mut unread = Vec::new();
        let mut rng = SmallRng::seed_from_u64(self.seed ^ (ingress as u64) << 32 ^ number);
        let mut state = self.state.subscribe();
        while let Some(request) = http::read(&mut stream, &mut unread, Kind::Request).await? {
            let full = request.query("after").is_none();
            self.journal.record(Event::ListRequested { ingress, full });
            let _ = state.wait_for(|state| !state.silent()).await;
            let (rejected, truncated) = {
                let state = state.borrow();
                (state.rejected_fraction(), state.truncated_fraction())
            };
            if !self.within_rate() || rng.random_bool(rejected) {
                self.reject(&mut stream, ingress, full).await?;
                continue;
            }
            let response = await_response(&mut state, &request).await;
            let entries = response.entries();
            let targets: Vec<Value> = entries.map(|entry| target(entry, &endpoints)).collect();
            let body =
                json!({"rev": response.state.revision, "all": response.full, "targets": targets})
                    .to_string();
            let length = body.len();
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
            if rng.random_bool(truncated) {
                return stream.write_all(&text.as_bytes()[..text.len() / 2]).await;
            }
            stream.write_all(text.as_bytes()).await?;
            self.record(ingress, &response, length);
        }
        Ok(())
    }

    async fn reject(
        &self,
        stream: &mut DuplexStream,
        ingress: usize,
        full: bool,
    ) -> io::Result<()> {
        tokio::time::sleep(self.limits.rejection_delay).await;
        self.journal.record(Event::ListResponse {
            ingress,
            full,
            status: 503,
            bytes: 0,
            revision: 0,
        });
        let retry = match self.limits.retry_after {
            Duration::ZERO => String::new(),
            wait => format!("Retry-After: {}\r\n", wait.as_secs_f64().ceil()),
        };
        let rejection = format!("HTTP/1.1 503 Busy\r\n{retry}Content-Length: 0\r\n\r\n");
        stream.write_all(rejection.as_bytes()).await
    }

    fn record(&self, ingress: usize, response: &Response, bytes: usize) {
        self.journal.record(Event::ListResponse {
            ingress,
            full: response.full,
            status: 200,
            bytes,
            revision: response.state.revision,
        });
        for instance in response.removals() {
            self.journal
                .record(Event::RemovalListed { ingress, instance });
        }
    }
}

impl ListServiceLimits {
    /// Requests that are served though they come at once.
    fn burst(&self) -> f64 {
        (self.requests_per_second / BURSTS_PER_SECOND).max(1.0)
    }
}

/// Waits as a watch asks for, and takes what its response shows.
async fn await_response(state: &mut watch::Receiver<State>, request: &Message) -> Response {
    let after = request.query("after");
    let restores = state.borrow().restores;
    if let (Some(after), Some(wait_ms)) = (after, request.query("wait_ms")) {
        let changed = state.wait_for(|state| state.revision > after || state.restores != restores);
        let wait = Duration::from_millis(wait_ms.min(MAX_WATCH_MS));
        let _ = tokio::time::timeout(wait, changed).await;
        // A service that has become silent meanwhile sends no response.
        let _ = state.wait_for(|state| !state.silent()).await;
    }
    let state = state.borrow_and_update().clone();
    let full = after.is_none_or(|after| after > state.revision || state.restores != restores);
    let after = after.filter(|_| !full).unwrap_or(0);
    Response { state, full, after }
}
