use super::*;

const UNIX: u64 = 1_700_000_000_000;
const HOUR_MS: i64 = 3_600_000;

/// Both clocks, read at the same moment.
fn observe(history: &mut WallClockHistory, now_ms: i64, unix_ms: u64) {
    observe_stopped(history, now_ms, unix_ms, now_ms);
}

/// Both clocks, read by a process that was stopped between them.
fn observe_stopped(history: &mut WallClockHistory, before_ms: i64, unix_ms: u64, after_ms: i64) {
    history.observe(ClockReading {
        before_ns: before_ms * NANOS_PER_MILLISECOND,
        unix_ns: unix_ms as i64 * NANOS_PER_MILLISECOND,
        after_ns: after_ms * NANOS_PER_MILLISECOND,
    });
}

/// The moment of a Unix time, in milliseconds.
fn moment_of(history: &mut WallClockHistory, now_ms: i64, unix_ms: u64) -> i64 {
    let moment_ns = history.moment_of(now_ms * NANOS_PER_MILLISECOND, unix_ms);
    assert_eq!(moment_ns % NANOS_PER_MILLISECOND, 0, "whole milliseconds");
    moment_ns / NANOS_PER_MILLISECOND
}

/// A history that began at moment 0 and saw the wall clock stepped at moment 60 s, now.
fn stepped(step_ms: i64) -> WallClockHistory {
    let mut history = WallClockHistory::default();
    for now_ms in (0..60_000).step_by(500) {
        observe(&mut history, now_ms, UNIX + now_ms as u64);
    }
    observe(
        &mut history,
        60_000,
        (UNIX as i64 + 60_000 + step_ms) as u64,
    );
    history
}

#[test]
fn start_told_by_the_stepped_clock_is_now() {
    for step_ms in [-HOUR_MS, -5_000, 5_000, HOUR_MS] {
        let mut history = stepped(step_ms);
        let told = (UNIX as i64 + 60_000 + step_ms) as u64;
        assert_eq!(moment_of(&mut history, 60_000, told), 60_000, "{step_ms}");
    }
}

#[test]
fn start_told_by_the_clock_of_before_keeps_its_moment() {
    for step_ms in [-HOUR_MS, 5_000, HOUR_MS] {
        let mut history = stepped(step_ms);
        assert_eq!(
            moment_of(&mut history, 60_000, UNIX + 58_000),
            58_000,
            "{step_ms}"
        );
    }
}

#[test]
fn start_of_before_the_process_is_as_long_past_as_it_was() {
    for step_ms in [-HOUR_MS, -5_000, 5_000, HOUR_MS] {
        let mut history = stepped(step_ms);
        let two_hours = 2 * HOUR_MS as u64;
        let moment = moment_of(&mut history, 60_000, UNIX - two_hours);
        assert_eq!(moment, -2 * HOUR_MS, "{step_ms}");
    }
}

#[test]
fn known_start_keeps_its_moment_through_steps_and_drift() {
    let mut history = WallClockHistory::default();
    observe(&mut history, 0, UNIX);
    let moment = moment_of(&mut history, 1_000, UNIX + 900);
    observe(&mut history, 2_000, UNIX + 2_050);
    assert_eq!(moment_of(&mut history, 2_000, UNIX + 900), moment);
    observe(&mut history, 3_000, UNIX + 3_000 + HOUR_MS as u64);
    assert_eq!(moment_of(&mut history, 3_000, UNIX + 900), moment);
}

#[test]
fn time_of_a_clock_that_is_ahead_is_not_in_the_future() {
    let mut history = WallClockHistory::default();
    observe(&mut history, 0, UNIX);
    assert_eq!(moment_of(&mut history, 10, UNIX + 5_000), 10);
}

#[test]
fn memory_is_bounded() {
    let mut history = WallClockHistory::default();
    for second in 0..10_000_i64 {
        observe(&mut history, second, UNIX + second as u64 * 1_000);
        moment_of(&mut history, second, UNIX + second as u64);
    }
    assert_eq!(history.periods.len(), MAX_PERIODS);
    assert_eq!(history.converted.len(), MAX_CONVERTED);
}

/// Guards against durations between two Unix times that depend on when each was converted.
#[test]
fn times_that_are_converted_one_after_the_other_keep_their_distance() {
    let mut history = WallClockHistory::default();
    observe(&mut history, 0, UNIX);
    // A millisecond of drift, or of rounding, between the two conversions.
    let first = moment_of(&mut history, 2_000, UNIX + 1_500);
    observe(&mut history, 2_000, UNIX + 2_001);
    let second = moment_of(&mut history, 2_000, UNIX);
    assert_eq!(first - second, 1_500);
}

/// Guards against a stop of the process, in the moment between its two clocks, that passes for a step of the wall clock.
#[test]
fn stop_of_the_process_between_the_two_clocks_changes_no_offset() {
    let mut history = WallClockHistory::default();
    observe(&mut history, 0, UNIX);
    observe_stopped(&mut history, 1_000, UNIX + 1_000, 1_150);
    observe_stopped(&mut history, 2_000, UNIX + 2_150, 2_150);
    assert_eq!(history.periods.len(), 1);
    assert_eq!(moment_of(&mut history, 3_000, UNIX + 2_000), 2_000);
}
