//! Cluster membership from registries, without I/O and without a clock.
//!
//! - [`MemberRecord`]: one member as a registry stores it, validated against a published schema;
//! - [`Source`]: the members that one registry has reported, in full lists and changes. It drops replayed changes, and
//!   detects that the registry's history was reset;
//! - [`MergedMembership`]: several sources merged by precedence and age;
//! - [`WatchMachine`]: the state machine of a watch. It reads the list, watches it, checks with progress requests that
//!   the watch is alive, resumes a lost watch, and reads the list again after a compaction;
//! - [`Backoff`]: the delays between attempts, for all watches of registries and discovery;
//! - [`snapshot`]: the encoded last known list, for a start while the registry is unavailable.
//!
//! [`Source`] and [`WatchMachine`] have the same interface: `handle(now, input)` takes an event and returns the outcome
//! or the actions to perform. `now` is the current time of the caller's monotonic clock; nothing here reads a clock.

mod backoff;
mod merge;
mod record;
mod rejections;
pub mod snapshot;
mod source;
mod watch;

pub use backoff::{full_jitter, proportional_jitter, Backoff};
pub use merge::{MemberChange, MergedMembership, SourceId};
pub use record::{schema, MemberRecord, MemberState, RecordError};
pub use rejections::Rejections;
pub use source::{
    ClusterId, FullList, MemberUpdate, Position, ReadConsistency, Source, SourceInput, SourceOutput,
};
pub use watch::{DisconnectReason, WatchInput, WatchMachine, WatchOutput, WatchTiming};

#[cfg(test)]
mod test_support;
