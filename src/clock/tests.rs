use super::*;

#[test]
fn a_clock_goes_on_where_another_stood() {
    let clock = Clock::resume_at(START + 5_000_000_000);
    assert!(clock.now() >= START + 5_000_000_000);
    assert_eq!(
        clock.nanos_of_unix_ms(clock.unix_ms + 5_000),
        Some(START + 5_000_000_000)
    );
}

#[test]
fn unix_times_keep_their_distance_from_now() {
    let clock = Clock {
        origin: Instant::now(),
        unix_ms: 1_700_000_000_000,
    };
    assert_eq!(clock.nanos_of_unix_ms(1_700_000_000_000), Some(START));
    assert_eq!(
        clock.nanos_of_unix_ms(1_699_999_998_500),
        Some(START - 1_500_000_000)
    );
    assert_eq!(
        clock.nanos_of_unix_ms(1_700_000_000_250),
        Some(START + 250_000_000)
    );
    // 0 is no time; before our beginning is not 'long ago', which the module reads as unknown.
    assert_eq!(clock.nanos_of_unix_ms(0), None);
    assert_eq!(clock.nanos_of_unix_ms(5), Some(1));
}
