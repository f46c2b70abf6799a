//! Slow peers.

mod settings;

pub use settings::{BulkheadSettings, Settings};
