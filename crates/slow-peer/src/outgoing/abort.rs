//! Aborts of connections, their reasons, and the resources that they free.

use crate::outgoing::ConnectionId;
use crate::resource_account::{LimitExceeded, ResourceOwner};

/// Why a connection is aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum AbortReason {
    /// The rate of the response was below the minimum data rate.
    BelowMinimumRate,
    /// No bytes of the response were acknowledged within the window.
    Stalled,
    /// Resources were needed, and the product of the connection's unsent bytes and age was among the highest.
    ResourcesNeeded,
}

/// A connection that has to be aborted. It is no longer monitored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Abort {
    /// The connection to abort.
    pub id: ConnectionId,
    /// The owner that its unsent bytes were accounted to.
    pub owner: ResourceOwner,
    /// Which rule requires the abort.
    pub reason: AbortReason,
    /// Bytes of its responses that were not yet acknowledged.
    pub unsent_bytes: u64,
    /// Time since the response began, in nanoseconds.
    pub age_ns: u64,
}

/// A resource that has to be freed by aborting connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResourceNeed {
    /// One connection slot.
    ConnectionSlot,
    /// Unsent bytes on an owner's account.
    Bytes {
        /// The owner that needs the bytes.
        owner: ResourceOwner,
        /// The limit that would be exceeded.
        limit: LimitExceeded,
        /// How many bytes the owner needs, including those that are still available under the limit.
        bytes: u64,
    },
}

impl ResourceNeed {
    /// Returns true if an abort of a connection of this owner frees some of the needed resource.
    pub(super) fn concerns(self, owner: ResourceOwner) -> bool {
        let ResourceNeed::Bytes {
            owner: requester,
            limit,
            ..
        } = self
        else {
            return true;
        };
        match limit {
            LimitExceeded::Total => true,
            LimitExceeded::Customer => owner.customer == requester.customer,
            LimitExceeded::PeerNetwork => owner.peer_network == requester.peer_network,
        }
    }
}
