//! Limits on retries: deduplication windows, deadlines and the retry budget, by the decision policy alone in virtual time.

mod support;

use applewall::api::{
    Action, ClassId, Endpoint, EndpointId, EndpointUpdateKind, Event, NodeSet, Outcome, PlanId,
    Request, RequestId,
};
use support::policy::{
    attempted_endpoint, settings, six_endpoints, PolicyDriver, KEYED, MILLISECOND, SAFE, SECOND,
};

const ID: RequestId = RequestId(1_000);

/// Sends a request of a class with this time limit; returns the endpoint of its first attempt.
fn send(driver: &mut PolicyDriver, class: ClassId, time_left_ns: u64) -> EndpointId {
    let request = Request {
        id: ID,
        class,
        plan: PlanId(1),
        customer: "c".into(),
        units: 1.0,
        time_left_ns,
        is_retry: false,
        nodes: NodeSet::first_nodes(1),
    };
    let actions = driver.handle(Event::Request(request));
    attempted_endpoint(&actions).expect("a first attempt")
}

fn is_retried(actions: &[Action]) -> bool {
    attempted_endpoint(actions).is_some()
}

/// Nine tenths of a window of 3 s; the rest is for the time that the retry takes to arrive.
#[test]
fn keyed_request_is_retried_within_nine_tenths_of_its_deduplication_window() {
    for (failed_after_ms, expected) in [(2_690, true), (2_710, false)] {
        let mut driver = PolicyDriver::new(settings(), 1, &six_endpoints());
        let endpoint = send(&mut driver, KEYED, 20 * SECOND);
        driver.advance(failed_after_ms * MILLISECOND);
        let actions = driver.finish_attempt(ID, 0, &endpoint, Outcome::Failure, failed_after_ms);
        let retried = is_retried(&actions);
        assert_eq!(retried, expected, "after {failed_after_ms} ms: {actions:?}");
    }
}

#[test]
fn request_whose_streamed_response_began_has_no_deadline() {
    for (streams, expected) in [(true, true), (false, false)] {
        let mut driver = PolicyDriver::new(settings(), 2, &six_endpoints());
        let endpoint = send(&mut driver, SAFE, 2 * SECOND);
        if streams {
            driver.handle(Event::ResponseStarted {
                request: ID,
                attempt: 0,
            });
        }
        driver.advance(3 * SECOND);
        let actions = driver.finish_attempt(ID, 0, &endpoint, Outcome::ConnectionReset, 3_000);
        let retried = is_retried(&actions);
        assert_eq!(retried, expected, "streams: {streams}, {actions:?}");
    }
}

/// Guards against a retry budget that is spent on retries without an endpoint.
#[test]
fn retry_without_an_endpoint_takes_no_token_of_the_budget() {
    let endpoints = six_endpoints();
    let mut driver = PolicyDriver::new(settings(), 3, &endpoints);
    let list = |driver: &mut PolicyDriver, endpoints: &[Endpoint]| {
        driver.handle(Event::EndpointUpdate(
            EndpointUpdateKind::Snapshot,
            endpoints.into(),
        ));
    };
    // Four failures without an endpoint, more than the three tokens of a new process.
    let in_flight: Vec<(RequestId, EndpointId)> = (0..4)
        .map(|_| {
            let (id, actions) = driver.request(SAFE, PlanId(1), "c", 1.0);
            (id, attempted_endpoint(&actions).expect("a first attempt"))
        })
        .collect();
    list(&mut driver, &[]);
    for (id, endpoint) in in_flight {
        let actions = driver.finish_attempt(id, 0, &endpoint, Outcome::ConnectFailed, 1);
        assert!(!is_retried(&actions), "{actions:?}");
    }
    list(&mut driver, &endpoints);
    let endpoint = send(&mut driver, SAFE, 2 * SECOND);
    let actions = driver.finish_attempt(ID, 0, &endpoint, Outcome::ConnectFailed, 1);
    assert!(is_retried(&actions), "{actions:?}");
}
