//! The smallest front door: one gateway, one backend, one request.

use applewall::api::*;
use applewall::brain::Brain;

fn main() {
    let second = 1_000_000_000;
    let settings = Settings {
        gateways: 1,
        classes: vec![Class {
            aim: second / 2,
            deadline: 2 * second,
            worth: 1.0,
            late_worth: 0.0,
            repeats: Repeats::Safe,
            stream: false,
        }],
        plans: vec![Plan {
            rate: 10.0,
            burst: 20.0,
            price: 1.0,
            ..Plan::default()
        }],
        max_attempts: 3,
        fall_multiple: 3.0,
        fall_window: second,
        ..Settings::default()
    };
    let mut brain = Brain::new(settings, 42, 0);
    let mut actions = Vec::new();
    let backend = Member {
        backend: "backend-1".into(),
        scale: 1.0,
        started: None,
        zone: 0,
        cell: 0,
        kind: 0,
        state: MemberState::Ready,
    };
    brain.handle(
        0,
        Event::Members(ListKind::Full, [backend].into()),
        &mut actions,
    );
    let request = Request {
        id: RequestId(1),
        class: 0,
        plan: 0,
        customer: "customer-1".into(),
        units: 1.0,
        left: 2 * second,
        repeat: false,
        spread: 1,
        first: 0,
    };
    brain.handle(1_000_000, Event::Request(request), &mut actions);
    // A front door carries out each action: sends, answers, sets timers, and reports back as events.
    for action in &actions {
        println!("{action:?}");
    }
}
