//! Limits the number of pending requests per customer, if the operator has set a limit.
//!
//! The request handler holds a slot from before it reads the body until the request is answered. Dropping the slot
//! releases it.

use applewall_slow_peer::socket::TransferMonitor;

use crate::clock::Clock;
use crate::server::connection_table::ClientConnection;

/// The customer has reached its limit of pending requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the customer has reached its limit of pending requests")]
pub(super) struct NoSlotLeft;

/// One pending request that counts against its customer's limit.
pub(super) struct CustomerSlot<'a> {
    monitor: &'a TransferMonitor,
    customer: u64,
}

impl<'a> CustomerSlot<'a> {
    /// Acquires a slot for a request; `None` if slow-peer protection is disabled, so that there is no limit.
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
