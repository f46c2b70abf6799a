//! Capacity model of a limit server: its throughput during and after the warm-up, and the overload that makes it fail.
//!
//! The fake limit servers and the checkers use the same model. Does no I/O and reads no clock; times are in seconds on the
//! caller's time scale.

use std::collections::VecDeque;

/// Capacity and limits of every limit server of a trial.
#[derive(Clone, Copy, Debug)]
pub struct ServerModel {
    /// Requests processed at once.
    pub cores: usize,
    /// Requests being processed or queued; more are rejected.
    pub max_requests: usize,
    /// Seconds of one core that a request takes after the warm-up.
    pub request_seconds: f64,
    /// Seconds of one core that a new connection takes after the warm-up.
    pub connection_seconds: f64,
    /// Open connections; requests on further ones are rejected.
    pub max_connections: usize,
    /// Fraction of the full capacity at the start.
    pub slow_start_fraction: f64,
    /// Duration of the warm-up in seconds.
    pub warmup_seconds: f64,
    /// Load, as a multiple of the current capacity, beyond which the server fails while it warms up.
    pub overload_multiple: f64,
    /// Length of the window over which that load is measured, in seconds.
    pub overload_window_seconds: f64,
}

impl ServerModel {
    /// Fraction of the full capacity at this age.
    pub fn capacity_fraction(&self, age_seconds: f64) -> f64 {
        let warmed_up = (age_seconds / self.warmup_seconds).max(0.0);
        (self.slow_start_fraction + (1.0 - self.slow_start_fraction) * warmed_up).min(1.0)
    }

    /// Requests per second that it can process at this age.
    pub fn requests_per_second(&self, age_seconds: f64) -> f64 {
        self.max_requests_per_second() * self.capacity_fraction(age_seconds)
    }

    /// Requests per second that it can process after the warm-up.
    pub fn max_requests_per_second(&self) -> f64 {
        self.cores as f64 / self.request_seconds
    }

    /// Work of a new connection, as a multiple of that of a request.
    pub fn connection_cost(&self) -> f64 {
        self.connection_seconds / self.request_seconds
    }
}

/// Tracks the load on one incarnation of a limit server and whether overload has made it fail.
#[derive(Clone, Debug)]
pub struct OverloadTracker {
    model: ServerModel,
    started_at: f64,
    /// Arrivals within the window: time, and work as a multiple of that of a request.
    recent: VecDeque<(f64, f64)>,
    failed: bool,
    /// The highest load during the warm-up, as a fraction of the load that makes the server fail.
    pub peak_overload: f64,
}

impl OverloadTracker {
    /// A tracker of an incarnation that started at this time.
    pub fn new(model: ServerModel, started_at: f64) -> Self {
        OverloadTracker {
            model,
            started_at,
            recent: VecDeque::new(),
            failed: false,
            peak_overload: 0.0,
        }
    }

    /// Adds arriving work, as a multiple of that of a request; returns false if the server has failed.
    pub fn arrive(&mut self, now: f64, requests: f64) -> bool {
        let window = self.model.overload_window_seconds;
        self.recent.push_back((now, requests));
        self.recent.retain(|(at, _)| now - at < window);
        let age = now - self.started_at;
        if age < self.model.warmup_seconds {
            // The budget is that of the whole window at its mean capacity, also right after the start, when less than a window
            // has passed: it allows a burst then.
            let window_start = (age - window).max(0.0);
            let capacity = self.model.requests_per_second((window_start + age) / 2.0);
            let load: f64 = self.recent.iter().map(|(_, requests)| requests).sum();
            let overload = load / (self.model.overload_multiple * capacity * window);
            self.peak_overload = self.peak_overload.max(overload);
            self.failed |= overload > 1.0;
        }
        !self.failed
    }

    /// Seconds of one core that a request takes now.
    pub fn request_seconds(&self, now: f64) -> f64 {
        self.model.request_seconds / self.model.capacity_fraction(now - self.started_at)
    }
}

#[cfg(test)]
pub(crate) mod tests;
