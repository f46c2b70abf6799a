//! The second address: admin commands, and endpoints taken out for maintenance.

pub(crate) mod listener;
pub(crate) mod maintenance;
