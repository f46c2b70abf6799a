//! Start, drain, shutdown and hot restart of the process.

pub(crate) mod hot_restart;
pub(crate) mod process_role;
pub(crate) mod shared_directory;
pub(crate) mod shutdown;
