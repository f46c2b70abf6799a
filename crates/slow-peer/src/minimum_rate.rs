//! The minimum data rate, which rises with the pressure on what can run short.

/// Highest pressure from which the rate may begin to rise: below 1, so that there is a range to rise in.
const MAX_RISE_START: f64 = 0.99;

/// A minimum data rate in bytes per second, between two settings.
#[derive(Clone, Debug)]
pub struct MinimumDataRate {
    base: f64,
    at_full_pressure: f64,
    rises_from: f64,
    pressure: f64,
}

impl MinimumDataRate {
    /// `base` up to a pressure of `rises_from`, then rising evenly to `at_full_pressure` at a pressure of 1. A lower
    /// `at_full_pressure` is taken as `base`: the rate never falls with pressure.
    pub fn new(base: f64, at_full_pressure: f64, rises_from: f64) -> Self {
        MinimumDataRate {
            base,
            at_full_pressure: at_full_pressure.max(base),
            rises_from: rises_from.clamp(0.0, MAX_RISE_START),
            pressure: 0.0,
        }
    }

    /// Sets the pressure: the greatest used fraction of what can run short.
    pub fn set_pressure(&mut self, pressure: f64) {
        self.pressure = if pressure.is_finite() {
            pressure.clamp(0.0, 1.0)
        } else {
            0.0
        };
    }

    /// The rate in force, in bytes per second.
    pub fn current(&self) -> f64 {
        let excess = ((self.pressure - self.rises_from) / (1.0 - self.rises_from)).max(0.0);
        self.base + (self.at_full_pressure - self.base) * excess
    }

    /// The rate at full pressure, in bytes per second: the one to be held to when resources have to be freed.
    pub fn at_full_pressure(&self) -> f64 {
        self.at_full_pressure
    }
}
