use super::*;

#[test]
fn lasting_condition_is_logged_only_at_its_first_observation() {
    let condition = ConditionLog::default();
    assert!(condition.begins(), "the first observation is logged");
    for observation in 2..5 {
        assert!(!condition.begins(), "observation {observation} is not");
    }
}

#[test]
fn end_is_logged_once_and_only_after_a_beginning() {
    let condition = ConditionLog::default();
    assert!(!condition.ends(), "nothing has begun");
    condition.begins();
    assert!(
        condition.ends(),
        "the first observation of the end is logged"
    );
    assert!(!condition.ends(), "the second one is not");
}

#[test]
fn condition_that_begins_again_is_logged_again() {
    let condition = ConditionLog::default();
    for time in 1..4 {
        assert!(condition.begins(), "beginning {time}");
        assert!(condition.ends(), "end {time}");
    }
}

#[test]
fn only_one_of_several_threads_logs_the_beginning() {
    const OBSERVERS: usize = 8;
    let condition = ConditionLog::default();
    let logged = std::thread::scope(|scope| {
        let observers: Vec<_> = (0..OBSERVERS)
            .map(|_| scope.spawn(|| condition.begins()))
            .collect();
        let results = observers
            .into_iter()
            .map(std::thread::ScopedJoinHandle::join);
        results
            .filter(|result| *result.as_ref().expect("no panic"))
            .count()
    });
    assert_eq!(logged, 1, "of {OBSERVERS} observers");
}
