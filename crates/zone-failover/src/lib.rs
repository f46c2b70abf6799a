//! Zone failover: what share of its usual traffic each zone gets while zones may fail, decided from what the whole fleet
//! observes.
//!
//! A [`ZoneFailover`] is the sans-I/O core of one node. Its owner passes the time and an [`Input`] to
//! [`ZoneFailover::handle`], sends the message of the returned [`Output`] to a peer, logs its transitions and routes by
//! [`ZoneFailover::traffic_share`]. The core opens no socket and reads no clock: times are [`Seconds`] since an origin of
//! the caller's choice. `docs/zones-design.md` lists the rules, their bounds and the alternatives that were rejected.

mod failover;
mod message;
mod observation;
mod policy;
mod settings;
mod transition;

pub use failover::{Input, OutgoingMessage, Output, Seconds, Start, ZoneEndpoints, ZoneFailover};
pub use message::{DecodeError, ZoneMessage, ZoneReport};
pub use observation::{Observation, OutcomeSums};
pub use policy::ZonePhase;
pub use settings::Settings;
pub use transition::{Transition, ZoneTransition};
