//! A hundred nodes before sixty endpoints: subsets, ejection and capacity as the whole fleet sees them.

mod support;

use applewall::api::*;
use rand::Rng;
use support::fleet::{encode_load_statistics, PolicyFleet};
use support::large_fleet::*;
use support::policy::*;

#[test]
fn a_drained_backlog_does_not_tighten_the_ladder() {
    let list: Vec<Endpoint> = (0..ENDPOINTS)
        .map(|i| endpoint(&format!("b{i}"), i as u32 % 3))
        .collect();
    let lines = |out: f64| {
        let mut driver = PolicyDriver::new(
            PolicySettings {
                gossip_messages_per_second: 40.0,
                ..large_fleet_settings(settings())
            },
            3,
            &list,
        );
        for i in 0..40u32 {
            // All answers slow, a fifth timed out, five done an interval of ten; and this much out.
            driver.handle(Event::PeerMessage {
                from: NodeId(1 + i % 90),
                text: encode_load_statistics([
                    25.0,
                    20.0,
                    0.0,
                    0.0,
                    5.0,
                    10.0,
                    out * 10.0,
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
    assert!(lines(4.0) > 0, "a backlog of nearly two aims is overload");
    assert_eq!(
        lines(0.5),
        0,
        "what is late was sent long ago, and next to nothing waits"
    );
}

/// A hundred stages that know so many backends; each backend's name ends in its number.
fn stages(backends: usize) -> (Vec<PolicyDriver>, Vec<Endpoint>) {
    let list: Vec<Endpoint> = (0..backends)
        .map(|i| endpoint(&format!("b{i}"), i as u32 % 3))
        .collect();
    let set = PolicySettings {
        gossip_messages_per_second: 40.0,
        ..large_fleet_settings(settings())
    };
    let driver = |me| {
        PolicyDriver::new(
            PolicySettings {
                node: NodeId(me),
                ..set.clone()
            },
            90 + u64::from(me),
            &list,
        )
    };
    ((0..NODES).map(driver).collect(), list)
}

/// Where so many requests of each go, one after the other.
fn reached(stages: &mut [PolicyDriver], each: u32) -> Vec<std::collections::BTreeSet<EndpointId>> {
    let mut reached = vec![std::collections::BTreeSet::new(); stages.len()];
    for (driver, reached) in stages.iter_mut().zip(&mut reached) {
        for _ in 0..each {
            let (id, actions) = driver.request_with_node_set(NODES, SAFE, PlanId(1), "wide", 1.0);
            let to = attempted_endpoint(&actions).expect("a calm fleet");
            driver.advance(20 * MILLISECOND);
            driver.finish_attempt(id, 0, &to, Outcome::Success, 60);
            reached.insert(to);
        }
    }
    reached
}

#[test]
fn each_node_uses_a_subset_and_each_endpoint_is_used_by_as_many_nodes() {
    let (mut stages, mut list) = stages(ENDPOINTS);
    let before = reached(&mut stages, 150);
    // 60 backends in parts of 12; hardly any other is met.
    let met: usize = before.iter().map(std::collections::BTreeSet::len).sum();
    assert!(
        met <= 14 * NODES as usize,
        "{met} pairs of a node and an endpoint, 6,000 where all nodes use all endpoints"
    );
    for backend in &list {
        let nodes = before
            .iter()
            .filter(|used| used.contains(&backend.id))
            .count();
        assert!(
            (15..=26).contains(&nodes),
            "{nodes} nodes use {}, 15 to 26 expected",
            backend.id
        );
    }
    // One is gone and one is new: each gateway's part changes by a few.
    list[7].state = EndpointState::Removed;
    let update: std::sync::Arc<[Endpoint]> = [list[7].clone(), endpoint("b60", 0)].into();
    for driver in &mut stages {
        driver.handle(Event::EndpointUpdate(
            EndpointUpdateKind::Delta,
            update.clone(),
        ));
    }
    let after = reached(&mut stages, 150);
    let new: usize = before
        .iter()
        .zip(&after)
        .map(|(before, after)| after.difference(before).count())
        .sum();
    assert!(
        new <= 3 * NODES as usize,
        "{new} new pairs after one endpoint was replaced"
    );
}

#[test]
fn a_wholly_degraded_subset_is_left_for_other_endpoints() {
    let (mut stages, _) = stages(ENDPOINTS);
    let driver = &mut stages[0];
    let own = reached(std::slice::from_mut(driver), 150).remove(0);
    let (mut served, mut asked) = (0, 0);
    for i in 0..200 {
        let (id, actions) = driver.request_with_node_set(NODES, SAFE, PlanId(1), "wide", 1.0);
        let (mut to, mut attempt) = (attempted_endpoint(&actions), 0);
        driver.advance(20 * MILLISECOND);
        while let Some(backend) = to {
            let well = !own.contains(&backend);
            let outcome = if well {
                Outcome::Success
            } else {
                Outcome::ConnectFailed
            };
            served += u32::from(well && i >= 50);
            to = attempted_endpoint(&driver.finish_attempt(id, attempt, &backend, outcome, 5));
            attempt += 1;
        }
        asked += u32::from(i >= 50);
    }
    assert!(
        served * 10 >= asked * 7,
        "{served} of {asked} served while its whole part refuses connections"
    );
}

#[test]
fn a_new_endpoint_is_estimated_by_its_machine_type() {
    let mut list: Vec<Endpoint> = (0..12).map(|i| endpoint(&format!("b{i}"), i % 3)).collect();
    list.iter_mut()
        .skip(6)
        .for_each(|endpoint| endpoint.machine_type = MachineTypeId(1));
    let set = PolicySettings {
        machine_type_count: 2,
        gossip_messages_per_second: 40.0,
        ..large_fleet_settings(settings())
    };
    let mut driver = PolicyDriver::new(set, 5, &list);
    let took = |to: &str, fast: &[&str]| if fast.contains(&to) { 60 } else { 180 };
    let fast: Vec<String> = (0..6).chain([12]).map(|i| format!("b{i}")).collect();
    let fast: Vec<&str> = fast.iter().map(String::as_str).collect();
    let play = |driver: &mut PolicyDriver, times: u32| {
        let mut to_new = [0u32; 2];
        for _ in 0..times {
            let (id, actions) = driver.request_with_node_set(NODES, SAFE, PlanId(1), "wide", 1.0);
            let Some(to) = attempted_endpoint(&actions) else {
                continue;
            };
            driver.advance(20 * MILLISECOND);
            driver.finish_attempt(id, 0, &to, Outcome::Success, took(&to, &fast));
            to_new[0] += u32::from(&*to == "b12");
            to_new[1] += u32::from(&*to == "b13");
        }
        to_new
    };
    play(&mut driver, 400);
    // Both are warm and were never met; what they are made of is all that tells them apart.
    let mut update = [endpoint("b12", 0), endpoint("b13", 1)];
    (update[0].started_at_ns, update[1].started_at_ns) = (Some(1), Some(1));
    update[1].machine_type = MachineTypeId(1);
    driver.handle(Event::EndpointUpdate(
        EndpointUpdateKind::Delta,
        update.to_vec().into(),
    ));
    let [new_fast, new_slow] = play(&mut driver, 120);
    assert!(
        new_fast >= 2 * new_slow,
        "{new_fast} to the new fast one, {new_slow} to the new slow one"
    );
}

#[test]
fn removed_endpoints_reduce_the_fleets_capacity_at_once() {
    let list: Vec<Endpoint> = (0..ENDPOINTS)
        .map(|i| endpoint(&format!("b{i}"), i as u32 % 3))
        .collect();
    let refusals = |gone: usize| {
        let mut driver = PolicyDriver::new(
            PolicySettings {
                gossip_messages_per_second: 40.0,
                ..large_fleet_settings(settings())
            },
            3,
            &list,
        );
        let mut refusals = 0;
        for i in 0..60u32 {
            // 9 a second carried by each gateway's part, and work for a fifth of the aim out.
            let part = encode_load_statistics([25.0, 0.0, 25.0, 0.0, 0.0, 10.0, 15.0, 9.0, 9.0]);
            driver.handle(Event::PeerMessage {
                from: NodeId(1 + i % 90),
                text: part,
            });
            if i == 40 {
                let mut update = list[..gone].to_vec();
                update
                    .iter_mut()
                    .for_each(|endpoint| endpoint.state = EndpointState::Removed);
                driver.handle(Event::EndpointUpdate(
                    EndpointUpdateKind::Delta,
                    update.into(),
                ));
            }
            for _ in 0..1 + i % 2 {
                let (id, actions) =
                    driver.request_with_node_set(NODES, SAFE, PlanId(1), "wide", 1.0);
                refusals += u32::from((42..52).contains(&i) && is_rejected(&actions));
                if let Some(to) = attempted_endpoint(&actions) {
                    driver.finish_attempt(id, 0, &to, Outcome::Success, 60);
                }
            }
            driver.advance(100 * MILLISECOND);
        }
        refusals
    };
    let (whole, shrunk) = (refusals(0), refusals(45));
    assert!(
        whole <= 1 && shrunk >= 5,
        "{whole} of 15 refused by a whole fleet, {shrunk} by a quarter of it"
    );
}

/// How many of eight requests a second at each gateway go to instance `b0`, and to all, from a second to another.
fn sent_to_the_first(seed: u64, end: End<'_>, from: u64, to: u64) -> (u32, u32) {
    let mut fleet =
        PolicyFleet::with_nodes(NODES, seed, large_fleet_settings(settings()), ENDPOINTS);
    let (mut first, mut all) = (0, 0);
    for step in 0..to * STEPS_PER_SECOND {
        for _ in 0..16 {
            let me = fleet.rng.random_range(0..NODES as usize);
            let (_, actions) =
                fleet.nodes[me].request_with_node_set(NODES, SAFE, PlanId(1), "wide", 1.0);
            if let Some(to) =
                attempted_endpoint(&actions).filter(|_| step >= from * STEPS_PER_SECOND)
            {
                all += 1;
                first += u32::from(&*to == "b0");
            }
            fleet.start_attempts(me, &actions, end);
        }
        fleet.step(end);
    }
    (first, all)
}

#[test]
fn an_endpoint_that_rejects_a_connection_in_four_is_not_ejected() {
    let end = |to: &EndpointId, id: RequestId| match &**to {
        "b0" if id.0.is_multiple_of(4) => (Outcome::ConnectFailed, 1),
        _ => (Outcome::Success, 60),
    };
    let (full, all) = sent_to_the_first(15, &end, 4, 20);
    let fair = all / ENDPOINTS as u32;
    assert!(
        full * 5 >= fair * 2,
        "{full} sent to the one with a full table, {fair} is a fair share"
    );
    assert!(
        full <= fair,
        "{full} sent to it, more than the fair share of {fair}"
    );
}

#[test]
fn a_failing_endpoint_is_detected_though_each_node_uses_it_rarely() {
    let end = |to: &EndpointId, _: RequestId| match &**to {
        "b0" => (Outcome::Failure, 5),
        _ => (Outcome::Success, 60),
    };
    let (bad, all) = sent_to_the_first(17, &end, 20, 30);
    let fair = all / ENDPOINTS as u32;
    assert!(
        bad * 2 <= fair,
        "{bad} sent to an instance that serves none, {fair} is a fair share"
    );
}
