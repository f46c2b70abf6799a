//! A roster's source in an etcd v3 registry.
//!
//! The course is [`applewall_membership::Follow`]'s, what the list means is [`applewall_membership::Source`]'s; here are the
//! calls that carry it out. One connection, one watch, one call at a time; everything ends when [`follow()`] is dropped.

mod calls;
mod follow;
mod settings;

pub use follow::{follow, RegistryUpdate};
pub use settings::{Endpoints, Settings};
