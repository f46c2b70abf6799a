//! Instances that the operators withhold and give back, in the module.

mod common;

use std::collections::BTreeMap;

use applewall::api::*;
use common::*;

/// Draws on all of so many backends; then one of them is withheld for 3 s and given back.
fn given_back(stage: &mut Stage) {
    for _ in 0..200 {
        let (id, actions) = stage.ask(SAFE, 1, "c", 1.0);
        let to = target(&actions).expect("sent");
        stage.pass(20 * MS);
        stage.end(id, 0, &to, Outcome::Success, 20);
    }
    let out = Endpoint {
        state: EndpointState::Draining,
        ..member("b0", 0)
    };
    stage.give(Event::EndpointUpdate(
        EndpointUpdateKind::Delta,
        [out].into(),
    ));
    for _ in 0..30 {
        let (id, actions) = stage.ask(SAFE, 1, "c", 1.0);
        let to = target(&actions).expect("sent");
        assert_ne!(&*to, "b0", "withheld");
        stage.pass(100 * MS);
        stage.end(id, 0, &to, Outcome::Success, 20);
    }
    stage.give(Event::ReturnedToService(member("b0", 0)));
}

fn backends(many: usize) -> Vec<Endpoint> {
    (0..many).map(|i| member(&format!("b{i}"), 0)).collect()
}

#[test]
fn one_that_is_given_back_gets_work_at_once_and_then_no_more_than_a_cold_one_bears() {
    for seed in 0..20 {
        let mut stage = Stage::new(settings(), seed, &backends(8));
        given_back(&mut stage);
        let mut sent: BTreeMap<EndpointId, u32> = BTreeMap::new();
        let mut first = None;
        for i in 0..150 {
            let (id, actions) = stage.ask(SAFE, 1, "c", 1.0);
            let to = target(&actions).expect("sent");
            if &*to == "b0" {
                first.get_or_insert(i);
            }
            *sent.entry(to.clone()).or_default() += 1;
            stage.pass(20 * MS);
            stage.end(id, 0, &to, Outcome::Success, 20);
        }
        // The room of a cold one is drawn: 50 a second meet it within some requests.
        assert!(
            first.is_some_and(|i| i < 10),
            "seed {seed}: first at {first:?}"
        );
        let (cold, mean) = (f64::from(sent["b0"]), 150.0 / 8.0);
        // Cold throughout these 3 s: 0.2 to 0.36 of its capacity, all others warm.
        assert!(
            cold < 0.7 * mean,
            "seed {seed}: {cold} of {mean} to the cold one"
        );
    }
}

#[test]
fn in_a_large_fleet_too_where_it_is_not_of_the_own_part() {
    // The site's own window: what a cold one bears is drawn from it.
    let many = PolicySettings {
        node_count: 300,
        node: 7,
        gossip_messages_per_second: 40.0,
        overload_window_ns: 3 * S,
        ..settings()
    };
    for seed in 0..20 {
        let mut stage = Stage::new(many.clone(), seed, &backends(48));
        // Whichever it meets: used once, so it was in use.
        let (id, actions) = stage.ask_of(300, SAFE, 1, "c", 1.0);
        let used = target(&actions).expect("sent");
        stage.end(id, 0, &used, Outcome::Success, 20);
        let out = Endpoint {
            state: EndpointState::Draining,
            ..member(&used, 0)
        };
        stage.give(Event::EndpointUpdate(
            EndpointUpdateKind::Delta,
            [out].into(),
        ));
        stage.pass(3 * S);
        stage.give(Event::ReturnedToService(member(&used, 0)));
        let mut met = false;
        // Three requests a second for 5 s.
        for _ in 0..15 {
            let (id, actions) = stage.ask_of(300, SAFE, 1, "c", 1.0);
            if let Some(to) = target(&actions) {
                met |= to == used;
                stage.end(id, 0, &to, Outcome::Success, 20);
            }
            stage.pass(333 * MS);
        }
        assert!(met, "seed {seed}: unused for 5 s");
    }
}

#[test]
fn with_all_withheld_a_request_is_refused_at_once() {
    let mut stage = Stage::new(settings(), 1, &backends(1));
    let out = Endpoint {
        state: EndpointState::Draining,
        ..member("b0", 0)
    };
    stage.give(Event::EndpointUpdate(
        EndpointUpdateKind::Delta,
        [out].into(),
    ));
    assert!(refused(&stage.ask(SAFE, 1, "c", 1.0).1));
}
