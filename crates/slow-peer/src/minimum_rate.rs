//! The minimum data rate, which rises with the utilization of limited resources.

/// Upper bound of the pressure from which the rate rises. It is below 1, since the slope is divided by the distance to 1.
const MAX_RISE_THRESHOLD: f64 = 0.99;

/// A minimum data rate, in bytes per second, that rises with the resource pressure.
#[derive(Clone, Debug)]
pub struct MinimumDataRate {
    base: f64,
    at_full_pressure: f64,
    rise_threshold: f64,
    pressure: f64,
}

impl MinimumDataRate {
    /// Creates a rate that is `base` up to a pressure of `rise_threshold` and then rises linearly to `at_full_pressure` at
    /// a pressure of 1. An `at_full_pressure` below `base` counts as `base`, so that the rate never falls with rising
    /// pressure.
    pub fn new(base: f64, at_full_pressure: f64, rise_threshold: f64) -> Self {
        MinimumDataRate {
            base,
            at_full_pressure: at_full_pressure.max(base),
            rise_threshold: rise_threshold.clamp(0.0, MAX_RISE_THRESHOLD),
            pressure: 0.0,
        }
    }

    /// Sets the pressure: the utilization of the most utilized resource, from 0 to 1. A value that is not finite counts as
    /// 0.
    pub fn set_pressure(&mut self, pressure: f64) {
        self.pressure = if pressure.is_finite() {
            pressure.clamp(0.0, 1.0)
        } else {
            0.0
        };
    }

    /// The rate at the current pressure, in bytes per second: linear from `base` at `rise_threshold` to `at_full_pressure`
    /// at 1.
    ///
    /// Test: `minimum_rate_rises_with_pressure`.
    pub fn current(&self) -> f64 {
        let rise = ((self.pressure - self.rise_threshold) / (1.0 - self.rise_threshold)).max(0.0);
        self.base + (self.at_full_pressure - self.base) * rise
    }

    /// The rate at full pressure, in bytes per second. It applies while resources have to be freed.
    pub fn at_full_pressure(&self) -> f64 {
        self.at_full_pressure
    }
}
