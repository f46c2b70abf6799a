//! Deterministic subsetting: in a large fleet, each node sends nearly all requests to a subset of the endpoints, so
//! that it gets enough outcomes from each of them and needs few connections.

use super::table::EndpointTable;
use crate::decision::context::Context;
use crate::decision::hashing::{fingerprint, rendezvous_rank};

/// Minimum number of endpoints in a node's subset.
const MIN_SUBSET_ENDPOINTS: u32 = 12;
/// Minimum number of nodes whose subsets contain an endpoint.
const NODES_PER_ENDPOINT: u32 = 8;

impl EndpointTable {
    /// Assigns this node's subset of the ready endpoints.
    ///
    /// Nodes are grouped into rounds of as many nodes as there are subsets. The nodes of a round divide all endpoints
    /// evenly between them, each round in an order of its own (rendezvous hashing), so that a change of the list
    /// moves few endpoints.
    pub(super) fn assign_subset(&mut self, context: &Context<'_>) {
        let records = &mut self.records;
        let mut ready: Vec<usize> = (0..records.len())
            .filter(|index| records[*index].is_ready)
            .collect();
        let subsets = if context.is_large_fleet() {
            (ready.len() as u32 / MIN_SUBSET_ENDPOINTS)
                .min(context.settings().node_count / NODES_PER_ENDPOINT)
                .max(1)
        } else {
            1
        };
        let round = context.node().0 / subsets;
        let own_subset = (context.node().0 % subsets) as usize;
        ready.sort_by_cached_key(|index| {
            rendezvous_rank(fingerprint(&records[*index].endpoint.id), round)
        });
        for (rank, index) in ready.iter().enumerate() {
            records[*index].in_subset = rank * subsets as usize / ready.len() == own_subset;
        }
    }
}
