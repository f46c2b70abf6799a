//! Computes the metrics of a trial from its journal.

use std::collections::{BTreeMap, BTreeSet};

use super::{peak_warmup_overload, CheckerSettings};
use crate::journal::{Entry, Event};

/// Counts of the requests that were sent within one second of a trial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SecondCounts {
    /// Requests sent.
    pub sent: usize,
    /// Of these, requests served within the wanted time.
    pub served_in_time: usize,
}

/// Datagrams to all ingresses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Accepted within the platform's limit.
    pub accepted: u64,
    /// Dropped because they exceeded the limit.
    pub dropped: u64,
    /// Maximum that one ingress accepted within a second.
    pub max_accepted_per_second: u64,
}

/// The metrics of a trial.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Requests written to an ingress.
    pub requests_sent: usize,
    /// Requests served, in time or not.
    pub served: usize,
    /// Requests served within the wanted time.
    pub served_in_time: usize,
    /// Requests rejected with 429 or 503.
    pub rejected: usize,
    /// Requests that no ingress accepted; see [`Event::ConnectFailed`].
    pub connect_failures: usize,
    /// Time at which the first request was served, in seconds.
    pub first_served_seconds: Option<f64>,
    /// Requests at the list service.
    pub list_requests: usize,
    /// Full lists that it sent.
    pub full_lists: usize,
    /// Requests that it rejected.
    pub list_rejections: usize,
    /// Maximum number of requests at the list service within 100 ms.
    pub max_list_requests_per_100ms: usize,
    /// Maximum number of requests at the list service within a second.
    pub max_list_requests_per_second: usize,
    /// Bytes of the bodies of list responses.
    pub list_bytes: usize,
    /// Times at which the ingresses received their first lists, in ascending order, in seconds.
    pub first_list_seconds: Vec<f64>,
    /// Maximum number of connections opened to one instance within 100 ms.
    pub max_connections_opened_per_100ms: usize,
    /// Maximum number of attempts at one instance within 100 ms.
    pub max_attempts_per_100ms: usize,
    /// Attempts at all instances.
    pub attempts: usize,
    /// The highest load on any instance during its warm-up, as a fraction of the load that makes it fail.
    pub peak_warmup_overload: f64,
    /// Datagrams between ingresses.
    pub datagrams: DatagramCounts,
    /// Counts by the second in which the requests were sent.
    pub per_second: Vec<SecondCounts>,
}

impl Metrics {
    /// Fraction of the requests that were served within the wanted time.
    pub fn served_in_time_fraction(&self) -> f64 {
        self.served_in_time as f64 / self.requests_sent.max(1) as f64
    }

    /// The same fraction of the requests sent from second `from` to second `to` (exclusive).
    pub fn served_in_time_fraction_between(&self, from: usize, to: usize) -> f64 {
        let seconds = || self.per_second.iter().take(to).skip(from);
        let sent: usize = seconds().map(|second| second.sent).sum();
        let served: usize = seconds().map(|second| second.served_in_time).sum();
        served as f64 / sent.max(1) as f64
    }
}

/// Times of events by the number of the component that they belong to.
type Times = BTreeMap<usize, Vec<f64>>;

/// Maximum number of events of one component within a window.
pub(super) fn max_within(times: &Times, window_seconds: f64) -> usize {
    let busiest = |times: &Vec<f64>| {
        let within = |(index, start): (usize, &f64)| {
            times[index..]
                .iter()
                .take_while(|time| **time < start + window_seconds)
                .count()
        };
        times.iter().enumerate().map(within).max().unwrap_or(0)
    };
    times.values().map(busiest).max().unwrap_or(0)
}

/// Accumulates metrics over the entries of a journal.
struct Collector {
    metrics: Metrics,
    wanted_seconds: f64,
    sent_at: BTreeMap<u64, f64>,
    list_requests: Times,
    connections: Times,
    attempts: Times,
    listed: BTreeSet<usize>,
}

impl Collector {
    fn add(&mut self, entry: &Entry) {
        let now = entry.at_seconds;
        match entry.event {
            Event::RequestSent { request, .. } => self.request_sent(request, now),
            Event::ConnectFailed { .. } => self.metrics.connect_failures += 1,
            Event::ResponseReceived { request, status } => self.response(request, status, now),
            Event::ListRequested { .. } => {
                self.metrics.list_requests += 1;
                self.list_requests.entry(0).or_default().push(now);
            }
            Event::ListResponse {
                ingress,
                full,
                status,
                bytes,
                ..
            } => {
                self.metrics.list_bytes += bytes;
                self.list_response(ingress, full, status, now);
            }
            Event::ConnectionOpened { instance, .. } => {
                self.connections.entry(instance).or_default().push(now);
            }
            Event::AttemptArrived { instance, .. } => {
                self.metrics.attempts += 1;
                self.attempts.entry(instance).or_default().push(now);
            }
            Event::DatagramsReceived {
                accepted, dropped, ..
            } => {
                let counts = &mut self.metrics.datagrams;
                counts.accepted += accepted;
                counts.dropped += dropped;
                counts.max_accepted_per_second = counts.max_accepted_per_second.max(accepted);
            }
            _ => {}
        }
    }

    fn request_sent(&mut self, request: u64, now: f64) {
        self.metrics.requests_sent += 1;
        self.sent_at.insert(request, now);
        let second = now as usize;
        let per_second = &mut self.metrics.per_second;
        if per_second.len() <= second {
            per_second.resize(second + 1, SecondCounts::default());
        }
        per_second[second].sent += 1;
    }

    fn response(&mut self, request: u64, status: Option<u16>, now: f64) {
        let metrics = &mut self.metrics;
        match (status, self.sent_at.get(&request)) {
            (Some(200), Some(sent_at)) => {
                metrics.served += 1;
                metrics.first_served_seconds.get_or_insert(now);
                if now - sent_at <= self.wanted_seconds {
                    metrics.served_in_time += 1;
                    metrics.per_second[*sent_at as usize].served_in_time += 1;
                }
            }
            (Some(429 | 503), _) => metrics.rejected += 1,
            _ => {}
        }
    }

    fn list_response(&mut self, ingress: usize, full: bool, status: u16, now: f64) {
        if status != 200 {
            self.metrics.list_rejections += 1;
            return;
        }
        self.metrics.full_lists += usize::from(full);
        if self.listed.insert(ingress) {
            self.metrics.first_list_seconds.push(now);
        }
    }

    fn finish(self) -> Metrics {
        Metrics {
            max_list_requests_per_100ms: max_within(&self.list_requests, 0.1),
            max_list_requests_per_second: max_within(&self.list_requests, 1.0),
            max_connections_opened_per_100ms: max_within(&self.connections, 0.1),
            max_attempts_per_100ms: max_within(&self.attempts, 0.1),
            ..self.metrics
        }
    }
}

/// Computes the metrics of a journal.
pub fn metrics(entries: &[Entry], settings: &CheckerSettings) -> Metrics {
    let mut collector = Collector {
        metrics: Metrics {
            peak_warmup_overload: peak_warmup_overload(entries, &settings.model),
            ..Metrics::default()
        },
        wanted_seconds: settings.wanted_seconds,
        sent_at: BTreeMap::new(),
        list_requests: Times::new(),
        connections: Times::new(),
        attempts: Times::new(),
        listed: BTreeSet::new(),
    };
    for entry in entries {
        collector.add(entry);
    }
    collector.finish()
}
