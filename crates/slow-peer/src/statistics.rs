//! Event counts for the log, in total and by resource owner.

#[cfg(test)]
mod tests;

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::outgoing::AbortReason;
use crate::resource_account::{LimitExceeded, ResourceOwner};

/// Maximum number of owners in the table. Beyond it, a new owner replaces the one with the fewest events. This bounds memory
/// when peers connect from ever-changing addresses.
const MAX_OWNERS: usize = 64;

/// What happened because a peer was slow or used too many resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum SlowPeerEvent {
    /// An outgoing response was aborted together with its connection.
    ResponseAborted(AbortReason),
    /// A response was replaced by a short one, since its bytes would have exceeded a limit.
    ResponseReplaced(LimitExceeded),
    /// An upstream response was aborted because it stalled.
    UpstreamResponseStalled,
    /// An upstream response was aborted because it was too slow.
    UpstreamResponseTooSlow,
    /// A request body was aborted because it stalled or was too slow.
    RequestBodyTooSlow,
    /// A request was rejected because its customer used all of its slots.
    CustomerSlotsExhausted,
    /// A connection was rejected because its network used all of its slots.
    PeerNetworkSlotsExhausted,
}

/// Event counts since the last call of [`SlowPeerStatistics::take`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventCounts {
    /// Responses aborted because they were below the minimum data rate.
    pub aborted_below_minimum_rate: u64,
    /// Responses aborted because no bytes were acknowledged.
    pub aborted_stalled: u64,
    /// Responses aborted to free resources.
    pub aborted_for_resources: u64,
    /// Responses replaced by a short one.
    pub responses_replaced: u64,
    /// Upstream responses aborted because they stalled.
    pub upstream_responses_stalled: u64,
    /// Upstream responses aborted because they were too slow.
    pub upstream_responses_too_slow: u64,
    /// Request bodies aborted because they stalled or were too slow.
    pub request_bodies_too_slow: u64,
    /// Requests rejected because their customer used all of its slots.
    pub customer_slots_exhausted: u64,
    /// Connections rejected because their network used all of its slots.
    pub peer_network_slots_exhausted: u64,
}

impl EventCounts {
    fn count_of(&mut self, event: SlowPeerEvent) -> &mut u64 {
        match event {
            SlowPeerEvent::ResponseAborted(AbortReason::BelowMinimumRate) => {
                &mut self.aborted_below_minimum_rate
            }
            SlowPeerEvent::ResponseAborted(AbortReason::Stalled) => &mut self.aborted_stalled,
            SlowPeerEvent::ResponseAborted(AbortReason::ResourcesNeeded) => {
                &mut self.aborted_for_resources
            }
            SlowPeerEvent::ResponseReplaced(_) => &mut self.responses_replaced,
            SlowPeerEvent::UpstreamResponseStalled => &mut self.upstream_responses_stalled,
            SlowPeerEvent::UpstreamResponseTooSlow => &mut self.upstream_responses_too_slow,
            SlowPeerEvent::RequestBodyTooSlow => &mut self.request_bodies_too_slow,
            SlowPeerEvent::CustomerSlotsExhausted => &mut self.customer_slots_exhausted,
            SlowPeerEvent::PeerNetworkSlotsExhausted => &mut self.peer_network_slots_exhausted,
        }
    }
}

/// The events of one owner since it was added to the table, which [`SlowPeerStatistics::take`] empties.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerStatistics {
    /// The customer, the network or both. Events of upstream responses have no owner and appear in the counts only.
    pub owner: ResourceOwner,
    /// Number of events of any kind.
    pub events: u64,
    /// The kind of the most recent of these events.
    pub last_event: SlowPeerEvent,
    /// The highest number of unsent bytes of a response at an event.
    pub max_unsent_bytes: u64,
    /// The highest age of a response at an event, in nanoseconds.
    pub max_age_ns: u64,
}

/// The state of a response at the time of an event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseStatus {
    /// Bytes of the response that are not yet acknowledged.
    pub unsent_bytes: u64,
    /// Time since the response began, in nanoseconds.
    pub age_ns: u64,
}

/// Events since the last call of [`SlowPeerStatistics::take`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EventSummary {
    /// Number of events of each kind.
    pub counts: EventCounts,
    /// The owners with the most events, most events first.
    pub owners: Vec<OwnerStatistics>,
}

/// Event counts, and a bounded table of the owners with the most events.
#[derive(Debug, Default)]
pub struct SlowPeerStatistics {
    counts: EventCounts,
    by_owner: HashMap<ResourceOwner, OwnerStatistics>,
}

impl SlowPeerStatistics {
    /// Records an event that does not concern an outgoing response.
    pub fn record(&mut self, owner: ResourceOwner, event: SlowPeerEvent) {
        self.record_response(owner, event, ResponseStatus::default());
    }

    /// Records an event that concerns an outgoing response.
    pub fn record_response(
        &mut self,
        owner: ResourceOwner,
        event: SlowPeerEvent,
        response: ResponseStatus,
    ) {
        *self.counts.count_of(event) += 1;
        if owner == ResourceOwner::default() {
            return;
        }
        if !self.by_owner.contains_key(&owner) && self.by_owner.len() >= MAX_OWNERS {
            self.remove_owner_with_fewest_events();
        }
        let entry = self.by_owner.entry(owner).or_insert(OwnerStatistics {
            owner,
            events: 0,
            last_event: event,
            max_unsent_bytes: 0,
            max_age_ns: 0,
        });
        entry.events += 1;
        entry.last_event = event;
        entry.max_unsent_bytes = entry.max_unsent_bytes.max(response.unsent_bytes);
        entry.max_age_ns = entry.max_age_ns.max(response.age_ns);
    }

    fn remove_owner_with_fewest_events(&mut self) {
        let entries = self.by_owner.values();
        let fewest = entries
            .min_by_key(|entry| entry.events)
            .map(|entry| entry.owner);
        if let Some(owner) = fewest {
            self.by_owner.remove(&owner);
        }
    }

    /// Returns the events since the last call with at most `max_owners` owners, and resets the statistics.
    pub fn take(&mut self, max_owners: usize) -> EventSummary {
        let mut owners: Vec<OwnerStatistics> =
            self.by_owner.drain().map(|(_, entry)| entry).collect();
        owners.sort_by_key(|entry| Reverse((entry.events, entry.max_unsent_bytes)));
        owners.truncate(max_owners);
        EventSummary {
            counts: std::mem::take(&mut self.counts),
            owners,
        }
    }
}
