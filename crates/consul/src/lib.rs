//! Membership from a Consul-style key-value store.
//!
//! A blocking query contains the index of the last response; the agent responds when the list has changed since that
//! index or the wait time of the query has passed. Each response is the full list of the keys with the prefix. [`BlockingQueryMachine`]
//! decides on the next query, without I/O; [`watch`] sends the queries.

mod blocking_query;
mod client;
mod settings;
mod watcher;

pub use blocking_query::{
    BlockingQuery, BlockingQueryMachine, QueryInput, QueryOutput, QueryTiming,
};
pub use settings::Settings;
pub use watcher::watch;
