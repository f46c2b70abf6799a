//! Exponential backoff between attempts to reach a registry or the discovery service.
//!
//! [`Backoff`] has only the bounds. The caller counts the consecutive failures, because the watches differ in which
//! failures count and in what resets the count.

use std::ops::Range;
use std::time::Duration;

use rand::Rng;

/// Maximum number of doublings; one more would overflow the factor. With an initial delay of 20 ms, 31 doublings give
/// over a year, more than any configured maximum.
const MAX_DOUBLINGS: u32 = 31;

/// Range of the random factor of [`proportional_jitter`]. Nodes that lose a service at the same time must not all retry
/// at the same time, and the delay should keep its order of magnitude.
const JITTER_FACTOR: Range<f64> = 0.5..1.5;

/// Bounds of an exponential backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The delay after the first failure, even if it exceeds `max`; each further failure doubles it.
    pub initial: Duration,
    /// Upper bound of the doubled delays.
    pub max: Duration,
}

impl Backoff {
    /// The delay after a failure that was preceded by `earlier_failures` consecutive ones.
    pub fn delay(self, earlier_failures: u32) -> Duration {
        if earlier_failures == 0 {
            return self.initial;
        }
        let factor = 1 << earlier_failures.min(MAX_DOUBLINGS);
        self.initial.saturating_mul(factor).min(self.max)
    }
}

/// A delay from the uniform distribution between zero and `bound`, both inclusive ("full jitter", Brooker 2015), which
/// spreads the calls of a fleet more than other kinds of jitter.
pub fn full_jitter(bound: Duration, rng: &mut impl Rng) -> Duration {
    let bound_ns = u64::try_from(bound.as_nanos()).unwrap_or(u64::MAX);
    Duration::from_nanos(rng.random_range(0..=bound_ns))
}

/// The delay multiplied by a uniformly distributed factor between 0.5 and 1.5.
pub fn proportional_jitter(delay: Duration, rng: &mut impl Rng) -> Duration {
    delay.mul_f64(rng.random_range(JITTER_FACTOR))
}

#[cfg(test)]
mod tests;
