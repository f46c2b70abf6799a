//! A fleet of 100 nodes and 60 endpoints: subsets, outlier ejection and capacity, by the decision policy alone.

mod support;

use std::collections::BTreeSet;

use applewall::api::*;
use rand::Rng;
use support::fleet::{encode_load_statistics, PolicyFleet};
use support::large_fleet::*;
use support::policy::*;

#[test]
fn a_drained_backlog_does_not_tighten_the_ladder() {
    let endpoints: Vec<Endpoint> = (0..ENDPOINTS)
        .map(|number| endpoint(&format!("b{number}"), number as u32 % 3))
        .collect();
    let filter_changes = |in_flight: f64| {
        let mut driver = PolicyDriver::new(
            PolicySettings {
                gossip_messages_per_second: 40.0,
                ..large_fleet_settings(settings())
            },
            3,
            &endpoints,
        );
        for round in 0..40u32 {
            // All responses slow, a fifth timed out, five completed in ten intervals, and `in_flight` requests in flight.
            driver.handle(Event::PeerMessage {
                from: NodeId(1 + round % 90),
                text: encode_load_statistics([
                    25.0,
                    20.0,
                    0.0,
                    0.0,
                    5.0,
                    10.0,
                    in_flight * 10.0,
                    5.0,
                    9.0,
                ]),
            });
            driver.request_with_node_set(NODES, SAFE, PlanId(1), "wide", 1.0);
            driver.advance(100 * MILLISECOND);
        }
        driver
            .logs
            .iter()
            .filter(|action| matches!(action, Action::Log(LogEvent::FilterChanged { .. })))
            .count()
    };
    assert!(
        filter_changes(4.0) > 0,
        "a backlog of nearly two latency objectives is overload"
    );
    assert_eq!(
        filter_changes(0.5),
        0,
        "late responses to requests sent long ago, with hardly any in flight, are no overload"
    );
}

/// Creates 100 nodes that know the same endpoints; returns both.
fn nodes_with_endpoints(endpoint_count: usize) -> (Vec<PolicyDriver>, Vec<Endpoint>) {
    let endpoints: Vec<Endpoint> = (0..endpoint_count)
        .map(|number| endpoint(&format!("b{number}"), number as u32 % 3))
        .collect();
    let settings = PolicySettings {
        gossip_messages_per_second: 40.0,
        ..large_fleet_settings(settings())
    };
    let node = |number| {
        PolicyDriver::new(
            PolicySettings {
                node: NodeId(number),
                ..settings.clone()
            },
            90 + u64::from(number),
            &endpoints,
        )
    };
    ((0..NODES).map(node).collect(), endpoints)
}

/// Sends requests through each node, one after the other; returns the endpoints that each node uses.
fn used_endpoints(nodes: &mut [PolicyDriver], requests: u32) -> Vec<BTreeSet<EndpointId>> {
    let mut used = vec![BTreeSet::new(); nodes.len()];
    for (driver, used) in nodes.iter_mut().zip(&mut used) {
        for _ in 0..requests {
            let (id, actions) = driver.request_with_node_set(NODES, SAFE, PlanId(1), "wide", 1.0);
            let to = attempted_endpoint(&actions).expect("an attempt, as there is no load");
            driver.advance(20 * MILLISECOND);
            driver.finish_attempt(id, 0, &to, Outcome::Success, 60);
            used.insert(to);
        }
    }
    used
}

#[test]
fn each_node_uses_a_subset_and_all_endpoints_are_used_evenly() {
    let (mut nodes, mut endpoints) = nodes_with_endpoints(ENDPOINTS);
    let before = used_endpoints(&mut nodes, 150);
    // Each node has a subset of 12 of the 60 endpoints, and hardly uses any other.
    let pairs: usize = before.iter().map(BTreeSet::len).sum();
    assert!(
        pairs <= 14 * NODES as usize,
        "{pairs} pairs of a node and an endpoint, 6,000 where all nodes use all endpoints"
    );
    for endpoint in &endpoints {
        let users = before
            .iter()
            .filter(|used| used.contains(&endpoint.id))
            .count();
        assert!(
            (15..=26).contains(&users),
            "{users} nodes use {}, 15 to 26 expected",
            endpoint.id
        );
    }
    // One endpoint is removed and one is new: each node's subset changes by a few endpoints.
    endpoints[7].state = EndpointState::Removed;
    let update: std::sync::Arc<[Endpoint]> = [endpoints[7].clone(), endpoint("b60", 0)].into();
    for driver in &mut nodes {
        driver.handle(Event::EndpointUpdate(
            EndpointUpdateKind::Delta,
            update.clone(),
        ));
    }
    let after = used_endpoints(&mut nodes, 150);
    let new_pairs: usize = before
        .iter()
        .zip(&after)
        .map(|(before, after)| after.difference(before).count())
        .sum();
    assert!(
        new_pairs <= 3 * NODES as usize,
        "{new_pairs} new pairs after one endpoint was replaced"
    );
}

#[test]
fn a_node_uses_other_endpoints_when_its_whole_subset_fails() {
    let (mut nodes, _) = nodes_with_endpoints(ENDPOINTS);
    let driver = &mut nodes[0];
    let subset = used_endpoints(std::slice::from_mut(driver), 150).remove(0);
    let (mut served, mut requests) = (0, 0);
    for number in 0..200 {
        let (id, actions) = driver.request_with_node_set(NODES, SAFE, PlanId(1), "wide", 1.0);
        let (mut to, mut attempt) = (attempted_endpoint(&actions), 0);
        driver.advance(20 * MILLISECOND);
        while let Some(endpoint) = to {
            let succeeds = !subset.contains(&endpoint);
            let outcome = if succeeds {
                Outcome::Success
            } else {
                Outcome::ConnectFailed
            };
            served += u32::from(succeeds && number >= 50);
            to = attempted_endpoint(&driver.finish_attempt(id, attempt, &endpoint, outcome, 5));
            attempt += 1;
        }
        requests += u32::from(number >= 50);
    }
    assert!(
        served * 10 >= requests * 7,
        "{served} of {requests} served while the whole subset refuses connections"
    );
}

#[test]
fn a_new_endpoint_is_estimated_by_its_machine_type() {
    let mut endpoints: Vec<Endpoint> = (0..12)
        .map(|number| endpoint(&format!("b{number}"), number % 3))
        .collect();
    endpoints
        .iter_mut()
        .skip(6)
        .for_each(|endpoint| endpoint.machine_type = MachineTypeId(1));
    let settings = PolicySettings {
        machine_type_count: 2,
        gossip_messages_per_second: 40.0,
        ..large_fleet_settings(settings())
    };
    let mut driver = PolicyDriver::new(settings, 5, &endpoints);
    let latency_ms = |to: &str, fast: &[&str]| if fast.contains(&to) { 60 } else { 180 };
    let fast: Vec<String> = (0..6)
        .chain([12])
        .map(|number| format!("b{number}"))
        .collect();
    let fast: Vec<&str> = fast.iter().map(String::as_str).collect();
    let requests_to_new = |driver: &mut PolicyDriver, requests: u32| {
        let mut to_new = [0u32; 2];
        for _ in 0..requests {
            let (id, actions) = driver.request_with_node_set(NODES, SAFE, PlanId(1), "wide", 1.0);
            let Some(to) = attempted_endpoint(&actions) else {
                continue;
            };
            driver.advance(20 * MILLISECOND);
            driver.finish_attempt(id, 0, &to, Outcome::Success, latency_ms(&to, &fast));
            to_new[0] += u32::from(&*to == "b12");
            to_new[1] += u32::from(&*to == "b13");
        }
        to_new
    };
    requests_to_new(&mut driver, 400);
    // Both new endpoints are warm and were never used; they differ only in their machine types.
    let mut update = [endpoint("b12", 0), endpoint("b13", 1)];
    (update[0].started_at_ns, update[1].started_at_ns) = (Some(1), Some(1));
    update[1].machine_type = MachineTypeId(1);
    driver.handle(Event::EndpointUpdate(
        EndpointUpdateKind::Delta,
        update.to_vec().into(),
    ));
    let [new_fast, new_slow] = requests_to_new(&mut driver, 120);
    assert!(
        new_fast >= 2 * new_slow,
        "{new_fast} requests to the new endpoint of the fast type, {new_slow} to that of the slow type"
    );
}

#[test]
fn removed_endpoints_reduce_the_fleets_capacity_at_once() {
    let endpoints: Vec<Endpoint> = (0..ENDPOINTS)
        .map(|number| endpoint(&format!("b{number}"), number as u32 % 3))
        .collect();
    let rejections = |removed: usize| {
        let mut driver = PolicyDriver::new(
            PolicySettings {
                gossip_messages_per_second: 40.0,
                ..large_fleet_settings(settings())
            },
            3,
            &endpoints,
        );
        let mut rejections = 0;
        for round in 0..60u32 {
            // Nine requests per second completed by each node's part of the endpoints, and a backlog of a fifth of the latency
            // objective.
            let statistics =
                encode_load_statistics([25.0, 0.0, 25.0, 0.0, 0.0, 10.0, 15.0, 9.0, 9.0]);
            driver.handle(Event::PeerMessage {
                from: NodeId(1 + round % 90),
                text: statistics,
            });
            if round == 40 {
                let mut update = endpoints[..removed].to_vec();
                update
                    .iter_mut()
                    .for_each(|endpoint| endpoint.state = EndpointState::Removed);
                driver.handle(Event::EndpointUpdate(
                    EndpointUpdateKind::Delta,
                    update.into(),
                ));
            }
            for _ in 0..1 + round % 2 {
                let (id, actions) =
                    driver.request_with_node_set(NODES, SAFE, PlanId(1), "wide", 1.0);
                rejections += u32::from((42..52).contains(&round) && is_rejected(&actions));
                if let Some(to) = attempted_endpoint(&actions) {
                    driver.finish_attempt(id, 0, &to, Outcome::Success, 60);
                }
            }
            driver.advance(100 * MILLISECOND);
        }
        rejections
    };
    let (complete, reduced) = (rejections(0), rejections(45));
    assert!(
        complete <= 1 && reduced >= 5,
        "{complete} of 15 rejected with all endpoints, {reduced} with a quarter of them"
    );
}

/// Counts attempts at endpoint `b0`, and at all endpoints, between two seconds; each node gets eight requests per second.
fn attempts_at_first(seed: u64, end: End<'_>, from_second: u64, to_second: u64) -> (u32, u32) {
    let mut fleet =
        PolicyFleet::with_nodes(NODES, seed, large_fleet_settings(settings()), ENDPOINTS);
    let (mut first, mut total) = (0, 0);
    for step in 0..to_second * STEPS_PER_SECOND {
        for _ in 0..16 {
            let node = fleet.rng.random_range(0..NODES as usize);
            let (_, actions) =
                fleet.nodes[node].request_with_node_set(NODES, SAFE, PlanId(1), "wide", 1.0);
            if let Some(to) =
                attempted_endpoint(&actions).filter(|_| step >= from_second * STEPS_PER_SECOND)
            {
                total += 1;
                first += u32::from(&*to == "b0");
            }
            fleet.start_attempts(node, &actions, end);
        }
        fleet.step(end);
    }
    (first, total)
}

#[test]
fn an_endpoint_that_rejects_a_connection_in_four_is_not_ejected() {
    let end = |to: &EndpointId, id: RequestId| match &**to {
        "b0" if id.0.is_multiple_of(4) => (Outcome::ConnectFailed, 1),
        _ => (Outcome::Success, 60),
    };
    let (attempts, total) = attempts_at_first(15, &end, 4, 20);
    let even = total / ENDPOINTS as u32;
    assert!(
        attempts * 5 >= even * 2,
        "{attempts} attempts at the endpoint that rejects connections, {even} if all were used evenly"
    );
    assert!(
        attempts <= even,
        "{attempts} attempts at it, {even} if all were used evenly"
    );
}

#[test]
fn a_failing_endpoint_is_detected_though_each_node_uses_it_rarely() {
    let end = |to: &EndpointId, _: RequestId| match &**to {
        "b0" => (Outcome::Failure, 5),
        _ => (Outcome::Success, 60),
    };
    let (attempts, total) = attempts_at_first(17, &end, 20, 30);
    let even = total / ENDPOINTS as u32;
    assert!(
        attempts * 2 <= even,
        "{attempts} attempts at the failing endpoint, {even} if all were used evenly"
    );
}
