//! The golden snapshot that a hot restart transfers: that of a short simulation, and that of the process that imports it.

mod golden;
mod hot_restart_snapshot;
mod support;

use applewall::api::*;
use applewall::decision::hashing::fingerprint;
use applewall::decision::DecisionPolicy;
use applewall::simulator::write_action;
use hot_restart_snapshot::play::{endpoints, settings, simulate, take_over, END};
use hot_restart_snapshot::{decode, encode, DecodedSnapshot, CHECKSUM};
use support::policy::{attempted_endpoint, MILLISECOND, SECOND};

fn recorded() -> Vec<u8> {
    golden::bytes("handover.bin")
}

#[test]
fn the_snapshot_of_the_simulation_is_as_recorded() {
    let mut driver = simulate();
    assert_eq!(driver.now, END);
    golden::assert_same(
        "handover.bin",
        &driver.policy.export_snapshot().expect("exported"),
    );
}

#[test]
fn a_new_process_exports_the_state_that_it_imported_with_half_of_each_ceiling() {
    let bytes = recorded();
    let again = take_over(&bytes)
        .expect("imported")
        .policy
        .export_snapshot()
        .expect("exported");
    golden::assert_same("handover_again.bin", &again);
    let (mut first, again) = (decode(&bytes), decode(&again));
    for customer in first.customers.values_mut() {
        customer.ceiling *= 0.5;
        customer.unreported = false;
        customer.in_flight = 0;
    }
    for (record, listed) in first.endpoints.iter_mut().zip(endpoints()) {
        let is_ready = listed.state == EndpointState::Ready;
        // The transferred list is older than the snapshot.
        record.endpoint.2 = listed.started_at_ns;
        record.endpoint.6 = u32::from(!is_ready);
        record.ready_removed_in_subset[0] = is_ready;
        record.ready_removed_in_subset[1] = false;
    }
    assert_eq!(first, again);
}

#[test]
fn the_encoding_of_a_snapshot_is_as_recorded() {
    let bytes = recorded();
    let snapshot = decode(&bytes);
    assert!(
        encode(&snapshot) == bytes,
        "a field has another type or place"
    );
    assert_eq!(
        (
            snapshot.shape,
            snapshot.started_at,
            snapshot.listed,
            snapshot.incarnation
        ),
        ((3, 3, 2), 1000.0, true, 928_794)
    );
    assert!(snapshot.peer_incarnations.into_iter().eq([
        (1, 41),
        (2, 42),
        (3, 43),
        (4, 44),
        (5, 44)
    ]));
    assert_eq!(
        (snapshot.latency[0], snapshot.latency[5], snapshot.speeds[1]),
        ((0.015, 1.0), (0.049, 1.0), (1.0, 10.0))
    );
    assert_eq!(
        snapshot.ladder.index,
        [-3, -3, -3, -3, -3, -3, 0, 0, -3, -3]
    );
}

#[test]
fn the_customers_of_a_snapshot_are_as_recorded() {
    let customers = decode(&recorded()).customers;
    let names = ["wide 47", "near", "own", "told", "far"].map(fingerprint);
    assert!(
        names.iter().all(|name| customers.contains_key(name)) && customers.len() == names.len() + 8,
        "{:?}",
        customers.keys()
    );
    let [wide, near, _, reported, far] = names.map(|name| &customers[&name]);
    assert_eq!(
        (
            wide.plan,
            wide.node_set,
            wide.forwarded,
            wide.requested,
            wide.in_flight
        ),
        (Some(0), (20, 0), 14.0, 27.0, 3)
    );
    assert_eq!(
        (
            wide.base_allocation,
            wide.ceiling_reserve.is_some(),
            wide.at_seen_since
        ),
        (0.5, true, [1002.0, 1001.6, 1000.0])
    );
    let totals = |peer: &(u32, u32, (f64, f64), (f64, f64))| (peer.0, peer.1);
    assert_eq!(
        (totals(&wide.peers[&1]), totals(&far.peers[&2])),
        ((12, 16), (40, 44))
    );
    assert_eq!(
        (
            near.is_aggregator,
            &near.aggregators[..],
            near.tokens,
            near.draw
        ),
        (true, &[0, 2, 1][..], 1e6, 1.0)
    );
    assert_eq!(
        (
            reported.plan,
            reported.aggregate.map(|update| update[2]),
            reported.quota_level
        ),
        (None, Some(1001.52), 0.238_095_238_095_238_14)
    );
}

#[test]
fn the_endpoints_of_a_snapshot_are_as_recorded() {
    let DecodedSnapshot {
        endpoints,
        endpoint_numbers,
        ..
    } = decode(&recorded());
    assert_eq!(endpoints[0].endpoint, ("b0".into(), 0.5, None, 0, -1, 0, 0));
    assert_eq!(
        endpoints[1].endpoint,
        ("b1".into(), 1.5, Some(999 * SECOND), 1, 0, 1, 2)
    );
    let states: Vec<_> = endpoints
        .iter()
        .map(|record| (record.ready_removed_in_subset, record.awaits_first_attempt))
        .collect();
    let ready = [true, false, true];
    let removed = [false, true, true];
    let draining = [false, false, false];
    assert_eq!(
        states,
        [
            (ready, false),
            (removed, false),
            (ready, true),
            (draining, false)
        ]
    );
    assert_eq!(
        (endpoints[0].last_success, endpoints[2].slow_start_from),
        (1001.62, 1001.62)
    );
    let numbers = ["b0", "b1", "b2", "b3"].into_iter().zip(0..);
    assert!(
        endpoint_numbers
            .iter()
            .map(|(name, number)| (&**name, *number))
            .eq(numbers),
        "{endpoint_numbers:?}"
    );
}

#[test]
fn decisions_after_an_import_are_as_recorded() {
    let mut driver = take_over(&recorded()).expect("imported");
    let mut lines = format!("{} kept\n", driver.policy.entry_count());
    for round in 0..30usize {
        let customer = ["wide 47", "near", "own", "told", "far", "new"][round % 6];
        let (id, actions) = driver.request_with_node_set(
            [20, 3, 1][round % 3],
            ClassId(round % 3),
            PlanId(round / 6 % 3),
            customer,
            1.0,
        );
        for action in &actions {
            write_action(&mut lines, round as u64, action);
        }
        if let Some(endpoint) = attempted_endpoint(&actions) {
            driver.finish_attempt(id, 0, &endpoint, Outcome::Success, 30);
        }
        driver.advance(50 * MILLISECOND);
    }
    for (peer, text) in &driver.gossip {
        lines += &format!("{:?} {text}\n", peer.map(|node| node.0));
    }
    golden::assert_same("handover_goes_on.txt", lines.as_bytes());
}

#[test]
fn a_malformed_snapshot_or_one_of_another_version_changes_nothing() {
    let bytes = recorded();
    let snapshot = decode(&bytes);
    let refusal = |bytes: &[u8]| take_over(bytes).err().expect("a refusal");
    let changed = |change: fn(&mut DecodedSnapshot)| {
        let mut changed = snapshot.clone();
        change(&mut changed);
        encode(&changed)
    };
    for other in [
        changed(|snapshot| snapshot.shape.0 += 1),
        changed(|snapshot| {
            snapshot.endpoint_numbers.insert("b0".into(), 99);
        }),
        changed(|snapshot| {
            let customers = snapshot.customers.values_mut();
            customers.for_each(|customer| customer.node_set.0 = 0);
        }),
    ] {
        assert_eq!(
            refusal(&other),
            "state snapshot does not match the settings"
        );
    }
    // An encoding with fewer fields, as an older version may have, and bytes that are no snapshot.
    let shorter = postcard::to_stdvec_crc32(
        &(snapshot.shape, snapshot.started_at, snapshot.listed),
        CHECKSUM.digest(),
    )
    .unwrap();
    let mut flipped = bytes.clone();
    flipped[bytes.len() / 2] ^= 1;
    let end = "Hit the end of buffer, expected more data";
    for (bytes, error) in [
        (&shorter[..], end),
        (&bytes[..0], end),
        (&bytes[..bytes.len() / 2], end),
        (&flipped, "Bad CRC while deserializing"),
    ] {
        let expected = format!("malformed state snapshot or incompatible version: {error}");
        assert_eq!(refusal(bytes), expected);
    }
    let mut policy = DecisionPolicy::new(settings(), 99, END);
    let fresh = DecisionPolicy::new(settings(), 99, END)
        .export_snapshot()
        .unwrap();
    assert!(
        policy.import_snapshot(&flipped).is_err() && policy.export_snapshot().unwrap() == fresh
    );
}
