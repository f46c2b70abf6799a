use super::*;

const UNIX: u64 = 1_700_000_000_000;
const HOUR_MS: i64 = 3_600_000;

/// Records readings of both clocks at the same time.
fn observe(history: &mut WallClockHistory, now_ms: i64, unix_ms: u64) {
    observe_paused(history, now_ms, unix_ms, now_ms);
}

/// Records readings of both clocks by a process that was paused between them.
fn observe_paused(history: &mut WallClockHistory, before_ms: i64, unix_ms: u64, after_ms: i64) {
    history.observe(ClockReading {
        before_ns: before_ms * NANOS_PER_MILLISECOND,
        unix_ns: unix_ms as i64 * NANOS_PER_MILLISECOND,
        after_ns: after_ms * NANOS_PER_MILLISECOND,
    });
}

/// Converts a Unix time to monotonic milliseconds.
fn monotonic_ms(history: &mut WallClockHistory, now_ms: i64, unix_ms: u64) -> i64 {
    let monotonic_ns = history.monotonic_ns(now_ms * NANOS_PER_MILLISECOND, unix_ms);
    assert_eq!(
        monotonic_ns % NANOS_PER_MILLISECOND,
        0,
        "whole milliseconds"
    );
    monotonic_ns / NANOS_PER_MILLISECOND
}

/// A history from time 0 to 60 s, at which the wall clock was stepped.
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
fn start_time_by_the_stepped_clock_is_now() {
    for step_ms in [-HOUR_MS, -5_000, 5_000, HOUR_MS] {
        let mut history = stepped(step_ms);
        let start = (UNIX as i64 + 60_000 + step_ms) as u64;
        assert_eq!(
            monotonic_ms(&mut history, 60_000, start),
            60_000,
            "{step_ms}"
        );
    }
}

#[test]
fn start_time_by_the_clock_before_its_step_is_unchanged() {
    for step_ms in [-HOUR_MS, 5_000, HOUR_MS] {
        let mut history = stepped(step_ms);
        assert_eq!(
            monotonic_ms(&mut history, 60_000, UNIX + 58_000),
            58_000,
            "{step_ms}"
        );
    }
}

#[test]
fn start_time_before_the_process_keeps_its_age() {
    for step_ms in [-HOUR_MS, -5_000, 5_000, HOUR_MS] {
        let mut history = stepped(step_ms);
        let two_hours = 2 * HOUR_MS as u64;
        let monotonic = monotonic_ms(&mut history, 60_000, UNIX - two_hours);
        assert_eq!(monotonic, -2 * HOUR_MS, "{step_ms}");
    }
}

#[test]
fn converted_start_time_is_unchanged_by_steps_and_drift() {
    let mut history = WallClockHistory::default();
    observe(&mut history, 0, UNIX);
    let converted = monotonic_ms(&mut history, 1_000, UNIX + 900);
    observe(&mut history, 2_000, UNIX + 2_050);
    assert_eq!(monotonic_ms(&mut history, 2_000, UNIX + 900), converted);
    observe(&mut history, 3_000, UNIX + 3_000 + HOUR_MS as u64);
    assert_eq!(monotonic_ms(&mut history, 3_000, UNIX + 900), converted);
}

#[test]
fn time_by_a_clock_that_is_ahead_is_not_in_the_future() {
    let mut history = WallClockHistory::default();
    observe(&mut history, 0, UNIX);
    assert_eq!(monotonic_ms(&mut history, 10, UNIX + 5_000), 10);
}

#[test]
fn memory_is_bounded() {
    let mut history = WallClockHistory::default();
    for second in 0..10_000_i64 {
        observe(&mut history, second, UNIX + second as u64 * 1_000);
        monotonic_ms(&mut history, second, UNIX + second as u64);
    }
    assert_eq!(history.periods.len(), MAX_PERIODS);
    assert_eq!(history.converted.len(), MAX_CACHED_CONVERSIONS);
}

/// Guards against a difference between two Unix times that depends on when each was converted.
#[test]
fn times_converted_one_after_the_other_keep_their_difference() {
    let mut history = WallClockHistory::default();
    observe(&mut history, 0, UNIX);
    // 1 ms of drift or rounding between the two conversions.
    let first = monotonic_ms(&mut history, 2_000, UNIX + 1_500);
    observe(&mut history, 2_000, UNIX + 2_001);
    let second = monotonic_ms(&mut history, 2_000, UNIX);
    assert_eq!(first - second, 1_500);
}

/// Guards against taking a pause of the process between the readings of the two clocks for a step of the wall clock.
#[test]
fn pause_of_the_process_between_the_readings_does_not_change_the_offset() {
    let mut history = WallClockHistory::default();
    observe(&mut history, 0, UNIX);
    observe_paused(&mut history, 1_000, UNIX + 1_000, 1_150);
    observe_paused(&mut history, 2_000, UNIX + 2_150, 2_150);
    assert_eq!(history.periods.len(), 1);
    assert_eq!(monotonic_ms(&mut history, 3_000, UNIX + 2_000), 2_000);
}
