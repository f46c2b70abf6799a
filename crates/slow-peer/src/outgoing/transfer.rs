//! The unsent responses of one connection.

use crate::outgoing::ResponseStart;
use crate::rate_window::RateWindow;
use crate::resource_account::ResourceOwner;

/// Time without progress, in nanoseconds, after which a transfer is stalled, unless [`MIN_STALL_ROUND_TRIPS`] take longer.
/// Sockets are polled every 50 ms by default, so a shorter stall cannot be observed.
const MIN_STALL_NS: u64 = 50_000_000;
/// Round trips without progress after which a transfer is stalled: one for bytes and their acknowledgement, and one more for
/// a delayed acknowledgement.
const MIN_STALL_ROUND_TRIPS: u64 = 2;

/// Byte counts and round-trip time of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransferProgress {
    /// Bytes written so far.
    pub written_bytes: u64,
    /// Bytes acknowledged by the peer so far.
    pub acknowledged_bytes: u64,
    /// Round-trip time to the peer, in nanoseconds, if it is known.
    pub round_trip_ns: Option<u64>,
}

/// Windows over which the rates of a transfer are measured, in nanoseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateWindows {
    pub(super) window_ns: u64,
    /// The shorter window that applies when resources have to be freed.
    pub(super) short_window_ns: u64,
}

/// The unsent responses of one connection.
pub(super) struct OutgoingTransfer {
    pub(super) owner: ResourceOwner,
    /// Unacknowledged bytes that are accounted to the owner.
    pub(super) unsent_bytes: u64,
    /// True if another request was read and has no response yet.
    pub(super) request_pending: bool,
    /// Rate over the regular window.
    pub(super) rate: RateWindow,
    /// Rate over the shorter window that applies when resources have to be freed.
    pub(super) short_rate: RateWindow,
    /// Acknowledged bytes of the connection when the progress was last recorded.
    acknowledged_bytes: u64,
    /// Bytes that were written on the connection before the response began.
    written_before: u64,
    max_round_trip_ns: u64,
    /// When bytes were last acknowledged.
    last_progress_ns: u64,
    /// True once a byte of the response is written.
    has_started: bool,
    started_ns: u64,
}

impl OutgoingTransfer {
    /// Creates a transfer that begins with this response.
    pub(super) fn new(now_ns: u64, response: ResponseStart, windows: RateWindows) -> Self {
        let progress = response.progress;
        OutgoingTransfer {
            owner: response.owner,
            unsent_bytes: response.bytes,
            request_pending: false,
            rate: RateWindow::new(now_ns, windows.window_ns),
            short_rate: RateWindow::new(now_ns, windows.short_window_ns),
            acknowledged_bytes: progress.acknowledged_bytes,
            written_before: progress.written_bytes,
            max_round_trip_ns: progress.round_trip_ns.unwrap_or(0),
            last_progress_ns: now_ns,
            has_started: false,
            started_ns: now_ns,
        }
    }

    /// Records progress. Returns the number of newly acknowledged bytes to release from the account, or `None` if no bytes
    /// of the connection were newly acknowledged.
    pub(super) fn record_progress(
        &mut self,
        now_ns: u64,
        progress: TransferProgress,
    ) -> Option<u64> {
        self.has_started |= progress.written_bytes > self.written_before;
        let round_trip_ns = progress.round_trip_ns.unwrap_or(0);
        self.max_round_trip_ns = self.max_round_trip_ns.max(round_trip_ns);
        let acknowledged = progress
            .acknowledged_bytes
            .saturating_sub(self.acknowledged_bytes);
        if acknowledged == 0 {
            return None;
        }
        self.acknowledged_bytes = progress.acknowledged_bytes;
        self.last_progress_ns = now_ns;
        self.rate.add(now_ns, acknowledged);
        self.short_rate.add(now_ns, acknowledged);
        let sent = acknowledged.min(self.unsent_bytes);
        self.unsent_bytes -= sent;
        Some(sent)
    }

    /// Returns true if an abort would not lose a request.
    pub(super) fn may_abort(&self) -> bool {
        self.has_started && !self.request_pending
    }

    /// Time since the transfer began, in nanoseconds.
    pub(super) fn age_ns(&self, now_ns: u64) -> u64 {
        now_ns.saturating_sub(self.started_ns)
    }

    /// Returns true if there was no progress for longer than the round-trip time to the peer can explain.
    pub(super) fn is_stalled(&self, now_ns: u64) -> bool {
        let round_trips_ns = MIN_STALL_ROUND_TRIPS * self.max_round_trip_ns;
        now_ns.saturating_sub(self.last_progress_ns) >= MIN_STALL_NS.max(round_trips_ns)
    }
}
