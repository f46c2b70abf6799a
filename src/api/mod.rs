//! The interface of the decision policy: settings at the start, events in, actions out.
//!
//! Nothing here knows of a wire format. All moments and spans are nanoseconds of the caller's clock.

mod action;
mod endpoint;
mod event;
mod ids;
mod request;
mod settings;

pub use action::Action;
pub use endpoint::{Endpoint, EndpointState, EndpointUpdateKind};
pub use event::Event;
pub use ids::{CustomerId, EndpointId, RequestId};
pub use request::{AttemptResult, Outcome, Request};
pub use settings::{Class, Idempotency, KeyScope, LoadField, Plan, PolicySettings};
