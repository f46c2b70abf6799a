//! Log events and event counters for operators.

pub(crate) mod condition_log;
pub(crate) mod event_counts;
pub(crate) mod logging;
