//! Start, drain, shutdown and hot restart of the process.

pub mod hot_restart;
pub mod process_role;
pub mod shared_directory;
pub mod shutdown;
