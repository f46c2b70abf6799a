//! Sending load statistics in a large fleet.

use rand::rngs::SmallRng;
use rand::Rng;

use super::codec::{CustomerRecord, Record};
use super::GossipContext;
use crate::api::Action;
use crate::decision_state::PooledLoad;

/// Part of the pool that goes to a peer, and is kept: nothing is counted twice.
const SENT_SHARE: f64 = 0.5;

/// Sends a peer, drawn at random, a part of the pool.
pub(crate) fn send_load_statistics(
    context: GossipContext<'_>,
    load: &mut PooledLoad,
    rng: &mut SmallRng,
    actions: &mut Vec<Action>,
) {
    load.outgoing = load.outgoing.scaled(SENT_SHARE);
    let settings = context.settings;
    let distance = 1 + rng.random_range(0..settings.node_count - 1);
    let peer = (settings.node + distance) % settings.node_count;
    let record = CustomerRecord {
        customer: 0,
        record: Record::Statistics(load.outgoing),
    };
    context.send_one(peer, record, actions);
}
