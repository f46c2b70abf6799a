//! Rules on the requests that limit servers receive.

use super::*;

#[test]
fn a_request_long_after_a_drain_is_a_violation_unless_the_process_is_new() {
    let listed = Scenario::valid().at(1.0, removal_listed());
    assert_eq!(listed.clone().at(1.5, attempt(2)).violations(), NONE);
    let late = listed.clone().at(1.6, attempt(2)).violations();
    assert!(
        late.len() == 1 && late[0].contains("after its drain"),
        "{late:?}"
    );
    let new_process = listed.at(1.5, ingress_started()).at(1.6, attempt(2));
    assert_eq!(new_process.violations(), NONE);
}

#[test]
fn instance_that_starts_again_after_its_removal_may_get_requests() {
    let removed = Scenario::default().at(1.0, removal_listed());
    let again = removed.clone().at(2.0, instance_started(true));
    let again = again.at(3.0, attempt(7));
    assert_eq!(requests_after_removal(&again.0, 0.55), NONE);
    let removed = removed.at(3.0, attempt(7));
    assert_eq!(requests_after_removal(&removed.0, 0.55).len(), 1);
}

#[test]
fn overload_of_a_warming_instance_is_a_violation_and_of_a_warmed_up_one_is_not() {
    let overload = |journal: Scenario| {
        (10..60).fold(journal, |journal, request| {
            let at_seconds = 1.0 + request as f64 / 100.0;
            journal
                .at(at_seconds, attempt(request))
                .at(at_seconds, attempt_ended(request))
        })
    };
    let found = overload(Scenario::valid()).violations();
    assert!(
        found.len() == 1 && found[0].contains("overloaded during its warm-up"),
        "{found:?}"
    );
    let warmed_up = Scenario::valid().at(0.9, instance_started(false));
    assert_eq!(overload(warmed_up).violations(), NONE);
}

#[test]
fn requests_over_a_customers_ceiling_are_a_violation() {
    let over_ceiling = |requests: u64| {
        let journal = (10..10 + requests).fold(Scenario::default(), |journal, request| {
            journal
                .at(1.0, request_sent(request))
                .at(1.0, attempt(request))
                .at(1.0, attempt_ended(request))
        });
        requests_over_ceiling(&journal.0, SETTINGS.ceiling)
    };
    assert_eq!(over_ceiling(3), NONE);
    let found = over_ceiling(4);
    assert!(
        found.len() == 1 && found[0].contains("customer 5"),
        "{found:?}"
    );
}

#[test]
fn overload_of_an_instance_whose_start_was_not_notified_is_no_violation() {
    let listed = |at: f64| {
        Scenario::default().at(
            at,
            Event::ListResponse {
                ingress: 0,
                full: false,
                status: 200,
                bytes: 1,
                revision: 2,
            },
        )
    };
    let overloaded = Event::InstanceOverloaded { instance: 2 };
    // The ingress watches the list and receives no response after the start.
    let unnotified = listed(0.0)
        .at(1.0, instance_started(true))
        .at(1.5, attempt(2))
        .at(2.0, overloaded.clone());
    assert_eq!(process_exits(&unnotified.0), NONE);
    // A change counts as notified after 6 s, whether or not it arrived.
    let overdue = listed(0.0)
        .at(1.0, instance_started(true))
        .at(7.5, attempt(2))
        .at(8.0, overloaded.clone());
    assert_eq!(process_exits(&overdue.0).len(), 1);
    // The ingress has been notified of the start, or the journal does not show that it watches the list.
    let notified = listed(0.0)
        .at(1.0, instance_started(true))
        .at(1.2, listed(0.0).0[0].event.clone())
        .at(1.5, attempt(2))
        .at(2.0, overloaded.clone());
    assert_eq!(process_exits(&notified.0).len(), 1);
    let unknown = Scenario::default()
        .at(1.0, instance_started(true))
        .at(1.5, attempt(2))
        .at(2.0, overloaded);
    assert_eq!(process_exits(&unknown.0).len(), 1);
}
