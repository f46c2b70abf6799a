//! The thin side: what the kernel holds, and the connections whose answers are looked at.

pub mod kernel;
mod pacer;

pub use pacer::{borrow_descriptor, MonitoredConnection, TransferMonitor};
