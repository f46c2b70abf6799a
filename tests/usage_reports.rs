//! Usage reports that fall or arrive out of order, by the decision policy alone in virtual time.

mod support;

use applewall::api::{AttemptResult, Event, NodeId, Outcome, PlanId, PolicySettings};
use support::policy::{
    attempted_endpoint, settings, six_endpoints, PolicyDriver, MILLISECOND, SAFE,
};

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
