//! Outgoing transfers: responses that are being sent to clients. A byte of a response is *unsent* until the client has
//! acknowledged it.
//!
//! An abort must not lose a request. Whether a connection may be aborted therefore depends on its state:
//!
//! - A request was accepted and has no response yet: never, since the request would be lost.
//! - No byte of the response is written yet: never, for the same reason.
//! - Some or all bytes of the response are written: yes. The response fails, but is not lost: its length was sent first, so
//!   the client can detect that it is incomplete.
//! - A pipelining client sent another request while a response is still unsent: not until that request has its response.
//!   From then on both responses are one transfer, which began with the first. The second one cannot be written because the
//!   client does not read the first, and a client that stops reading must not retain its slot by pipelining.

mod abort;
mod selection;
mod transfer;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use self::transfer::{OutgoingTransfer, RateWindows};
use crate::minimum_rate::MinimumDataRate;
use crate::resource_account::{LimitExceeded, ResourceAccount, ResourceLimits, ResourceOwner};
use crate::settings::{BulkheadSettings, Settings};

pub use abort::{Abort, AbortReason, ResourceNeed};
pub use transfer::TransferProgress;

/// Identifies an open connection; assigned by the monitor and not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// A response that is about to be sent.
#[derive(Clone, Copy, Debug)]
pub struct ResponseStart {
    /// The connection on which the response is sent.
    pub id: ConnectionId,
    /// The owner that its bytes are accounted to.
    pub owner: ResourceOwner,
    /// Number of bytes to account for.
    pub bytes: u64,
    /// Progress of the connection before the response.
    pub progress: TransferProgress,
}

/// All outgoing responses, and the account of their unsent bytes. Times are nanoseconds of the compensated clock.
pub struct OutgoingTransfers {
    transfers: BTreeMap<ConnectionId, OutgoingTransfer>,
    unsent_bytes: ResourceAccount,
    minimum_rate: MinimumDataRate,
    rate_windows: RateWindows,
    /// Age from which transfers have to reach the minimum data rate, in nanoseconds.
    grace_period_ns: u64,
}

impl OutgoingTransfers {
    /// Creates an empty set of transfers for a process with this much memory.
    pub fn new(settings: &Settings, bulkheads: &BulkheadSettings, memory_bytes: u64) -> Self {
        let total = settings.max_unsent_bytes(memory_bytes);
        let limit = |fraction: f64| {
            if bulkheads.enabled.0 {
                (total as f64 * fraction) as u64
            } else {
                u64::MAX
            }
        };
        let minimum_rate = MinimumDataRate::new(
            settings.min_outgoing_bytes_per_second.0 as f64,
            settings.min_outgoing_bytes_per_second_at_full_pressure.0 as f64,
            settings.pressure_from,
        );
        OutgoingTransfers {
            transfers: BTreeMap::new(),
            unsent_bytes: ResourceAccount::new(ResourceLimits {
                total,
                per_customer: limit(bulkheads.customer_waiting),
                per_network: limit(bulkheads.peer_waiting),
            }),
            minimum_rate,
            rate_windows: RateWindows {
                window_ns: settings.window.as_nanos(),
                short_window_ns: settings.room_grace.as_nanos(),
            },
            grace_period_ns: settings.grace.as_nanos(),
        }
    }

    /// Begins a response and acquires its bytes.
    ///
    /// # Errors
    ///
    /// Returns the limit that the response would exceed. Nothing is acquired then; the caller has to free resources and try
    /// again, or send a short response instead.
    pub fn begin_response(
        &mut self,
        now_ns: u64,
        response: ResponseStart,
    ) -> Result<(), LimitExceeded> {
        let ResponseStart {
            id, owner, bytes, ..
        } = response;
        // The request is pending until its response has begun: if the caller frees resources for this response, it must not
        // abort the connection of the same request.
        self.request_started(id);
        self.unsent_bytes.acquire(owner, bytes)?;
        let Some(transfer) = self.transfers.get_mut(&id) else {
            let transfer = OutgoingTransfer::new(now_ns, response, self.rate_windows);
            self.transfers.insert(id, transfer);
            return Ok(());
        };
        // An earlier response is still unsent: both are one transfer, which began with the first. Its unsent bytes move to
        // the account of the second response's owner, unless that would exceed a limit; then they are no longer accounted.
        self.unsent_bytes
            .release(transfer.owner, transfer.unsent_bytes);
        let moved = self.unsent_bytes.acquire(owner, transfer.unsent_bytes);
        let moved_bytes = moved.map_or(0, |()| transfer.unsent_bytes);
        transfer.owner = owner;
        transfer.unsent_bytes = moved_bytes + bytes;
        transfer.request_pending = false;
        Ok(())
    }

    /// Records that a request was read on a connection. The connection may not be aborted until the request has its
    /// response.
    pub fn request_started(&mut self, id: ConnectionId) {
        self.transfers
            .entry(id)
            .and_modify(|transfer| transfer.request_pending = true);
    }

    /// Records that the pending request has its response, which is too short to be monitored.
    pub fn response_needs_no_monitoring(&mut self, id: ConnectionId) {
        self.transfers
            .entry(id)
            .and_modify(|transfer| transfer.request_pending = false);
    }

    /// Records the progress of a connection. A transfer whose bytes are all acknowledged is removed.
    pub fn record_progress(&mut self, now_ns: u64, id: ConnectionId, progress: TransferProgress) {
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        let Some(sent) = transfer.record_progress(now_ns, progress) else {
            return;
        };
        self.unsent_bytes.release(transfer.owner, sent);
        if transfer.unsent_bytes == 0 {
            self.transfers.remove(&id);
        }
    }

    /// Removes the transfer of a connection that was closed or needs no monitoring any more, and releases its bytes.
    pub fn connection_closed(&mut self, id: ConnectionId) {
        if let Some(transfer) = self.transfers.remove(&id) {
            self.unsent_bytes
                .release(transfer.owner, transfer.unsent_bytes);
        }
    }

    /// Returns true while a monitored response on the connection has unsent bytes.
    pub fn is_sending(&self, id: ConnectionId) -> bool {
        self.transfers.contains_key(&id)
    }

    /// The connections with unsent responses.
    pub fn connection_ids(&self) -> Vec<ConnectionId> {
        self.transfers.keys().copied().collect()
    }

    /// The account of unsent bytes. It is mutable for [`ResourceAccount::take_peak`].
    pub fn unsent_bytes(&mut self) -> &mut ResourceAccount {
        &mut self.unsent_bytes
    }

    /// The current minimum data rate, in bytes per second.
    pub fn minimum_rate(&self) -> f64 {
        self.minimum_rate.current()
    }
}
