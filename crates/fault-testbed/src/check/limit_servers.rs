//! Rules on what limit servers get: after their removal, while they warm up, and of each customer.

use std::collections::BTreeMap;

use super::start_notices::StartNotices;
use super::Ceiling;
use crate::capacity::{OverloadTracker, ServerModel};
use crate::journal::{Entry, Event};

/// Seconds of a ceiling's rate by which its bucket may be overdrawn beyond the tolerance: attempts are recorded at the
/// limit server, later than the ingress admitted them.
const CEILING_SKEW_SECONDS: f64 = 0.15;

/// No new request goes to an instance this long after a list response showed the ingress that it drains or is removed.
pub fn requests_after_removal(entries: &[Entry], drain_seconds: f64) -> Vec<String> {
    let mut shown_at: BTreeMap<(usize, usize), f64> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in entries {
        match entry.event {
            Event::RemovalListed { ingress, instance } => {
                shown_at
                    .entry((ingress, instance))
                    .or_insert(entry.at_seconds);
            }
            // A new process has not been shown anything yet.
            Event::IngressStarted { ingress, .. } => {
                shown_at.retain(|(shown, _), _| *shown != ingress);
            }
            // One that starts again is on the list again.
            Event::InstanceStarted { instance, .. } => {
                shown_at.retain(|(_, shown), _| *shown != instance);
            }
            Event::AttemptArrived {
                ingress, instance, ..
            } => {
                let since = shown_at.get(&(ingress, instance));
                let late = since.map(|at| entry.at_seconds - at);
                let late = late.filter(|late| *late > drain_seconds);
                violations.extend(late.map(|late| {
                    format!(
                        "ingress {ingress} sent to instance {instance} {late:.2} s after its drain"
                    )
                }));
            }
            _ => {}
        }
    }
    violations
}

/// What the limit servers got while they warmed up.
#[derive(Default)]
struct WarmupLoad {
    /// The highest fraction of what makes a server fail that any of them got.
    peak: f64,
    /// Servers that got more than that, and when first.
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
        if is_overloaded && notices.holds_against_ingresses(instance) {
            load.overloaded.entry(instance).or_insert(entry.at_seconds);
        }
        load.peak = load.peak.max(tracker.peak_overload);
    }
    load
}

/// The highest fraction of what makes a limit server fail while it warms up that any of them got.
pub fn peak_warmup_overload(entries: &[Entry], model: &ServerModel) -> f64 {
    warmup_load(entries, model).peak
}

/// No limit server gets more than it can take while it warms up, from ingresses that had been notified of its start.
pub fn warmup_overloads(entries: &[Entry], model: &ServerModel) -> Vec<String> {
    let describe = |(instance, at)| {
        format!("cold instance {instance} got more than pushes it over, at {at:.1} s")
    };
    let overloaded = warmup_load(entries, model).overloaded;
    overloaded.into_iter().map(describe).collect()
}

/// What all ingresses together forward for a customer stays within its ceiling.
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
                // Only the first attempt of a request draws on the bucket.
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
    let describe =
        |(customer, units)| format!("customer {customer}: its ceiling's store fell to {units:.1}");
    overdrawn.into_iter().map(describe).collect()
}

/// What a customer has left of its ceiling; negative where it was exceeded.
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
