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
    let first = passed_share(&mut driver, "hot");
    assert!(first > 0.3, "the store opens full: {first}");
    let steady = passed_share(&mut driver, "hot");
    assert!(
        (0.15..0.35).contains(&steady),
        "a quarter passes in the long run: {steady}"
    );
}

#[test]
fn demand_reported_by_peers_lowers_admission() {
    let mut doors: Vec<PolicyDriver> = (0..3)
        .map(|me| {
            PolicyDriver::new(
                PolicySettings {
                    node: NodeId(me),
                    ..settings()
                },
                6 + u64::from(me),
                &six_endpoints(),
            )
        })
        .collect();
    let mut sent = [0u32; 2];
    for step in 0..2400 {
        for me in 0..3 {
            doors[me].advance(if step > 0 { 8 * MILLISECOND } else { 0 });
            let (id, actions) = doors[me].request(SAFE, PlanId(0), "hot", 1.0);
            if let Some(to) = attempted_endpoint(&actions) {
                sent[usize::from(step >= 1200)] += 1;
                doors[me].finish_attempt(id, 0, &to, Outcome::Success, 20);
            }
            for text in std::mem::take(&mut doors[me].gossip_texts) {
                for to in (0..3).filter(|to| *to != me) {
                    doors[to].handle(Event::PeerMessage {
                        from: NodeId(me as u32),
                        text: text.clone(),
                    });
                }
            }
        }
    }
    // 1200 steps of 8 ms are 9.6 s: 96 units fill the store, and 20 were there.
    assert!(
        (80..=125).contains(&sent[1]),
        "{sent:?} passed for a quota of 96"
    );
}

#[test]
fn a_flood_of_customers_seen_once_stays_bounded() {
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
    let mut set = settings();
    set.plans[1].max_concurrency = Some(3);
    set.node_count = 1;
    let mut driver = PolicyDriver::new(set, 11, &six_endpoints());
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

/// A share of the cap for each gateway is less than one each here: it refused a third of what came to a
/// customer with nothing out anywhere.
#[test]
fn concurrency_limits_admit_a_customer_with_nothing_in_flight() {
    let mut set = settings();
    // Just busy enough for the gateways to tell each other, and within the quota.
    (
        set.plans[0].max_concurrency,
        set.plans[0].quota_units_per_second,
    ) = (Some(2), 6.8);
    let door = |me: u32| {
        PolicyDriver::new(
            PolicySettings {
                node: NodeId(me),
                ..set.clone()
            },
            21 + u64::from(me),
            &six_endpoints(),
        )
    };
    let mut doors: Vec<PolicyDriver> = (0..3).map(door).collect();
    let mut refusals = 0;
    for round in 0..90 {
        let me = round % 3;
        let (id, actions) = doors[me].request(SAFE, PlanId(0), "c", 1.0);
        refusals += u32::from(is_rejected(&actions));
        if let Some(to) = attempted_endpoint(&actions) {
            doors[me].finish_attempt(id, 0, &to, Outcome::Success, 20);
        }
        doors
            .iter_mut()
            .for_each(|node| drop(node.advance(150 * MILLISECOND)));
        for text in std::mem::take(&mut doors[me].gossip_texts) {
            for to in (0..3).filter(|to| *to != me) {
                doors[to].handle(Event::PeerMessage {
                    from: NodeId(me as u32),
                    text: text.clone(),
                });
            }
        }
    }
    assert_eq!(refusals, 0);
}

/// A peer's report of a customer's units forwarded and requested through it.
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

/// Clients that others refuse ask again and again: what they ask is not what is out.
#[test]
fn concurrency_limits_count_requests_that_peers_admit_and_not_those_they_reject() {
    let mut set = settings();
    (
        set.plans[0].max_concurrency,
        set.plans[0].quota_units_per_second,
    ) = (Some(2), 60.0);
    let mut driver = PolicyDriver::new(set, 31, &six_endpoints());
    // Answers take 100 ms.
    driver.run_load(
        SAFE,
        PlanId(1),
        10 * MILLISECOND,
        3 * SECOND,
        Outcome::Success,
        100,
    );
    let mut refusals = |sent_too: bool| {
        let mut refusals = 0;
        for round in 0..100u32 {
            // Another gateway is asked for 40 units a second.
            let asked = WrappingTotal::from_units(f64::from(round) * 2.0);
            let sent = if sent_too {
                asked
            } else {
                WrappingTotal::default()
            };
            let customer = if sent_too { "sent" } else { "refused" };
            for text in usage_report(customer, sent, asked) {
                driver.handle(Event::PeerMessage {
                    from: NodeId(1),
                    text,
                });
            }
            let (id, actions) = driver.request(SAFE, PlanId(0), customer, 1.0);
            refusals += u32::from(is_rejected(&actions));
            if let Some(to) = attempted_endpoint(&actions) {
                driver.finish_attempt(id, 0, &to, Outcome::Success, 100);
            }
            driver.advance(50 * MILLISECOND);
        }
        refusals
    };
    let (sent, refused) = (refusals(true), refusals(false));
    assert!(
        sent > 50,
        "{sent} of 100 refused where others have the limit out"
    );
    assert_eq!(refused, 0, "refused where others have nothing out");
}

#[test]
fn settled_units_replace_the_estimate() {
    let passes = |cost: f64| {
        let mut set = settings();
        (set.cost_settled_after_response, set.node_count) = (true, 1);
        let mut driver = PolicyDriver::new(set, 12, &six_endpoints());
        let mut sent = 0;
        for _ in 0..200 {
            let (id, actions) = driver.request(SAFE, PlanId(0), "c", 1.0);
            if let Some(backend) = attempted_endpoint(&actions) {
                sent += 1;
                driver.handle(Event::AttemptFinished(AttemptResult {
                    request: id,
                    attempt: 0,
                    endpoint: backend,
                    outcome: Outcome::Success,
                    latency_ns: 20 * MILLISECOND,
                    request_complete: true,
                    settled_units: Some(cost),
                    load_report: vec![],
                }));
            }
            driver.advance(20 * MILLISECOND);
        }
        sent
    };
    assert!(
        passes(3.0) * 2 < passes(1.0),
        "{} {}",
        passes(3.0),
        passes(1.0)
    );
}

#[test]
fn stored_state_returns_to_its_size_after_thousands_of_new_customers() {
    let mut set = settings();
    set.plans[0].quota_units_per_second = 1e3;
    let mut driver = PolicyDriver::new(set, 5, &six_endpoints());
    let mut newcomers = |many: u32| {
        for number in 0..many {
            // Each backend is replaced in turn by one under a new id.
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
    let few = newcomers(20);
    let many = newcomers(3000);
    assert!(
        many <= few + 10,
        "{many} entries kept after thousands, {few} after a few"
    );
}
