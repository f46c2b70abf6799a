//! Rules on requests: their final responses, attempts and deadlines.

use std::collections::{BTreeMap, BTreeSet};

use super::SOCKET_TOLERANCE_SECONDS;
use crate::journal::{Entry, Event};

/// Seconds after which half a request has ended: the platform's 3 s, 0.15 s for which a process may be suspended by a
/// fault that every rule applies to, and the tolerance on sockets.
const MAX_HALF_REQUEST_SECONDS: f64 = 3.0 + 0.15 + SOCKET_TOLERANCE_SECONDS;
/// Seconds after the end of a client in which an attempt may still begin.
const MAX_ATTEMPT_DELAY_SECONDS: f64 = 0.1 + SOCKET_TOLERANCE_SECONDS;
/// Seconds by which the deadline that a limit server gets may be later than the client's: the platform's slack, and the
/// tolerance on sockets.
const MAX_DEADLINE_EXCESS_SECONDS: f64 = 0.15 + SOCKET_TOLERANCE_SECONDS;

/// Requests that a running ingress has accepted and whose client has no response yet.
#[derive(Default)]
struct PendingRequests {
    ingress_of: BTreeMap<u64, usize>,
    sent_at: BTreeMap<u64, f64>,
    not_running: BTreeSet<usize>,
}

impl PendingRequests {
    /// A request written on a connection of a process that does not run is accepted by nobody.
    fn add(&mut self, request: u64, ingress: usize, at_seconds: f64) {
        if !self.not_running.contains(&ingress) {
            self.ingress_of.insert(request, ingress);
            self.sent_at.insert(request, at_seconds);
        }
    }

    /// Requests at an ingress that were sent before a time.
    fn sent_before(&self, ingress: usize, at_seconds: f64) -> Vec<u64> {
        let at_ingress = self.ingress_of.iter().filter(|(_, at)| **at == ingress);
        at_ingress
            .map(|(request, _)| *request)
            .filter(|request| self.sent_at[request] < at_seconds)
            .collect()
    }

    /// What a process had accepted is lost when it is killed, and a suspended one answers nothing: neither breaks a
    /// rule of the program.
    fn stop(&mut self, ingress: usize) {
        self.not_running.insert(ingress);
        self.ingress_of.retain(|_, at| *at != ingress);
    }
}

/// Each request gets exactly one final response, while its ingress runs.
pub fn final_responses(entries: &[Entry]) -> Vec<String> {
    let mut pending = PendingRequests::default();
    let mut answered: BTreeSet<u64> = BTreeSet::new();
    let mut violations = Vec::new();
    for entry in entries {
        match entry.event {
            Event::RequestSent {
                request, ingress, ..
            } => pending.add(request, ingress, entry.at_seconds),
            // Written on a connection that had ended, and no ingress accepted it on another one.
            Event::ConnectFailed { request, .. } => drop(pending.ingress_of.remove(&request)),
            // It still has to answer what it had accepted; it accepts nothing new.
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
                    format!("request {request:x} was unanswered when ingress {ingress} had to end")
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
                    violations.push(format!("request {request:x} has two final answers"));
                }
                if let (Some(ingress), None) = (pending.ingress_of.remove(&request), status) {
                    violations.push(format!(
                        "request {request:x} had no answer of ingress {ingress} by its deadline"
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}

/// A request that was forwarded to a limit server gets its final response: its connection does not end without one while
/// its ingress runs.
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
                    "request {request:x} was forwarded, and ingress {ingress} closed its connection without an answer"
                ));
            }
            _ => {}
        }
    }
    violations
}

/// A request never has two attempts in flight. The end of an attempt is observed on another connection than the
/// beginning of the next one, so it may be observed later by the platform's tolerance on time limits.
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
                violations.extend(
                    overlap.map(|overlap| {
                        format!("request {request:x} is out at instances {overlap}")
                    }),
                );
            }
            _ => {}
        }
    }
    let remaining = in_flight.iter().filter(|(_, attempts)| attempts.len() > 1);
    violations.extend(remaining.map(|(request, attempts)| {
        format!("request {request:x} stays out {} times", attempts.len())
    }));
    violations
}

/// An attempt that has not ended.
struct Attempt {
    instance: usize,
    arrived_at: f64,
}

/// Removes an attempt that ended; describes another one that was in flight beside it for longer than the tolerance.
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

/// A client that stops in the middle of a request gets a response, or the end of its connection, in time. Judged at the
/// end of its connection, which lingers for half a second after a response.
pub fn overdue_half_requests(entries: &[Entry]) -> Vec<String> {
    let overdue = |entry: &Entry| match entry.event {
        Event::HalfRequestEnded { ingress, seconds } if seconds > MAX_HALF_REQUEST_SECONDS => Some(
            format!("ingress {ingress} held half a request for {seconds:.2} s"),
        ),
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
                    format!("request {request:x} was sent {late:.2} s after its client left")
                }));
            }
            _ => {}
        }
    }
    violations
}

/// The time left that a request states to a limit server exceeds what its client has left by 0.2 s at most.
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
                        "request {request:x} told a limit server of {excess:.2} s beyond its client's time"
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}
