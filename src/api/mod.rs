//! The interface of the decision policy: settings at the start, events as input, actions as output.
//!
//! Independent of any wire format. All times and durations are in nanoseconds of the caller's clock.

mod action;
mod endpoint;
mod event;
mod ids;
mod node_set;
mod request;
mod settings;

pub use applewall_node_types::NodeId;

pub use action::{Action, LogEvent};
pub use endpoint::{Endpoint, EndpointState, EndpointUpdateKind};
pub use event::Event;
pub use ids::{CellId, ClassId, CustomerId, EndpointId, MachineTypeId, PlanId, RequestId, ZoneId};
pub use node_set::NodeSet;
pub use request::{AttemptResult, Outcome, Request};
pub use settings::{Class, Idempotency, KeyScope, LoadField, Plan, PolicySettings};
