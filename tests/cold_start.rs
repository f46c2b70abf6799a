//! Nodes without state and endpoints that have just started, by the decision policy alone in virtual time.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use applewall::api::*;
use rand::Rng;
use support::fleet::{PolicyFleet, STEP_NS};
use support::policy::*;

/// Requests per second that a warm endpoint can process.
const WARM_CAPACITY: f64 = 24.0;
/// Fraction of [`WARM_CAPACITY`] right after an endpoint's start.
const SLOW_START_FRACTION: f64 = 0.19;
const SLOW_START_SECONDS: f64 = 15.0;
/// An endpoint is overloaded by more than this multiple of its capacity during the window.
const OVERLOAD_MULTIPLE: f64 = 2.5;
const OVERLOAD_WINDOW_SECONDS: f64 = 3.0;
/// Cores of an endpoint. Each request occupies one, for longer while the endpoint warms up.
const CORES: usize = 2;

fn slow_start_settings() -> PolicySettings {
    let mut settings = settings();
    for class in &mut settings.classes {
        class.latency_objective_ns = 800 * MILLISECOND;
        class.deadline_ns = 3 * SECOND;
    }
    PolicySettings {
        slow_start_fraction: SLOW_START_FRACTION,
        overload_multiple: OVERLOAD_MULTIPLE,
        overload_window_ns: 3 * SECOND,
        ..settings
    }
}

/// Endpoints that process requests faster as they warm up.
#[derive(Default)]
struct Simulation {
    now_ns: Cell<u64>,
    started_at_ns: Cell<u64>,
    /// When each core of an endpoint has processed all its requests, in seconds.
    idle_from: RefCell<BTreeMap<EndpointId, [f64; CORES]>>,
    /// Times of all attempts by endpoint, in seconds.
    attempts: RefCell<BTreeMap<EndpointId, Vec<f64>>>,
}

impl Simulation {
    fn capacity_fraction(&self, now: f64) -> f64 {
        let age = now - self.started_at_ns.get() as f64 / SECOND as f64;
        (SLOW_START_FRACTION + (1.0 - SLOW_START_FRACTION) * age / SLOW_START_SECONDS).min(1.0)
    }

    /// How an attempt that starts now ends, and after how many milliseconds.
    fn end(&self, endpoint: &EndpointId) -> (Outcome, u64) {
        let now = self.now_ns.get() as f64 / SECOND as f64;
        let mut attempts = self.attempts.borrow_mut();
        attempts.entry(endpoint.clone()).or_default().push(now);
        let mut idle_from = self.idle_from.borrow_mut();
        let cores = idle_from.entry(endpoint.clone()).or_default();
        let first_idle = cores
            .iter_mut()
            .min_by(|core, other| core.total_cmp(other))
            .expect("a core");
        *first_idle =
            first_idle.max(now) + CORES as f64 / WARM_CAPACITY / self.capacity_fraction(now);
        (Outcome::Success, ((*first_idle - now) * 1e3) as u64)
    }

    /// The most attempts that any endpoint got in a window, as a fraction of those that overload it.
    fn peak_overload_fraction(&self) -> f64 {
        let mut peak = 0.0f64;
        for attempts in self.attempts.borrow().values() {
            for (first, start) in attempts.iter().enumerate() {
                let is_in_window = |at: &&f64| **at < start + OVERLOAD_WINDOW_SECONDS;
                let in_window = attempts[first..].iter().take_while(is_in_window).count();
                let overload = OVERLOAD_MULTIPLE
                    * OVERLOAD_WINDOW_SECONDS
                    * WARM_CAPACITY
                    * self.capacity_fraction(*start);
                peak = peak.max(in_window as f64 / overload);
            }
        }
        peak
    }
}

/// What a fleet did while its endpoints warmed up.
struct WarmUp {
    /// Requests that were forwarded in each second.
    forwarded: Vec<u32>,
    peak_overload_fraction: f64,
}

/// Runs a fleet whose nodes and endpoints start together; each node gets `requests_per_second`.
fn warm_up(
    node_count: u32,
    endpoint_count: u32,
    requests_per_second: f64,
    seed: u64,
    seconds: u64,
) -> WarmUp {
    let mut fleet = PolicyFleet::with_nodes(node_count, seed, slow_start_settings(), 0);
    let simulation = Simulation::default();
    simulation.started_at_ns.set(fleet.now());
    let started = |number: u32| Endpoint {
        started_at_ns: Some(simulation.started_at_ns.get()),
        ..endpoint(&format!("b{number}"), number % 3)
    };
    fleet.endpoints = (0..endpoint_count).map(started).collect();
    let list: std::sync::Arc<[Endpoint]> = fleet.endpoints.clone().into();
    for node in &mut fleet.nodes {
        node.handle(Event::EndpointUpdate(
            EndpointUpdateKind::Snapshot,
            list.clone(),
        ));
    }
    let mut forwarded = vec![0; seconds as usize];
    let mut due = 0.0;
    for step in 0..seconds * SECOND / STEP_NS {
        simulation.now_ns.set(fleet.now());
        let end = |endpoint: &EndpointId, _: RequestId| simulation.end(endpoint);
        due += requests_per_second * f64::from(node_count) * STEP_NS as f64 / SECOND as f64;
        while due >= 1.0 {
            due -= 1.0;
            let node = fleet.rng.random_range(0..node_count as usize);
            let customer = format!("c{}", fleet.rng.random_range(0..2000u32));
            let (_, actions) = fleet.nodes[node].request_with_node_set(
                node_count,
                SAFE,
                PlanId(1),
                &customer,
                1.0,
            );
            forwarded[(step * STEP_NS / SECOND) as usize] +=
                u32::from(attempted_endpoint(&actions).is_some());
            fleet.start_attempts(node, &actions, &end);
        }
        fleet.step(&end);
    }
    WarmUp {
        forwarded,
        peak_overload_fraction: simulation.peak_overload_fraction(),
    }
}

#[test]
fn endpoints_of_the_first_list_after_an_empty_start_count_as_started_earlier() {
    let mut driver = PolicyDriver::new(slow_start_settings(), 1, &[]);
    let (_, actions) = driver.request(SAFE, PlanId(1), "early", 1.0);
    assert!(is_rejected(&actions), "no endpoint is known: {actions:?}");
    driver.handle(Event::EndpointUpdate(
        EndpointUpdateKind::Snapshot,
        six_endpoints().into(),
    ));
    let (interval, milliseconds) = (25 * MILLISECOND, 60);
    let counts = driver.run_load(
        SAFE,
        PlanId(1),
        interval,
        SECOND,
        Outcome::Success,
        milliseconds,
    );
    assert_eq!(counts, (40, 0), "warm endpoints get all requests");
    // An endpoint that is listed later without its start time counts as just started.
    driver.handle(Event::EndpointUpdate(
        EndpointUpdateKind::Delta,
        [endpoint("b9", 0)].into(),
    ));
    let (mut to_new, all) = (0, 120);
    for _ in 0..all {
        let (id, actions) = driver.request(SAFE, PlanId(1), "later", 1.0);
        let endpoint = attempted_endpoint(&actions).expect("six warm endpoints");
        to_new += u32::from(&*endpoint == "b9");
        driver.finish_attempt(id, 0, &endpoint, Outcome::Success, 60);
        driver.advance(10 * MILLISECOND);
    }
    assert!(
        to_new * 7 < all,
        "{to_new} of {all} requests to the new endpoint, a seventh or more"
    );
}

#[test]
fn a_fleet_without_state_uses_the_capacity_of_its_warming_endpoints_from_the_first_second() {
    for (node_count, endpoint_count, seed) in [(3, 10, 1), (24, 20, 2), (24, 20, 3), (100, 30, 4)] {
        let capacity = WARM_CAPACITY * f64::from(endpoint_count);
        let demand = 2.0 * capacity / f64::from(node_count);
        let WarmUp {
            forwarded,
            peak_overload_fraction,
        } = warm_up(node_count, endpoint_count, demand, seed, 20);
        assert!(
            f64::from(forwarded[0]) > 0.1 * capacity,
            "{node_count} nodes: {} of {capacity} forwarded in the first second",
            forwarded[0]
        );
        let around_tenth: u32 = forwarded[8..12].iter().sum();
        assert!(
            f64::from(around_tenth) > 4.0 * 0.4 * capacity,
            "{node_count} nodes: {forwarded:?} of {capacity} per second forwarded"
        );
        assert!(
            peak_overload_fraction < 0.9,
            "{node_count} nodes: {peak_overload_fraction} of the attempts that overload an endpoint"
        );
    }
}

/// Guards against a longer latency of warming endpoints that is taken for a queue, and against a budget of less than one
/// request that admits none: it has to be the probability of admitting one.
#[test]
fn many_nodes_with_few_requests_each_use_the_capacity_of_warming_endpoints() {
    for (node_count, demand, seed, min_fraction) in
        [(24, 2.0, 1, 0.85), (100, 2.0, 2, 0.5), (300, 0.6, 3, 0.35)]
    {
        let outcome = warm_up(node_count, 20, demand, seed, 12);
        let requests = f64::from(node_count) * demand * 12.0;
        let forwarded = f64::from(outcome.forwarded.iter().sum::<u32>());
        assert!(
            forwarded > min_fraction * requests,
            "{node_count} nodes: {forwarded} of {requests} forwarded, {min_fraction} expected"
        );
        let peak = outcome.peak_overload_fraction;
        assert!(
            peak < 0.8,
            "{node_count} nodes: {peak} of the attempts that overload an endpoint"
        );
    }
}
