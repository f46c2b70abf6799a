//! Slow peers: what may wait for them, and from when they are given up.
//!
//! The core does no I/O and reads no clock: counts of bytes and `now` come in, verdicts go out. `now` is nanoseconds
//! of one clock that only advances, brought through a [`StallCompensatedClock`] so that time in which the program itself stood
//! still is not held against anybody.
//!
//! - [`OutgoingTransfers`]: answers on their way to service clients, and the account of bytes that wait there;
//! - [`IncomingTransfer`]: one answer of an instance, or one body of a command, on its way in;
//! - [`Bulkheads`]: places held by one customer or one set of addresses;
//! - [`SlowPeerStatistics`]: what came of it all, and who was behind it.
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

pub use account::{LimitExceeded, ResourceAccount, ResourceOwner};
pub use bulkhead::{Bulkheads, NetworkClassifier};
pub use fair::StallCompensatedClock;
pub use floor::MinimumDataRate;
pub use incoming::{IncomingStatus, IncomingTransfer};
pub use outgoing::{
    Abort, AbortReason, ConnectionId, OutgoingTransfers, ResourceNeed, TransferProgress,
};
pub use rate::RateWindow;
pub use settings::{BulkheadSettings, Settings};
pub use tally::{EventCounts, OwnerStatistics, SlowPeerEvent, SlowPeerStatistics};
