//! The phases of a drain and of a stop, and the times of the transitions between them.

use std::time::Duration;

use super::{Lifecycle, LifecycleError, LifecycleInput, LifecyclePhase, PhaseChange};
use crate::{ShutdownDeadlines, ShutdownMode};

const MILLIS: fn(u64) -> Duration = Duration::from_millis;

/// A process that is serving, with a longest request deadline of 3 s.
fn serving() -> Lifecycle {
    Lifecycle::new(ShutdownDeadlines::new(MILLIS(3_000)))
}

/// Handles an input that must be accepted.
fn accept(lifecycle: &mut Lifecycle, now_ms: u64, input: LifecycleInput) -> PhaseChange {
    lifecycle.handle(MILLIS(now_ms), input).unwrap()
}

#[test]
fn a_drain_fails_health_checks_first_and_closes_connections_later() {
    let mut lifecycle = serving();
    accept(&mut lifecycle, 100, LifecycleInput::Drain);
    let phase = lifecycle.phase();
    assert!(!phase.reports_healthy() && !phase.closes_after_response());
    assert_eq!(
        accept(&mut lifecycle, 599, LifecycleInput::Tick),
        PhaseChange::Unchanged
    );
    // A second drain does not restart the notice period.
    accept(&mut lifecycle, 550, LifecycleInput::Drain);
    assert_eq!(
        accept(&mut lifecycle, 600, LifecycleInput::Tick),
        PhaseChange::Entered(LifecyclePhase::Drained)
    );
    assert_eq!(
        (lifecycle.phase(), lifecycle.next_deadline()),
        (LifecyclePhase::Drained, None)
    );
    assert!(lifecycle.phase().closes_after_response());
    accept(&mut lifecycle, 900, LifecycleInput::Drain);
    assert_eq!(lifecycle.phase(), LifecyclePhase::Drained);
}

#[test]
fn undrain_returns_to_serving_from_every_phase_of_a_drain() {
    for phases in 0..3 {
        let mut lifecycle = serving();
        if phases > 0 {
            accept(&mut lifecycle, 0, LifecycleInput::Drain);
        }
        if phases > 1 {
            accept(&mut lifecycle, 500, LifecycleInput::Tick);
        }
        accept(&mut lifecycle, 500, LifecycleInput::Undrain);
        assert_eq!(lifecycle.phase(), LifecyclePhase::Serving);
        // The deadline of the drain does not fire afterwards.
        assert_eq!(
            accept(&mut lifecycle, 10_000, LifecycleInput::Tick),
            PhaseChange::Unchanged
        );
    }
}

#[test]
fn a_stop_overrides_a_drain_and_cannot_be_undone() {
    for (mode, keep_alive_ms) in [
        (ShutdownMode::Standalone, 600),
        (ShutdownMode::Replaced, 2_700),
    ] {
        let mut lifecycle = serving();
        accept(&mut lifecycle, 0, LifecycleInput::Drain);
        accept(&mut lifecycle, 100, LifecycleInput::Stop(mode));
        assert!(lifecycle.phase().is_stopping() && lifecycle.phase().reports_healthy());
        assert_eq!(
            lifecycle.handle(MILLIS(200), LifecycleInput::Undrain),
            Err(LifecycleError::UndrainWhileStopping)
        );
        assert_eq!(
            lifecycle.handle(MILLIS(200), LifecycleInput::Drain),
            Err(LifecycleError::DrainWhileStopping)
        );
        let again = LifecycleInput::Stop(ShutdownMode::Standalone);
        accept(&mut lifecycle, 300, again);
        assert_eq!(
            accept(&mut lifecycle, 99 + keep_alive_ms, LifecycleInput::Tick),
            PhaseChange::Unchanged
        );
        assert_eq!(
            accept(&mut lifecycle, 100 + keep_alive_ms, LifecycleInput::Tick),
            PhaseChange::Entered(LifecyclePhase::Closing)
        );
        assert_eq!(lifecycle.phase(), LifecyclePhase::Closing);
    }
}
