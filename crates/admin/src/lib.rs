//! The operators' calls, without I/O and without a clock: how a line is read, what is answered, which instances are
//! withheld, and how far a drain has come. Bytes, events and moments come in; what is to be done goes out.

mod call;
mod ledger;
mod stages;
pub mod state;

pub use call::{AdminCommand, AdminResponse, MAX_COMMAND_LINE_BYTES};
pub use ledger::{MaintenanceSet, UnknownEndpoint, MAX_IDS_IN_MAINTENANCE};
pub use stages::{
    Lifecycle, LifecyclePhase, ShutdownDeadlines, ShutdownMode, DRAIN_NOTICE_PERIOD,
    TERMINATION_ACCEPT_PERIOD,
};
