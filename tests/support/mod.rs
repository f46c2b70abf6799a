//! Shared set-up of the tests: the decision policy alone, simulated fleets of it, and the real program with fake peers.
//!
//! Each test program compiles this module as a whole.
#![allow(
    dead_code,
    reason = "each test program uses a part of the shared set-up"
)]

pub(crate) mod daemon;
pub(crate) mod discovery_agent;
pub(crate) mod fleet;
pub(crate) mod large_fleet;
pub(crate) mod node;
pub(crate) mod policy;
pub(crate) mod slow_endpoint;
