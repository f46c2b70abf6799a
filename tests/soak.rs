//! A few random schedules of overlapping faults, from fixed seeds (`make soak` runs more).

mod play;

use applewall_fault_testbed::journal::Event;
use applewall_fault_testbed::soak::{self, SoakSizes};

const SEEDS: [u64; 4] = [1, 2, 3, 4];
const SIZES: SoakSizes = SoakSizes {
    ingresses: 8,
    instances: 10,
};

/// Guards the rules on requests, drains, shutdowns and incomplete requests against overlaps of faults that no other test
/// has.
#[test]
fn rules_are_kept_under_random_schedules_of_overlapping_faults() {
    let mut judged = 0;
    for seed in SEEDS {
        let schedule = soak::draw(seed, SIZES);
        let outcome = play::run_trial(&soak::trial_text(seed, SIZES, &schedule));
        if !outcome.valid() {
            let delay_ms = outcome.scheduling_delay_ms;
            eprintln!("seed {seed}: no verdict, the testbed itself was delayed by {delay_ms} ms");
            continue;
        }
        assert_eq!(outcome.violations, Vec::<String>::new(), "seed {seed}");
        let is_shutdown = |event: &Event| matches!(event, Event::IngressTerminating { .. });
        let shutdowns = outcome
            .entries
            .iter()
            .filter(|entry| is_shutdown(&entry.event));
        assert!(
            shutdowns.count() > 0,
            "seed {seed}: no process was shut down"
        );
        judged += 1;
    }
    assert!(
        judged > 0,
        "the machine was too slow for a verdict on any seed"
    );
}
