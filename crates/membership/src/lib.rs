//! What a source of members is, without I/O and without a clock.
//!
//! - [`Entry`]: one member as a registry holds it, checked against a published schema;
//! - [`Source`]: what one registry has told: revisions, full lists and changes, replays dropped, a registry that
//!   began anew recognised;
//! - [`Roster`]: several sources merged by precedence and age;
//! - [`Follow`]: the course of a watch: read, watch, prove that it lives, resume, read anew after a compaction;
//! - [`snapshot`]: the last good list as bytes, for a start while the registry is down.
//!
//! Times are nanoseconds of one clock that only advances, unless a name says otherwise.

mod entry;
mod follow;
mod merge;
pub mod snapshot;
mod source;

pub use entry::{schema, Entry, Refused, State};
pub use follow::{Act, Event, Follow, Pace, Reason};
pub use merge::{Change, Roster};
pub use source::{Item, Source, Took};
