//! Conditions that are logged once when they begin and once when they end, no matter how often they are observed in between.
//!
//! This module only decides whether an observation is logged. The observer logs the event itself, since each event has its own
//! message and fields.

use std::sync::atomic::{AtomicBool, Ordering};

/// Whether a condition was logged as present. Prevents a lasting condition, such as an `accept` that fails every 20 ms, from
/// flooding the log.
///
/// Shared between threads by reference. The flag guards no other memory, so relaxed ordering is sufficient.
#[derive(Debug, Default)]
pub(crate) struct ConditionLog {
    is_reported: AtomicBool,
}

impl ConditionLog {
    /// Records that the condition holds. Returns true if it did not hold before, in which case its beginning has to be
    /// logged.
    pub(crate) fn begins(&self) -> bool {
        !self.is_reported.swap(true, Ordering::Relaxed)
    }

    /// Records that the condition does not hold. Returns true if it held before, in which case its end may be logged.
    pub(crate) fn ends(&self) -> bool {
        self.is_reported.swap(false, Ordering::Relaxed)
    }
}

#[cfg(test)]
mod tests;
