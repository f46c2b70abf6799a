//! Simulated fleets in virtual time: calls stay within the budget, and all nodes receive their list soon.

mod support;

use support::simulation::CALL_TIMEOUT;
use support::{Observed, Scenario, ALL_WITHOUT_LIST};

/// Number of seeds per scenario.
const SEEDS: u64 = 10;

/// Runs a scenario with each seed, and checks that all starting nodes received their list.
fn run_with_all_seeds(scenario: Scenario, check: impl Fn(&Observed, &str)) {
    for seed in 0..SEEDS {
        let scenario = Scenario { seed, ..scenario };
        let observed = scenario.run();
        let context = format!("{scenario:?}");
        assert_eq!(
            observed.listed_at.len(),
            scenario.starting_nodes() as usize,
            "nodes that got their list: {context}"
        );
        check(&observed, &context);
    }
}

/// Checks that there are at most this many calls in the worst second.
#[track_caller]
fn assert_calls_in_a_second(observed: &Observed, max: f64, context: &str) {
    let calls = observed.max_calls(1.0);
    assert!(
        calls as f64 <= max,
        "{calls} calls in a second, at most {max}: {context}"
    );
}

/// Checks that the worst second exceeds the budget by at most a quarter, plus three calls for small budgets.
#[track_caller]
fn assert_calls_are_within_budget(observed: &Observed, calls_per_second: f64, context: &str) {
    assert_calls_in_a_second(observed, 1.25 * calls_per_second + 3.0, context);
}

/// Checks that the last node received its list after at most this many seconds.
#[track_caller]
fn assert_last_list_by(observed: &Observed, max: f64, context: &str) {
    let last = observed.last_list_at();
    assert!(
        last <= max,
        "last list after {last} s, at most {max} s: {context}"
    );
}

#[track_caller]
fn assert_rejected(observed: &Observed, max: u32, context: &str) {
    let rejected = observed.rejected;
    assert!(
        rejected <= max,
        "{rejected} calls rejected, at most {max}: {context}"
    );
}

#[test]
fn fleet_without_lists_calls_within_its_budget_and_finishes_soon() {
    for (fleet_size, calls_per_second) in [
        (3, 20.0),
        (24, 20.0),
        (100, 20.0),
        (300, 60.0),
        (1000, 200.0),
    ] {
        let scenario = Scenario {
            fleet_size,
            calls_per_second,
            ..ALL_WITHOUT_LIST
        };
        let shortest = f64::from(fleet_size) / calls_per_second;
        run_with_all_seeds(scenario, |observed, context| {
            assert_calls_are_within_budget(observed, calls_per_second, context);
            assert_last_list_by(observed, 1.25 * shortest + 0.2, context);
        });
    }
}

#[test]
fn nodes_that_start_one_after_the_other_use_one_window() {
    for (fleet_size, start_stagger) in [(24, 0.3), (100, 0.6), (300, 0.4)] {
        let calls_per_second = f64::from(fleet_size) / 5.0;
        let scenario = Scenario {
            fleet_size,
            calls_per_second,
            start_stagger,
            ..ALL_WITHOUT_LIST
        };
        run_with_all_seeds(scenario, |observed, context| {
            assert_calls_are_within_budget(observed, calls_per_second, context);
            // Windows that begin at each node's own start led to up to 37 rejected calls with 24 nodes, and 97 with 100.
            assert_rejected(observed, 12, context);
            // A node that is rejected because others called before they knew of it retries one window later.
            assert_last_list_by(observed, start_stagger + 2.1 * 5.0, context);
        });
    }
}

#[test]
fn node_that_starts_alone_calls_at_once_however_large_the_fleet() {
    for fleet_size in [1, 3, 30, 300, 1000] {
        let scenario = Scenario {
            fleet_size,
            running_fraction: 1.0 - 1.0 / f64::from(fleet_size) + 1e-9,
            calls_per_second: 20.0,
            loss_fraction: 0.0,
            ..ALL_WITHOUT_LIST
        };
        assert_eq!(scenario.starting_nodes(), 1);
        run_with_all_seeds(scenario, |observed, context| {
            assert_last_list_by(observed, 0.1, context);
        });
    }
}

#[test]
fn all_nodes_are_assumed_to_start_when_all_messages_are_lost() {
    let scenario = Scenario {
        loss_fraction: 1.0,
        ..ALL_WITHOUT_LIST
    };
    run_with_all_seeds(scenario, |observed, context| {
        assert_calls_in_a_second(observed, 66.0, context);
        assert_last_list_by(observed, 6.3, context);
    });
}

#[test]
fn nodes_without_a_list_go_before_those_with_a_restored_one() {
    let (mut without, mut with) = (Vec::new(), Vec::new());
    for seed in 0..SEEDS {
        let observed = Scenario {
            restored_fraction: 0.5,
            seed,
            ..ALL_WITHOUT_LIST
        }
        .run();
        for (node, listed_at) in observed.listed_at {
            if observed.restored.contains(&node) {
                with.push(listed_at);
            } else {
                without.push(listed_at);
            }
        }
    }
    let mean = |times: &[f64]| times.iter().sum::<f64>() / times.len() as f64;
    assert!(
        mean(&without) + 1.5 < mean(&with),
        "{} s without a list, {} s with one",
        mean(&without),
        mean(&with)
    );
}

#[test]
fn service_with_half_of_the_configured_capacity_is_not_overrun() {
    let scenario = Scenario {
        capacity: 0.5,
        ..ALL_WITHOUT_LIST
    };
    run_with_all_seeds(scenario, |observed, context| {
        assert_rejected(observed, 600, context);
        // 10 s is the shortest possible time.
        assert_last_list_by(observed, 30.0, context);
    });
}

#[test]
fn service_that_recovers_from_silence_is_not_flooded_even_if_it_answers_all_queued_calls_at_once() {
    for (fleet_size, silent_until, answers_queued_calls) in [
        (300, 10.0, false),
        (300, 10.0, true),
        (24, 3.0, true),
        (1000, 30.0, true),
    ] {
        let calls_per_second = f64::from(fleet_size) / 5.0;
        let scenario = Scenario {
            fleet_size,
            calls_per_second,
            silent_until,
            answers_queued_calls,
            ..ALL_WITHOUT_LIST
        };
        run_with_all_seeds(scenario, |observed, context| {
            assert_calls_are_within_budget(observed, calls_per_second, context);
            // One window plus the timeout of a call.
            let max_duration = 1.25 * 5.0 + CALL_TIMEOUT;
            assert_last_list_by(observed, silent_until + max_duration, context);
        });
    }
}

#[test]
fn restarting_nodes_learn_the_cohort_size_from_running_nodes() {
    let scenario = Scenario {
        running_fraction: 0.3,
        ..ALL_WITHOUT_LIST
    };
    run_with_all_seeds(scenario, |observed, context| {
        assert_calls_in_a_second(observed, 78.0, context);
        // Seven tenths of the window, plus the first second, in which gossip converges.
        assert_last_list_by(observed, 5.0, context);
        let messages = observed.max_messages_per_second();
        assert!(
            messages <= 40,
            "{messages} messages received by one node in a second: {context}"
        );
    });
}
