//! A minimal ingress: one node, one endpoint, one request.

use applewall::api::{
    Class, ClassId, Endpoint, EndpointState, EndpointUpdateKind, Event, Idempotency, NodeSet, Plan,
    PlanId, PolicySettings, Request, RequestId,
};
use applewall::decision::DecisionPolicy;

const SECOND_NS: u64 = 1_000_000_000;

fn settings() -> PolicySettings {
    PolicySettings {
        node_count: 1,
        classes: vec![Class {
            latency_objective_ns: SECOND_NS / 2,
            deadline_ns: 2 * SECOND_NS,
            priority_weight: 1.0,
            late_weight_fraction: 0.0,
            idempotency: Idempotency::Idempotent,
            streaming: false,
        }],
        plans: vec![Plan {
            quota_units_per_second: 10.0,
            quota_burst_units: 20.0,
            weight_multiplier: 1.0,
            ..Plan::default()
        }],
        max_attempts: 3,
        overload_multiple: 3.0,
        overload_window_ns: SECOND_NS,
        ..PolicySettings::default()
    }
}

fn endpoint() -> Endpoint {
    Endpoint {
        id: "endpoint-1".into(),
        weight: 1.0,
        state: EndpointState::Ready,
        ..Endpoint::default()
    }
}

fn request() -> Request {
    Request {
        id: RequestId(1),
        class: ClassId(0),
        plan: PlanId(0),
        customer: "customer-1".into(),
        units: 1.0,
        time_left_ns: 2 * SECOND_NS,
        is_retry: false,
        nodes: NodeSet::first_nodes(1),
    }
}

fn main() {
    let mut policy = DecisionPolicy::new(settings(), 42, 0);
    let mut actions = Vec::new();
    let update = Event::EndpointUpdate(EndpointUpdateKind::Snapshot, [endpoint()].into());
    policy.handle(0, update, &mut actions);
    policy.handle(1_000_000, Event::Request(request()), &mut actions);
    // A node executes each action (sends attempts, answers clients, sets timers) and reports the results as events.
    for action in &actions {
        println!("{action:?}");
    }
}
