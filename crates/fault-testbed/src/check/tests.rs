//! Each rule reports a journal that violates it, and accepts a valid one.

mod limit_servers;
mod processes;
mod requests;

use std::collections::BTreeMap;

use super::metrics::max_within;
use super::*;
use crate::capacity::tests::MODEL;
use crate::journal::Event;

const SETTINGS: CheckerSettings = CheckerSettings {
    model: MODEL,
    drain_seconds: 0.55,
    ceiling: Ceiling {
        units_per_second: 1.0,
        burst_units: 3.0,
        tolerated_units: 0.5,
    },
    checks_arrivals: true,
    timeout_seconds: 3.0,
    wanted_seconds: 0.8,
    max_scheduling_delay_ms: 100,
};

/// The result of a check without violations.
const NONE: [String; 0] = [];

/// A journal composed by a test, in chronological order.
#[derive(Clone, Default)]
struct Scenario(Vec<Entry>);

impl Scenario {
    /// A journal without violations, which a test extends from 0.9 s on.
    fn valid() -> Self {
        Scenario::default()
            .at(0.0, ingress_started())
            .at(0.0, instance_started(true))
            .at(
                0.1,
                Event::ListResponse {
                    ingress: 0,
                    full: true,
                    status: 200,
                    bytes: 100,
                    revision: 1,
                },
            )
            .at(0.2, request_sent(1))
            .at(0.2, attempt(1))
            .at(0.3, attempt_ended(1))
            .at(0.3, response(1, Some(200)))
    }

    fn at(mut self, at_seconds: f64, event: Event) -> Self {
        self.0.push(Entry { at_seconds, event });
        self
    }

    fn violations(&self) -> Vec<String> {
        violations(&self.0, &SETTINGS)
    }
}

fn ingress_started() -> Event {
    Event::IngressStarted {
        ingress: 0,
        known: None,
    }
}

fn ingress_exited(status: &str) -> Event {
    Event::IngressExited {
        ingress: 0,
        status: status.to_string(),
    }
}

fn instance_started(warming_up: bool) -> Event {
    Event::InstanceStarted {
        instance: 2,
        warming_up,
    }
}

fn request_sent(request: u64) -> Event {
    Event::RequestSent {
        request,
        ingress: 0,
        customer: 5,
    }
}

fn response(request: u64, status: Option<u16>) -> Event {
    Event::ResponseReceived { request, status }
}

fn attempt(request: u64) -> Event {
    Event::AttemptArrived {
        request,
        instance: 2,
        ingress: 0,
    }
}

fn attempt_ended(request: u64) -> Event {
    Event::AttemptEnded {
        request,
        instance: 2,
        ingress: 0,
    }
}

fn removal_listed() -> Event {
    Event::RemovalListed {
        ingress: 0,
        instance: 2,
    }
}

#[test]
fn valid_journal_has_no_violations_and_the_expected_metrics() {
    let valid = Scenario::valid();
    assert_eq!(valid.violations(), NONE);
    let metrics = metrics(&valid.0, &SETTINGS);
    assert_eq!(
        (
            metrics.requests_sent,
            metrics.served_in_time,
            metrics.full_lists,
            metrics.attempts
        ),
        (1, 1, 1, 1)
    );
    assert_eq!(
        (
            metrics.first_served_seconds,
            metrics.served_in_time_fraction()
        ),
        (Some(0.3), 1.0)
    );
    assert!(metrics.peak_warmup_overload > 0.0 && metrics.peak_warmup_overload < 0.1);
}

#[test]
fn the_busiest_window_is_found_wherever_it_lies() {
    let times = BTreeMap::from([(1, vec![0.0, 0.5, 0.55, 0.59, 1.4]), (2, vec![0.0, 0.01])]);
    assert_eq!((max_within(&times, 0.1), max_within(&times, 0.01)), (3, 1));
    let late = Scenario::default()
        .at(1.0, Event::SchedulingDelay { ms: 7 })
        .at(2.0, Event::SchedulingDelay { ms: 30 });
    assert_eq!(scheduling_delay_ms(&late.0), 30);
}
