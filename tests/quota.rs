//! Quotas and concurrency limits, by the decision policy alone in virtual time.

mod support;

use applewall::api::*;
use applewall::decision::hashing::CustomerFingerprint;
use applewall::gossip::codec::{self, UsageReport, WrappingTotal};
use support::policy::*;

#[test]
fn a_single_customer_is_limited_to_its_quota() {
    let mut driver = PolicyDriver::new(
        PolicySettings {
            node_count: 1,
            ..settings()
        },
        5,
        &six_endpoints(),
    );
    let first = forwarded_fraction(&mut driver, "hot");
    assert!(first > 0.3, "the bucket is full at the start: {first}");
    let steady = forwarded_fraction(&mut driver, "hot");
    assert!(
        (0.15..0.35).contains(&steady),
        "expected a quarter in the long run: {steady}"
    );
}

#[test]
fn demand_reported_by_peers_lowers_admission() {
    let mut nodes: Vec<PolicyDriver> = (0..3)
        .map(|number| {
            PolicyDriver::new(
                PolicySettings {
                    node: NodeId(number),
                    ..settings()
                },
                6 + u64::from(number),
                &six_endpoints(),
            )
        })
        .collect();
    let mut forwarded = [0u32; 2];
    for step in 0..2400 {
        for node in 0..3 {
            nodes[node].advance(if step > 0 { 8 * MILLISECOND } else { 0 });
            let (id, actions) = nodes[node].request(SAFE, PlanId(0), "hot", 1.0);
            if let Some(to) = attempted_endpoint(&actions) {
                forwarded[usize::from(step >= 1200)] += 1;
                nodes[node].finish_attempt(id, 0, &to, Outcome::Success, 20);
            }
            for text in std::mem::take(&mut nodes[node].gossip_texts) {
                for to in (0..3).filter(|to| *to != node) {
                    nodes[to].handle(Event::PeerMessage {
                        from: NodeId(node as u32),
                        text: text.clone(),
                    });
                }
            }
        }
    }
    // 1200 steps of 8 ms are 9.6 s, in which 96 units are refilled; the bucket of 20 may hold units from before.
    assert!(
        (80..=125).contains(&forwarded[1]),
        "{forwarded:?} forwarded for a quota of 96"
    );
}

#[test]
fn a_flood_of_customers_with_one_request_each_sends_a_bounded_number_of_messages() {
    let mut driver = PolicyDriver::new(settings(), 10, &six_endpoints());
    for number in 0..20_000 {
        let (id, actions) = driver.request(SAFE, PlanId(0), &format!("once-{number}"), 1.0);
        if let Some(to) = attempted_endpoint(&actions) {
            driver.finish_attempt(id, 0, &to, Outcome::Success, 20);
        }
        driver.advance(2 * MILLISECOND);
    }
    let (_, actions) = driver.request(SAFE, PlanId(0), "known", 1.0);
    assert!(attempted_endpoint(&actions).is_some());
    assert!(driver.gossip_texts.iter().all(|text| text.len() <= 256));
    assert!(
        driver.gossip_texts.len() < 300,
        "{} messages in 40 s",
        driver.gossip_texts.len()
    );
}

#[test]
fn concurrency_limits_are_enforced() {
    let mut settings = settings();
    settings.plans[1].max_concurrency = Some(3);
    settings.node_count = 1;
    let mut driver = PolicyDriver::new(settings, 11, &six_endpoints());
    let sent: Vec<_> = (0..5)
        .map(|_| driver.request(SAFE, PlanId(1), "c", 1.0))
        .collect();
    assert_eq!(
        sent.iter()
            .filter(|sent_request| attempted_endpoint(&sent_request.1).is_some())
            .count(),
        3
    );
    driver.finish_attempt(
        sent[0].0,
        0,
        &attempted_endpoint(&sent[0].1).unwrap(),
        Outcome::Success,
        20,
    );
    assert!(attempted_endpoint(&driver.request(SAFE, PlanId(1), "c", 1.0).1).is_some());
}

/// Guards against a limit that is divided among the nodes: with two concurrent requests over three nodes, each part is less
/// than one, and a third of the requests was rejected though the customer had none in flight.
#[test]
fn concurrency_limits_admit_a_customer_with_nothing_in_flight() {
    let mut settings = settings();
    // Just enough requests that nodes send usage reports, and within the quota.
    (
        settings.plans[0].max_concurrency,
        settings.plans[0].quota_units_per_second,
    ) = (Some(2), 6.8);
    let node = |number: u32| {
        PolicyDriver::new(
            PolicySettings {
                node: NodeId(number),
                ..settings.clone()
            },
            21 + u64::from(number),
            &six_endpoints(),
        )
    };
    let mut nodes: Vec<PolicyDriver> = (0..3).map(node).collect();
    let mut rejections = 0;
    for round in 0..90 {
        let node = round % 3;
        let (id, actions) = nodes[node].request(SAFE, PlanId(0), "c", 1.0);
        rejections += u32::from(is_rejected(&actions));
        if let Some(to) = attempted_endpoint(&actions) {
            nodes[node].finish_attempt(id, 0, &to, Outcome::Success, 20);
        }
        for node in &mut nodes {
            node.advance(150 * MILLISECOND);
        }
        for text in std::mem::take(&mut nodes[node].gossip_texts) {
            for to in (0..3).filter(|to| *to != node) {
                nodes[to].handle(Event::PeerMessage {
                    from: NodeId(node as u32),
                    text: text.clone(),
                });
            }
        }
    }
    assert_eq!(rejections, 0);
}

/// A peer's report of the units of a customer that it forwarded, and of those requested through it.
fn usage_report(customer: &str, forwarded: WrappingTotal, requested: WrappingTotal) -> Vec<String> {
    let report = UsageReport {
        plan: PlanId(0),
        nodes: NodeSet::first_nodes(3),
        forwarded,
        requested,
        quota_level: 1.0,
    };
    let record = codec::CustomerRecord {
        customer: CustomerFingerprint::of(customer),
        record: codec::Record::Usage(report),
    };
    codec::encode(7, &[record])
}

/// Guards against rejected requests, which clients retry again and again, that count as requests in flight.
#[test]
fn concurrency_limits_count_requests_that_peers_admit_and_not_those_they_reject() {
    let mut settings = settings();
    (
        settings.plans[0].max_concurrency,
        settings.plans[0].quota_units_per_second,
    ) = (Some(2), 60.0);
    let mut driver = PolicyDriver::new(settings, 31, &six_endpoints());
    // The node learns a latency of 100 ms.
    driver.run_load(
        SAFE,
        PlanId(1),
        10 * MILLISECOND,
        3 * SECOND,
        Outcome::Success,
        100,
    );
    let mut rejections = |admitted: bool| {
        let mut rejections = 0;
        for round in 0..100u32 {
            // A peer gets requests for 40 units per second.
            let requested = WrappingTotal::from_units(f64::from(round) * 2.0);
            let forwarded = if admitted {
                requested
            } else {
                WrappingTotal::default()
            };
            let customer = if admitted { "sent" } else { "refused" };
            for text in usage_report(customer, forwarded, requested) {
                driver.handle(Event::PeerMessage {
                    from: NodeId(1),
                    text,
                });
            }
            let (id, actions) = driver.request(SAFE, PlanId(0), customer, 1.0);
            rejections += u32::from(is_rejected(&actions));
            if let Some(to) = attempted_endpoint(&actions) {
                driver.finish_attempt(id, 0, &to, Outcome::Success, 100);
            }
            driver.advance(50 * MILLISECOND);
        }
        rejections
    };
    let (with_admitted, with_rejected) = (rejections(true), rejections(false));
    assert!(
        with_admitted > 50,
        "{with_admitted} of 100 rejected while peers have as many requests in flight as the limit"
    );
    assert_eq!(
        with_rejected, 0,
        "rejections while peers have no request in flight"
    );
}

#[test]
fn settled_units_replace_the_estimate() {
    let forwarded = |settled_units: f64| {
        let mut settings = settings();
        (settings.cost_settled_after_response, settings.node_count) = (true, 1);
        let mut driver = PolicyDriver::new(settings, 12, &six_endpoints());
        let mut forwarded = 0;
        for _ in 0..200 {
            let (id, actions) = driver.request(SAFE, PlanId(0), "c", 1.0);
            if let Some(endpoint) = attempted_endpoint(&actions) {
                forwarded += 1;
                driver.handle(Event::AttemptFinished(AttemptResult {
                    request: id,
                    attempt: 0,
                    endpoint,
                    outcome: Outcome::Success,
                    latency_ns: 20 * MILLISECOND,
                    request_complete: true,
                    settled_units: Some(settled_units),
                    load_report: vec![],
                }));
            }
            driver.advance(20 * MILLISECOND);
        }
        forwarded
    };
    assert!(
        forwarded(3.0) * 2 < forwarded(1.0),
        "{} forwarded at 3 units each, {} at 1 unit",
        forwarded(3.0),
        forwarded(1.0)
    );
}

#[test]
fn stored_state_returns_to_its_size_after_thousands_of_new_customers() {
    let mut settings = settings();
    settings.plans[0].quota_units_per_second = 1e3;
    let mut driver = PolicyDriver::new(settings, 5, &six_endpoints());
    let mut entries_after = |customer_count: u32| {
        for number in 0..customer_count {
            // The endpoints are replaced in turn by ones with new ids.
            let mut list = six_endpoints();
            list[(number % 6) as usize].id = format!("new{}-{number}", driver.now).as_str().into();
            driver.handle(Event::EndpointUpdate(
                EndpointUpdateKind::Snapshot,
                list.into(),
            ));
            let (id, actions) = driver.request(
                SAFE,
                PlanId((number % 2) as usize),
                &format!("c{}-{number}", driver.now),
                1.0,
            );
            if let Some(to) = attempted_endpoint(&actions) {
                driver.finish_attempt(id, 0, &to, Outcome::Success, 20);
            }
            driver.advance(20 * MILLISECOND);
        }
        driver.advance(30 * SECOND);
        driver.policy.entry_count()
    };
    let few = entries_after(20);
    let many = entries_after(3000);
    assert!(
        many <= few + 10,
        "{many} entries after 3,000 customers, {few} after 20"
    );
}

/// Guards against an entry for every name where a client sends requests under ever new customer names.
#[test]
fn stored_state_is_bounded_during_a_flood_of_new_customers_and_known_ones_are_served() {
    /// The ledger holds 8,192 customers at most; the rest are endpoints, requests and windows.
    const MAX_ENTRIES: usize = 10_000;
    let mut driver = PolicyDriver::new(settings(), 5, &six_endpoints());
    let (mut known_requests, mut known_forwarded) = (0, 0);
    for number in 0..60_000u32 {
        let (id, actions) = driver.request(SAFE, PlanId(0), &format!("new{number}"), 1.0);
        if let Some(to) = attempted_endpoint(&actions) {
            driver.finish_attempt(id, 0, &to, Outcome::Success, 20);
        }
        if number % 1_000 == 0 {
            let (id, actions) = driver.request(SAFE, PlanId(0), "known", 1.0);
            known_requests += 1;
            if let Some(to) = attempted_endpoint(&actions) {
                known_forwarded += 1;
                driver.finish_attempt(id, 0, &to, Outcome::Success, 20);
            }
        }
        driver.advance(MILLISECOND / 5);
        if number % 100 == 0 {
            let entries = driver.policy.entry_count();
            assert!(
                entries <= MAX_ENTRIES,
                "{entries} entries after {number} customers"
            );
        }
    }
    assert!(
        known_forwarded * 2 >= known_requests,
        "{known_forwarded} of {known_requests} requests of a known customer forwarded"
    );
    driver.advance(30 * SECOND);
    let (_, actions) = driver.request(SAFE, PlanId(0), "after", 1.0);
    assert!(attempted_endpoint(&actions).is_some());
}
