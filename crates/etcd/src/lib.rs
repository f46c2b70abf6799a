//! Membership from an etcd v3 registry.
//!
//! [`applewall_membership::WatchMachine`] decides what to do next, and [`applewall_membership::Source`] what a list
//! means; this crate carries out the calls. One connection, one watch, one call at a time; everything ends when
//! [`watch`] is dropped.

mod client;
mod settings;
mod watcher;

pub use settings::{Endpoints, Settings};
pub use watcher::watch;
