//! A rate estimator with exponential decay.

use applewall_node_types::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};

/// An exponentially decaying average of a rate.
///
/// The caller passes the time constant with each call, because some time constants change with the load. The order of
/// the fields is part of the state snapshot's encoding.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct DecayingRate {
    per_second: f64,
    updated_at: Timestamp,
}

impl DecayingRate {
    /// Creates a rate whose [`read_amount`](Self::read_amount) is `amount` now.
    pub(crate) fn of_amount(now: Timestamp, amount: f64, time_constant: TimeSpan) -> Self {
        DecayingRate {
            per_second: amount / time_constant.as_seconds(),
            updated_at: now,
        }
    }

    /// Amount per second at `now`.
    pub(crate) fn read(&self, now: Timestamp, time_constant: TimeSpan) -> f64 {
        self.per_second
            * (now - self.updated_at)
                .max(TimeSpan::ZERO)
                .decay(time_constant)
    }

    /// The rate at `now` times the time constant. If that has stayed the same, this is the sum of all added amounts,
    /// each decayed since it was added.
    pub(crate) fn read_amount(&self, now: Timestamp, time_constant: TimeSpan) -> f64 {
        self.read(now, time_constant) * time_constant.as_seconds()
    }

    pub(crate) fn add(&mut self, now: Timestamp, amount: f64, time_constant: TimeSpan) {
        *self = DecayingRate {
            per_second: self.read(now, time_constant) + amount / time_constant.as_seconds(),
            updated_at: now,
        };
    }

    /// When an amount was last added; the clock's origin if never.
    pub(crate) fn updated_at(&self) -> Timestamp {
        self.updated_at
    }
}
