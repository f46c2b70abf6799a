//! Membership from a Consul-style key-value store.
//!
//! A blocking query names the index of the last answer and waits until there is something newer, or until its wait is
//! over; each answer is the whole list under the prefix. [`BlockingQueries`] decides what to ask next, without I/O;
//! [`watch`] carries the queries out.

mod blocking_query;
mod client;
mod settings;
mod watcher;

pub use blocking_query::{BlockingQueries, BlockingQuery, QueryEffect, QueryOutcome};
pub use settings::Settings;
pub use watcher::watch;
