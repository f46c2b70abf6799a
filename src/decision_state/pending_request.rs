//! A request that still waits for its final answer.

use super::Seconds;

/// The first attempt of a request that may have executed.
#[derive(Clone, Copy)]
pub(crate) struct PossibleExecution {
    /// Index of its endpoint.
    pub(crate) endpoint: usize,
    /// When it was sent.
    pub(crate) sent_at: Seconds,
}

/// A request that still waits for its final answer.
#[derive(Default)]
pub(crate) struct PendingRequest {
    /// Index of its class.
    pub(crate) class: usize,
    /// Its kind, as [`super::LatencyEstimator`] numbers them.
    pub(crate) kind: usize,
    /// Fingerprint of its customer.
    pub(crate) customer: u32,
    /// Index of its plan.
    pub(crate) plan: usize,
    /// Units it draws.
    pub(crate) units: f64,
    /// Counted against the quota, not paid for beyond it.
    pub(crate) within_quota: bool,
    /// When the client gives up.
    pub(crate) deadline: Seconds,
    /// Attempts sent.
    pub(crate) attempts: u32,
    /// When the present attempt was sent.
    pub(crate) sent_at: Seconds,
    /// Cost of an attempt, in requests of the mean.
    pub(crate) cost: f64,
    /// The first attempt that may have executed.
    pub(crate) possible_execution: Option<PossibleExecution>,
    /// Indexes of the endpoints that had an attempt.
    pub(crate) attempted_endpoints: Vec<usize>,
}

impl PendingRequest {
    /// Counts an attempt sent to an endpoint, by its index.
    pub(crate) fn record_attempt(&mut self, endpoint: usize, now: Seconds) {
        self.attempts += 1;
        self.sent_at = now;
        self.attempted_endpoints.push(endpoint);
    }
}
