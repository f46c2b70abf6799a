//! The set of nodes through which a customer's requests arrive.

use super::NodeId;

/// A contiguous range of node numbers, which wraps around at the size of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeSet {
    /// Start of the range; must be below the size of the fleet.
    pub first: NodeId,
    /// Number of nodes, from 1 to the size of the fleet; [`NodeSet::clamped`] corrects other values.
    pub size: u32,
}

impl NodeSet {
    /// The first `size` nodes of a fleet.
    pub fn first_nodes(size: u32) -> Self {
        NodeSet {
            first: NodeId(0),
            size,
        }
    }

    /// The same set with its size limited to the range from 1 to `node_count`.
    #[must_use]
    pub fn clamped(self, node_count: u32) -> Self {
        NodeSet {
            size: self.size.clamp(1, node_count),
            ..self
        }
    }

    /// The nodes of the set from the first on, in a fleet of `node_count` nodes.
    pub fn nodes(self, node_count: u32) -> impl Iterator<Item = NodeId> {
        (0..self.size).map(move |offset| NodeId((self.first.0 + offset) % node_count))
    }

    /// Returns true if the set contains `node`, in a fleet of `node_count` nodes.
    pub fn contains(self, node: NodeId, node_count: u32) -> bool {
        (node.0 + node_count - self.first.0) % node_count < self.size
    }
}
