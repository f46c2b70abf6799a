//! The second address: admin commands, and endpoints taken out for maintenance.

pub mod listener;
pub mod maintenance;
