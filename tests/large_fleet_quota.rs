//! Quotas, ceilings and concurrency limits over 100 nodes and 60 endpoints: small deviations at each node must not add up
//! over the fleet.

mod support;

use applewall::api::*;
use support::fleet::{always_succeeds, encode_load_statistics, PolicyFleet};
use support::large_fleet::*;
use support::policy::*;

#[test]
fn a_surge_of_one_customer_among_hundreds_of_others_stays_near_its_quota_and_the_receive_limit() {
    let mut forwarded = 0;
    let mut fleet = PolicyFleet::with_nodes(NODES, 3, large_fleet_settings(settings()), ENDPOINTS);
    for step in 0..6 * STEPS_PER_SECOND {
        send_background_requests(&mut fleet, &always_succeeds);
        if step >= 3 * STEPS_PER_SECOND {
            forwarded += send_customer_requests(&mut fleet, &always_succeeds, "hot", 60.0, 75).1;
        }
        fleet.step(&always_succeeds);
    }
    // The burst of 20, 10 per second for 3 s, and what is forwarded before the aggregator's updates take effect.
    assert!(
        (35..=75).contains(&forwarded),
        "{forwarded} forwarded for a quota of 50"
    );
    let received = f64::from(fleet.gossip_delivered) / f64::from(NODES) / 6.0;
    assert!(
        received < 40.0,
        "{received} messages per second received by a node"
    );
}

/// Settings with a ceiling of twice the quota in the first plan.
fn settings_with_ceiling() -> PolicySettings {
    let mut settings = large_fleet_settings(settings());
    let plan = &mut settings.plans[0];
    (plan.quota_units_per_second, plan.quota_burst_units) = (10.0, 22.0);
    (
        plan.ceiling_units_per_second,
        plan.ceiling_burst_units,
        plan.ceiling_slack_units,
    ) = (20.0, 44.0, 4.0);
    settings.max_request_units = 1.0;
    settings
}

#[test]
fn nodes_with_most_of_a_customers_requests_get_the_unused_ceiling_of_the_others() {
    let (mut requested, mut forwarded) = (0, 0);
    let mut fleet = PolicyFleet::with_nodes(NODES, 5, settings_with_ceiling(), ENDPOINTS);
    for step in 0..10 * STEPS_PER_SECOND {
        send_background_requests(&mut fleet, &always_succeeds);
        let counts = send_customer_requests(&mut fleet, &always_succeeds, "busy", 8.0, 22);
        if step >= 2 * STEPS_PER_SECOND {
            requested += counts.0;
            forwarded += counts.1;
        }
        fleet.step(&always_succeeds);
    }
    assert!(
        forwarded * 10 >= requested * 9,
        "{forwarded} of {requested} forwarded, within the quota and far below the ceiling"
    );
}

#[test]
fn a_ceiling_over_many_nodes_holds_through_a_flood_and_most_of_them_restarting() {
    for seed in 0..3 {
        // An ample quota, so that the ceiling alone limits.
        let mut settings = settings_with_ceiling();
        (
            settings.plans[0].quota_units_per_second,
            settings.plans[0].quota_burst_units,
        ) = (1000.0, 1000.0);
        let mut fleet = PolicyFleet::with_nodes(NODES, seed, settings, ENDPOINTS);
        let (mut tokens, mut forwarded, mut min_tokens) = (44.0f64, 0, f64::INFINITY);
        for step in 0..12 * STEPS_PER_SECOND {
            if step == 5 * STEPS_PER_SECOND {
                (0..70).for_each(|node| fleet.restart(node));
            }
            tokens = (tokens + 20.0 / STEPS_PER_SECOND as f64).min(44.0);
            let passed = send_customer_requests(&mut fleet, &always_succeeds, "flood", 90.0, 22).1;
            (tokens, forwarded) = (tokens - f64::from(passed), forwarded + passed);
            min_tokens = min_tokens.min(tokens);
            fleet.step(&always_succeeds);
        }
        assert!(
            min_tokens >= -4.0,
            "seed {seed}: the ceiling's bucket fell to {min_tokens}"
        );
        assert!(
            forwarded >= 150,
            "seed {seed}: {forwarded} forwarded of 240 that the ceiling allows"
        );
    }
}

#[test]
fn over_quota_requests_are_forwarded_only_while_the_fleet_is_idle() {
    let endpoints: Vec<Endpoint> = (0..ENDPOINTS)
        .map(|number| endpoint(&format!("b{number}"), number as u32 % 3))
        .collect();
    let forwarded = |in_flight: f64| {
        let mut settings = PolicySettings {
            gossip_messages_per_second: 40.0,
            ..large_fleet_settings(settings())
        };
        (
            settings.plans[0].over_quota_weight_fraction,
            settings.plans[0].over_quota_penalty_fraction,
        ) = (0.3, 0.0);
        let mut driver = PolicyDriver::new(settings, 3, &endpoints);
        let mut forwarded = 0;
        for round in 0..40u32 {
            driver.handle(Event::PeerMessage {
                from: NodeId(1 + round % 90),
                text: encode_load_statistics([
                    25.0,
                    0.0,
                    25.0,
                    0.0,
                    0.0,
                    10.0,
                    in_flight * 10.0,
                    5.0,
                    5.0,
                ]),
            });
            for _ in 0..3 {
                let (id, actions) =
                    driver.request_with_node_set(NODES, SAFE, PlanId(0), "beyond", 1.0);
                if let Some(to) = attempted_endpoint(&actions) {
                    forwarded += u32::from(round >= 20);
                    driver.finish_attempt(id, 0, &to, Outcome::Success, 60);
                }
            }
            driver.advance(100 * MILLISECOND);
        }
        forwarded
    };
    let (idle, busy) = (forwarded(0.3), forwarded(1.2));
    // Over 2 s: a quota of 10 per second, and 30 requests per second.
    assert!(
        idle >= 50 && busy <= 30,
        "{idle} forwarded while the fleet is idle, {busy} while it is busy"
    );
}

/// Runs a customer whose plan allows two concurrent requests, with responses after 200 ms. Returns how many requests were
/// forwarded, and how many of these while two were in flight.
fn run_with_two_concurrent_requests(seed: u64) -> (u32, u32) {
    let slow = |_: &EndpointId, _: RequestId| (Outcome::Success, 200);
    let mut settings = large_fleet_settings(settings());
    (
        settings.plans[0].quota_units_per_second,
        settings.plans[0].quota_burst_units,
        settings.plans[0].max_concurrency,
    ) = (12.0, 14.0, Some(2));
    let mut fleet = PolicyFleet::with_nodes(NODES, seed, settings, ENDPOINTS);
    let (mut ends, mut forwarded, mut over_limit) = (Vec::new(), 0, 0);
    for step in 0..24 * STEPS_PER_SECOND {
        send_background_requests(&mut fleet, &slow);
        ends.retain(|end| *end > fleet.now());
        // Within the quota; without a limit, at 200 ms each, more than two would be in flight on average.
        let passed = send_customer_requests(&mut fleet, &slow, "slow", 11.0, 75).1;
        for _ in 0..passed {
            if step >= 4 * STEPS_PER_SECOND {
                forwarded += 1;
                over_limit += u32::from(ends.len() >= 2);
            }
            ends.push(fleet.now() + 200 * MILLISECOND);
        }
        fleet.step(&slow);
    }
    (forwarded, over_limit)
}

#[test]
fn two_fifths_of_forwarded_requests_at_most_exceed_a_plans_concurrency_where_responses_are_slow() {
    let (forwarded, over_limit) = run_with_two_concurrent_requests(7);
    assert!(
        forwarded >= 60 && over_limit * 5 <= forwarded * 2,
        "{over_limit} of {forwarded} forwarded while two were in flight"
    );
}

#[test]
fn a_tenth_of_the_demand_at_most_exceeds_a_plans_concurrency() {
    // 11 requests per second for 20 s, with each of six seeds.
    let requested = 6 * 20 * 11;
    let (forwarded, over_limit) = (20..26)
        .map(run_with_two_concurrent_requests)
        .fold((0, 0), |sum, counts| (sum.0 + counts.0, sum.1 + counts.1));
    assert!(
        forwarded * 3 >= requested && over_limit * 10 <= requested,
        "{over_limit} of {forwarded} forwarded while two were in flight, {requested} requested"
    );
}

#[test]
fn a_customer_is_not_rejected_by_a_stale_aggregate_after_its_surge() {
    let (mut requested, mut forwarded) = (0, 0);
    let mut fleet = PolicyFleet::with_nodes(NODES, 9, large_fleet_settings(settings()), ENDPOINTS);
    for step in 0..14 * STEPS_PER_SECOND {
        send_background_requests(&mut fleet, &always_succeeds);
        let surging = (3 * STEPS_PER_SECOND..5 * STEPS_PER_SECOND).contains(&step);
        let counts = send_customer_requests(
            &mut fleet,
            &always_succeeds,
            "calmer",
            if surging { 60.0 } else { 7.0 },
            75,
        );
        // Aggregates to a set of 75 nodes are rare: within 4 s each node gets one, once the bucket is half full again.
        if step >= 9 * STEPS_PER_SECOND {
            requested += counts.0;
            forwarded += counts.1;
        }
        fleet.step(&always_succeeds);
    }
    assert!(
        forwarded * 10 >= requested * 9,
        "{forwarded} of {requested} forwarded long after the surge"
    );
}
