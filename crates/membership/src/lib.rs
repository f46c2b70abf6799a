//! Cluster membership from registries, without I/O and without a clock.
//!
//! - [`MemberRecord`]: one member as a registry stores it, validated against a published schema;
//! - [`Source`]: what one registry has reported: positions, full lists and changes. Replays are dropped, and a registry
//!   that began anew is recognised;
//! - [`MergedMembership`]: several sources merged by precedence and age;
//! - [`WatchMachine`]: the state machine of a watch: read, watch, request progress, resume, read again after a compaction;
//! - [`snapshot`]: the last good list as bytes, for a start while the registry is unavailable.
//!
//! Times are nanoseconds of one monotonic clock that the caller owns, unless a name says otherwise.

mod merge;
mod record;
mod rejections;
pub mod snapshot;
mod source;
mod watch;

pub use merge::{MemberChange, MergedMembership};
pub use record::{schema, MemberRecord, MemberState, RecordError};
pub use rejections::Rejections;
pub use source::{ApplyOutcome, MemberUpdate, Position, ReadConsistency, Source, SourceInput};
pub use watch::{DisconnectReason, WatchEffect, WatchInput, WatchMachine, WatchTiming};

#[cfg(test)]
mod test_support;
