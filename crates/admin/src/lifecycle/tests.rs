//! The phases of a drain and of a stop, and when they follow each other.

use std::time::Duration;

use super::{Lifecycle, LifecycleError, LifecycleInput, LifecyclePhase, PhaseChange};
use crate::{ShutdownDeadlines, ShutdownMode};

const MILLIS: fn(u64) -> Duration = Duration::from_millis;

/// A process that serves, with 3 s as its longest request deadline.
fn serving() -> Lifecycle {
    Lifecycle::new(ShutdownDeadlines::new(MILLIS(3_000)))
}

/// Passes an input that has to be accepted.
fn accepts(lifecycle: &mut Lifecycle, now_ms: u64, input: LifecycleInput) -> PhaseChange {
    lifecycle.handle(MILLIS(now_ms), input).unwrap()
}

#[test]
fn a_drain_fails_health_checks_first_and_closes_connections_later() {
    let mut lifecycle = serving();
    accepts(&mut lifecycle, 100, LifecycleInput::Drain);
    let phase = lifecycle.phase();
    assert!(!phase.reports_healthy() && !phase.closes_after_response());
    assert_eq!(
        accepts(&mut lifecycle, 599, LifecycleInput::Tick),
        PhaseChange::Unchanged
    );
    // A second drain does not begin anew.
    accepts(&mut lifecycle, 550, LifecycleInput::Drain);
    assert_eq!(
        accepts(&mut lifecycle, 600, LifecycleInput::Tick),
        PhaseChange::Entered(LifecyclePhase::Drained)
    );
    assert_eq!(
        (lifecycle.phase(), lifecycle.next_deadline()),
        (LifecyclePhase::Drained, None)
    );
    assert!(lifecycle.phase().closes_after_response());
    accepts(&mut lifecycle, 900, LifecycleInput::Drain);
    assert_eq!(lifecycle.phase(), LifecyclePhase::Drained);
}

#[test]
fn undrain_returns_to_serving_from_every_phase_of_a_drain() {
    for phases in 0..3 {
        let mut lifecycle = serving();
        if phases > 0 {
            accepts(&mut lifecycle, 0, LifecycleInput::Drain);
        }
        if phases > 1 {
            accepts(&mut lifecycle, 500, LifecycleInput::Tick);
        }
        accepts(&mut lifecycle, 500, LifecycleInput::Undrain);
        assert_eq!(lifecycle.phase(), LifecyclePhase::Serving);
        // The deadline of the drain does not fire afterwards.
        assert_eq!(
            accepts(&mut lifecycle, 10_000, LifecycleInput::Tick),
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
        accepts(&mut lifecycle, 0, LifecycleInput::Drain);
        accepts(&mut lifecycle, 100, LifecycleInput::Stop(mode));
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
        accepts(&mut lifecycle, 300, again);
        assert_eq!(
            accepts(&mut lifecycle, 99 + keep_alive_ms, LifecycleInput::Tick),
            PhaseChange::Unchanged
        );
        assert_eq!(
            accepts(&mut lifecycle, 100 + keep_alive_ms, LifecycleInput::Tick),
            PhaseChange::Entered(LifecyclePhase::Closing)
        );
        assert_eq!(lifecycle.phase(), LifecyclePhase::Closing);
    }
}
