//! Rules on process exits, and the scheduling delay of the testbed itself.

use std::collections::BTreeSet;

use super::start_notices::StartNotices;
use crate::journal::{Entry, Event};

/// Exit status of a graceful shutdown after SIGTERM.
const SUCCESSFUL_EXIT: &str = "exit status: 0";

/// No ingress exits without SIGTERM, or after it with another status than success; no limit server fails during its warm-up
/// under the load of ingresses that had been notified of its start.
pub fn process_exits(entries: &[Entry]) -> Vec<String> {
    let mut terminating = BTreeSet::new();
    let mut notices = StartNotices::default();
    let mut exit = |entry: &Entry| {
        notices.observe(entry);
        match &entry.event {
            Event::IngressTerminating { ingress } => {
                terminating.insert(*ingress);
                None
            }
            // The process that received SIGTERM is killed; the signal does not excuse an exit of the next one.
            Event::ShutdownExpired { ingress } | Event::IngressKilled { ingress } => {
                terminating.remove(ingress);
                None
            }
            Event::IngressExited { ingress, status }
                if terminating.remove(ingress) && status == SUCCESSFUL_EXIT =>
            {
                None
            }
            Event::IngressExited { ingress, status } => {
                Some(format!("ingress {ingress} exited unexpectedly: {status}"))
            }
            Event::InstanceOverloaded { instance }
                if notices.attributable_to_ingresses(*instance) =>
            {
                Some(format!("instance {instance} failed during its warm-up"))
            }
            _ => None,
        }
    };
    entries.iter().filter_map(&mut exit).collect()
}

/// The highest scheduling delay of the testbed itself, in milliseconds. A trial with a delay above
/// [`CheckerSettings::max_scheduling_delay_ms`](super::CheckerSettings) gives no verdict.
pub fn scheduling_delay_ms(entries: &[Entry]) -> u64 {
    let delay = |entry: &Entry| match entry.event {
        Event::SchedulingDelay { ms } => Some(ms),
        _ => None,
    };
    entries.iter().filter_map(delay).max().unwrap_or(0)
}
