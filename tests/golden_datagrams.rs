//! Golden datagrams of every kind between nodes: they decode to the messages they encode, and encode to the same bytes again.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod datagrams;
mod golden;
mod support;

use applewall::api::{Endpoint, Event, NodeId, NodeSet, PlanId};
use applewall::decision::hashing::{fingerprint, periodic_draw, rendezvous_rank};
use applewall::gossip::codec::{self, CustomerRecord, Record, UsageReport, WrappingTotal};
use applewall_startup_scheduler::{CohortMessage, StatusMessage};
use applewall_zone_failover::ZoneMessage;
use datagrams::samples::{
    cohort_messages, customer_record, quota_messages, status_messages, values,
};
use datagrams::{of_kind, recorded, RecordedDatagram, KINDS};
use support::policy::{endpoint, settings, PolicyDriver, SAFE};

const MAX_DATAGRAM_BYTES: usize = 256;

/// A zone's number; its good, failing and dead sums, and its share of the traffic.
type ZoneReport = (u16, [f64; 4]);

#[test]
fn every_kind_is_decoded_and_encoded_again_to_the_same_bytes() {
    let mut lines = String::new();
    for datagram in recorded() {
        let RecordedDatagram { kind, text, .. } = &datagram;
        let matching = KINDS.iter().filter(|kind| (kind.matches)(text)).count();
        assert!(
            text.len() <= MAX_DATAGRAM_BYTES && matching == 1 && (kind.matches)(text),
            "{text} matches {matching} kinds and has {} bytes",
            text.len()
        );
        assert_eq!((kind.recode)(text).as_deref(), Some(&**text));
        let valid_prefixes = (0..text.len())
            .filter(|end| (kind.recode)(&text[..*end]).is_some())
            .count();
        assert_eq!(
            valid_prefixes, datagram.valid_prefixes,
            "valid prefixes of {text}"
        );
        let foreign = datagram.of_other_version();
        assert!(
            !(kind.matches)(&foreign) && KINDS.iter().all(|kind| (kind.recode)(&foreign).is_none()),
            "{foreign} of another version matches or is decoded"
        );
        lines += &format!("{}\t{valid_prefixes}\t{text}\n", kind.name);
    }
    golden::assert_same("datagrams.txt", lines.as_bytes());
}

#[test]
fn quota_datagrams_decode_to_what_they_were_encoded_from() {
    let encoded: Vec<String> = quota_messages()
        .iter()
        .flat_map(|message| codec::encode(message.incarnation, &message.records))
        .collect();
    let recorded = ["use", "word", "grant", "pool"].map(of_kind).concat();
    assert_eq!(encoded, recorded);
    let mut encoded = encoded.iter();
    for mut expected in quota_messages() {
        loop {
            let decoded = codec::decode(encoded.next().unwrap()).unwrap();
            assert_eq!(decoded.incarnation, expected.incarnation);
            let rest = expected.records.split_off(decoded.records.len());
            for (decoded, expected) in decoded.records.iter().zip(&expected.records) {
                assert_same_record(decoded, expected);
            }
            expected.records = rest;
            if expected.records.is_empty() {
                break;
            }
        }
    }
}

fn assert_same_record(decoded: &CustomerRecord, expected: &CustomerRecord) {
    assert_eq!(decoded.customer, expected.customer);
    let (decoded, expected) = (values(&decoded.record), values(&expected.record));
    let is_close =
        |(value, expected): (&f64, &f64)| (value - expected).abs() <= expected.abs() * 1e-9 + 1e-12;
    assert!(
        decoded.len() == expected.len() && decoded.iter().zip(&expected).all(is_close),
        "{decoded:?}, expected {expected:?}"
    );
}

#[test]
fn startup_datagrams_decode_to_what_they_were_encoded_from() {
    let (statuses, cohorts) = (of_kind("start"), of_kind("roll"));
    assert_eq!((statuses.len(), cohorts.len()), (3, 2));
    for (text, message) in statuses.iter().zip(status_messages()) {
        assert_eq!(
            (StatusMessage::decode(text), message.encode()),
            (Ok(message), text.clone())
        );
    }
    for (text, message) in cohorts.iter().zip(cohort_messages()) {
        assert_eq!(message.encode(), *text);
        assert_eq!(CohortMessage::decode(text), Ok(message));
    }
}

#[test]
fn zone_datagrams_decode_to_what_they_were_encoded_from() {
    let expected: [(u32, u32, &[ZoneReport]); 3] = [
        (0, 0, &[]),
        (
            3_735_928_559,
            7,
            &[
                (0, [12.5, 0.125, 3.0, 0.25]),
                (65_535, [0.0, 0.0, 100_000.0, 1.0]),
            ],
        ),
        (u32::MAX, u32::MAX, &[(2, [0.001, 0.002, 0.003, 0.0])]),
    ];
    let datagrams = of_kind("zones");
    assert_eq!(datagrams.len(), expected.len());
    for (text, (incarnation, sequence, reports)) in datagrams.iter().zip(expected) {
        let message = ZoneMessage::decode(text).unwrap();
        let decoded = message.reports.iter().map(|report| {
            let sums = report.sums;
            let values = [sums.good, sums.failing, sums.dead, report.traffic_share];
            (report.zone, values)
        });
        let decoded: Vec<ZoneReport> = decoded.collect();
        assert_eq!(
            (message.incarnation, message.sequence, &decoded[..]),
            (incarnation, sequence, reports)
        );
    }
}

/// Values that all nodes have to compute alike without a message: fingerprints of names, ranks that choose aggregators, and
/// periodic draws.
#[test]
fn fingerprints_ranks_and_draws_are_as_recorded() {
    let mut lines = String::new();
    let names = ["", "a", "s-1", "00000000b4d65521", "Kunde Ä"];
    for (number, name) in names.into_iter().enumerate() {
        let (customer, peer) = (fingerprint(name), number as u32 * 17);
        let draw = periodic_draw(customer, NodeId(peer), number as f64 * 1.25).to_bits();
        let rank = rendezvous_rank(customer, peer);
        let total = WrappingTotal::from_units(number as f64 * 1030.3).code();
        lines += &format!("{customer} {rank} {draw:016x} {total}\n");
    }
    golden::assert_same("names.txt", lines.as_bytes());
    let units_between = |before, after| {
        WrappingTotal::from_code(after).units_since(WrappingTotal::from_code(before))
    };
    assert_eq!((units_between(4090, 6), units_between(6, 6)), (3.0, 0.0));
}

/// A usage report of a peer.
fn usage_report() -> String {
    let report = Record::Usage(UsageReport {
        plan: PlanId(0),
        nodes: NodeSet::first_nodes(3),
        forwarded: WrappingTotal::from_code(8),
        requested: WrappingTotal::from_code(80),
        quota_level: 0.5,
    });
    let record = customer_record(fingerprint("customer 1"), report);
    let [datagram]: [String; 1] = codec::encode(9, &[record]).try_into().unwrap();
    datagram
}

/// Malformed variants of a datagram, which no node of this version sends.
fn malformed(datagram: &RecordedDatagram) -> [String; 5] {
    let text = &datagram.text;
    [
        datagram.of_other_version(),
        format!("{text}="),
        // Malformed in the last field only.
        format!("{}=", &text[..text.len() - 1]),
        text[..3].to_string(),
        String::new(),
    ]
}

/// A node receives the recorded datagrams, each after its malformed variants if `with_malformed`, and followed by
/// `additional`; returns what the node sent, and its snapshot.
fn receive_recorded(with_malformed: bool, additional: Option<&str>) -> (Vec<String>, Vec<u8>) {
    let endpoints: Vec<Endpoint> = (0..3)
        .map(|number| endpoint(&format!("b{number}"), 0))
        .collect();
    let mut driver = PolicyDriver::new(settings(), 1, &endpoints);
    let message = |text: &str| Event::PeerMessage {
        from: NodeId(1),
        text: text.to_string(),
    };
    driver.request(SAFE, PlanId(0), "customer 1", 1.0);
    for datagram in recorded() {
        let malformed = malformed(&datagram);
        for text in malformed.iter().filter(|_| with_malformed) {
            assert_eq!(driver.handle(message(text)), [], "{text}");
        }
        driver.handle(message(&datagram.text));
        if let Some(text) = additional {
            driver.handle(message(text));
        }
    }
    let snapshot = driver.policy.export_snapshot().unwrap();
    (driver.gossip_texts, snapshot)
}

#[test]
fn malformed_datagrams_among_valid_ones_change_nothing() {
    let report = usage_report();
    let expected = receive_recorded(false, Some(&report));
    assert!(
        receive_recorded(true, Some(&report)) == expected,
        "malformed datagrams changed the state"
    );
    assert!(
        receive_recorded(false, None) != expected,
        "the usage report changed nothing"
    );
}
