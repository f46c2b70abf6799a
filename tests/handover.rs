//! What one process hands another in the middle of its life, in the module.

mod common;

use applewall::api::*;
use applewall::decision::DecisionPolicy;
use common::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};

/// The usual stage with a third plan: a ceiling of 5 units a second and 20 at once.
fn with_ceiling() -> PolicySettings {
    let mut settings = settings();
    let plan = Plan {
        quota_units_per_second: 1e6,
        quota_burst_units: 1e6,
        weight_multiplier: 1.0,
        over_quota_penalty_fraction: 0.5,
        ..Plan::default()
    };
    settings.plans.push(Plan {
        ceiling_units_per_second: 5.0,
        ceiling_burst_units: 20.0,
        ceiling_slack_units: 2.0,
        ..plan
    });
    settings
}

fn backends() -> Vec<Endpoint> {
    (0..4).map(|i| member(&format!("b{i}"), 0)).collect()
}

/// A process that goes on where another stands, and what it was handed.
fn successor(stage: &mut Stage, settings: PolicySettings) -> (Stage, Vec<u8>) {
    let bytes = stage.brain.export_snapshot().expect("written");
    let mut brain = DecisionPolicy::new(settings.clone(), 99, stage.now);
    brain.import_snapshot(&bytes).expect("read");
    let mut next = Stage::at(stage.now, settings, 99, &[]);
    next.brain = brain;
    next.give(Event::EndpointUpdate(
        EndpointUpdateKind::Cached,
        backends().into(),
    ));
    (next, bytes)
}

/// How many of so many requests at once are sent on; each is answered before the next comes.
fn passed(stage: &mut Stage, many: u32, plan: usize) -> u32 {
    let mut passed = 0;
    for _ in 0..many {
        let (id, actions) = stage.ask_of(1, SAFE, plan, "c", 1.0);
        if let Some(to) = target(&actions) {
            passed += 1;
            stage.end(id, 0, &to, Outcome::Success, 10);
        }
    }
    passed
}

#[test]
fn both_together_hold_a_ceiling_and_the_new_one_goes_on_with_its_fill() {
    let mut old = Stage::new(with_ceiling(), 1, &backends());
    old.ask_of(1, SAFE, 2, "c", 1.0);
    old.pass(10 * S);
    let before = passed(&mut old, 8, 2);
    assert_eq!(before, 8);
    let (mut new, _) = successor(&mut old, with_ceiling());
    let both = passed(&mut old, 40, 2) + passed(&mut new, 40, 2);
    // 12 of the 20 are left, and the plan's slack is 2.
    assert!((10..=14).contains(&both), "{both} passed both of 12");
    old.pass(2 * S);
    new.pass(2 * S);
    let both = (passed(&mut old, 40, 2), passed(&mut new, 40, 2));
    assert!(
        both.0 == 0 && (8..=12).contains(&both.1),
        "{both:?} of 10 that came since"
    );
}

#[test]
fn the_new_one_knows_an_empty_quota_and_a_cold_backend() {
    let mut old = Stage::new(settings(), 1, &backends());
    let spent = passed(&mut old, 200, 0);
    assert!((15..60).contains(&spent), "{spent}");
    let cold = Endpoint {
        started_at_ns: Some(old.now),
        ..member("b9", 0)
    };
    old.give(Event::EndpointUpdate(
        EndpointUpdateKind::Delta,
        [cold.clone()].into(),
    ));
    let (mut new, _) = successor(&mut old, settings());
    // Quota: 10 a second, asked 200 at once; one that begins anew lets 20 pass at once.
    assert!(passed(&mut new, 20, 0) < 8);
    let (mut to_cold, asked) = (0, 400);
    new.give(Event::EndpointUpdate(
        EndpointUpdateKind::Delta,
        [cold].into(),
    ));
    for i in 0..asked {
        let (id, actions) = new.ask(SAFE, 1, &format!("d{i}"), 1.0);
        let Some(to) = target(&actions) else { continue };
        to_cold += u32::from(&*to == "b9");
        new.pass(5 * MS);
        new.end(id, 0, &to, Outcome::Success, 5);
    }
    // A fifth of the capacity at first: far less than its even share of 80.
    assert!(to_cold < 50, "{to_cold} of {asked} to a cold one");
}

#[test]
fn one_whose_successor_failed_fills_its_ceilings_again() {
    let mut old = Stage::new(with_ceiling(), 1, &backends());
    old.ask_of(1, SAFE, 2, "c", 1.0);
    old.pass(5 * S);
    let _ = successor(&mut old, with_ceiling());
    old.brain.resume();
    // One that is not known here may have spent all that it had at the other.
    old.pass(100 * MS);
    let (_, unknown) = old.ask_of(1, SAFE, 2, "d", 1.0);
    assert!(refused(&unknown));
    let first = passed(&mut old, 40, 2);
    old.pass(2 * S);
    let later = passed(&mut old, 40, 2);
    assert!(
        (8..=12).contains(&first) && (8..=12).contains(&later),
        "{first}, {later} of 10 each"
    );
}

#[test]
fn what_is_no_estate_changes_nothing_and_never_panics() {
    let mut old = Stage::new(settings(), 1, &backends());
    passed(&mut old, 50, 0);
    let (_, bytes) = successor(&mut old, settings());
    let mut rng = SmallRng::seed_from_u64(5);
    let mut wrong = 0;
    for round in 0..2_000 {
        let mut torn = bytes.clone();
        match round % 2 {
            0 => torn.truncate(rng.random_range(0..bytes.len())),
            _ => (0..8).for_each(|_| {
                let at = rng.random_range(0..torn.len());
                torn[at] ^= 1 << rng.random_range(0..8);
            }),
        }
        let mut stage = Stage::new(settings(), 3, &backends());
        wrong += u32::from(stage.brain.import_snapshot(&torn).is_err());
        // Whatever it took over, it decides and goes on.
        stage.ask(SAFE, 0, "c", 1.0);
        stage.pass(300 * MS);
    }
    assert_eq!(wrong, 2_000);
    // Of other settings: refused as a whole.
    let mut other = Stage::new(with_ceiling(), 3, &backends());
    assert!(other.brain.import_snapshot(&bytes).is_err());
}
