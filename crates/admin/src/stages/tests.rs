//! The stages, and the times on the way out.

use super::*;

const T: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn a_drain_says_no_first_and_closes_later() {
    let mut stages = Lifecycle::new(ShutdownDeadlines::new(T(3_000)));
    stages.drain(T(100)).unwrap();
    assert!(!stages.phase().reports_healthy() && !stages.phase().closes_after_response());
    assert!(!stages.advance(T(599)));
    // The same call again does not begin anew.
    stages.drain(T(550)).unwrap();
    assert!(stages.advance(T(600)));
    assert_eq!(
        (stages.phase(), stages.next_deadline()),
        (LifecyclePhase::Drained, None)
    );
    assert!(stages.phase().closes_after_response());
    stages.drain(T(900)).unwrap();
    assert_eq!(stages.phase(), LifecyclePhase::Drained);
}

#[test]
fn undrain_leads_back_from_each_stage_and_is_nothing_to_one_that_serves() {
    for steps in 0..3 {
        let mut stages = Lifecycle::new(ShutdownDeadlines::new(T(3_000)));
        if steps > 0 {
            stages.drain(T(0)).unwrap();
        }
        if steps > 1 {
            stages.advance(T(500));
        }
        stages.undrain().unwrap();
        assert_eq!(stages.phase(), LifecyclePhase::Serving);
        // What was due before the call does not come after it.
        assert!(!stages.advance(T(10_000)));
    }
}

#[test]
fn a_stop_goes_before_a_drain_and_there_is_no_way_back() {
    for (how, time) in [
        (ShutdownMode::Standalone, 600),
        (ShutdownMode::Replaced, 2_700),
    ] {
        let mut stages = Lifecycle::new(ShutdownDeadlines::new(T(3_000)));
        stages.drain(T(0)).unwrap();
        stages.stop(T(100), how);
        assert!(stages.phase().is_stopping() && stages.phase().reports_healthy());
        assert!(stages.undrain().is_err() && stages.drain(T(200)).is_err());
        stages.stop(T(300), ShutdownMode::Standalone);
        assert!(!stages.advance(T(99 + time)));
        assert!(stages.advance(T(100 + time)));
        assert_eq!(stages.phase(), LifecyclePhase::Closing);
    }
}

#[test]
fn what_was_taken_before_a_stop_has_its_whole_deadline_before_the_program_ends() {
    for longest in [200, 480, 1_000, 3_000, 4_110, 30_000] {
        let termination = ShutdownDeadlines::new(T(longest));
        // The last connection that comes in the usual way, with all the time there is.
        assert!(
            termination.exit_after(ShutdownMode::Standalone)
                > TERMINATION_ACCEPT_PERIOD + T(longest),
            "{longest} ms"
        );
        let kill = T(longest.min(3_000) + 700);
        for how in [ShutdownMode::Standalone, ShutdownMode::Replaced] {
            let (from, by) = termination.late_requests(how);
            assert!(
                from <= T(700) && from < by && by < kill,
                "{longest} ms, {how:?}"
            );
            assert!(by < termination.exit_after(how), "{longest} ms, {how:?}");
        }
        assert!(
            termination.exit_after(ShutdownMode::Replaced) < kill,
            "{longest} ms"
        );
        assert!(
            termination.keep_alive_for(ShutdownMode::Replaced)
                < termination.late_requests(ShutdownMode::Replaced).1,
            "{longest} ms"
        );
    }
}
