use super::*;

#[test]
fn clock_resumes_where_another_process_stood() {
    let clock = Clock::resume_at(START_NS + 5_000_000_000);
    assert!(clock.now() >= START_NS + 5_000_000_000);
    assert_eq!(
        clock.nanos_of_unix_ms(clock.unix_ms + 5_000),
        Some(START_NS + 5_000_000_000)
    );
}

#[test]
fn unix_times_keep_their_distance_from_the_present() {
    let clock = Clock {
        origin: Instant::now(),
        unix_ms: 1_700_000_000_000,
    };
    assert_eq!(clock.nanos_of_unix_ms(1_700_000_000_000), Some(START_NS));
    assert_eq!(
        clock.nanos_of_unix_ms(1_699_999_998_500),
        Some(START_NS - 1_500_000_000)
    );
    assert_eq!(
        clock.nanos_of_unix_ms(1_700_000_000_250),
        Some(START_NS + 250_000_000)
    );
    // 0 is no time; before the clock began is not the same as unknown.
    assert_eq!(clock.nanos_of_unix_ms(0), None);
    assert_eq!(clock.nanos_of_unix_ms(5), Some(1));
}
