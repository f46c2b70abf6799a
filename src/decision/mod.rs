//! All that chooses: which requests a node admits, rejects, sends where, retries and gives up.
//!
//! A request goes through `admission` with its `ladder`, `routing` with `slow_start` and `outlier`, and
//! `retry`. The values that tune these choices stand beside them; what they read, and the values that it is
//! measured with, is in `crate::decision_state`, the events that lead to them in `crate::events`. Where each
//! rule comes from: `docs/design.md`.

mod admission;
mod ladder;
mod outlier;
mod retry;
mod routing;
mod slow_start;

pub use crate::decision_state::DecisionPolicy;
