//! Rules on the requests that limit servers receive: after a removal, during the warm-up, and within customers' ceilings.

use std::collections::BTreeMap;

use super::start_notices::StartNotices;
use super::Ceiling;
use crate::capacity::{OverloadTracker, ServerModel};
use crate::journal::{Entry, Event};

/// Additional tolerance on a ceiling, in seconds of its rate: attempts are recorded at the limit server, later than the ingress
/// admitted them.
const CEILING_SKEW_SECONDS: f64 = 0.15;

/// An ingress sends no new request to an instance later than `drain_seconds` after a list response that reported the instance
/// as draining or removed.
pub fn requests_after_removal(entries: &[Entry], drain_seconds: f64) -> Vec<String> {
    let mut notified_at: BTreeMap<(usize, usize), f64> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in entries {
        match entry.event {
            Event::RemovalListed { ingress, instance } => {
                notified_at
                    .entry((ingress, instance))
                    .or_insert(entry.at_seconds);
            }
            // A new process has not been notified of anything yet.
            Event::IngressStarted { ingress, .. } => {
                notified_at.retain(|(notified, _), _| *notified != ingress);
            }
            // An instance that restarts is in service on the list again.
            Event::InstanceStarted { instance, .. } => {
                notified_at.retain(|(_, removed), _| *removed != instance);
            }
            Event::AttemptArrived {
                ingress, instance, ..
            } => {
                let since = notified_at.get(&(ingress, instance));
                let late = since.map(|at| entry.at_seconds - at);
                let late = late.filter(|late| *late > drain_seconds);
                violations.extend(late.map(|late| {
                    format!(
                        "ingress {ingress} sent a request to instance {instance} {late:.2} s after its drain was reported"
                    )
                }));
            }
            _ => {}
        }
    }
    violations
}

/// Load on the limit servers while they warmed up.
#[derive(Default)]
struct WarmupLoad {
    /// The highest load on any server, as a fraction of the load that makes it fail.
    peak: f64,
    /// Servers that were overloaded, with the time of the first overload in seconds.
    overloaded: BTreeMap<usize, f64>,
}

fn warmup_load(entries: &[Entry], model: &ServerModel) -> WarmupLoad {
    let mut warming_up: BTreeMap<usize, OverloadTracker> = BTreeMap::new();
    let mut load = WarmupLoad::default();
    let mut notices = StartNotices::default();
    for entry in entries {
        notices.observe(entry);
        let (instance, requests) = match entry.event {
            Event::InstanceStarted {
                instance,
                warming_up: is_warming_up,
            } => {
                warming_up.remove(&instance);
                if is_warming_up {
                    let tracker = OverloadTracker::new(*model, entry.at_seconds);
                    warming_up.insert(instance, tracker);
                }
                continue;
            }
            Event::AttemptArrived { instance, .. } => (instance, 1.0),
            Event::ConnectionOpened { instance, .. } => (instance, model.connection_cost()),
            _ => continue,
        };
        let Some(tracker) = warming_up.get_mut(&instance) else {
            continue;
        };
        let is_overloaded = !tracker.arrive(entry.at_seconds, requests);
        if is_overloaded && notices.attributable_to_ingresses(instance) {
            load.overloaded.entry(instance).or_insert(entry.at_seconds);
        }
        load.peak = load.peak.max(tracker.peak_overload);
    }
    load
}

/// The highest load on any limit server during its warm-up, as a fraction of the load that makes it fail.
pub fn peak_warmup_overload(entries: &[Entry], model: &ServerModel) -> f64 {
    warmup_load(entries, model).peak
}

/// No limit server is overloaded during its warm-up by ingresses that had been notified of its start.
pub fn warmup_overloads(entries: &[Entry], model: &ServerModel) -> Vec<String> {
    let describe = |(instance, at)| {
        format!("instance {instance} was overloaded during its warm-up at {at:.1} s")
    };
    let overloaded = warmup_load(entries, model).overloaded;
    overloaded.into_iter().map(describe).collect()
}

/// All ingresses together forward no more requests of a customer than its ceiling allows.
pub fn requests_over_ceiling(entries: &[Entry], ceiling: Ceiling) -> Vec<String> {
    let rate = ceiling.units_per_second;
    if rate <= 0.0 {
        return Vec::new();
    }
    let mut customer_of: BTreeMap<u64, u64> = BTreeMap::new();
    let mut buckets: BTreeMap<u64, TokenBucket> = BTreeMap::new();
    let mut overdrawn = BTreeMap::new();
    for entry in entries {
        match entry.event {
            Event::RequestSent {
                request, customer, ..
            } => drop(customer_of.insert(request, customer)),
            Event::AttemptArrived { request, .. } => {
                // Only the first attempt of a request takes a unit.
                let Some(customer) = customer_of.remove(&request) else {
                    continue;
                };
                let bucket = buckets.entry(customer).or_insert(TokenBucket {
                    units: ceiling.burst_units,
                    refilled_at: entry.at_seconds,
                });
                bucket.take_unit(ceiling, entry.at_seconds);
                if bucket.units < -ceiling.tolerated_units - CEILING_SKEW_SECONDS * rate {
                    overdrawn.entry(customer).or_insert(bucket.units);
                }
            }
            _ => {}
        }
    }
    let describe = |(customer, units)| {
        format!("customer {customer} exceeded its ceiling: {units:.1} units left")
    };
    overdrawn.into_iter().map(describe).collect()
}

/// Token bucket of a customer's ceiling; negative where the customer exceeded it.
struct TokenBucket {
    units: f64,
    refilled_at: f64,
}

impl TokenBucket {
    fn take_unit(&mut self, ceiling: Ceiling, now: f64) {
        let refill = (now - self.refilled_at) * ceiling.units_per_second;
        self.units = (self.units + refill).min(ceiling.burst_units) - 1.0;
        self.refilled_at = now;
    }
}
