//! What a source of members is, without I/O and without a clock.
//!
//! - [`MemberRecord`]: one member as a registry holds it, checked against a published schema;
//! - [`Source`]: what one registry has told: revisions, full lists and changes, replays dropped, a registry that
//!   began anew recognised;
//! - [`MergedMembership`]: several sources merged by precedence and age;
//! - [`WatchMachine`]: the course of a watch: read, watch, prove that it lives, resume, read anew after a compaction;
//! - [`snapshot`]: the last good list as bytes, for a start while the registry is down.
//!
//! Times are nanoseconds of one clock that only advances, unless a name says otherwise.

mod entry;
mod follow;
mod merge;
pub mod snapshot;
mod source;

pub use entry::{schema, MemberRecord, MemberState, RecordError};
pub use follow::{DisconnectReason, WatchEffect, WatchInput, WatchMachine, WatchTiming};
pub use merge::{MemberChange, MergedMembership};
pub use source::{ApplyOutcome, MemberUpdate, Source};
