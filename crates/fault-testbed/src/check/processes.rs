//! Rules on processes: their exits, and whether the testbed itself was scheduled in time.

use std::collections::BTreeSet;

use super::start_notices::StartNotices;
use crate::journal::{Entry, Event};

/// Exit status of a process that ended regularly after SIGTERM.
const SUCCESSFUL_EXIT: &str = "exit status: 0";

/// No ingress exits without SIGTERM or with a failure after it, and no limit server fails while it warms up by the
/// load of ingresses that had been notified of its start.
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
            // The process that was told to end is gone; an exit of the next one is its own.
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
                Some(format!("ingress {ingress} ended by itself: {status}"))
            }
            Event::InstanceOverloaded { instance }
                if notices.holds_against_ingresses(*instance) =>
            {
                Some(format!("cold instance {instance} fell over"))
            }
            _ => None,
        }
    };
    entries.iter().filter_map(&mut exit).collect()
}

/// The highest scheduling delay of the testbed itself, in milliseconds. Beyond a limit a trial gives no verdict.
pub fn scheduling_delay_ms(entries: &[Entry]) -> u64 {
    let delay = |entry: &Entry| match entry.event {
        Event::SchedulingDelay { ms } => Some(ms),
        _ => None,
    };
    entries.iter().filter_map(delay).max().unwrap_or(0)
}
