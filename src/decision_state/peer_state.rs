//! What is known of the peers as processes.

use std::collections::BTreeMap;

/// This process as its peers know it, and the peers as they were heard last.
#[derive(Default)]
pub(crate) struct PeerState {
    /// Drawn at the start: tells peers that totals begin again.
    pub(crate) incarnation: u32,
    /// The last incarnation received from each peer.
    pub(crate) peer_incarnations: BTreeMap<u32, u32>,
}

impl PeerState {
    /// True where a peer has been restarted since its last message.
    pub(crate) fn peer_restarted(&mut self, peer: u32, incarnation: u32) -> bool {
        self.peer_incarnations
            .insert(peer, incarnation)
            .is_some_and(|known| known != incarnation)
    }
}
