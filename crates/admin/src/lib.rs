//! The operators' calls, without I/O and without a clock: how a line is read, what is answered, which instances are
//! withheld, and how far a drain has come. Bytes, events and moments come in; what is to be done goes out.

mod call;
mod ledger;
mod stages;
pub mod state;

pub use call::{Answer, Call, LINE_MOST};
pub use ledger::{Ledger, Unknown, MOST as LEDGER_MOST};
pub use stages::{Leave, Stage, Stages, Termination, DRAINING, LEAVING};
