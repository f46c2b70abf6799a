use super::*;

fn unix_now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("after 1970").as_millis() as u64
}

#[test]
fn clock_resumes_at_the_time_of_another_process() {
    let clock = Clock::resume_at(START_NS + 5_000_000_000);
    assert!(clock.now() >= START_NS + 5_000_000_000);
    let five_seconds_ago = clock.nanos_of_unix_ms(unix_now_ms() - 5_000);
    let error = five_seconds_ago.expect("known").abs_diff(START_NS);
    assert!(error < 500_000_000, "{error}");
}

#[test]
fn converted_unix_times_keep_their_differences() {
    let clock = Clock::start();
    let now = unix_now_ms();
    let nanos = |unix_ms| clock.nanos_of_unix_ms(unix_ms).expect("known");
    assert_eq!(nanos(now) - nanos(now - 1_500), 1_500_000_000);
    assert_eq!(nanos(now - 250) - nanos(now - 1_500), 1_250_000_000);
    assert!(nanos(now).abs_diff(clock.now()) < 500_000_000);
    // Never in the future, even if another machine's clock is ahead.
    assert!(nanos(now + 3_600_000) <= clock.now());
    // 0 means unknown; a time long before the clock's start does not.
    assert_eq!(clock.nanos_of_unix_ms(0), None);
    assert_eq!(clock.nanos_of_unix_ms(5), Some(1));
}
