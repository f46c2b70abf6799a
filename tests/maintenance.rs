//! Endpoints that are put in maintenance and returned to service, by the decision policy alone in virtual time.

mod support;

use std::collections::BTreeMap;

use applewall::api::*;
use support::policy::*;

fn endpoints(count: usize) -> Vec<Endpoint> {
    (0..count)
        .map(|number| endpoint(&format!("b{number}"), 0))
        .collect()
}

/// Puts an endpoint in maintenance.
fn disable(driver: &mut PolicyDriver, name: &str) {
    let disabled = Endpoint {
        state: EndpointState::Draining,
        ..endpoint(name, 0)
    };
    driver.handle(Event::EndpointUpdate(
        EndpointUpdateKind::Delta,
        [disabled].into(),
    ));
}

/// Sends a request whose attempt takes 20 ms, and moves the clock by `elapsed`; returns the endpoint.
fn serve_request(driver: &mut PolicyDriver, elapsed: u64) -> EndpointId {
    let (id, actions) = driver.request(SAFE, PlanId(1), "c", 1.0);
    let endpoint = attempted_endpoint(&actions).expect("an attempt starts");
    driver.advance(elapsed);
    driver.finish_attempt(id, 0, &endpoint, Outcome::Success, 20);
    endpoint
}

/// Uses all endpoints; then one of them is in maintenance for 3 s and returns to service.
fn return_to_service(driver: &mut PolicyDriver) {
    for _ in 0..200 {
        serve_request(driver, 20 * MILLISECOND);
    }
    disable(driver, "b0");
    for _ in 0..30 {
        let endpoint = serve_request(driver, 100 * MILLISECOND);
        assert_ne!(&*endpoint, "b0", "an attempt at an endpoint in maintenance");
    }
    driver.handle(Event::ReturnedToService(endpoint("b0", 0)));
}

#[test]
fn an_endpoint_returned_to_service_gets_requests_at_once_and_warms_up() {
    for seed in 0..20 {
        let mut driver = PolicyDriver::new(settings(), seed, &endpoints(8));
        return_to_service(&mut driver);
        let mut attempts: BTreeMap<EndpointId, u32> = BTreeMap::new();
        let mut first = None;
        for number in 0..150 {
            let endpoint = serve_request(&mut driver, 20 * MILLISECOND);
            if &*endpoint == "b0" {
                first.get_or_insert(number);
            }
            *attempts.entry(endpoint).or_default() += 1;
        }
        // The slow-start budget is drawn at random; at 50 requests per second, some of the first ones are within it.
        assert!(
            first.is_some_and(|number| number < 10),
            "seed {seed}: expected one of the first ten requests, first was {first:?}"
        );
        let (warming, mean) = (f64::from(attempts["b0"]), 150.0 / 8.0);
        // During these 3 s its capacity rises from a fraction of 0.2 to 0.36; all other endpoints are warm.
        assert!(
            warming < 0.7 * mean,
            "seed {seed}: {warming} attempts at the warming endpoint, {mean} on average"
        );
    }
}

#[test]
fn an_endpoint_outside_the_subset_gets_requests_soon_after_its_return_to_service() {
    // The slow-start budget is drawn from the overload window, here that of the platform.
    let settings = PolicySettings {
        node_count: 300,
        node: NodeId(7),
        gossip_messages_per_second: 40.0,
        overload_window_ns: 3 * SECOND,
        ..settings()
    };
    for seed in 0..20 {
        let mut driver = PolicyDriver::new(settings.clone(), seed, &endpoints(48));
        // The endpoint of the first request was in use before its maintenance.
        let (id, actions) = driver.request_with_node_set(300, SAFE, PlanId(1), "c", 1.0);
        let used = attempted_endpoint(&actions).expect("an attempt starts");
        driver.finish_attempt(id, 0, &used, Outcome::Success, 20);
        disable(&mut driver, &used);
        driver.advance(3 * SECOND);
        driver.handle(Event::ReturnedToService(endpoint(&used, 0)));
        let mut is_used_again = false;
        // Three requests per second for 5 s.
        for _ in 0..15 {
            let (id, actions) = driver.request_with_node_set(300, SAFE, PlanId(1), "c", 1.0);
            if let Some(endpoint) = attempted_endpoint(&actions) {
                is_used_again |= endpoint == used;
                driver.finish_attempt(id, 0, &endpoint, Outcome::Success, 20);
            }
            driver.advance(333 * MILLISECOND);
        }
        assert!(is_used_again, "seed {seed}: no attempt at {used} for 5 s");
    }
}

#[test]
fn a_request_is_rejected_at_once_while_all_endpoints_are_in_maintenance() {
    let mut driver = PolicyDriver::new(settings(), 1, &endpoints(1));
    disable(&mut driver, "b0");
    let (_, actions) = driver.request(SAFE, PlanId(1), "c", 1.0);
    assert!(is_rejected(&actions), "expected a rejection: {actions:?}");
}
