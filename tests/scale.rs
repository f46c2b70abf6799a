//! Many nodes, each with a small part of the traffic, by the decision policy alone in virtual time.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use applewall::api::*;
use rand::Rng;
use support::fleet::{always_succeeds, encode_load_statistics, PendingAttempt, PolicyFleet, NODES};
use support::policy::*;

/// Units of one customer that 100 nodes forward in 10 s, after 6 s that are not counted, at `demand` units per second and a
/// quota of 10 per second with a burst of 20. With `restarts`, a random node restarts every 200 ms.
fn forwarded_units(seed: u64, demand: f64, restarts: bool) -> f64 {
    let mut fleet = PolicyFleet::new(seed, settings(), 30);
    let mut forwarded = 0.0;
    for step in 0..800 {
        if fleet.rng.random::<f64>() < demand * 0.02 {
            let node = fleet.rng.random_range(0..100usize);
            let (_, actions) =
                fleet.nodes[node].request_with_node_set(100, SAFE, PlanId(0), "hot", 1.0);
            let is_counted = attempted_endpoint(&actions).is_some() && step >= 300;
            forwarded += f64::from(u8::from(is_counted));
            fleet.start_attempts(node, &actions, &always_succeeds);
        }
        if restarts && step % 10 == 0 {
            let node = fleet.rng.random_range(0..100usize);
            fleet.restart(node);
        }
        fleet.step(&always_succeeds);
    }
    forwarded
}

#[test]
fn a_quota_holds_over_a_hundred_nodes_with_rare_requests_each() {
    for seed in 0..3 {
        let forwarded = forwarded_units(seed, 45.0, false);
        assert!(
            (60.0..=160.0).contains(&forwarded),
            "{forwarded} units forwarded for a quota of 100"
        );
    }
}

#[test]
fn a_quota_holds_while_nodes_restart_one_after_the_other() {
    for seed in 3..5 {
        let forwarded = forwarded_units(seed, 45.0, true);
        assert!(
            (60.0..=200.0).contains(&forwarded),
            "{forwarded} units forwarded for a quota of 100"
        );
    }
}

#[test]
fn a_customer_within_its_quota_is_not_rejected() {
    let forwarded = forwarded_units(7, 8.0, false);
    assert!(
        (65.0..=95.0).contains(&forwarded),
        "{forwarded} of about 80 units forwarded"
    );
}

#[test]
fn many_nodes_together_keep_the_slow_start_budget_of_a_warming_endpoint() {
    let mut fleet = PolicyFleet::new(11, settings(), 12);
    let (mut to_warming, mut total) = (0u32, 0u32);
    for step in 0..500u64 {
        if step == 300 {
            fleet.endpoints[0].started_at_ns = Some(fleet.now());
            let update: std::sync::Arc<[Endpoint]> = fleet.endpoints[..1].into();
            for node in &mut fleet.nodes {
                node.handle(Event::EndpointUpdate(
                    EndpointUpdateKind::Delta,
                    update.clone(),
                ));
            }
        }
        for _ in 0..8 {
            let node = fleet.rng.random_range(0..NODES as usize);
            let (_, actions) =
                fleet.nodes[node].request_with_node_set(NODES, SAFE, PlanId(1), "wide", 1.0);
            if let Some(to) = attempted_endpoint(&actions).filter(|_| (300..350).contains(&step)) {
                total += 1;
                to_warming += u32::from(&*to == "b0");
            }
            fleet.start_attempts(node, &actions, &always_succeeds);
        }
        fleet.step(&always_succeeds);
    }
    // The bound in the first second is three times the slow-start fraction of what a warm endpoint gets (0.27 is the fraction
    // of 0.2 with its rise), and a fifth more for random deviation.
    let bound = 3.0 * 0.27 * f64::from(total) / 11.0;
    assert!(
        total > 300 && f64::from(to_warming) <= bound * 1.2,
        "{to_warming} of {total} attempts at the warming endpoint, bound {bound}"
    );
}

#[test]
fn overload_is_detected_when_all_responses_are_slow_and_not_when_one_in_five_is() {
    let rejected_fraction = |all_slow: bool| {
        let mut fleet = PolicyFleet::new(13, settings(), 30);
        let end = move |_: &EndpointId, id: RequestId| {
            (
                Outcome::Success,
                if all_slow || id.0.is_multiple_of(5) {
                    450
                } else {
                    60
                },
            )
        };
        let (mut rejected, mut requests) = (0u32, 0u32);
        for step in 0..500u32 {
            for _ in 0..6 {
                let node = fleet.rng.random_range(0..NODES as usize);
                let (_, actions) =
                    fleet.nodes[node].request_with_node_set(NODES, SAFE, PlanId(1), "wide", 1.0);
                rejected += u32::from(step >= 300 && is_rejected(&actions));
                requests += u32::from(step >= 300);
                fleet.start_attempts(node, &actions, &end);
            }
            fleet.step(&end);
        }
        f64::from(rejected) / f64::from(requests)
    };
    let (some_slow, all_slow) = (rejected_fraction(false), rejected_fraction(true));
    assert!(
        some_slow < 0.05,
        "fraction of {some_slow} rejected with one slow response in five"
    );
    assert!(
        all_slow > 0.1,
        "fraction of {all_slow} rejected with slow responses alone"
    );
}

#[test]
fn gossip_stays_within_the_receive_limit() {
    let mut fleet = PolicyFleet::new(17, settings(), 30);
    for _ in 0..500 {
        for number in 0..6u32 {
            let node = fleet.rng.random_range(0..NODES as usize);
            let name = format!("c{}", fleet.rng.random_range(0..300u32) * 7 + number);
            let (_, actions) =
                fleet.nodes[node].request_with_node_set(NODES, SAFE, PlanId(0), &name, 1.0);
            fleet.start_attempts(node, &actions, &always_succeeds);
        }
        fleet.step(&always_succeeds);
    }
    let received = f64::from(fleet.gossip_delivered) / f64::from(NODES) / 10.0;
    assert!(
        received > 1.0 && received < 40.0,
        "{received} messages per second received by a node"
    );
}

/// Guards against failures that count as a fast response: an endpoint that fails one class at once would look the fastest of
/// all.
#[test]
fn fast_errors_of_one_class_do_not_attract_its_requests() {
    let endpoints = six_endpoints();
    let mut driver = PolicyDriver::new(settings(), 19, &endpoints);
    let (mut failing_class, mut other_class) = (0, 0);
    for number in 0..1200u32 {
        let class = if number % 2 == 0 { UNSAFE } else { SAFE };
        let (id, actions) = driver.request(class, PlanId(1), "c", 1.0);
        if let Some(to) = attempted_endpoint(&actions) {
            let failing = &*to == "b0" && class == UNSAFE;
            failing_class += u32::from(failing && number >= 300);
            other_class += u32::from(&*to == "b0" && class == SAFE && number >= 300);
            driver.advance(10 * MILLISECOND);
            driver.finish_attempt(
                id,
                0,
                &to,
                if failing {
                    Outcome::Failure
                } else {
                    Outcome::Success
                },
                if failing { 2 } else { 50 },
            );
        }
        driver.advance(5 * MILLISECOND);
    }
    assert!(
        failing_class < 25,
        "{failing_class} of 450 sent to the endpoint that fails them"
    );
    assert!(
        other_class > 20,
        "{other_class} of 450 of the class that the endpoint serves sent there"
    );
}

#[test]
fn outcomes_observed_after_the_node_itself_stalled_do_not_count_against_endpoints() {
    let endpoints = six_endpoints();
    let mut driver = PolicyDriver::new(settings(), 23, &endpoints);
    driver.run_load(
        SAFE,
        PlanId(1),
        10 * MILLISECOND,
        3 * SECOND,
        Outcome::Success,
        60,
    );
    let mut in_flight = Vec::new();
    for _ in 0..12 {
        let (id, actions) = driver.request(UNSAFE, PlanId(1), "c", 1.0);
        in_flight.extend(attempted_endpoint(&actions).map(|to| (id, to)));
    }
    // The node is suspended for 1.5 s; then it reads responses that arrived long before.
    driver.now += 1500 * MILLISECOND;
    driver
        .timers
        .iter_mut()
        .for_each(|(due, _)| *due = (*due).max(driver.now + MILLISECOND));
    for (id, to) in in_flight {
        driver.finish_attempt(id, 0, &to, Outcome::Success, 1490);
    }
    let (forwarded, rejected) = driver.run_load(
        SAFE,
        PlanId(1),
        10 * MILLISECOND,
        2 * SECOND,
        Outcome::Success,
        60,
    );
    assert!(
        forwarded > 190 && rejected == 0,
        "{forwarded} forwarded, {rejected} rejected"
    );
}

#[test]
fn impossible_gossip_is_ignored_or_clamped() {
    let forwarded_after = |messages: &[(u32, &str)]| {
        let mut fleet = PolicyFleet::new(29, settings(), 6);
        for (from, text) in messages {
            fleet.nodes[0].handle(Event::PeerMessage {
                from: NodeId(*from),
                text: (*text).into(),
            });
        }
        let mut forwarded = 0;
        for _ in 0..200 {
            let (id, actions) =
                fleet.nodes[0].request_with_node_set(NODES, SAFE, PlanId(1), "c", 1.0);
            if let Some(to) = attempted_endpoint(&actions) {
                forwarded += 1;
                fleet.nodes[0].finish_attempt(id, 0, &to, Outcome::Success, 60);
            }
            fleet.nodes[0].advance(20 * MILLISECOND);
        }
        forwarded
    };
    // An unknown sender; the node's own number as the sender; a kind of another version; load statistics with the largest
    // encodable values; a usage report with an unknown plan and an impossible node set.
    let statistics = format!("pAAAAAAAAA{}", "__".repeat(9));
    let impossible = [
        (999, "wAAAAAAAAAzz"),
        (0, "uAAAA"),
        (3, "zAAAAAAAAAzz"),
        (4, &statistics),
        (5, "uAAAAAAAAA______AAAA_"),
    ];
    assert_eq!(forwarded_after(&[]), forwarded_after(&impossible));
}

/// Guards against a node of a small fleet that rejects a fraction of a surge instead of limiting its backlog (incident
/// i15c3ad, nine nodes).
#[test]
fn each_of_nine_nodes_limits_its_own_backlog() {
    let endpoints: Vec<Endpoint> = (0..12)
        .map(|number| endpoint(&format!("b{number}"), number % 3))
        .collect();
    let settings = PolicySettings {
        node_count: 9,
        gossip_messages_per_second: 40.0,
        ..settings()
    };
    let mut driver = PolicyDriver::new(settings, 31, &endpoints);
    driver.run_load(
        SAFE,
        PlanId(1),
        100 * MILLISECOND,
        4 * SECOND,
        Outcome::Success,
        60,
    );
    let forwarded = (0..60)
        .filter(|_| attempted_endpoint(&driver.request(SAFE, PlanId(1), "c", 1.0).1).is_some())
        .count();
    assert!(
        (4..=10).contains(&forwarded),
        "{forwarded} of a surge of 60 forwarded"
    );
}

/// Endpoints of one core that process requests in order, 60 ms each, and time out those that would take over a second.
#[derive(Default)]
struct Queues {
    now: Cell<u64>,
    /// When each endpoint has processed all its requests.
    idle_from: RefCell<HashMap<EndpointId, u64>>,
}

impl Queues {
    fn serve(&self, endpoint: &EndpointId) -> (Outcome, u64) {
        let mut idle_from = self.idle_from.borrow_mut();
        let idle_from = idle_from.entry(endpoint.clone()).or_default();
        let done = (*idle_from).max(self.now.get()) + 60 * MILLISECOND;
        if done - self.now.get() > SECOND {
            return (Outcome::TimedOut, 1000);
        }
        *idle_from = done;
        (Outcome::Success, (done - self.now.get()) / MILLISECOND)
    }
}

/// Guards against a policy that rejects a fixed fraction of attempts, so that the backlog grows with the demand (issue 11).
#[test]
fn demand_far_beyond_capacity_does_not_flood_the_endpoints() {
    let queues = Queues::default();
    let mut fleet = PolicyFleet::new(37, settings(), 30);
    let end = |to: &EndpointId, _: RequestId| queues.serve(to);
    let (mut in_time, mut forwarded) = (0u32, 0u32);
    for step in 0..400u32 {
        queues.now.set(fleet.now());
        // 2,000 requests per second; the endpoints can process 500.
        for _ in 0..40 {
            let node = fleet.rng.random_range(0..NODES as usize);
            let (_, actions) =
                fleet.nodes[node].request_with_node_set(NODES, SAFE, PlanId(1), "wide", 1.0);
            fleet.start_attempts(node, &actions, &end);
            if attempted_endpoint(&actions).is_some() && step >= 150 {
                let PendingAttempt {
                    outcome,
                    latency_ms,
                    ..
                } = fleet.attempts.last().expect("the attempt just started");
                forwarded += 1;
                in_time += u32::from(*outcome == Outcome::Success && *latency_ms <= 500);
            }
        }
        fleet.step(&end);
    }
    assert!(
        in_time >= 1250,
        "{in_time} of {forwarded} forwarded within the latency objective in 5 s, 2,500 possible"
    );
    assert!(
        in_time * 4 >= forwarded * 3,
        "{in_time} of {forwarded} forwarded within the latency objective"
    );
}

/// Guards against timeouts of a past flood that are scaled up to a meaningful number while hardly any request is admitted
/// (issue 11).
#[test]
fn load_statistics_of_a_past_flood_do_not_keep_the_ladder_tight() {
    let endpoints: Vec<Endpoint> = (0..30)
        .map(|number| endpoint(&format!("b{number}"), number % 3))
        .collect();
    let settings = PolicySettings {
        node_count: NODES,
        gossip_messages_per_second: 40.0,
        ..settings()
    };
    let mut driver = PolicyDriver::new(settings, 43, &endpoints);
    let mut receive = |statistics: [f64; 9], times: u32| {
        for round in 0..times {
            driver.handle(Event::PeerMessage {
                from: NodeId(1 + round % 100),
                text: encode_load_statistics(statistics),
            });
            driver.request_with_node_set(NODES, SAFE, PlanId(1), "wide", 1.0);
            driver.advance(200 * MILLISECOND);
        }
        driver.logs.len()
    };
    let logged_in_flood = receive([5.0, 0.9, 0.0, 0.0, 3.0, 5.0, 20.0, 2.0, 20.0], 3);
    let logged_in_all = receive([0.0, 0.0, 0.0, 0.0, 0.0, 5.0, 0.0, 0.0, 20.0], 65);
    let lines: Vec<_> = driver.logs.iter().map(|line| format!("{line:?}")).collect();
    assert!(logged_in_flood <= 2 && logged_in_all > 0, "{lines:?}");
    assert!(
        !lines.iter().any(|line| line.contains("ladder F7")),
        "{lines:?}"
    );
}
