//! Tracks which ingresses have been notified of an instance's start, and the part of its load that came from them.
//!
//! The platform attributes the overload of a limit server that warms up to the ingresses only if more than two thirds of its
//! requests came from ingresses that had been notified of its start. An ingress counts as not notified only if the journal
//! shows that it received list responses before the start and none since, and only for [`MAX_NOTICE_SECONDS`]: after that the
//! platform counts a change as notified, whether or not the response arrived.

use std::collections::{BTreeMap, BTreeSet};

use crate::journal::{Entry, Event};

/// Fraction of an instance's requests, as numerator and denominator, above which its overload is attributed to the ingresses.
const NOTIFIED_FRACTION: (usize, usize) = (2, 3);

/// Seconds after a change of the list after which it counts as notified to all ingresses.
const MAX_NOTICE_SECONDS: f64 = 6.0;

/// Requests to an instance since its start.
#[derive(Default)]
struct InstanceNotices {
    started_at_seconds: f64,
    /// Ingresses that watch the list and have received no response since the start.
    not_notified: BTreeSet<usize>,
    requests: usize,
    requests_from_notified: usize,
}

/// See the [module documentation](self).
#[derive(Default)]
pub(super) struct StartNotices {
    /// Ingresses whose current process has received a list response.
    watching: BTreeSet<usize>,
    instances: BTreeMap<usize, InstanceNotices>,
}

impl StartNotices {
    /// Processes the next entry of a journal.
    pub(super) fn observe(&mut self, entry: &Entry) {
        match entry.event {
            Event::InstanceStarted { instance, .. } => {
                let started = InstanceNotices {
                    started_at_seconds: entry.at_seconds,
                    not_notified: self.watching.clone(),
                    ..InstanceNotices::default()
                };
                self.instances.insert(instance, started);
            }
            Event::ListResponse {
                ingress,
                status: 200,
                ..
            } => {
                self.watching.insert(ingress);
                self.notify(ingress);
            }
            // The new process has received no response; its initial list may include the instance.
            Event::IngressStarted { ingress, .. } => {
                self.watching.remove(&ingress);
                self.notify(ingress);
            }
            Event::AttemptArrived {
                instance, ingress, ..
            } => {
                let notices = self.instances.entry(instance).or_default();
                let is_overdue = entry.at_seconds - notices.started_at_seconds > MAX_NOTICE_SECONDS;
                let is_notified = is_overdue || !notices.not_notified.contains(&ingress);
                notices.requests += 1;
                notices.requests_from_notified += usize::from(is_notified);
            }
            _ => {}
        }
    }

    fn notify(&mut self, ingress: usize) {
        for notices in self.instances.values_mut() {
            notices.not_notified.remove(&ingress);
        }
    }

    /// True if an overload of the instance now is attributed to ingresses that had been notified of its start.
    pub(super) fn attributable_to_ingresses(&self, instance: usize) -> bool {
        let (numerator, denominator) = NOTIFIED_FRACTION;
        self.instances.get(&instance).is_none_or(|notices| {
            notices.requests == 0
                || notices.requests_from_notified * denominator > notices.requests * numerator
        })
    }
}
