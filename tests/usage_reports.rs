//! Usage reports whose totals decrease or that arrive out of order, by the decision policy alone in virtual time.

mod support;

use applewall::api::{AttemptResult, Event, NodeId, Outcome, PlanId, PolicySettings};
use support::policy::{
    attempted_endpoint, settings, six_endpoints, PolicyDriver, MILLISECOND, SAFE,
};

/// A node that receives usage reports of a peer, and how many requests of one customer it forwarded.
struct ReportingPair {
    observed: PolicyDriver,
    peer: PolicyDriver,
    forwarded: u32,
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
            forwarded: 0,
        }
    }

    /// Sends `count` requests at once through each node, and responds to them 100 ms later.
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
                self.forwarded += u32::from(is_observed);
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

    /// Removes and returns the peer's messages to the observed node.
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

/// Guards against a total that decreases when costs are settled below their estimates: other nodes would read the wrapped
/// difference as a huge usage and exhaust the customer's quota.
#[test]
fn customer_within_its_quota_is_not_rejected_though_its_costs_are_settled_below_their_estimates() {
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
        let forwarded = pair.forwarded;
        assert!(
            forwarded >= 190,
            "{forwarded} of 200 forwarded, settled at {settled_units}"
        );
    }
}

/// How many of 200 requests of one customer a node forwards; it gets the peer's reports in order, or each two swapped.
fn forwarded_with_reports(swapped: bool, interval_ms: u64) -> u32 {
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
    pair.forwarded
}

/// Guards against reports out of order whose wrapped difference is read as a huge usage: a customer within its quota would be
/// rejected, and one over its quota would get less.
#[test]
fn customer_gets_its_quota_though_its_reports_arrive_out_of_order() {
    // Both nodes together send 9 units per second, of a quota of 10.
    let within = forwarded_with_reports(true, 220);
    assert!(within >= 190, "{within} of 200 forwarded within the quota");
    // Both nodes together send 20 units per second.
    let (swapped, in_order) = (
        forwarded_with_reports(true, 100),
        forwarded_with_reports(false, 100),
    );
    assert!(
        swapped * 10 >= in_order * 9,
        "{swapped} of 200 forwarded over the quota, {in_order} with reports in order"
    );
}
