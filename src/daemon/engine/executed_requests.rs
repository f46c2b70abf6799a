//! Remembers which requests may have been executed and must not be executed again, so that a request whose id returns is
//! not forwarded a second time.
//!
//! A request that is idempotent is not remembered. Entries expire after [`RETENTION_NS`], and the oldest is dropped for a new
//! one if there are [`MAX_REQUESTS`].

use std::collections::{HashSet, VecDeque};

use applewall::api::{Idempotency, RequestId};

/// How long a request is remembered: far longer than any client waits before it sends a request again.
const RETENTION_NS: u64 = 60_000_000_000;
/// Maximum number of remembered requests, which bounds memory.
const MAX_REQUESTS: usize = 8_192;

/// A remembered request.
#[derive(Clone, Copy, Debug)]
struct Entry {
    request: RequestId,
    recorded_at_ns: u64,
}

/// The requests that may have been executed, at this process or at the other one of a hot restart.
#[derive(Default)]
pub(super) struct ExecutedRequests {
    /// In the order in which they were recorded.
    entries: VecDeque<Entry>,
    requests: HashSet<RequestId>,
}

impl ExecutedRequests {
    /// True if a request of a class with this idempotency has to be remembered.
    pub(super) fn applies_to(idempotency: Idempotency) -> bool {
        idempotency != Idempotency::Idempotent
    }

    /// Records a request that may have been executed.
    pub(super) fn record(&mut self, now_ns: u64, request: RequestId) {
        self.expire(now_ns);
        if !self.requests.insert(request) {
            return;
        }
        if self.entries.len() == MAX_REQUESTS {
            self.remove_oldest();
        }
        self.entries.push_back(Entry {
            request,
            recorded_at_ns: now_ns,
        });
    }

    /// True if the request may have been executed.
    pub(super) fn contains(&self, request: RequestId) -> bool {
        self.requests.contains(&request)
    }

    /// The remembered requests, in the order in which they were recorded.
    pub(super) fn all(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.entries.iter().map(|entry| entry.request)
    }

    fn expire(&mut self, now_ns: u64) {
        let is_expired =
            |entry: &Entry| now_ns.saturating_sub(entry.recorded_at_ns) >= RETENTION_NS;
        while self.entries.front().is_some_and(is_expired) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(oldest) = self.entries.pop_front() {
            self.requests.remove(&oldest.request);
        }
    }
}

#[cfg(test)]
mod tests;
