//! The smallest front door: one gateway, one backend, one request.

#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use applewall::api::{
    Class, Endpoint, EndpointState, EndpointUpdateKind, Event, Idempotency, Plan, PolicySettings,
    Request, RequestId,
};
use applewall::decision::DecisionPolicy;

fn main() {
    let second = 1_000_000_000;
    let settings = PolicySettings {
        node_count: 1,
        classes: vec![Class {
            latency_objective_ns: second / 2,
            deadline_ns: 2 * second,
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
        overload_window_ns: second,
        ..PolicySettings::default()
    };
    let mut brain = DecisionPolicy::new(settings, 42, 0);
    let mut actions = Vec::new();
    let backend = Endpoint {
        id: "backend-1".into(),
        weight: 1.0,
        started_at_ns: None,
        zone: 0,
        cell: 0,
        machine_type: 0,
        state: EndpointState::Ready,
    };
    brain.handle(
        0,
        Event::EndpointUpdate(EndpointUpdateKind::Snapshot, [backend].into()),
        &mut actions,
    );
    let request = Request {
        id: RequestId(1),
        class: 0,
        plan: 0,
        customer: "customer-1".into(),
        units: 1.0,
        time_left_ns: 2 * second,
        is_retry: false,
        node_set_size: 1,
        first_node: 0,
    };
    brain.handle(1_000_000, Event::Request(request), &mut actions);
    // A front door carries out each action: sends, answers, sets timers, and reports back as events.
    for action in &actions {
        println!("{action:?}");
    }
}
