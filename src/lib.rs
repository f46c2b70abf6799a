//! applewall decides, for one node of an API ingress fleet, which requests to admit, which to reject and where to send
//! them.
//!
//! [`decision::DecisionPolicy`] is the decision policy; [`api`] holds everything that goes into it and comes out of it.
//! [`platform_settings`] reads the platform's settings object. [`simulator`] translates the simulator's protocol and is
//! not needed when the library is embedded.

pub mod api;
#[rustfmt::skip] // Formatted as it is cut into modules: in the default style it would pass its limit of lines.
pub mod decision;
pub mod gossip;
mod keep;
pub mod platform_settings;
mod post;
pub mod simulator;
mod state;
