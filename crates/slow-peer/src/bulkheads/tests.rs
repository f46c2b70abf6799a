//! Tests of the classification of networks and of the limits on slots.

use super::*;

fn settings() -> BulkheadSettings {
    let exempt = Networks(vec!["10.0.0.0/8".parse().unwrap()]);
    BulkheadSettings {
        enabled: applewall_operator_config::EnabledFlag(true),
        exempt,
        ..BulkheadSettings::default()
    }
}

#[test]
fn addresses_are_classified_by_prefix_and_exempt_ones_have_no_network() {
    let classifier = NetworkClassifier::new(&settings());
    let network_of = |text: &str| {
        classifier
            .network_of(text.parse().unwrap())
            .map(|net| net.to_string())
    };
    assert_eq!(network_of("192.0.2.7").as_deref(), Some("192.0.2.0/24"));
    assert_eq!(
        network_of("::ffff:192.0.2.9").as_deref(),
        Some("192.0.2.0/24")
    );
    assert_eq!(
        network_of("2001:db8:0:1ff::1").as_deref(),
        Some("2001:db8:0:100::/56")
    );
    assert_eq!(network_of("10.1.2.3"), None);
    assert_eq!(
        NetworkClassifier::new(&BulkheadSettings::default())
            .network_of("192.0.2.7".parse().unwrap()),
        None
    );
}

#[test]
fn penalized_network_gets_fewer_slots_for_a_while_and_always_one() {
    let mut bulkheads = Bulkheads::new(&settings(), 8);
    let owner_in = |text: &str| ResourceOwner {
        customer: None,
        peer_network: Some(text.parse().unwrap()),
    };
    let (penalized, other) = (owner_in("192.0.2.0/24"), owner_in("198.51.100.0/24"));
    let acquire_all = |bulkheads: &mut Bulkheads, now, owner| {
        (0..8)
            .take_while(|_| bulkheads.acquire(now, owner).is_ok())
            .count()
    };
    (0..2).for_each(|_| bulkheads.penalize(0, penalized));
    assert_eq!(
        (
            acquire_all(&mut bulkheads, 1, penalized),
            acquire_all(&mut bulkheads, 1, other)
        ),
        (2, 4)
    );
    (0..2).for_each(|_| bulkheads.release(penalized));
    // One slot remains however many penalties there are, and all slots are available again once the penalties expire.
    (0..100).for_each(|_| bulkheads.penalize(1, penalized));
    assert!(bulkheads.penalties.len() < 4);
    assert_eq!(acquire_all(&mut bulkheads, 2, penalized), 1);
    bulkheads.release(penalized);
    assert_eq!(acquire_all(&mut bulkheads, 20_000_000_000, penalized), 4);
    assert!(bulkheads.penalties.is_empty() && bulkheads.penalty_counts.is_empty());
}

#[test]
fn customer_acquires_slots_up_to_its_limit() {
    let mut bulkheads = Bulkheads::new(&settings(), 8);
    let customer = |customer| ResourceOwner {
        customer: Some(customer),
        peer_network: None,
    };
    assert_eq!(
        [1, 1, 1].map(|id| bulkheads.acquire(0, customer(id))),
        [Ok(()), Ok(()), Err(LimitExceeded::Customer)]
    );
    assert_eq!(bulkheads.acquire(0, customer(2)), Ok(()));
    [1, 1, 2]
        .into_iter()
        .for_each(|id| bulkheads.release(customer(id)));
    assert!(bulkheads.is_empty());
}
