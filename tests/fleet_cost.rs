//! The cost of a node by the size of its fleet: a measurement (`make measure-large-fleet`) of the decision policy alone in
//! virtual time, with the same traffic at each of 3, 30 and 100 nodes.

#![expect(
    clippy::too_many_lines,
    reason = "the loop of a simulation is one function"
)]

mod support;

use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

use applewall::api::*;
use rand::Rng;
use support::fleet::{PolicyFleet, STEP_NS};
use support::policy::*;

const SECONDS: u64 = 20;
/// Requests per second at each node.
const REQUESTS_PER_SECOND: f64 = 9.0;
/// Gossip messages per second that a node accepts.
const MAX_RECEIVED_PER_SECOND: f64 = 40.0;
/// Fraction of [`MAX_RECEIVED_PER_SECOND`] that the mean of a run may reach.
const MAX_MEAN_FRACTION: f64 = 0.9;

/// The cost of a node on average; for entries, that of the largest node.
struct Cost {
    messages_received_per_second: f64,
    bytes_sent_per_second: f64,
    endpoints_used: f64,
    microseconds_per_request: f64,
    entries: usize,
}

fn cost(node_count: u32, seed: u64) -> Cost {
    let endpoint_count = (node_count as usize * 3 / 5).max(9);
    let mut settings = settings();
    settings.plans[0] = Plan {
        quota_units_per_second: 2.0,
        quota_burst_units: 8.0,
        weight_multiplier: 1.0,
        over_quota_penalty_fraction: 0.5,
        ..Plan::default()
    };
    let mut fleet = PolicyFleet::with_nodes(node_count, seed, settings, endpoint_count);
    let mut used = vec![BTreeSet::new(); node_count as usize];
    let (mut requests, mut bytes, mut seconds) = (0u32, 0, 0.0);
    // One customer in nine requests three times its quota, the others half of it.
    let customers = (f64::from(node_count) * REQUESTS_PER_SECOND / (1.0 + 6.0 / 8.0)) as u32;
    let end = |_: &EndpointId, id: RequestId| (Outcome::Success, 60 + id.0 % 97);
    let mut attempts: HashMap<(usize, RequestId), u32> = HashMap::new();
    for _ in 0..SECONDS * SECOND / STEP_NS {
        let due = f64::from(node_count) * REQUESTS_PER_SECOND * STEP_NS as f64 / SECOND as f64;
        let due_requests = due as u32 + u32::from(fleet.rng.random::<f64>() < due.fract());
        for _ in 0..due_requests {
            let heavy = fleet.rng.random::<f64>() < 3.0 / 7.0;
            let number = fleet.rng.random_range(0..customers.max(9));
            let name = format!("c{}", if heavy { number / 9 } else { number });
            let node = fleet.rng.random_range(0..node_count as usize);
            let started = Instant::now();
            let (id, actions) =
                fleet.nodes[node].request_with_node_set(node_count, SAFE, PlanId(0), &name, 1.0);
            seconds += started.elapsed().as_secs_f64();
            requests += 1;
            if let Some(to) = attempted_endpoint(&actions) {
                used[node].insert(to);
                *attempts.entry((node, id)).or_default() += 1;
            }
            fleet.start_attempts(node, &actions, &end);
        }
        let started = Instant::now();
        fleet.step(&end);
        seconds += started.elapsed().as_secs_f64();
        for node in &mut fleet.nodes {
            bytes += node
                .gossip_texts
                .drain(..)
                .map(|text| text.len())
                .sum::<usize>();
        }
    }
    let node_seconds = f64::from(node_count) * SECONDS as f64;
    let used: f64 = used.iter().map(|endpoints| endpoints.len() as f64).sum();
    Cost {
        messages_received_per_second: f64::from(fleet.gossip_delivered) / node_seconds,
        bytes_sent_per_second: bytes as f64 / node_seconds,
        endpoints_used: used / f64::from(node_count),
        microseconds_per_request: seconds * 1e6 / f64::from(requests),
        entries: fleet
            .nodes
            .iter()
            .map(|node| node.policy.entry_count())
            .max()
            .unwrap_or(0),
    }
}

#[test]
#[ignore = "a measurement: make measure-large-fleet"]
fn cost_per_node_by_fleet_size() {
    let mut max_messages = 0.0f64;
    println!("fleet  endpoints  messages received/s (range of 3 runs)  bytes sent/s  endpoints used  us/request  entries");
    for node_count in [3, 30, 100] {
        let costs: Vec<Cost> = (0..3).map(|seed| cost(node_count, seed)).collect();
        let range = |value: &dyn Fn(&Cost) -> f64| {
            let values = costs.iter().map(value);
            let (low, high) = values.fold((f64::MAX, 0.0f64), |(low, high), value| {
                (low.min(value), high.max(value))
            });
            format!("{low:.1} to {high:.1}")
        };
        max_messages = costs.iter().fold(max_messages, |max, cost| {
            max.max(cost.messages_received_per_second)
        });
        println!(
            "{node_count:5}  {:9}  {}  {}  {}  {}  {}",
            (node_count as usize * 3 / 5).max(9),
            range(&|cost| cost.messages_received_per_second),
            range(&|cost| cost.bytes_sent_per_second),
            range(&|cost| cost.endpoints_used),
            range(&|cost| cost.microseconds_per_request),
            costs.iter().map(|cost| cost.entries).max().unwrap_or(0),
        );
    }
    let held = max_messages <= MAX_RECEIVED_PER_SECOND * MAX_MEAN_FRACTION;
    println!(
        "verdict: at most {max_messages:.1} messages per second received by a node, {} allowed: {held}",
        MAX_RECEIVED_PER_SECOND * MAX_MEAN_FRACTION
    );
    assert!(
        held,
        "nodes received more messages than allowed, see the verdict line"
    );
}
