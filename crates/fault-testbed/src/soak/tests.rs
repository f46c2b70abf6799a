use super::*;
use crate::trial::Trial;

const SIZES: SoakSizes = SoakSizes {
    ingresses: 12,
    instances: 10,
};

#[test]
fn each_seed_generates_the_same_valid_schedule_and_all_kinds_occur() {
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..100 {
        let schedule = draw(seed, SIZES);
        assert_eq!(schedule, draw(seed, SIZES));
        let trial = Trial::read(&trial_text(seed, SIZES, &schedule)).expect("a valid trial");
        let drawn = CLUSTERS_MS.len() * FAULTS_PER_CLUSTER;
        let crowds = schedule.keys().filter(|name| kind_of(name) == "crowd");
        assert_eq!(trial.faults.len(), drawn + 1 + RELOADS + crowds.count());
        let shutdowns = schedule.keys().filter(|name| kind_of(name) == "shutdown");
        assert_eq!(shutdowns.count(), 1, "each schedule has one shutdown");
        kinds.extend(schedule.keys().map(|name| kind_of(name).to_string()));
    }
    assert_eq!(
        kinds.len(),
        KINDS.len() + 2,
        "all kinds of the clusters, shutdown and crowd"
    );
}

#[test]
fn shrinking_keeps_only_the_faults_that_are_needed_to_fail() {
    let schedule = draw(7, SIZES);
    let needed: Vec<_> = schedule.keys().take(2).cloned().collect();
    let fails = |remaining: &Schedule| needed.iter().all(|name| remaining.contains_key(name));
    let smallest = shrink(&schedule, fails);
    assert_eq!(smallest.keys().cloned().collect::<Vec<_>>(), needed);
}
