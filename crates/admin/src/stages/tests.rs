//! The stages, and the times on the way out.

use super::*;

const T: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn a_drain_says_no_first_and_closes_later() {
    let mut stages = Stages::new(Termination::new(T(3_000)));
    stages.drain(T(100)).unwrap();
    assert!(!stages.stage().healthy() && !stages.stage().last_answers());
    assert!(!stages.step(T(599)));
    // The same call again does not begin anew.
    stages.drain(T(550)).unwrap();
    assert!(stages.step(T(600)));
    assert_eq!((stages.stage(), stages.due()), (Stage::Drained, None));
    assert!(stages.stage().last_answers());
    stages.drain(T(900)).unwrap();
    assert_eq!(stages.stage(), Stage::Drained);
}

#[test]
fn undrain_leads_back_from_each_stage_and_is_nothing_to_one_that_serves() {
    for steps in 0..3 {
        let mut stages = Stages::new(Termination::new(T(3_000)));
        if steps > 0 {
            stages.drain(T(0)).unwrap();
        }
        if steps > 1 {
            stages.step(T(500));
        }
        stages.undrain().unwrap();
        assert_eq!(stages.stage(), Stage::Serving);
        // What was due before the call does not come after it.
        assert!(!stages.step(T(10_000)));
    }
}

#[test]
fn a_stop_goes_before_a_drain_and_there_is_no_way_back() {
    for (how, time) in [(Leave::Alone, 600), (Leave::Succeeded, 2_700)] {
        let mut stages = Stages::new(Termination::new(T(3_000)));
        stages.drain(T(0)).unwrap();
        stages.stop(T(100), how);
        assert!(stages.stage().stops() && stages.stage().healthy());
        assert!(stages.undrain().is_err() && stages.drain(T(200)).is_err());
        stages.stop(T(300), Leave::Alone);
        assert!(!stages.step(T(99 + time)));
        assert!(stages.step(T(100 + time)));
        assert_eq!(stages.stage(), Stage::Closing);
    }
}

#[test]
fn what_was_taken_before_a_stop_has_its_whole_deadline_before_the_program_ends() {
    for longest in [200, 480, 1_000, 3_000, 4_110, 30_000] {
        let termination = Termination::new(T(longest));
        // The last connection that comes in the usual way, with all the time there is.
        assert!(
            termination.ends(Leave::Alone) > LEAVING + T(longest),
            "{longest} ms"
        );
        let kill = T(longest.min(3_000) + 700);
        for how in [Leave::Alone, Leave::Succeeded] {
            let (from, by) = termination.late(how);
            assert!(
                from <= T(700) && from < by && by < kill,
                "{longest} ms, {how:?}"
            );
            assert!(by < termination.ends(how), "{longest} ms, {how:?}");
        }
        assert!(termination.ends(Leave::Succeeded) < kill, "{longest} ms");
        assert!(
            termination.keeps(Leave::Succeeded) < termination.late(Leave::Succeeded).1,
            "{longest} ms"
        );
    }
}
