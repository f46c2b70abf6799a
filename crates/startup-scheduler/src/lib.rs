//! Startup scheduling: spreads the calls to the list service when many nodes of a fleet start at the same time.
//!
//! A [`StartupScheduler`] is the sans-I/O core of one node. The owner passes the current time and an [`Input`] to
//! [`StartupScheduler::handle`], sends the messages of the returned [`Output`] to peers, and calls the list service at the
//! time in the output or, for the first call, at [`StartupScheduler::first_call_at`]. The core does no I/O and reads no
//! clock: the caller chooses the origin of each [`Timestamp`]. `docs/cold-start-design.md` documents the guaranteed bounds
//! and the rejected alternatives.

mod cohort;
mod cohort_message;
mod event;
mod field_reader;
mod message;
mod scheduler;
mod settings;
mod status_message;

pub use applewall_node_types::{NodeId, TimeSpan, Timestamp};
pub use cohort_message::CohortMessage;
pub use event::{CallFailure, CohortSummary, Input, ListState, OutgoingMessage, Output, Start};
pub use field_reader::DecodeError;
pub use message::Message;
pub use scheduler::StartupScheduler;
pub use settings::Settings;
pub use status_message::StatusMessage;
