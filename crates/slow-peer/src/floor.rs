//! The least rate, which rises with pressure.

/// A least rate between two settings, in bytes a second.
#[derive(Clone, Debug)]
pub struct MinimumDataRate {
    least: f64,
    at_full_pressure: f64,
    from: f64,
    pressure: f64,
}

impl MinimumDataRate {
    /// `least` up to a pressure of `from`, then rising evenly to `full` at a pressure of 1. A `full` below `least`
    /// is taken as `least`: the floor never falls with pressure.
    pub fn new(least: f64, full: f64, from: f64) -> Self {
        MinimumDataRate {
            least,
            at_full_pressure: full.max(least),
            from: from.clamp(0.0, 0.99),
            pressure: 0.0,
        }
    }

    /// The pressure is this now: the greater share taken of what can run short.
    pub fn set_pressure(&mut self, pressure: f64) {
        self.pressure = if pressure.is_finite() {
            pressure.clamp(0.0, 1.0)
        } else {
            0.0
        };
    }

    /// The least rate in force.
    pub fn current(&self) -> f64 {
        let over = ((self.pressure - self.from) / (1.0 - self.from)).max(0.0);
        self.least + (self.at_full_pressure - self.least) * over
    }

    /// The least rate where nothing is left: the one to be held to when room has to be made.
    pub fn at_full_pressure(&self) -> f64 {
        self.at_full_pressure
    }
}
