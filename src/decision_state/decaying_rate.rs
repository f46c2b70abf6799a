//! A rate estimator with exponential decay.

use serde::{Deserialize, Serialize};

use super::Seconds;

/// An exponentially decaying average of a rate.
///
/// The memory (time constant) is the caller's, so that one estimate can be read with the memory in
/// force at that moment.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct DecayingRate {
    /// Amount per second, as of [`Self::updated_at`].
    pub(crate) per_second: f64,
    /// When the last amount was added.
    pub(crate) updated_at: Seconds,
}

impl DecayingRate {
    /// The rate as of now.
    pub(crate) fn read(&self, now: Seconds, memory: Seconds) -> f64 {
        self.per_second * (-(now - self.updated_at).max(0.0) / memory).exp()
    }

    /// Counts an amount.
    pub(crate) fn add(&mut self, now: Seconds, amount: f64, memory: Seconds) {
        *self = DecayingRate {
            per_second: self.read(now, memory) + amount / memory,
            updated_at: now,
        };
    }
}
