//! Rules on requests: final responses, attempts and deadlines.

use std::collections::{BTreeMap, BTreeSet};

use super::SOCKET_TOLERANCE_SECONDS;
use crate::journal::{Entry, Event};

/// Seconds within which the connection of half a request has to end: the platform's 3 s, the 0.15 s of a fault that suspends
/// processes briefly, and the tolerance on sockets.
const MAX_HALF_REQUEST_SECONDS: f64 = 3.0 + 0.15 + SOCKET_TOLERANCE_SECONDS;
/// Seconds after its client has left in which an attempt may still begin.
const MAX_ATTEMPT_DELAY_SECONDS: f64 = 0.1 + SOCKET_TOLERANCE_SECONDS;
/// Seconds by which the deadline forwarded to a limit server may exceed the client's: the platform's tolerance of 0.15 s, and
/// the tolerance on sockets.
const MAX_DEADLINE_EXCESS_SECONDS: f64 = 0.15 + SOCKET_TOLERANCE_SECONDS;

/// Requests that a running ingress has accepted and whose client has no response yet.
#[derive(Default)]
struct PendingRequests {
    ingress_of: BTreeMap<u64, usize>,
    sent_at: BTreeMap<u64, f64>,
    not_running: BTreeSet<usize>,
}

impl PendingRequests {
    /// Adds a request, unless its ingress is not running and so cannot accept it.
    fn add(&mut self, request: u64, ingress: usize, at_seconds: f64) {
        if !self.not_running.contains(&ingress) {
            self.ingress_of.insert(request, ingress);
            self.sent_at.insert(request, at_seconds);
        }
    }

    /// Pending requests at an ingress that were sent before this time.
    fn sent_before(&self, ingress: usize, at_seconds: f64) -> Vec<u64> {
        let at_ingress = self.ingress_of.iter().filter(|(_, at)| **at == ingress);
        at_ingress
            .map(|(request, _)| *request)
            .filter(|request| self.sent_at[request] < at_seconds)
            .collect()
    }

    /// Removes the pending requests of an ingress: a killed process loses them and a suspended one does not respond, and neither
    /// is a violation.
    fn stop(&mut self, ingress: usize) {
        self.not_running.insert(ingress);
        self.ingress_of.retain(|_, at| *at != ingress);
    }
}

/// Each request receives exactly one final response while its ingress is running.
pub fn final_responses(entries: &[Entry]) -> Vec<String> {
    let mut pending = PendingRequests::default();
    let mut answered: BTreeSet<u64> = BTreeSet::new();
    let mut violations = Vec::new();
    for entry in entries {
        match entry.event {
            Event::RequestSent {
                request, ingress, ..
            } => pending.add(request, ingress, entry.at_seconds),
            // The connection was already closed, and the ingress did not accept the request on another one either.
            Event::ConnectFailed { request, .. } => drop(pending.ingress_of.remove(&request)),
            // Requests that the process accepted before its exit still need a response; it accepts no new ones.
            Event::IngressExited { ingress, .. } => drop(pending.not_running.insert(ingress)),
            Event::ClientLeft { request } => drop(pending.ingress_of.remove(&request)),
            Event::IngressStarted { ingress, .. }
            | Event::IngressSuspended {
                ingress,
                suspended: false,
            } => drop(pending.not_running.remove(&ingress)),
            Event::ShutdownExpired { ingress } => {
                let unanswered =
                    pending.sent_before(ingress, entry.at_seconds - SOCKET_TOLERANCE_SECONDS);
                violations.extend(unanswered.into_iter().map(|request| {
                    format!("request {request:x} had no response at the shutdown deadline of ingress {ingress}")
                }));
                pending.stop(ingress);
            }
            Event::IngressKilled { ingress }
            | Event::IngressSuspended {
                ingress,
                suspended: true,
            } => pending.stop(ingress),
            Event::ResponseReceived { request, status } => {
                if !answered.insert(request) {
                    violations.push(format!("request {request:x} has two final responses"));
                }
                if let (Some(ingress), None) = (pending.ingress_of.remove(&request), status) {
                    violations.push(format!(
                        "request {request:x} had no response of ingress {ingress} by its deadline"
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}

/// A request that was forwarded to a limit server receives its final response: a running ingress does not close the client's
/// connection without one.
pub fn forwarded_without_response(entries: &[Entry]) -> Vec<String> {
    let mut forwarded: BTreeSet<u64> = BTreeSet::new();
    let mut killed: BTreeSet<usize> = BTreeSet::new();
    let mut violations = Vec::new();
    for entry in entries {
        match entry.event {
            Event::AttemptArrived { request, .. } => drop(forwarded.insert(request)),
            Event::IngressKilled { ingress }
            | Event::IngressSuspended {
                ingress,
                suspended: true,
            } => drop(killed.insert(ingress)),
            Event::IngressStarted { ingress, .. }
            | Event::IngressSuspended {
                ingress,
                suspended: false,
            } => drop(killed.remove(&ingress)),
            Event::ConnectFailed { request, ingress }
                if forwarded.contains(&request) && !killed.contains(&ingress) =>
            {
                violations.push(format!(
                    "request {request:x} was forwarded, but ingress {ingress} closed its connection without a response"
                ));
            }
            _ => {}
        }
    }
    violations
}

/// A request never has two attempts in flight. The end of an attempt is observed on a different connection than the start of
/// the next one, so it may be observed later than that start, within the platform's tolerance on sockets.
pub fn overlapping_attempts(entries: &[Entry]) -> Vec<String> {
    let mut in_flight: BTreeMap<u64, Vec<Attempt>> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in entries {
        let now = entry.at_seconds;
        match entry.event {
            Event::AttemptArrived {
                request, instance, ..
            } => in_flight.entry(request).or_default().push(Attempt {
                instance,
                arrived_at: now,
            }),
            Event::AttemptEnded {
                request, instance, ..
            } => {
                let attempts = in_flight.get_mut(&request);
                let overlap = attempts.and_then(|attempts| end_attempt(attempts, instance, now));
                violations.extend(overlap.map(|overlap| {
                    format!("request {request:x} had overlapping attempts at instances {overlap}")
                }));
            }
            _ => {}
        }
    }
    let remaining = in_flight.iter().filter(|(_, attempts)| attempts.len() > 1);
    violations.extend(remaining.map(|(request, attempts)| {
        format!(
            "request {request:x} has {} attempts that did not end",
            attempts.len()
        )
    }));
    violations
}

/// An attempt in flight.
struct Attempt {
    instance: usize,
    arrived_at: f64,
}

/// Removes an attempt that has ended; describes another one that overlapped with it for longer than the tolerance.
fn end_attempt(attempts: &mut Vec<Attempt>, instance: usize, now: f64) -> Option<String> {
    let ended = attempts
        .iter()
        .position(|attempt| attempt.instance == instance)?;
    attempts.remove(ended);
    let overlaps = |attempt: &&Attempt| now - attempt.arrived_at > SOCKET_TOLERANCE_SECONDS;
    let other = attempts.iter().find(overlaps)?;
    let seconds = now - other.arrived_at;
    Some(format!(
        "{:?} for {seconds:.2} s",
        (instance, other.instance)
    ))
}

/// A client that sends only half a request receives a response, or its connection is closed, in time. The journal has the end
/// of the connection, which may come half a second after the response because the ingress lingers.
pub fn overdue_half_requests(entries: &[Entry]) -> Vec<String> {
    let overdue = |entry: &Entry| match entry.event {
        Event::HalfRequestEnded { ingress, seconds } if seconds > MAX_HALF_REQUEST_SECONDS => {
            Some(format!(
                "ingress {ingress} kept the connection of half a request open for {seconds:.2} s"
            ))
        }
        _ => None,
    };
    entries.iter().filter_map(overdue).collect()
}

/// No attempt begins later than 0.15 s after its client closed its connection.
pub fn attempts_after_client_left(entries: &[Entry]) -> Vec<String> {
    let mut left_at: BTreeMap<u64, f64> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in entries {
        match entry.event {
            Event::ClientLeft { request } => drop(left_at.insert(request, entry.at_seconds)),
            Event::AttemptArrived { request, .. } => {
                let late = left_at.get(&request).map(|at| entry.at_seconds - at);
                let late = late.filter(|late| *late > MAX_ATTEMPT_DELAY_SECONDS);
                violations.extend(late.map(|late| {
                    format!("request {request:x} was forwarded {late:.2} s after its client left")
                }));
            }
            _ => {}
        }
    }
    violations
}

/// The deadline that a request states to a limit server exceeds its client's by at most 0.2 s.
pub fn deadlines_beyond_clients(entries: &[Entry], timeout_seconds: f64) -> Vec<String> {
    let mut sent_at: BTreeMap<u64, f64> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in entries {
        match entry.event {
            Event::RequestSent { request, .. } => drop(sent_at.insert(request, entry.at_seconds)),
            Event::DeadlineForwarded {
                request,
                time_left_ms,
            } => {
                let Some(sent_at) = sent_at.get(&request) else {
                    continue;
                };
                let forwarded_deadline = entry.at_seconds + time_left_ms as f64 / 1e3;
                let excess = forwarded_deadline - (sent_at + timeout_seconds);
                if excess > MAX_DEADLINE_EXCESS_SECONDS {
                    violations.push(format!(
                        "request {request:x} was forwarded with a deadline {excess:.2} s later than its client's"
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}
