//! Measurement of simulated startups (`make measure-cold-start`). Prints a table, and fails if a row misses its target.

mod support;

use support::{Observed, Scenario, ALL_WITHOUT_LIST};

/// Scenarios of the measurement, each with the title of its row.
fn measured_scenarios(all: Scenario) -> [(&'static str, Scenario); 6] {
    [
        ("no list", all),
        (
            "half restored a list",
            Scenario {
                restored_fraction: 0.5,
                ..all
            },
        ),
        (
            "no list, service silent for 3 s, then answers all held calls",
            Scenario {
                silent_until: 3.0,
                answers_queued_calls: true,
                ..all
            },
        ),
        (
            "no list, 0.3 of messages lost, up to 1 s late",
            Scenario {
                loss_fraction: 0.3,
                max_delay: 1.0,
                ..all
            },
        ),
        (
            "seven in ten restart",
            Scenario {
                running_fraction: 0.3,
                ..all
            },
        ),
        (
            "no list, started over 0.6 s",
            Scenario {
                start_stagger: 0.6,
                ..all
            },
        ),
    ]
}

/// Prints the row of a scenario and returns whether it met its target.
fn print_row(name: &str, scenario: Scenario) -> bool {
    let Scenario {
        fleet_size,
        calls_per_second,
        ..
    } = scenario;
    let runs: Vec<Observed> = (0..20)
        .map(|seed| Scenario { seed, ..scenario }.run())
        .collect();
    let worst = |of: &dyn Fn(&Observed) -> f64| runs.iter().map(of).fold(0.0, f64::max);
    // Starting nodes cannot know exactly how many nodes keep running, so the target is the fleet window in that case too.
    let shortest =
        scenario.start_stagger + scenario.silent_until + f64::from(fleet_size) / calls_per_second;
    let max_calls = worst(&|run| run.max_calls(1.0) as f64);
    let last = worst(&Observed::last_list_at);
    println!(
        "| {fleet_size} | {name} | 20 | {} | {} | {max_calls}, {} ({calls_per_second}) | {last:.2} ({shortest:.2}) | {} |",
        worst(&|run| run.calls.len() as f64),
        worst(&|run| f64::from(run.rejected)),
        worst(&|run| run.max_calls(0.1) as f64),
        worst(&|run| run.max_messages_per_second() as f64),
    );
    let slack = if scenario.running_fraction > 0.0 {
        5.0 / 3.0
    } else {
        1.25
    };
    max_calls <= slack * calls_per_second + 3.0 && last <= 1.25 * shortest + 0.5
}

#[test]
#[ignore = "a measurement: make measure-cold-start"]
fn measure_startup_in_virtual_time() {
    println!("| nodes | start | seeds | calls | rejected | max calls in 1 s, in 100 ms (budget in 1 s) | last list, s (shortest possible) | max messages received by one node in 1 s |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut missed = 0;
    for fleet_size in [24, 100, 300, 1000] {
        let all = Scenario {
            fleet_size,
            calls_per_second: f64::from(fleet_size) / 5.0,
            ..ALL_WITHOUT_LIST
        };
        for (name, scenario) in measured_scenarios(all) {
            missed += usize::from(!print_row(name, scenario));
        }
    }
    println!(
        "turns {}: 24 rows of 20 seeds, {missed} missed",
        if missed == 0 { "kept" } else { "missed" }
    );
    assert_eq!(missed, 0, "rows that missed their target");
}
