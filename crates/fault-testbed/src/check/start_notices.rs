//! Which ingresses have been notified of an instance's start, and how much of its load came from these.
//!
//! The platform holds a fall of a cold limit server against the ingresses only where over two thirds of its requests came from
//! ingresses that had been notified of the start. An ingress counts as not notified only where the journal shows that: it had list
//! responses before the start, and none since, for at most the time after which the platform counts a change as notified
//! whether or not it arrived.

use std::collections::{BTreeMap, BTreeSet};

use crate::journal::{Entry, Event};

/// The share of an instance's requests, as numerator and denominator, above which its fall is the ingresses' doing.
const NOTIFIED_SHARE: (usize, usize) = (2, 3);

/// Seconds after a change from which on it counts as notified.
const MAX_NOTICE_SECONDS: f64 = 6.0;

/// Requests to an instance since its start.
#[derive(Default)]
struct InstanceNotices {
    started_at_seconds: f64,
    /// Ingresses that follow the list and have not heard from it since the start.
    not_notified: BTreeSet<usize>,
    requests: usize,
    requests_of_notified: usize,
}

/// See the [module documentation](self).
#[derive(Default)]
pub(super) struct StartNotices {
    /// Ingresses that have had a list response in the life of their process.
    following: BTreeSet<usize>,
    instances: BTreeMap<usize, InstanceNotices>,
}

impl StartNotices {
    /// Takes the next entry of a journal.
    pub(super) fn observe(&mut self, entry: &Entry) {
        match entry.event {
            Event::InstanceStarted { instance, .. } => {
                let started = InstanceNotices {
                    started_at_seconds: entry.at_seconds,
                    not_notified: self.following.clone(),
                    ..InstanceNotices::default()
                };
                self.instances.insert(instance, started);
            }
            Event::ListResponse {
                ingress,
                status: 200,
                ..
            } => {
                self.following.insert(ingress);
                self.notify(ingress);
            }
            // It starts with a list of its own.
            Event::IngressStarted { ingress, .. } => {
                self.following.remove(&ingress);
                self.notify(ingress);
            }
            Event::AttemptArrived {
                instance, ingress, ..
            } => {
                let notices = self.instances.entry(instance).or_default();
                let is_overdue = entry.at_seconds - notices.started_at_seconds > MAX_NOTICE_SECONDS;
                let is_notified = is_overdue || !notices.not_notified.contains(&ingress);
                notices.requests += 1;
                notices.requests_of_notified += usize::from(is_notified);
            }
            _ => {}
        }
    }

    fn notify(&mut self, ingress: usize) {
        for notices in self.instances.values_mut() {
            notices.not_notified.remove(&ingress);
        }
    }

    /// True where a fall of the instance now is the doing of ingresses that had been notified of its start.
    pub(super) fn holds_against_ingresses(&self, instance: usize) -> bool {
        let (numerator, denominator) = NOTIFIED_SHARE;
        self.instances.get(&instance).is_none_or(|notices| {
            notices.requests == 0
                || notices.requests_of_notified * denominator > notices.requests * numerator
        })
    }
}
