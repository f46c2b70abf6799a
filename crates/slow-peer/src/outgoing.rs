//! Responses on their way to clients.
//!
//! Which connections may be aborted follows from the rules on sockets:
//!
//! - one whose accepted request has no response yet: never, the request would be lost;
//! - one on which a response was begun, completely written or not: yes. The response has failed and is not lost, since its
//!   length was sent before it and the client can tell that it is incomplete;
//! - one of whose response no byte is written yet: never, for the same reason as the first;
//! - one on which a newer request was read while a response still waits (a pipelining client): never, until that request
//!   has its response. From then on both are one transfer, begun with the first: that the second can't be written is the
//!   reader's doing, and a client that stops reading must not keep its slot by pipelining.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use crate::minimum_rate::MinimumDataRate;
use crate::rate_window::RateWindow;
use crate::resource_account::{LimitExceeded, ResourceAccount, ResourceLimits, ResourceOwner};
use crate::settings::{BulkheadSettings, Settings};

/// A transfer of which nothing moved for this long, and for two round trips, stands still.
const STANDSTILL_NS: u64 = 50_000_000;
/// The same in round trips: bytes sent and their acknowledgement, with as much again for a delayed one.
const STANDSTILL_ROUND_TRIPS: u64 = 2;

/// Identifies a connection while it is open.
pub type ConnectionId = u64;

/// Why a connection is aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum AbortReason {
    /// Its response moved more slowly than the minimum data rate in force.
    BelowMinimumRate,
    /// Nothing of its response moved within the window.
    Stalled,
    /// Resources were needed, and it held the most bytes for the longest time.
    ResourcesNeeded,
}

/// A connection to abort; it is no longer monitored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Abort {
    /// The connection.
    pub id: ConnectionId,
    /// On whose account its bytes were.
    pub owner: ResourceOwner,
    /// Why.
    pub reason: AbortReason,
    /// Bytes of its responses that were not acknowledged.
    pub unsent_bytes: u64,
    /// How long its response had been on its way, in nanoseconds.
    pub age_ns: u64,
}

/// A resource that is needed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResourceNeed {
    /// A slot for one connection.
    ConnectionSlot,
    /// So many bytes on this owner's account, under the limit that would be exceeded.
    Bytes(ResourceOwner, LimitExceeded, u64),
}

impl ResourceNeed {
    /// True if aborting a connection of this owner helps.
    fn concerns(self, owner: ResourceOwner) -> bool {
        match self {
            ResourceNeed::ConnectionSlot | ResourceNeed::Bytes(_, LimitExceeded::Total, _) => true,
            ResourceNeed::Bytes(needed_by, LimitExceeded::Customer, _) => {
                owner.customer == needed_by.customer
            }
            ResourceNeed::Bytes(needed_by, LimitExceeded::PeerNetwork, _) => {
                owner.peer_network == needed_by.peer_network
            }
        }
    }
}

/// What is known of a connection's bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransferProgress {
    /// Bytes written so far.
    pub written_bytes: u64,
    /// Bytes acknowledged by the other end so far.
    pub acknowledged_bytes: u64,
    /// The round trip to the other end, in nanoseconds; 0 where it is not known.
    pub round_trip_ns: u64,
}

/// The responses that wait on one connection.
struct OutgoingTransfer {
    owner: ResourceOwner,
    /// Bytes on the owner's account.
    unsent_bytes: u64,
    /// Of all bytes of the connection, how many were acknowledged when the progress was last recorded.
    acknowledged_bytes: u64,
    /// Bytes of the connection that were written before the response began.
    written_before: u64,
    max_round_trip_ns: u64,
    /// When something was acknowledged last.
    last_progress_ns: u64,
    /// A byte of the response was written.
    has_started: bool,
    /// A newer request was read and has no response yet.
    request_pending: bool,
    started_ns: u64,
    rate: RateWindow,
    /// The same over the shorter time that counts where resources have to be freed.
    short_rate: RateWindow,
}

impl OutgoingTransfer {
    fn may_abort(&self) -> bool {
        self.has_started && !self.request_pending
    }

    fn age_ns(&self, now_ns: u64) -> u64 {
        now_ns.saturating_sub(self.started_ns)
    }

    /// True if nothing moved for longer than the distance to the other end can account for.
    fn stands_still(&self, now_ns: u64) -> bool {
        let round_trips_ns = STANDSTILL_ROUND_TRIPS * self.max_round_trip_ns;
        now_ns.saturating_sub(self.last_progress_ns) >= STANDSTILL_NS.max(round_trips_ns)
    }
}

/// All responses on their way out, and the account of their bytes. Times are nanoseconds of the compensated clock.
pub struct OutgoingTransfers {
    transfers: BTreeMap<ConnectionId, OutgoingTransfer>,
    unsent_bytes: ResourceAccount,
    minimum_rate: MinimumDataRate,
    rate_window_ns: u64,
    grace_period_ns: u64,
    /// Grace period, and time over which the rate is taken, where resources have to be freed.
    short_grace_period_ns: u64,
}

impl OutgoingTransfers {
    /// None yet, in a program that has so many bytes of memory.
    pub fn new(settings: &Settings, bulkheads: &BulkheadSettings, memory_bytes: u64) -> Self {
        let total = settings.waiting(memory_bytes);
        let share = |fraction: f64| match bulkheads.enabled.0 {
            true => (total as f64 * fraction) as u64,
            false => u64::MAX,
        };
        let minimum_rate = MinimumDataRate::new(
            settings.out_least.0 as f64,
            settings.out_least_full.0 as f64,
            settings.pressure_from,
        );
        OutgoingTransfers {
            transfers: BTreeMap::new(),
            unsent_bytes: ResourceAccount::new(ResourceLimits {
                total,
                per_customer: share(bulkheads.customer_waiting),
                per_network: share(bulkheads.peer_waiting),
            }),
            minimum_rate,
            rate_window_ns: settings.window.as_nanos(),
            grace_period_ns: settings.grace.as_nanos(),
            short_grace_period_ns: settings.room_grace.as_nanos(),
        }
    }

    /// A response of so many bytes begins on a connection with this progress so far.
    ///
    /// # Errors
    ///
    /// The limit that the response would exceed. Nothing is acquired then: free resources and try again, or send a short
    /// response in its place.
    pub fn begin_response(
        &mut self,
        now_ns: u64,
        id: ConnectionId,
        owner: ResourceOwner,
        bytes: u64,
        progress: TransferProgress,
    ) -> Result<(), LimitExceeded> {
        // Its request has no response until this one has begun: it must not be aborted to make room for itself.
        self.request_started(id);
        self.unsent_bytes.acquire(owner, bytes)?;
        let Some(transfer) = self.transfers.get_mut(&id) else {
            self.insert(now_ns, id, owner, bytes, progress);
            return Ok(());
        };
        // An earlier response still waits: both are one transfer, which began with the first. Its bytes move to the account
        // of the second one's owner, as far as that owner's share allows.
        self.unsent_bytes
            .release(transfer.owner, transfer.unsent_bytes);
        let moved = self.unsent_bytes.acquire(owner, transfer.unsent_bytes);
        let moved_bytes = moved.map_or(0, |()| transfer.unsent_bytes);
        transfer.owner = owner;
        transfer.unsent_bytes = moved_bytes + bytes;
        transfer.request_pending = false;
        Ok(())
    }

    fn insert(
        &mut self,
        now_ns: u64,
        id: ConnectionId,
        owner: ResourceOwner,
        unsent_bytes: u64,
        progress: TransferProgress,
    ) {
        let transfer = OutgoingTransfer {
            owner,
            unsent_bytes,
            acknowledged_bytes: progress.acknowledged_bytes,
            written_before: progress.written_bytes,
            max_round_trip_ns: progress.round_trip_ns,
            last_progress_ns: now_ns,
            has_started: false,
            request_pending: false,
            started_ns: now_ns,
            rate: RateWindow::new(now_ns, self.rate_window_ns),
            short_rate: RateWindow::new(now_ns, self.short_grace_period_ns),
        };
        self.transfers.insert(id, transfer);
    }

    /// A request was read on a connection: it may not be aborted until that request has its response.
    pub fn request_started(&mut self, id: ConnectionId) {
        self.transfers
            .entry(id)
            .and_modify(|transfer| transfer.request_pending = true);
    }

    /// That request has its response, which is too short to be monitored.
    pub fn response_needs_no_monitoring(&mut self, id: ConnectionId) {
        self.transfers
            .entry(id)
            .and_modify(|transfer| transfer.request_pending = false);
    }

    /// Records the progress of a connection. Once a response is completely acknowledged it is no longer monitored.
    pub fn record_progress(&mut self, now_ns: u64, id: ConnectionId, progress: TransferProgress) {
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        transfer.has_started |= progress.written_bytes > transfer.written_before;
        transfer.max_round_trip_ns = transfer.max_round_trip_ns.max(progress.round_trip_ns);
        let moved = progress
            .acknowledged_bytes
            .saturating_sub(transfer.acknowledged_bytes);
        if moved == 0 {
            return;
        }
        transfer.acknowledged_bytes = progress.acknowledged_bytes;
        transfer.last_progress_ns = now_ns;
        transfer.rate.add(now_ns, moved);
        transfer.short_rate.add(now_ns, moved);
        let sent = moved.min(transfer.unsent_bytes);
        transfer.unsent_bytes -= sent;
        self.unsent_bytes.release(transfer.owner, sent);
        if transfer.unsent_bytes == 0 {
            self.transfers.remove(&id);
        }
    }

    /// The connection is closed, or its response needs no monitoring any more.
    pub fn connection_closed(&mut self, id: ConnectionId) {
        if let Some(transfer) = self.transfers.remove(&id) {
            self.unsent_bytes
                .release(transfer.owner, transfer.unsent_bytes);
        }
    }

    /// Aborts the connections below the minimum data rate. `used_slots` is the fraction of connection slots in use.
    pub fn abort_below_minimum_rate(&mut self, now_ns: u64, used_slots: f64) -> Vec<Abort> {
        let pressure = used_slots.max(self.unsent_bytes.used_fraction());
        self.minimum_rate.set_pressure(pressure);
        let (minimum, grace_period_ns) = (self.minimum_rate.current(), self.grace_period_ns);
        let too_slow = |(id, transfer): (&ConnectionId, &mut OutgoingTransfer)| {
            let age_ns = transfer.age_ns(now_ns);
            let rate = transfer.rate.rate(now_ns, age_ns);
            let reason = if rate > 0.0 {
                AbortReason::BelowMinimumRate
            } else {
                AbortReason::Stalled
            };
            let is_too_slow = age_ns >= grace_period_ns && transfer.may_abort() && rate < minimum;
            is_too_slow.then_some((*id, reason))
        };
        let too_slow: Vec<_> = self.transfers.iter_mut().filter_map(too_slow).collect();
        too_slow
            .into_iter()
            .filter_map(|(id, reason)| self.abort(now_ns, id, reason))
            .collect()
    }

    /// Frees resources by aborting the connections that hold the most bytes for the longest time, one after another, until
    /// there is enough; never one that keeps the minimum rate of full pressure, over as long as that takes to tell. Aborts
    /// none if all of them together would not be enough: no connection is aborted in vain.
    pub fn abort_for_resources(&mut self, now_ns: u64, need: ResourceNeed) -> Vec<Abort> {
        let mut freed = 0;
        let enough = match need {
            ResourceNeed::ConnectionSlot => 1,
            ResourceNeed::Bytes(owner, limit, bytes) => {
                bytes.saturating_sub(self.unsent_bytes.available(owner, limit))
            }
        };
        let mut chosen = Vec::new();
        for (id, unsent_bytes) in self.worst_first(now_ns, need) {
            if freed >= enough {
                break;
            }
            freed += match need {
                ResourceNeed::ConnectionSlot => 1,
                ResourceNeed::Bytes(..) => unsent_bytes,
            };
            chosen.push(id);
        }
        if freed < enough {
            return Vec::new();
        }
        chosen
            .into_iter()
            .filter_map(|id| self.abort(now_ns, id, AbortReason::ResourcesNeeded))
            .collect()
    }

    /// Connections that may be aborted for a need, each with its unsent bytes: the largest product of bytes and time first.
    fn worst_first(&mut self, now_ns: u64, need: ResourceNeed) -> Vec<(ConnectionId, u64)> {
        let minimum = self.minimum_rate.at_full_pressure();
        let grace_period_ns = self.short_grace_period_ns;
        let candidate = |(id, transfer): (&ConnectionId, &mut OutgoingTransfer)| {
            let age_ns = transfer.age_ns(now_ns);
            let is_slow = transfer.stands_still(now_ns)
                || age_ns >= grace_period_ns && transfer.short_rate.rate(now_ns, age_ns) < minimum;
            let is_candidate = is_slow && transfer.may_abort() && need.concerns(transfer.owner);
            let byte_time = u128::from(transfer.unsent_bytes) * u128::from(age_ns);
            is_candidate.then_some((byte_time, *id, transfer.unsent_bytes))
        };
        let mut candidates: Vec<_> = self.transfers.iter_mut().filter_map(candidate).collect();
        candidates.sort_unstable_by(|one, other| other.cmp(one));
        let without_product = |(_, id, unsent_bytes)| (id, unsent_bytes);
        candidates.into_iter().map(without_product).collect()
    }

    fn abort(&mut self, now_ns: u64, id: ConnectionId, reason: AbortReason) -> Option<Abort> {
        let transfer = self.transfers.remove(&id)?;
        self.unsent_bytes
            .release(transfer.owner, transfer.unsent_bytes);
        Some(Abort {
            id,
            owner: transfer.owner,
            reason,
            unsent_bytes: transfer.unsent_bytes,
            age_ns: transfer.age_ns(now_ns),
        })
    }

    /// True while a response waits on the connection.
    pub fn is_sending(&self, id: ConnectionId) -> bool {
        self.transfers.contains_key(&id)
    }

    /// The connections on which responses wait.
    pub fn connection_ids(&self) -> Vec<ConnectionId> {
        self.transfers.keys().copied().collect()
    }

    /// The account of bytes that wait.
    pub fn unsent_bytes(&mut self) -> &mut ResourceAccount {
        &mut self.unsent_bytes
    }

    /// The minimum data rate in force, in bytes per second.
    pub fn minimum_rate(&self) -> f64 {
        self.minimum_rate.current()
    }
}
