//! Shared set-up of the tests: the decision policy alone, fleets of it, and the real program among fakes.
//!
//! Each test program compiles all of it and uses a part.
#![allow(
    dead_code,
    reason = "each test program uses a part of the shared set-up"
)]

pub(crate) mod daemon;
pub(crate) mod fleet;
pub(crate) mod policy;
