//! Tests of a customer's ceiling over a set of nodes.

use super::*;

/// A plan with a quota of 20 units per second and a ceiling of 40 per second with a burst of 68.
fn plan() -> Plan {
    Plan {
        quota_units_per_second: 20.0,
        quota_burst_units: 30.0,
        ceiling_units_per_second: 40.0,
        ceiling_burst_units: 68.0,
        ..Plan::default()
    }
}

/// A customer of a large set of nodes, as seen by the first aggregator or by another node.
fn customer_of_large_set(nodes: u32, holds_reserve: bool) -> CustomerQuota {
    let mut customer = CustomerQuota::new(Timestamp::default());
    customer.nodes = NodeSet::first_nodes(nodes);
    customer.ceiling.split(true, holds_reserve);
    customer
}

#[test]
fn grants_from_the_reserve_to_one_node_after_another_never_exceed_the_ceiling() {
    let (plan, nodes) = (plan(), 34);
    let mut holder = customer_of_large_set(nodes, true);
    let mut others: Vec<CustomerQuota> = (1..nodes)
        .map(|_| customer_of_large_set(nodes, false))
        .collect();
    let mut max_units: f64 = 0.0;
    // Each node in turn has a short demand, is granted what it may need, and uses none of it.
    for step in 0..600u32 {
        let now = Timestamp::from_seconds(f64::from(step) * 0.05);
        let span = TimeSpan::from_seconds(0.05);
        let node = step % (nodes - 1);
        holder.refill_ceiling(now, span, &plan);
        for other in &mut others {
            other.refill_ceiling(now, span, &plan);
        }
        let peer = NodeId(node + 1);
        holder.peers.entry(peer).or_default().add_demand(now, 6.0);
        let granted = holder.grant_from_reserve(now, peer, 0.0, 1.0);
        others[node as usize].ceiling.take(-granted.unwrap_or(0.0));
        let allocated: f64 = others.iter().map(|other| other.ceiling.units()).sum();
        let own = holder.ceiling.units() + holder.ceiling.reserve().unwrap_or(0.0);
        max_units = max_units.max(allocated + own);
    }
    assert!(
        (60.0..68.1).contains(&max_units),
        "{max_units} units at once of 68"
    );
}

#[test]
fn a_grant_in_a_small_set_of_nodes_does_not_decay() {
    let mut customer = CustomerQuota::new(Timestamp::default());
    customer.nodes = NodeSet::first_nodes(3);
    customer.ceiling.take(-40.0);
    let minute = TimeSpan::from_seconds(60.0);
    customer.refill_ceiling(Timestamp::default() + minute, minute, &plan());
    assert_eq!(customer.ceiling.units(), 40.0);
}
