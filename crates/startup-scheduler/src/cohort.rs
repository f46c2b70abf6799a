//! The start cohort: one node's knowledge of the nodes that start together, disseminated by gossip.
//!
//! The cohort consists of two sets that only grow during one startup. Lost, delayed, duplicated and reordered messages
//! therefore affect only how fast the cohort becomes known, not the result.

#[cfg(test)]
mod tests;

use applewall_node_types::NodeId;

use crate::cohort_message::{CohortMessage, MAX_UNIX_MS, SLICE_BYTES, SLICE_NODES};

/// Distance between the ranks of nodes with consecutive ids, as a fraction of the fleet's size. The inverse of the golden
/// ratio spreads any run of consecutive ids evenly (Fibonacci hashing).
const INVERSE_GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;
/// Number of consecutive messages, per slice, after which the cohort counts as complete: messages that list at least as many
/// nodes as are known, and no new one. A single one may come from a peer that knows as little as this node.
const UNCHANGED_MESSAGES_PER_SLICE: u32 = 2;

/// Sizes of the two sets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CohortCounts {
    pub(crate) started: u32,
    pub(crate) without_list: u32,
}

/// One node's knowledge of the nodes that start together with it, the node itself excluded.
#[derive(Clone, Debug)]
pub(crate) struct StartCohort {
    /// Bitmaps over the fleet, as in [`CohortMessage`].
    started: Vec<u8>,
    without_list: Vec<u8>,
    fleet_size: u32,
    node: NodeId,
    /// Number of consecutive messages that listed no new node, and at least as many nodes as are known here.
    unchanged_messages: u32,
    /// Index of the slice that was sent last.
    last_slice: u32,
    /// Distance between the ranks of nodes with consecutive ids.
    rank_step: u64,
    counts: CohortCounts,
    /// Numbers of known nodes with a lower rank than this node, by whether they have a list.
    lower_ranked_with_list: u32,
    lower_ranked_without_list: u32,
}

fn greatest_common_divisor(larger: u64, smaller: u64) -> u64 {
    match smaller {
        0 => larger,
        _ => greatest_common_divisor(smaller, larger % smaller),
    }
}

/// Byte and bit mask of a node in a bitmap.
fn bit_position(node: NodeId) -> (usize, u8) {
    (node.index() / 8, 1 << (node.0 % 8))
}

fn contains(bitmap: &[u8], node: NodeId) -> bool {
    let (byte, mask) = bit_position(node);
    bitmap[byte] & mask != 0
}

impl StartCohort {
    /// Creates the cohort of a node that knows no other starting node yet.
    pub(crate) fn new(fleet_size: u32, node: NodeId) -> Self {
        let bitmap = vec![0; (fleet_size as usize).div_ceil(8)];
        let ranks = u64::from(fleet_size.max(1));
        // A step that is coprime to the number of ranks gives each node a different rank.
        let rank_step = ((ranks as f64 * INVERSE_GOLDEN_RATIO) as u64..)
            .find(|step| greatest_common_divisor(*step, ranks) == 1)
            .unwrap_or(1);
        StartCohort {
            started: bitmap.clone(),
            without_list: bitmap,
            fleet_size,
            node,
            unchanged_messages: 0,
            last_slice: 0,
            rank_step,
            counts: CohortCounts::default(),
            lower_ranked_with_list: 0,
            lower_ranked_without_list: 0,
        }
    }

    /// The rank of a node in the order of the fleet, from 0. The order scatters neighbours, so that the ranks of any
    /// subset of the fleet, such as one rack, are distributed nearly evenly.
    pub(crate) fn fleet_rank(&self, node: NodeId) -> u64 {
        u64::from(node.0) * self.rank_step % u64::from(self.fleet_size.max(1))
    }

    /// Number of known nodes, either without or with a list, that have a lower rank than this node.
    pub(crate) fn lower_ranked(&self, without_list: bool) -> u32 {
        if without_list {
            self.lower_ranked_without_list
        } else {
            self.lower_ranked_with_list
        }
    }

    /// Adds a peer and returns whether it was new. For a known peer, the first report of whether it has a list is kept.
    pub(crate) fn add(&mut self, peer: NodeId, without_list: bool) -> bool {
        if peer.0 >= self.fleet_size || peer == self.node || contains(&self.started, peer) {
            return false;
        }
        let (byte, mask) = bit_position(peer);
        self.started[byte] |= mask;
        self.counts.started += 1;
        if without_list {
            self.without_list[byte] |= mask;
            self.counts.without_list += 1;
        }
        if self.fleet_rank(peer) < self.fleet_rank(self.node) {
            if without_list {
                self.lower_ranked_without_list += 1;
            } else {
                self.lower_ranked_with_list += 1;
            }
        }
        true
    }

    /// Adds the nodes that a peer's message lists. A message that lists as many nodes of its slice as are known, and no new
    /// one, counts towards completeness.
    pub(crate) fn merge(&mut self, message: &CohortMessage) {
        // A slice beyond the fleet's size comes from another fleet. Dropping it also prevents an overflow of the node ids
        // below.
        if message.first_node >= self.fleet_size {
            return;
        }
        let (mut has_new_node, mut listed) = (false, 0);
        let bitmaps = message.started.iter().zip(&message.without_list);
        for (index, (started, without_list)) in bitmaps.enumerate() {
            for bit in (0..8).filter(|bit| started & (1 << bit) != 0) {
                let peer = NodeId(message.first_node + index as u32 * 8 + bit);
                listed += u32::from(peer != self.node);
                has_new_node |= self.add(peer, without_list & (1 << bit) != 0);
            }
        }
        let known_in_slice: u32 = self.started[message.first_node as usize / 8..]
            .iter()
            .take(SLICE_BYTES)
            .map(|byte| byte.count_ones())
            .sum();
        if has_new_node {
            self.unchanged_messages = 0;
        // A message that lists fewer nodes, such as a delayed one, is no evidence that all nodes are known.
        } else if listed >= known_in_slice {
            self.unchanged_messages = self.unchanged_messages.saturating_add(1);
        }
    }

    /// Whether the cohort counts as completely known, because the last messages of peers listed only known nodes.
    pub(crate) fn is_complete(&self) -> bool {
        // Scaled by the number of slices, since a message on one slice is no evidence about another.
        self.unchanged_messages
            >= UNCHANGED_MESSAGES_PER_SLICE * self.fleet_size.div_ceil(SLICE_NODES)
    }

    /// Builds a message on the next slice. `own_start`, if any, adds this node: true if it started without a list.
    pub(crate) fn next_message(
        &mut self,
        own_start: Option<bool>,
        last_start_unix_ms: u64,
    ) -> CohortMessage {
        let slices = self.fleet_size.div_ceil(SLICE_NODES);
        self.last_slice = (self.last_slice + 1) % slices;
        let first_node = self.last_slice * SLICE_NODES;
        let first_byte = first_node as usize / 8;
        let end_byte = self.started.len().min(first_byte + SLICE_BYTES);
        let mut started = self.started[first_byte..end_byte].to_vec();
        let mut without_list = self.without_list[first_byte..end_byte].to_vec();
        let is_in_slice = (first_node..first_node + SLICE_NODES).contains(&self.node.0);
        if let Some(own_without_list) = own_start.filter(|_| is_in_slice) {
            let (byte, mask) = bit_position(self.node);
            started[byte - first_byte] |= mask;
            without_list[byte - first_byte] |= if own_without_list { mask } else { 0 };
        }
        CohortMessage {
            first_node,
            last_start_unix_ms: last_start_unix_ms.min(MAX_UNIX_MS),
            started,
            without_list,
        }
    }

    /// Known peers in ascending order of their ids, each with whether it started without a list.
    pub(crate) fn peers(&self) -> impl Iterator<Item = (NodeId, bool)> + '_ {
        (0..self.fleet_size)
            .map(NodeId)
            .filter(|peer| contains(&self.started, *peer))
            .map(|peer| (peer, contains(&self.without_list, peer)))
    }

    /// Sizes of the two sets. Cached in a field, since each computation of the first call's time reads them.
    pub(crate) fn counts(&self) -> CohortCounts {
        self.counts
    }
}
