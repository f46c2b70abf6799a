//! Node ids wrap around in a ring, and time arithmetic gives exactly the same results as `f64` arithmetic.

use super::*;

#[test]
fn successor_wraps_around_in_a_ring() {
    for (node, distance, expected) in [(0, 1, 1), (2, 1, 0), (1, 2, 0), (2, 3, 2)] {
        assert_eq!(NodeId(node).successor(distance, 3), NodeId(expected));
    }
    assert_eq!(NodeId(7).index(), 7);
    assert_eq!(NodeId(7).to_string(), "7");
}

#[test]
fn time_arithmetic_gives_the_same_results_as_f64() {
    for (earlier, later) in [(0.1, 0.3), (1.7e9, 1.7e9 + 0.123_456_7), (-100.0, 1e-9)] {
        let span = Timestamp::from_seconds(later) - Timestamp::from_seconds(earlier);
        assert_eq!(span.as_seconds(), later - earlier);
        let moment = Timestamp::from_seconds(later) + span;
        assert_eq!(moment.as_seconds(), later + (later - earlier));
        assert_eq!(
            (moment - span).as_seconds(),
            moment.as_seconds() - span.as_seconds()
        );
        assert_eq!((span * 0.2).as_seconds(), (later - earlier) * 0.2);
        assert_eq!((span / 3.0).as_seconds(), (later - earlier) / 3.0);
        assert_eq!(span / TimeSpan::from_seconds(0.7), (later - earlier) / 0.7);
        assert_eq!((span + span).as_seconds(), (later - earlier) * 2.0);
    }
}

#[test]
fn bounds_select_the_earlier_or_later_moment_and_the_shorter_or_longer_span() {
    let (early, late) = (Timestamp::from_seconds(1.0), Timestamp::from_seconds(2.0));
    assert_eq!((early.max(late), early.min(late)), (late, early));
    let (short, long) = (TimeSpan::from_seconds(1.0), TimeSpan::from_seconds(2.0));
    assert_eq!((short.max(long), short.min(long)), (long, short));
    assert_eq!((early - late).abs(), short);
    assert_eq!(TimeSpan::ZERO.clamp(short, long), short);
    assert_eq!((long * 2.0).clamp(short, long), long);
}

#[test]
fn nanoseconds_are_converted_and_negative_ones_become_zero() {
    let span = TimeSpan::from_nanoseconds(1_500_000_000);
    assert_eq!(span, TimeSpan::from_seconds(1.5));
    assert_eq!(span.as_nanoseconds(), 1_500_000_000);
    assert_eq!((TimeSpan::ZERO - span).as_nanoseconds(), 0);
    let moment = Timestamp::from_nanoseconds(2_000_000_000);
    assert_eq!(moment.as_nanoseconds(), 2_000_000_000);
    assert_eq!((moment - span - span).as_nanoseconds(), 0);
    assert_eq!(moment.in_periods_of(span), 2.0 / 1.5);
}

#[test]
fn a_quantity_decays_to_1_over_e_in_a_time_constant() {
    let time_constant = TimeSpan::from_seconds(3.0);
    assert_eq!(time_constant.decay(time_constant), (-1.0f64).exp());
    assert_eq!(TimeSpan::ZERO.decay(time_constant), 1.0);
    assert_eq!(TimeSpan::INFINITE.decay(time_constant), 0.0);
}
