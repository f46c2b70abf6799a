//! Start, drain, shutdown and hot restart of the process.
//!
//! The tasks that `serve` starts from [`shutdown`] and [`hot_restart`] react to signals, to drain requests from the admin
//! address and to the other process of the node, which is connected by a Unix socket. They publish the lifecycle phase and
//! the role of this process in watch channels, and the times of its shutdown in a cell that is set once.

pub(crate) mod command_relay;
pub(crate) mod hot_restart;
pub(crate) mod inherited_socket;
pub(crate) mod process_role;
pub(crate) mod shared_directory;
pub(crate) mod shutdown;
