//! Slow-peer protection: limits on the unsent bytes of slow peers, and aborts of slow transfers.
//!
//! The core does no I/O and reads no clock: it is given byte counts and the time, and returns decisions. Times are
//! nanoseconds of one monotonic clock, corrected by a [`StallCompensatedClock`] so that stalls of the process itself do not
//! count against a peer.
//!
//! - [`OutgoingTransfers`]: responses that are being sent to clients, and the account of their unsent bytes;
//! - [`IncomingTransfer`]: an upstream response or a request body that is being received;
//! - [`Bulkheads`]: limits on the slots that one customer or one network may use;
//! - [`SlowPeerStatistics`]: event counts, in total and by resource owner.
//!
//! Each of these is a state machine whose events are methods, since their results differ: a limit that would be exceeded, a
//! status, or the connections to abort. Times are integers, for which sums and differences are exact; each name ends in the
//! unit. The [`socket`] module applies them to sockets; no other module uses sockets.

mod bulkheads;
mod clock;
mod incoming;
mod minimum_rate;
mod outgoing;
mod rate_window;
mod resource_account;
mod settings;
pub mod socket;
mod statistics;

pub use bulkheads::{Bulkheads, NetworkClassifier};
pub use clock::StallCompensatedClock;
pub use incoming::{IncomingStatus, IncomingTransfer};
pub use minimum_rate::MinimumDataRate;
pub use outgoing::{
    Abort, AbortReason, ConnectionId, OutgoingTransfers, ResourceNeed, ResponseStart,
    TransferProgress,
};
pub use rate_window::RateWindow;
pub use resource_account::{LimitExceeded, ResourceAccount, ResourceLimits, ResourceOwner};
pub use settings::{BulkheadSettings, Settings};
pub use statistics::{
    EventCounts, EventSummary, OwnerStatistics, ResponseStatus, SlowPeerEvent, SlowPeerStatistics,
};
