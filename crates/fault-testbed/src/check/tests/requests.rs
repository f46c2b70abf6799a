//! Rules on requests.

use super::*;

#[test]
fn requests_with_no_final_response_or_two_are_violations() {
    let none = Scenario::valid()
        .at(1.0, request_sent(2))
        .at(4.0, response(2, None))
        .violations();
    assert!(
        none.len() == 1 && none[0].contains("no response"),
        "{none:?}"
    );
    let two = Scenario::valid().at(1.0, response(1, Some(429)));
    let two = two.violations();
    assert!(
        two.len() == 1 && two[0].contains("two final responses"),
        "{two:?}"
    );
}

#[test]
fn requests_accepted_by_a_killed_or_suspended_process_need_no_response() {
    let suspended = |ingress, suspended| Event::IngressSuspended { ingress, suspended };
    let unanswered_after = |first: Event, second: Event| {
        let journal = Scenario::valid().at(1.0, first).at(1.1, second);
        journal.at(4.0, response(2, None)).violations()
    };
    let killed = Event::IngressKilled { ingress: 0 };
    assert_eq!(unanswered_after(request_sent(2), killed), NONE);
    // Requests that a suspended process accepted before, or that arrive meanwhile, need no response.
    assert_eq!(unanswered_after(request_sent(2), suspended(0, true)), NONE);
    assert_eq!(unanswered_after(suspended(0, true), request_sent(2)), NONE);
    // Requests that arrive after it has resumed need one, and so do requests at another process.
    let resumed = Scenario::valid()
        .at(1.0, suspended(0, true))
        .at(1.1, suspended(0, false))
        .at(1.2, request_sent(2))
        .at(4.0, response(2, None))
        .violations();
    assert_eq!(resumed.len(), 1, "{resumed:?}");
    let elsewhere = unanswered_after(request_sent(2), suspended(1, true));
    assert_eq!(elsewhere.len(), 1, "{elsewhere:?}");
}

#[test]
fn request_accepted_before_a_graceful_exit_needs_a_response() {
    let exited = ingress_exited("exit status: 0");
    let lost = Scenario::default()
        .at(1.0, request_sent(7))
        .at(1.1, exited.clone())
        .at(4.0, response(7, None));
    assert_eq!(final_responses(&lost.0).len(), 1);
    let too_late = Scenario::default()
        .at(1.0, exited)
        .at(1.1, request_sent(7))
        .at(4.0, response(7, None));
    assert_eq!(final_responses(&too_late.0), NONE);
}

#[test]
fn overlapping_attempts_are_violations_and_consecutive_ones_are_not() {
    let elsewhere = Event::AttemptArrived {
        request: 2,
        instance: 3,
        ingress: 0,
    };
    let first = Scenario::valid().at(1.0, attempt(2));
    let consecutive = first.clone().at(1.1, attempt_ended(2));
    assert_eq!(consecutive.at(1.2, elsewhere.clone()).violations(), NONE);
    let both = first.at(1.1, elsewhere);
    assert_eq!(
        both.clone().at(1.12, attempt_ended(2)).violations(),
        NONE,
        "an end observed within the tolerance"
    );
    let two = both.clone().at(1.2, attempt_ended(2)).violations();
    assert!(two.len() == 1 && two[0].contains("for 0.10 s"), "{two:?}");
    assert_eq!(both.violations().len(), 1, "neither attempt ends");
}

#[test]
fn attempt_after_its_client_left_is_a_violation_beyond_the_tolerance() {
    let late_by = |seconds: f64| {
        let left = Scenario::default()
            .at(1.0, request_sent(7))
            .at(1.1, Event::ClientLeft { request: 7 });
        attempts_after_client_left(&left.at(1.1 + seconds, attempt(7)).0)
    };
    assert_eq!(late_by(0.14), NONE);
    assert_eq!(late_by(0.16).len(), 1);
}

#[test]
fn connection_of_half_a_request_that_stays_open_too_long_is_a_violation() {
    let open_for = |seconds| {
        let ended = Event::HalfRequestEnded {
            ingress: 0,
            seconds,
        };
        overdue_half_requests(&Scenario::default().at(4.0, ended).0)
    };
    assert_eq!(open_for(3.1), NONE);
    assert_eq!(open_for(3.3).len(), 1);
}

#[test]
fn forwarded_deadline_beyond_the_clients_and_the_tolerance_is_a_violation() {
    let forwarded = |time_left_ms| {
        let forwarded = Event::DeadlineForwarded {
            request: 7,
            time_left_ms,
        };
        let journal = Scenario::default().at(1.0, request_sent(7));
        deadlines_beyond_clients(&journal.at(2.0, forwarded).0, 3.0)
    };
    assert_eq!(forwarded(2_190), NONE);
    assert_eq!(forwarded(2_210).len(), 1);
}

#[test]
fn request_without_response_at_the_shutdown_deadline_is_a_violation_unless_just_sent() {
    let expired = Event::ShutdownExpired { ingress: 0 };
    let lost = Scenario::default()
        .at(1.0, request_sent(7))
        .at(2.0, expired.clone());
    let lost = final_responses(&lost.0);
    assert!(
        lost.len() == 1 && lost[0].contains("shutdown deadline"),
        "{lost:?}"
    );
    let just_sent = Scenario::default()
        .at(1.97, request_sent(7))
        .at(2.0, expired.clone());
    assert_eq!(final_responses(&just_sent.0), NONE);
    let answered = Scenario::default()
        .at(1.0, request_sent(7))
        .at(1.5, response(7, Some(200)))
        .at(2.0, expired);
    assert_eq!(final_responses(&answered.0), NONE);
}

#[test]
fn forwarded_request_whose_connection_is_closed_without_a_response_is_a_violation() {
    let closed = Event::ConnectFailed {
        request: 7,
        ingress: 0,
    };
    let lost = Scenario::default()
        .at(1.0, request_sent(7))
        .at(1.1, attempt(7))
        .at(1.2, closed.clone());
    let lost = forwarded_without_response(&lost.0);
    assert!(lost.len() == 1 && lost[0].contains("forwarded"), "{lost:?}");
    let not_forwarded = Scenario::default()
        .at(1.0, request_sent(7))
        .at(1.2, closed.clone());
    assert_eq!(forwarded_without_response(&not_forwarded.0), NONE);
    let killed = Scenario::default()
        .at(1.0, request_sent(7))
        .at(1.1, attempt(7))
        .at(1.15, Event::IngressKilled { ingress: 0 })
        .at(1.2, closed);
    assert_eq!(forwarded_without_response(&killed.0), NONE);
}
