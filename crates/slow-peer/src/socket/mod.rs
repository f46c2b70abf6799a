//! Slow-peer protection of real sockets: the monitored client connections, and their state in the kernel.

mod capacity;
mod connection;
pub mod kernel;
mod monitor;
mod state;

pub use capacity::Capacity;
pub use connection::borrow_descriptor;
pub use monitor::{MonitoredConnection, Report, TransferMonitor};
