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

/// Two nodes, of which one receives the other's reports, and the requests of one customer that passed at it.
struct ReportingPair {
    observed: PolicyDriver,
    peer: PolicyDriver,
    passed: u32,
}

impl ReportingPair {
    fn new(cost_settled_after_response: bool) -> Self {
        let node = |number| {
            let own = PolicySettings {
                node: NodeId(number),
                cost_settled_after_response,
                ..settings()
            };
            PolicyDriver::new(own, 20 + u64::from(number), &six_endpoints())
        };
        ReportingPair {
            observed: node(0),
            peer: node(1),
            passed: 0,
        }
    }

    /// Sends so many requests at once through each node, and responds to them 100 ms later.
    fn request(&mut self, count: u32, settled_units: Option<f64>) {
        for (node, is_observed) in [(&mut self.observed, true), (&mut self.peer, false)] {
            let sent: Vec<_> = (0..count)
                .map(|_| node.request(SAFE, PlanId(0), "steady", 1.0))
                .collect();
            node.advance(100 * MILLISECOND);
            for (request, actions) in sent {
                let Some(endpoint) = attempted_endpoint(&actions) else {
                    continue;
                };
                self.passed += u32::from(is_observed);
                node.handle(Event::AttemptFinished(AttemptResult {
                    request,
                    attempt: 0,
                    endpoint,
                    outcome: Outcome::Success,
                    latency_ns: 100 * MILLISECOND,
                    request_complete: true,
                    settled_units,
                    load_report: vec![],
                }));
            }
        }
    }

    fn advance(&mut self, time: u64) {
        self.observed.advance(time);
        self.peer.advance(time);
    }

    /// Takes the peer's messages to the observed node.
    fn take_messages(&mut self) -> Vec<String> {
        let sent = std::mem::take(&mut self.peer.gossip);
        let to_observed = sent.into_iter().filter(|(to, _)| *to == Some(NodeId(0)));
        to_observed.map(|(_, text)| text).collect()
    }

    fn deliver(&mut self, messages: Vec<String>) {
        for text in messages {
            let from = NodeId(1);
            self.observed.handle(Event::PeerMessage { from, text });
        }
    }
}

/// Guards against a total that falls, where costs are settled below their estimates, and drains the customer's quota at other
/// nodes by all that totals can express.
#[test]
fn customer_within_its_quota_passes_though_its_costs_are_settled_below_their_estimates() {
    for settled_units in [1.0, 0.1] {
        let mut pair = ReportingPair::new(true);
        for _ in 0..40 {
            // 8 units a second as estimated, against a quota of 10.
            for count in [4, 0, 0, 0, 1, 0, 0, 0, 0, 0] {
                pair.request(count, Some(settled_units));
                let messages = pair.take_messages();
                pair.deliver(messages);
            }
            pair.advance(250 * MILLISECOND);
        }
        let passed = pair.passed;
        assert!(passed >= 190, "{passed} of 200 settled at {settled_units}");
    }
}

/// How many of 200 requests of one customer pass at a node that gets each two reports of its peer in the wrong order, or not.
fn passed_with_reports(swapped: bool, interval_ms: u64) -> u32 {
    let mut pair = ReportingPair::new(false);
    let mut in_flight = Vec::new();
    for _ in 0..200 {
        pair.request(1, None);
        pair.advance((interval_ms - 100) * MILLISECOND);
        in_flight.extend(pair.take_messages());
        if in_flight.len() >= 2 {
            if swapped {
                in_flight.chunks_mut(2).for_each(<[String]>::reverse);
            }
            pair.deliver(std::mem::take(&mut in_flight));
        }
    }
    pair.passed
}

/// Guards against reports that arrive out of order and count as all that totals can express: a customer within its quota would
/// be rejected, and one over it would get less than otherwise.
#[test]
fn customer_gets_its_quota_though_its_reports_arrive_out_of_order() {
    // Of a quota of 10 units a second both nodes together send 9: all of it passes.
    let within = passed_with_reports(true, 220);
    assert!(within >= 190, "{within} of 200 within the quota");
    // They send 20.
    let (swapped, in_order) = (
        passed_with_reports(true, 100),
        passed_with_reports(false, 100),
    );
    assert!(
        swapped * 10 >= in_order * 9,
        "{swapped} of 200 over the quota, {in_order} with reports in order"
    );
}
