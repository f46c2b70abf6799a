//! Sockets: what the kernel holds of them, and the connections whose responses are monitored.

pub mod kernel;
mod monitor;

pub use monitor::{borrow_descriptor, Capacity, MonitoredConnection, Report, TransferMonitor};
