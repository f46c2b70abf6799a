use super::*;

/// A plan of the site's figures: quota 20 units a second, ceiling 40 a second and 68 at once.
fn plan() -> Plan {
    let (rate, burst) = (20.0, 30.0);
    Plan {
        quota_units_per_second: rate,
        quota_burst_units: burst,
        ceiling_units_per_second: 40.0,
        ceiling_burst_units: 68.0,
        ..Plan::default()
    }
}

fn customer(spread: u32, bank: Option<f64>) -> CustomerQuota {
    CustomerQuota {
        node_set_size: spread,
        base_allocation: 0.5,
        ceiling_reserve: bank,
        aggregators: vec![0, 1],
        ..CustomerQuota::default()
    }
}

#[test]
fn what_a_bank_lends_one_after_another_never_comes_to_more_than_the_ceilings_store() {
    let (plan, spread) = (plan(), 34);
    let mut lender = customer(spread, Some(0.0));
    let mut parts: Vec<CustomerQuota> = (1..spread).map(|_| customer(spread, None)).collect();
    let mut most: f64 = 0.0;
    // Each in turn has a moment of demand, is lent what it may need, and uses none of it.
    for step in 0..600u32 {
        let (now, dt) = (f64::from(step) * 0.05, 0.05);
        let turn = step % (spread - 1);
        lender.fill_ceiling(now, dt, &plan);
        parts
            .iter_mut()
            .for_each(|part| part.fill_ceiling(now, dt, &plan));
        lender
            .peers
            .entry(turn + 1)
            .or_default()
            .demand
            .add(now, 6.0, RATE_MEMORY);
        let lent = lender
            .grant_from_reserve(now, turn + 1, 0.0, 1.0)
            .unwrap_or(0.0);
        parts[turn as usize].ceiling_units += lent;
        let all: f64 = parts.iter().map(|part| part.ceiling_units).sum();
        most = most.max(all + lender.ceiling_units + lender.ceiling_reserve.unwrap_or(0.0));
    }
    assert!((60.0..68.1).contains(&most), "{most} units at once of 68");
}

#[test]
fn a_grant_of_a_small_set_stays() {
    let (plan, mut part) = (
        plan(),
        CustomerQuota {
            ceiling_units: 40.0,
            ..customer(3, None)
        },
    );
    part.base_allocation = 1.0;
    part.fill_ceiling(60.0, 60.0, &plan);
    assert_eq!(part.ceiling_units, 40.0);
}
