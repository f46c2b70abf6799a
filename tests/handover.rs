//! The state that a hot restart transfers from one process to the next, by the decision policy alone in virtual time.

mod support;

use applewall::api::*;
use applewall::decision::DecisionPolicy;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use support::policy::*;

const CEILING_PLAN: PlanId = PlanId(2);

/// The usual settings, with [`ceiling_plan`] as the third plan.
fn settings_with_ceiling() -> PolicySettings {
    let mut settings = settings();
    settings.plans.push(ceiling_plan());
    settings
}

fn endpoints() -> Vec<Endpoint> {
    (0..4)
        .map(|number| endpoint(&format!("b{number}"), 0))
        .collect()
}

/// Starts a new process that imports the snapshot of `driver`; returns it with the snapshot.
fn successor(driver: &mut PolicyDriver, settings: PolicySettings) -> (PolicyDriver, Vec<u8>) {
    let snapshot = driver.policy.export_snapshot().expect("exported");
    let mut policy = DecisionPolicy::new(settings.clone(), 99, driver.now);
    policy.import_snapshot(&snapshot).expect("imported");
    let mut next = PolicyDriver::at(driver.now, settings, 99, &[]);
    next.policy = policy;
    next.handle(Event::EndpointUpdate(
        EndpointUpdateKind::Cached,
        endpoints().into(),
    ));
    (next, snapshot)
}

/// Sends requests without moving the clock, each after the response to the last one; returns how many were forwarded.
fn forwarded(driver: &mut PolicyDriver, count: u32, plan: PlanId) -> u32 {
    let mut forwarded = 0;
    for _ in 0..count {
        let (id, actions) = driver.request_with_node_set(1, SAFE, plan, "c", 1.0);
        if let Some(endpoint) = attempted_endpoint(&actions) {
            forwarded += 1;
            driver.finish_attempt(id, 0, &endpoint, Outcome::Success, 10);
        }
    }
    forwarded
}

#[test]
fn both_processes_together_stay_below_a_ceiling_and_the_new_one_continues_its_bucket() {
    let mut old = PolicyDriver::new(settings_with_ceiling(), 1, &endpoints());
    old.request_with_node_set(1, SAFE, CEILING_PLAN, "c", 1.0);
    old.advance(10 * SECOND);
    let before = forwarded(&mut old, 8, CEILING_PLAN);
    assert_eq!(before, 8, "forwarded below the ceiling of 20 at once");
    let (mut new, _) = successor(&mut old, settings_with_ceiling());
    let both = forwarded(&mut old, 40, CEILING_PLAN) + forwarded(&mut new, 40, CEILING_PLAN);
    // 12 units of 20 are left, and the plan's slack is 2.
    assert!(
        (10..=14).contains(&both),
        "{both} forwarded by both, 12 units left"
    );
    old.advance(2 * SECOND);
    new.advance(2 * SECOND);
    let by_old = forwarded(&mut old, 40, CEILING_PLAN);
    let by_new = forwarded(&mut new, 40, CEILING_PLAN);
    assert!(
        by_old == 0 && (8..=12).contains(&by_new),
        "{by_old} forwarded by the old process and {by_new} by the new one, 10 units refilled"
    );
}

#[test]
fn the_new_process_knows_an_empty_quota_and_a_warming_endpoint() {
    let mut old = PolicyDriver::new(settings(), 1, &endpoints());
    let spent = forwarded(&mut old, 200, PlanId(0));
    assert!((15..60).contains(&spent), "{spent} of 200 forwarded");
    let warming = Endpoint {
        started_at_ns: Some(old.now),
        ..endpoint("b9", 0)
    };
    let update = || Event::EndpointUpdate(EndpointUpdateKind::Delta, [warming.clone()].into());
    old.handle(update());
    let (mut new, _) = successor(&mut old, settings());
    // The quota is 10 units per second and 20 at once: a process without state forwards 20.
    let after = forwarded(&mut new, 20, PlanId(0));
    assert!(after < 8, "{after} of 20 forwarded beyond the quota");
    let (mut to_warming, requests) = (0, 400);
    new.handle(update());
    for number in 0..requests {
        let (id, actions) = new.request(SAFE, PlanId(1), &format!("d{number}"), 1.0);
        let Some(endpoint) = attempted_endpoint(&actions) else {
            continue;
        };
        to_warming += u32::from(&*endpoint == "b9");
        new.advance(5 * MILLISECOND);
        new.finish_attempt(id, 0, &endpoint, Outcome::Success, 5);
    }
    // A fifth of its capacity at first: far less than an even share of 80.
    assert!(
        to_warming < 50,
        "{to_warming} of {requests} attempts at the warming endpoint"
    );
}

#[test]
fn a_process_that_resumes_after_a_failed_hot_restart_refills_its_ceilings() {
    let mut old = PolicyDriver::new(settings_with_ceiling(), 1, &endpoints());
    old.request_with_node_set(1, SAFE, CEILING_PLAN, "c", 1.0);
    old.advance(5 * SECOND);
    let _ = successor(&mut old, settings_with_ceiling());
    old.policy.resume();
    // An unknown customer may have spent all its units at the failed successor.
    old.advance(100 * MILLISECOND);
    let (_, unknown) = old.request_with_node_set(1, SAFE, CEILING_PLAN, "d", 1.0);
    assert!(is_rejected(&unknown), "expected a rejection: {unknown:?}");
    let first = forwarded(&mut old, 40, CEILING_PLAN);
    old.advance(2 * SECOND);
    let later = forwarded(&mut old, 40, CEILING_PLAN);
    assert!(
        (8..=12).contains(&first) && (8..=12).contains(&later),
        "{first} and {later} forwarded, 10 units each time"
    );
}

#[test]
fn an_invalid_snapshot_changes_nothing_and_never_panics() {
    let mut old = PolicyDriver::new(settings(), 1, &endpoints());
    forwarded(&mut old, 50, PlanId(0));
    let (_, snapshot) = successor(&mut old, settings());
    let mut rng = SmallRng::seed_from_u64(5);
    let mut refused = 0;
    for round in 0..2_000 {
        let mut damaged = snapshot.clone();
        match round % 2 {
            0 => damaged.truncate(rng.random_range(0..snapshot.len())),
            _ => (0..8).for_each(|_| {
                let at = rng.random_range(0..damaged.len());
                damaged[at] ^= 1 << rng.random_range(0..8);
            }),
        }
        let mut driver = PolicyDriver::new(settings(), 3, &endpoints());
        refused += u32::from(driver.policy.import_snapshot(&damaged).is_err());
        // The policy still handles events.
        driver.request(SAFE, PlanId(0), "c", 1.0);
        driver.advance(300 * MILLISECOND);
    }
    assert_eq!(refused, 2_000, "damaged snapshots that were refused");
    let mut other = PolicyDriver::new(settings_with_ceiling(), 3, &endpoints());
    assert!(
        other.policy.import_snapshot(&snapshot).is_err(),
        "a snapshot of other settings was imported"
    );
}
