//! Gossip: the messages that nodes exchange about quotas, ceilings and load, within each node's receive limit.
//!
//! [`codec`] encodes the messages. If all nodes of a customer can report its usage to each other often enough, they do.
//! Otherwise the customer has a few aggregators, determined by rendezvous hashing, which sum its usage. Each request is
//! reported to the first aggregator as soon as the receive limit allows it. An aggregator sends the aggregate to the
//! customer's nodes when the quota runs short. The first one also sends it to a single peer whose estimate is
//! inaccurate, in reply to a report. The owners of the state ([`crate::decision`]'s quota ledger and overload control)
//! decide what is due and apply received records; this module encodes, addresses and dispatches messages.

pub mod codec;
mod receiving;
mod sending;

use std::collections::BTreeMap;

use applewall_node_types::Timestamp;
use rand::rngs::SmallRng;
use rand::Rng;

use crate::api::NodeId;

/// Exclusive upper bound of incarnations: 24 bits, as messages carry them.
const INCARNATIONS: u32 = 1 << 24;

/// The incarnations of this process and its peers, and the schedule of gossip rounds.
pub(crate) struct Gossip {
    /// Random number of this process, below [`INCARNATIONS`]. A changed incarnation tells peers that the process was
    /// restarted and that its totals begin at 0 again.
    incarnation: u32,
    /// The last incarnation received from each peer.
    peer_incarnations: BTreeMap<NodeId, u32>,
    /// From when on the next round of load statistics and grants is due.
    next_round_at: Timestamp,
}

impl Gossip {
    /// Creates the gossip of a process that starts now. Draws its incarnation and the phase of its rounds.
    pub(crate) fn new(now: Timestamp, rng: &mut SmallRng) -> Self {
        let incarnation = rng.random_range(0..INCARNATIONS);
        let phase: f64 = rng.random();
        Gossip {
            incarnation,
            peer_incarnations: BTreeMap::new(),
            next_round_at: now + sending::ROUND_INTERVAL * phase,
        }
    }

    pub(crate) fn incarnation(&self) -> u32 {
        self.incarnation
    }

    pub(crate) fn peer_incarnations(&self) -> &BTreeMap<NodeId, u32> {
        &self.peer_incarnations
    }

    /// Takes over the incarnation of another process, whose totals this process continues.
    pub(crate) fn take_over(&mut self, incarnation: u32, peer_incarnations: BTreeMap<NodeId, u32>) {
        self.incarnation = incarnation;
        self.peer_incarnations = peer_incarnations;
    }

    /// Number of peers from which a message was received.
    pub(crate) fn entry_count(&self) -> usize {
        self.peer_incarnations.len()
    }
}
