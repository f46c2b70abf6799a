//! One customer's place among the pending requests, where the operator limits how many of them a customer may have.
//!
//! Owner: the request handler, while the request is read and answered. Input: the customer of a request. Output: a slot, or
//! none left. Invariant: a slot is released once, when it is dropped.

use applewall_slow_peer::socket::TransferMonitor;

use crate::clock::Clock;
use crate::server::connection_table::ClientConnection;

/// The customer has as many pending requests as the operator allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the customer has no request slot left")]
pub(super) struct NoSlotLeft;

/// Counts one pending request against its customer's limit; released when it is dropped.
pub(super) struct CustomerSlot<'a> {
    monitor: &'a TransferMonitor,
    customer: u64,
}

impl<'a> CustomerSlot<'a> {
    /// Takes a slot for one more request; `None` if slow-peer protection is off, which then sets no limit.
    pub(super) fn acquire(
        connection: &'a ClientConnection,
        clock: Clock,
        customer: u64,
    ) -> Result<Option<Self>, NoSlotLeft> {
        let Some(monitored) = &connection.monitored else {
            return Ok(None);
        };
        let monitor = &*monitored.monitor;
        match monitor.acquire_request_slot(clock.now(), customer) {
            Ok(_) => Ok(Some(CustomerSlot { monitor, customer })),
            Err(_) => Err(NoSlotLeft),
        }
    }
}

impl Drop for CustomerSlot<'_> {
    fn drop(&mut self) {
        self.monitor.release_request_slot(self.customer);
    }
}
