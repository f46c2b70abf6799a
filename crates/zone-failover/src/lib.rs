//! Zone failover: decides, from observations of the whole fleet, which share of its usual traffic each zone receives when
//! zones fail.
//!
//! A [`ZoneFailover`] is the sans-I/O core of one node. The owner passes the current time and an [`Input`] to
//! [`ZoneFailover::handle`], sends the messages of the returned [`Output`] to peers, logs its transitions, and routes
//! traffic according to [`ZoneFailover::traffic_share`]. The core does no I/O and reads no clock: the caller chooses the
//! origin of each [`Timestamp`]. `docs/zones-design.md` documents the rules, their bounds and the rejected alternatives.
//!
//! Modules, each of which depends only on those listed before it: `observation` (outcomes of this node's attempts),
//! `message` (observations of a peer), `zone_state` and `transition` (the phases of a zone), `evaluation` (the rules),
//! `failover` (the core).

mod evaluation;
mod event;
mod failover;
mod id;
mod message;
mod observation;
mod settings;
mod transition;
mod zone_state;

pub use applewall_node_types::{NodeId, TimeSpan, Timestamp};
pub use event::{Input, OutgoingMessage, Output, Start, ZoneEndpoints};
pub use failover::ZoneFailover;
pub use id::{EndpointId, ZoneId};
pub use message::{DecodeError, ZoneMessage, ZoneReport};
pub use observation::{Observation, OutcomeSums};
pub use settings::Settings;
pub use transition::{Transition, ZoneTransition};
pub use zone_state::ZonePhase;
