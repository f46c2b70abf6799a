//! Admin commands and the lifecycle of the process, without I/O and without a clock.
//!
//! - [`AdminCommand`], [`AdminResponse`]: the grammar of a command line and of its one-line response;
//! - [`MaintenanceSet`]: the endpoints that operators have put into maintenance; [`state_file`] is its format on disk;
//! - [`Lifecycle`]: the state machine of drain and shutdown; [`ShutdownDeadlines`] has the timing of a shutdown.
//!
//! The caller passes in command lines, inputs and the current time. It owns all sockets, files and timers.

mod command;
mod lifecycle;
mod maintenance;
mod shutdown_deadlines;
pub mod state_file;

pub use command::{AdminCommand, AdminResponse, CommandError, MAX_COMMAND_LINE_BYTES};
pub use lifecycle::{Lifecycle, LifecycleError, LifecycleInput, LifecyclePhase, PhaseChange};
pub use maintenance::{MaintenanceError, MaintenanceSet, MAX_IDS_IN_MAINTENANCE};
pub use shutdown_deadlines::{LateRequestWindow, ShutdownDeadlines, ShutdownMode};
