//! Slow peers: what may wait for them, and from when they are given up.
//!
//! The core does no I/O and reads no clock: counts of bytes and `now` come in, verdicts go out. `now` is nanoseconds
//! of one clock that only advances, brought through a [`FairClock`] so that time in which the program itself stood
//! still is not held against anybody.
//!
//! - [`Outgoing`]: answers on their way to service clients, and the account of bytes that wait there;
//! - [`Incoming`]: one answer of an instance, or one body of a command, on its way in;
//! - [`Bulkheads`]: places held by one customer or one set of addresses;
//! - [`Tally`]: what came of it all, and who was behind it.
//!
//! [`socket`] is the thin side that looks at sockets; nothing else here knows of them.

mod account;
mod bulkhead;
mod fair;
mod floor;
mod incoming;
mod outgoing;
mod rate;
mod settings;
pub mod socket;
mod tally;

pub use account::{Account, Full, Holder};
pub use bulkhead::{Bulkheads, Networked};
pub use fair::FairClock;
pub use floor::Floor;
pub use incoming::{Incoming, Verdict};
pub use outgoing::{Cut, Id, Moved, Need, Outgoing, Why};
pub use rate::Window;
pub use settings::{BulkheadSettings, Settings};
pub use tally::{Counts, Reason, Row, Tally};
