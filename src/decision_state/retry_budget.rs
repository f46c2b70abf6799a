//! The tokens that limit retries.

/// Tokens that limit retries to a share of the requests; how they are earned and spent:
/// `crate::decision`.
pub(crate) struct RetryBudget {
    /// Retries that may be sent now.
    pub(crate) tokens: f64,
}
