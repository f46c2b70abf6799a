//! A large fleet: 100 nodes, 60 endpoints, and background traffic.

use applewall::api::*;
use rand::Rng;

use super::fleet::{PolicyFleet, STEP_NS};
use super::policy::*;

pub(crate) const NODES: u32 = 100;

pub(crate) const ENDPOINTS: usize = 60;

/// Simulation steps per second of virtual time.
pub(crate) const STEPS_PER_SECOND: u64 = SECOND / STEP_NS;

/// How an attempt ends, and after how many milliseconds.
pub(crate) type End<'a> = &'a dyn Fn(&EndpointId, RequestId) -> (Outcome, u64);

pub(crate) fn large_fleet_settings(settings: PolicySettings) -> PolicySettings {
    PolicySettings {
        node_count: NODES,
        ..settings
    }
}

/// Sends requests of many customers below their quotas, 8 per second at each node.
pub(crate) fn send_background_requests(fleet: &mut PolicyFleet, end: End<'_>) {
    for _ in 0..16 {
        let node = fleet.rng.random_range(0..NODES as usize);
        let name = format!("calm{}", fleet.rng.random_range(0..400u32));
        let (_, actions) =
            fleet.nodes[node].request_with_node_set(NODES, SAFE, PlanId(0), &name, 1.0);
        fleet.start_attempts(node, &actions, end);
    }
}

/// Sends one step's part of `requests_per_second` of a customer of the first plan; the first nodes of its set get most of
/// them. Returns how many were sent, and how many of these were forwarded.
pub(crate) fn send_customer_requests(
    fleet: &mut PolicyFleet,
    end: End<'_>,
    name: &str,
    requests_per_second: f64,
    node_set_size: u32,
) -> (u32, u32) {
    let (mut requests, mut forwarded) = (0, 0);
    let mut due = requests_per_second / STEPS_PER_SECOND as f64;
    while fleet.rng.random::<f64>() < due {
        due -= 1.0;
        let at = fleet.rng.random::<f64>();
        let node = (at * at * f64::from(node_set_size)) as usize;
        let (_, actions) =
            fleet.nodes[node].request_with_node_set(node_set_size, SAFE, PlanId(0), name, 1.0);
        requests += 1;
        forwarded += u32::from(attempted_endpoint(&actions).is_some());
        fleet.start_attempts(node, &actions, end);
    }
    (requests, forwarded)
}
