//! Requests from arrival to response, and other events, by the decision policy alone in virtual time.

mod support;

use applewall::api::*;
use support::policy::*;

#[test]
fn malformed_peer_messages_change_nothing() {
    let run = |malformed: &[&str]| {
        let mut driver = PolicyDriver::new(settings(), 8, &six_endpoints());
        for text in malformed {
            assert!(driver
                .handle(Event::PeerMessage {
                    from: NodeId(1),
                    text: (*text).into()
                })
                .is_empty());
        }
        driver.handle(Event::PeerMessage {
            from: NodeId(9),
            text: "wAAAAAAAAAzz".into(),
        });
        (
            forwarded_fraction(&mut driver, "hot"),
            driver.gossip_texts.clone(),
        )
    };
    let malformed = [
        "",
        "x",
        "u",
        "uAA",
        "uAAAA?",
        "uAAAAabc",
        "gAAAAabcdefgh",
        "qAAAA",
        "\u{1f600}",
        "u\u{e9}AAA",
    ];
    assert_eq!(run(&[]), run(&malformed));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = |seed| {
        let mut driver = PolicyDriver::new(settings(), seed, &six_endpoints());
        let counts = driver.run_load(
            KEYED,
            PlanId(0),
            7 * MILLISECOND,
            5 * SECOND,
            Outcome::Success,
            90,
        );
        (counts, driver.gossip_texts, driver.timers)
    };
    assert_eq!(run(11), run(11));
    assert_ne!(run(11).1, run(12).1, "another seed gives the same messages");
}

#[test]
fn an_unexecuted_attempt_is_retried_elsewhere_at_once_and_then_rejected() {
    let mut driver = PolicyDriver::new(settings(), 9, &six_endpoints());
    let (id, actions) = driver.request(UNSAFE, PlanId(1), "c", 1.0);
    let first = attempted_endpoint(&actions).unwrap();
    let actions = driver.finish_attempt(id, 0, &first, Outcome::Overloaded, 1);
    let second = attempted_endpoint(&actions).unwrap();
    assert_ne!(first, second);
    let third =
        attempted_endpoint(&driver.finish_attempt(id, 1, &second, Outcome::ConnectFailed, 1))
            .unwrap();
    assert!(is_rejected(&driver.finish_attempt(
        id,
        2,
        &third,
        Outcome::Overloaded,
        1
    )));
}

#[test]
fn a_failed_watch_of_endpoints_is_opened_again() {
    let mut settings = settings();
    settings.watch_endpoints = true;
    let mut driver = PolicyDriver::new(settings, 13, &[]);
    let (_, actions) = driver.request(SAFE, PlanId(1), "c", 1.0);
    assert!(
        is_rejected(&actions),
        "expected a rejection without endpoints: {actions:?}"
    );
    assert!(driver
        .handle(Event::EndpointUpdate(EndpointUpdateKind::Failed, [].into()))
        .is_empty());
    assert!(driver.advance(2 * SECOND).contains(&Action::WatchEndpoints));
}

#[test]
fn events_of_finished_requests_are_ignored() {
    let mut driver = PolicyDriver::new(settings(), 14, &six_endpoints());
    let (id, actions) = driver.request(SAFE, PlanId(1), "c", 1.0);
    let to = attempted_endpoint(&actions).unwrap();
    assert_eq!(
        driver.handle(Event::ClientDisconnected(id)),
        [Action::CancelAttempt {
            request: id,
            attempt: 0
        }]
    );
    assert!(driver.handle(Event::ClientDisconnected(id)).is_empty());
    assert!(driver
        .finish_attempt(id, 0, &to, Outcome::Cancelled, 20)
        .is_empty());
    assert!(driver
        .finish_attempt(id, 0, &to, Outcome::Success, 20)
        .is_empty());
    assert!(driver.handle(Event::TimerExpired(77)).is_empty());
    assert!(driver
        .handle(Event::ResponseStarted {
            request: id,
            attempt: 0
        })
        .is_empty());
}

/// Sends a request whose attempts all end in this way, until no further attempt starts. Returns the last actions.
fn exhaust_attempts(
    driver: &mut PolicyDriver,
    class: ClassId,
    outcome: Outcome,
) -> (RequestId, Vec<Action>) {
    let (id, mut actions) = driver.request(class, PlanId(1), "c", 1.0);
    for attempt in 0.. {
        // Each event either starts an attempt or ends the request; no retry waits for a timer.
        let Some(endpoint) = attempted_endpoint(&actions) else {
            break;
        };
        actions = driver.finish_attempt(id, attempt, &endpoint, outcome, 300);
    }
    (id, actions)
}

fn ends_request(action: &Action, id: RequestId) -> bool {
    match action {
        Action::Reject { request, .. } | Action::Fail(request) => *request == id,
        _ => false,
    }
}

fn is_rejection_without_retry_after(action: &Action) -> bool {
    matches!(
        action,
        Action::Reject {
            retry_after_ns: None,
            ..
        }
    )
}

/// The platform forbids delaying a response to make its client send fewer requests.
#[test]
fn a_request_without_further_attempts_gets_its_response_at_once() {
    let outcomes = [
        Outcome::TimedOut,
        Outcome::Failure,
        Outcome::Overloaded,
        Outcome::ConnectFailed,
        Outcome::ConnectionReset,
    ];
    let cases = outcomes
        .into_iter()
        .flat_map(|outcome| [SAFE, KEYED, UNSAFE].map(|class| (outcome, class)));
    for (outcome, class) in cases {
        let mut driver = PolicyDriver::new(settings(), 47, &six_endpoints());
        for _ in 0..60 {
            let (id, actions) = exhaust_attempts(&mut driver, class, outcome);
            assert!(
                actions.iter().any(|action| ends_request(action, id)),
                "{outcome:?}, class {class:?}: no response: {actions:?}"
            );
            assert!(
                !actions.iter().any(is_rejection_without_retry_after),
                "{outcome:?}, class {class:?}: no Retry-After: {actions:?}"
            );
        }
    }
}
