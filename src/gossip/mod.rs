//! What nodes report to each other about quotas, ceilings and load, within what each may receive.
//!
//! [`codec`] is the form of the messages. Where every node can report to all others often enough,
//! it does. In a larger fleet a customer has a few aggregators, found by rendezvous hashing, which
//! sum its use (`aggregation`): each request is reported to the first aggregator at once, since a
//! report that waits is learnt too late; the aggregator sends the sum to the customer's nodes when
//! the quota runs short, and to a single peer that is wrong about it (`dissemination`). Which
//! request is rejected or sent where is decided elsewhere.

pub(crate) mod aggregation;
pub mod codec;
pub(crate) mod dissemination;
pub(crate) mod load_statistics;
pub(crate) mod receive;

use crate::api::{Action, PolicySettings};
use crate::decision_state::{is_large_fleet, PeerState, Seconds};
use codec::CustomerRecord;

/// What all gossip functions need to know.
#[derive(Clone, Copy)]
pub(crate) struct GossipContext<'a> {
    /// The policy's settings.
    pub(crate) settings: &'a PolicySettings,
    /// This process's incarnation.
    pub(crate) incarnation: u32,
    /// The present moment.
    pub(crate) now: Seconds,
}

impl<'a> GossipContext<'a> {
    /// The context of a policy's parts.
    pub(crate) fn new(settings: &'a PolicySettings, peers: &PeerState, now: Seconds) -> Self {
        GossipContext {
            settings,
            incarnation: peers.incarnation,
            now,
        }
    }

    /// Queues records as messages to one peer, or to all.
    pub(crate) fn send(
        &self,
        peer: Option<u32>,
        records: &[CustomerRecord],
        actions: &mut Vec<Action>,
    ) {
        let texts = codec::encode(self.incarnation, records);
        actions.extend(
            texts
                .into_iter()
                .map(|text| Action::SendGossip { peer, text }),
        );
    }

    /// Queues one record to one peer.
    fn send_one(&self, peer: u32, record: CustomerRecord, actions: &mut Vec<Action>) {
        self.send(Some(peer), &[record], actions);
    }

    /// True in a fleet too large for each node to report to all others.
    pub(crate) fn is_large_fleet(&self) -> bool {
        is_large_fleet(self.settings)
    }
}
