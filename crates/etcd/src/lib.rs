//! Membership from an etcd v3 registry.
//!
//! This crate makes the calls that [`applewall_membership::WatchMachine`] decides on, and reports the responses, which
//! [`applewall_membership::Source`] applies. It has one connection, one watch and one call at a time. All of them end
//! when the future of [`watch`] is dropped.

mod client;
mod settings;
mod watcher;

pub use settings::{Endpoints, Settings};
pub use watcher::watch;
