//! The fake list service of a trial: it serves full lists and watches, limits its request rate, and has faults.
//!
//! Input: requests of ingresses on proxied streams; changes of the list and of the faults. Output: responses and their journal
//! entries. Invariant: an entry's revision is the list's revision at the entry's last change.

mod list;

use std::io;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use applewall_fakes::http::{self, Kind, Message};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncWriteExt, DuplexStream};
use tokio::sync::watch;

use crate::fault::ListServiceFault;
use crate::instance::StartTime;
use crate::journal::{Event, Journal};

pub use list::{instance_id, Endpoints, EntryState, Snapshot};
use list::{ListState, Response, ResponseScope};

/// Maximum time that a watch waits for a change; longer waits in requests are reduced to it.
const MAX_WATCH_MS: u64 = 60_000;
/// Divisor for the burst of the request rate: a second's requests divided by this.
const BURSTS_PER_SECOND: f64 = 10.0;

/// The request rate of the service, and its rejection of requests beyond the rate.
#[derive(Clone, Copy, Debug)]
pub struct ListServiceLimits {
    /// Requests per second that it accepts; 0, as in the trial file: unlimited.
    pub requests_per_second: f64,
    /// Delay of a rejection.
    pub rejection_delay: Duration,
    /// `Retry-After` of a rejection; zero: no header.
    pub retry_after: Duration,
}

/// Token bucket of the request rate.
struct RequestBudget {
    requests: f64,
    refilled_at: f64,
}

/// The service; shared by all connections to it.
pub struct ListService {
    state: watch::Sender<ListState>,
    limits: ListServiceLimits,
    budget: Mutex<RequestBudget>,
    journal: Journal,
    seed: u64,
    /// Offset of the wall clock that gives the start times of instances in the list.
    clock_offset_ms: AtomicI64,
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

impl ListService {
    /// A service with an empty list.
    pub fn new(limits: ListServiceLimits, seed: u64, journal: &Journal) -> Arc<Self> {
        Arc::new(ListService {
            state: watch::channel(ListState::default()).0,
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

    /// Adds an entry for an instance in service, or replaces the instance's entry.
    pub fn add(&self, instance: usize, zone: usize, start: StartTime) {
        let boot_ms = match start {
            StartTime::Now => self.stepped_unix_ms(),
            StartTime::LongAgo => 0,
        };
        self.state
            .send_modify(|state| state.add(instance, zone, boot_ms));
    }

    /// Sets the offset of the wall clock that gives the start times of instances in the list.
    pub fn step_clock(&self, offset_ms: i64) {
        self.clock_offset_ms.store(offset_ms, Ordering::Relaxed);
    }

    fn stepped_unix_ms(&self) -> u64 {
        let offset_ms = self.clock_offset_ms.load(Ordering::Relaxed);
        unix_ms().saturating_add_signed(offset_ms)
    }

    /// Changes the state of an instance's entry.
    pub fn set_entry_state(&self, instance: usize, entry_state: EntryState) {
        self.state
            .send_modify(|state| state.set_entry_state(instance, entry_state));
    }

    /// Begins a fault.
    pub fn begin_fault(&self, fault: ListServiceFault) {
        self.state.send_modify(|state| state.begin_fault(fault));
    }

    /// Ends a fault.
    pub fn end_fault(&self, fault: ListServiceFault) {
        self.state.send_modify(|state| state.end_fault(fault));
    }

    /// The current full list as one ingress receives it.
    pub fn snapshot(&self, endpoints: &Endpoints) -> Snapshot {
        self.state.borrow().snapshot(endpoints)
    }

    /// Takes a request from the budget; returns false if it exceeds the request rate.
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
            let body = response.body(&endpoints);
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
            full: response.full(),
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
    /// Number of simultaneous requests that are accepted.
    fn burst(&self) -> f64 {
        (self.requests_per_second / BURSTS_PER_SECOND).max(1.0)
    }
}

/// Waits for a change, at most for the `wait_ms` of the watch. A request without a revision receives the full list immediately.
async fn await_response(state: &mut watch::Receiver<ListState>, request: &Message) -> Response {
    let after = request.query("after");
    let restores = state.borrow().restores;
    if let (Some(after), Some(wait_ms)) = (after, request.query("wait_ms")) {
        let changed = state.wait_for(|state| state.revision > after || state.restores != restores);
        let wait = Duration::from_millis(wait_ms.min(MAX_WATCH_MS));
        let _ = tokio::time::timeout(wait, changed).await;
        // The service may have become silent meanwhile; it sends no response then.
        let _ = state.wait_for(|state| !state.silent()).await;
    }
    let state = state.borrow_and_update().clone();
    // A revision higher than the list's is from before a restore; changes since then are unknown, so the full list is sent.
    let changes_after =
        after.filter(|after| *after <= state.revision && state.restores == restores);
    let scope = changes_after.map_or(ResponseScope::FullList, ResponseScope::ChangesAfter);
    Response { state, scope }
}
