//! Canary traffic: the share of its traffic that a node sends to an ejected zone.

use super::*;
use crate::{EndpointId, Observation};

/// A node with two zones of ten endpoints each. It has ejected the first zone and sent `requests` requests to the second
/// within one interval.
fn node_with_ejected_zone(fleet_size: u32, requests: u32) -> ZoneFailover {
    let now = Timestamp::from_seconds(0.0);
    let zone_names = ["z0", "z1"].map(String::from);
    let start = Start {
        zone_names: &zone_names,
        fleet_size,
        node: NodeId(0),
        seed: 1,
        now,
    };
    let mut failover = ZoneFailover::new(&Settings::default(), start);
    let endpoints = zone_names.clone().map(|zone| ZoneEndpoints {
        zone,
        endpoints: 10,
    });
    failover.handle(now, Input::EndpointsListed(endpoints.into()));
    failover.states[0].eject(now);
    for endpoint in 0..requests {
        let observed = Input::AttemptObserved {
            zone: ZoneId(1),
            endpoint: EndpointId(endpoint),
            observation: Observation::Good,
            sent_at: now,
        };
        failover.handle(now, observed);
    }
    failover.handle(now, Input::IntervalElapsed);
    failover
}

#[test]
fn canary_rate_is_limited_for_the_whole_fleet() {
    for (fleet_size, requests, expected) in [
        // 10 requests at a time constant of 2 s are 5 per second: 250 per second from 100 nodes into each zone, so 4 / 250.
        (100, 10, 0.016),
        (1000, 10, 0.0016),
        // Limited to 0.1: 4 / 2.5, and a node without requests.
        (1, 10, 0.1),
        (100, 0, 0.1),
    ] {
        let node = node_with_ejected_zone(fleet_size, requests);
        let share = node.traffic_share(ZoneId(0));
        assert!(
            (share - expected).abs() < 1e-12,
            "{fleet_size} nodes, {requests} requests: {share}, not {expected}"
        );
        assert_eq!(node.traffic_share(ZoneId(1)), 1.0, "a zone in use");
        assert_eq!(node.traffic_share(ZoneId(9)), 1.0, "an unknown zone");
    }
}
