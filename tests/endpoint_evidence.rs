//! Outcomes of attempts that are evidence about their endpoint, by the decision policy alone in virtual time.

mod support;

use std::collections::HashMap;

use applewall::api::{EndpointId, Outcome, PlanId, RequestId};
use support::policy::{attempted_endpoint, endpoint, settings, PolicyDriver, MILLISECOND, SAFE};

/// Sends three requests to two endpoints; returns an endpoint with two of them in flight, and the two.
fn two_in_flight_at_one_endpoint(driver: &mut PolicyDriver) -> (EndpointId, [RequestId; 2]) {
    let mut in_flight: HashMap<EndpointId, RequestId> = HashMap::new();
    for _ in 0..3 {
        let (id, actions) = driver.request(SAFE, PlanId(1), "c", 1.0);
        let endpoint = attempted_endpoint(&actions).expect("a first attempt");
        if let Some(known) = in_flight.insert(endpoint.clone(), id) {
            return (endpoint, [known, id]);
        }
    }
    panic!("three requests at more than two endpoints");
}

/// How many of 100 requests an endpoint gets during its first ejection, with one other endpoint.
fn requests_to(driver: &mut PolicyDriver, name: &EndpointId) -> u32 {
    let mut requests = 0;
    for _ in 0..100 {
        let (id, actions) = driver.request(SAFE, PlanId(1), "c", 1.0);
        let sent_to = attempted_endpoint(&actions).expect("a first attempt");
        requests += u32::from(sent_to == *name);
        driver.finish_attempt(id, 0, &sent_to, Outcome::Success, 1);
        driver.advance(MILLISECOND);
    }
    requests
}

/// Guards against an ejection that ends though the endpoint has given no response.
#[test]
fn an_attempt_that_was_not_sent_ends_no_ejection_and_a_retryable_one_is_sent_elsewhere() {
    for outcome in [
        Outcome::NotSentRetryable,
        Outcome::NotSent,
        Outcome::Cancelled,
    ] {
        let endpoints = [endpoint("b0", 0), endpoint("b1", 0)];
        let mut driver = PolicyDriver::new(settings(), 3, &endpoints);
        let (outlier, [failed, unsent]) = two_in_flight_at_one_endpoint(&mut driver);
        driver.finish_attempt(failed, 0, &outlier, Outcome::ConnectFailed, 1);
        let actions = driver.finish_attempt(unsent, 0, &outlier, outcome, 1);
        if outcome == Outcome::NotSentRetryable {
            let retried_at = attempted_endpoint(&actions);
            assert!(
                retried_at.is_some_and(|endpoint| endpoint != outlier),
                "{actions:?}"
            );
        }
        let requests = requests_to(&mut driver, &outlier);
        // An ejected endpoint gets a fiftieth of its traffic.
        assert!(
            requests <= 5,
            "{outcome:?}: {requests} of 100 to an outlier"
        );
    }
}
