//! Delays of a backoff, and the random numbers that the kinds of jitter use.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{full_jitter, proportional_jitter, Backoff};

const fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn delay_doubles_from_the_initial_one_to_the_maximum() {
    let backoff = Backoff {
        initial: milliseconds(20),
        max: milliseconds(100),
    };
    let delays: Vec<Duration> = (0..5).map(|failures| backoff.delay(failures)).collect();
    assert_eq!(delays, [20, 40, 80, 100, 100].map(milliseconds));
    assert_eq!(backoff.delay(u32::MAX), milliseconds(100));
}

#[test]
fn first_delay_is_the_initial_one_also_above_the_maximum() {
    let backoff = Backoff {
        initial: milliseconds(20),
        max: milliseconds(5),
    };
    let delays: Vec<Duration> = (0..3).map(|failures| backoff.delay(failures)).collect();
    assert_eq!(delays, [20, 5, 5].map(milliseconds));
}

#[test]
fn jitter_takes_one_draw_of_whole_nanoseconds_or_of_a_factor() {
    let (mut rng, mut expected) = (SmallRng::seed_from_u64(7), SmallRng::seed_from_u64(7));
    let bound = milliseconds(100);
    for draw in 0..100 {
        let nanos = expected.random_range(0..=100_000_000u64);
        assert_eq!(
            full_jitter(bound, &mut rng),
            Duration::from_nanos(nanos),
            "draw {draw}"
        );
        let factor = expected.random_range(0.5..1.5);
        assert_eq!(
            proportional_jitter(bound, &mut rng),
            bound.mul_f64(factor),
            "draw {draw}"
        );
    }
}
