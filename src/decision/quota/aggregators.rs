//! The nodes that aggregate a customer's usage.

use crate::api::{NodeId, NodeSet};
use crate::decision::context::Context;
use crate::decision::fleet_size::all_can_report_to_all;
use crate::decision::hashing::{rendezvous_rank, CustomerFingerprint};

/// Number of aggregators of a set of nodes that cannot all report to each other: two, since one may be down or
/// unreachable.
const AGGREGATORS: usize = 2;

/// The nodes that aggregate a customer's usage, by rank.
///
/// In a set of nodes that can all report to each other, each one is an aggregator. In a larger set there are
/// [`AGGREGATORS`], the first of which holds the ceiling reserve.
#[derive(Clone, Debug, Default)]
pub(super) struct Aggregators {
    ranked: Vec<NodeId>,
    includes_this_node: bool,
}

impl Aggregators {
    /// Ranks the customer's nodes by rendezvous hashing, so that all nodes determine the same aggregators
    /// independently.
    pub(super) fn assign(
        context: &Context<'_>,
        nodes: NodeSet,
        customer: CustomerFingerprint,
    ) -> Self {
        let mut ranked: Vec<NodeId> = nodes.nodes(context.node_count()).collect();
        ranked.sort_by_cached_key(|node| rendezvous_rank(customer.0, node.0));
        if !all_can_report_to_all(context.settings(), nodes.size) {
            ranked.truncate(AGGREGATORS);
        }
        Aggregators {
            includes_this_node: ranked.contains(&context.node()),
            ranked,
        }
    }

    /// Restores the aggregators determined by another process.
    pub(super) fn restore(ranked: Vec<NodeId>, includes_this_node: bool) -> Self {
        Aggregators {
            ranked,
            includes_this_node,
        }
    }

    /// Returns true until the customer's nodes are known.
    pub(super) fn is_empty(&self) -> bool {
        self.ranked.is_empty()
    }

    /// Returns true if this node is an aggregator.
    pub(super) fn includes_this_node(&self) -> bool {
        self.includes_this_node
    }

    /// Returns true if `node` is an aggregator.
    pub(super) fn contains(&self, node: NodeId) -> bool {
        self.ranked.contains(&node)
    }

    /// Returns true if every node of a set is an aggregator.
    pub(super) fn includes_all_of(&self, nodes: NodeSet) -> bool {
        self.ranked.len() >= nodes.size as usize
    }

    /// The first aggregator, which holds the ceiling reserve of a large set.
    pub(super) fn first(&self) -> Option<NodeId> {
        self.ranked.first().copied()
    }

    /// Rank of a node among the aggregators, from 0; `None` if it is no aggregator.
    pub(super) fn rank_of(&self, node: NodeId) -> Option<usize> {
        self.ranked
            .iter()
            .position(|aggregator| *aggregator == node)
    }

    /// The aggregators, by rank.
    pub(super) fn ranked(&self) -> &[NodeId] {
        &self.ranked
    }
}
