//! The admin address and endpoints in maintenance.
//!
//! A caller sends one command line per connection and receives one answer line, within a second under any load.
//!
//! - [`listener`]: accepts connections, reads commands and writes answers;
//! - [`handle`]: passes commands to the engine and to the lifecycle driver;
//! - [`maintenance`]: filter, owned by the engine, that presents endpoints in maintenance as draining;
//! - [`state_writer`]: writes the maintenance set to the state file.

pub(crate) mod handle;
pub(crate) mod listener;
pub(crate) mod maintenance;
pub(crate) mod state_writer;
