//! Startup scheduling: when a node of a fleet that starts together calls the list service.
//!
//! A [`StartupScheduler`] is the sans-I/O core of one node. Its owner passes the time and an [`Input`] to
//! [`StartupScheduler::handle`], sends the messages of the returned [`Output`] to peers and calls the list service when
//! the output, or [`StartupScheduler::first_call_at`], says so. The core opens no socket and reads no clock: times are
//! [`Seconds`] since an origin of the caller's choice. `docs/cold-start-design.md` lists the bounds that it keeps and the
//! alternatives that were rejected.

mod cohort;
mod cohort_message;
mod message;
mod scheduler;
mod settings;
mod status_message;

pub use cohort_message::CohortMessage;
pub use message::{DecodeError, Message};
pub use scheduler::{
    CallFailure, CohortSummary, Input, ListState, OutgoingMessage, Output, Seconds, Start,
    StartupScheduler,
};
pub use settings::Settings;
pub use status_message::StatusMessage;
