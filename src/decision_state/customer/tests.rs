use super::*;

/// A quota of 20 units a second, and a ceiling of 40 a second and 68 at once.
fn plan() -> Plan {
    Plan {
        quota_units_per_second: 20.0,
        quota_burst_units: 30.0,
        ceiling_units_per_second: 40.0,
        ceiling_burst_units: 68.0,
        ..Plan::default()
    }
}

fn customer(node_set_size: u32, ceiling_reserve: Option<f64>) -> CustomerQuota {
    CustomerQuota {
        node_set_size,
        base_allocation: 0.5,
        ceiling_reserve,
        aggregators: vec![0, 1],
        ..CustomerQuota::default()
    }
}

#[test]
fn grants_from_the_reserve_to_one_node_after_another_never_exceed_the_ceiling() {
    let (plan, nodes) = (plan(), 34);
    let mut reserve = customer(nodes, Some(0.0));
    let mut others: Vec<CustomerQuota> = (1..nodes).map(|_| customer(nodes, None)).collect();
    let mut most: f64 = 0.0;
    // Each in order has a moment of demand, is granted what it may need, and uses none of it.
    for step in 0..600u32 {
        let (now, span) = (f64::from(step) * 0.05, 0.05);
        let node = step % (nodes - 1);
        reserve.fill_ceiling(now, span, &plan);
        for other in &mut others {
            other.fill_ceiling(now, span, &plan);
        }
        let peer = reserve.peers.entry(node + 1).or_default();
        peer.demand.add(now, 6.0, RATE_MEMORY);
        let granted = reserve.grant_from_reserve(now, node + 1, 0.0, 1.0);
        others[node as usize].ceiling_units += granted.unwrap_or(0.0);
        let all: f64 = others.iter().map(|other| other.ceiling_units).sum();
        let own = reserve.ceiling_units + reserve.ceiling_reserve.unwrap_or(0.0);
        most = most.max(all + own);
    }
    assert!((60.0..68.1).contains(&most), "{most} units at once of 68");
}

#[test]
fn a_grant_in_a_small_set_of_nodes_does_not_decay() {
    let mut customer = CustomerQuota {
        ceiling_units: 40.0,
        base_allocation: 1.0,
        ..customer(3, None)
    };
    customer.fill_ceiling(60.0, 60.0, &plan());
    assert_eq!(customer.ceiling_units, 40.0);
}
