//! Encoding and decoding of the zone message.

use super::*;

fn report(zone: u16) -> ZoneReport {
    ZoneReport {
        zone,
        sums: OutcomeSums {
            good: 12.5,
            failing: 0.125,
            dead: 3.0,
        },
        traffic_share: 0.25,
    }
}

#[test]
fn zone_message_round_trips_and_fits_a_datagram_however_many_zones_there_are() {
    let message = ZoneMessage {
        incarnation: u32::MAX,
        sequence: 7,
        zones_with_alternative: vec![2, 65_535],
        reports: (0..3).map(report).collect(),
    };
    assert_eq!(ZoneMessage::decode(&message.encode()), Ok(message.clone()));
    let many = ZoneMessage {
        reports: (0..500).map(report).collect(),
        ..message
    };
    let text = many.encode();
    let decoded = ZoneMessage::decode(&text).expect("well-formed");
    assert!(
        text.len() <= 256
            && decoded.reports.len() >= 8
            && decoded.reports[..] == many.reports[..decoded.reports.len()]
    );
}

#[test]
fn truncated_foreign_or_other_version_text_is_not_a_zone_message() {
    for text in [
        "",
        "Z1",
        "Z1 1",
        "Z2 1 2",
        "Z1 1 2 ",
        "Z1 1 2 0:1:1:1",
        "Z1 1 2 0:1:1:1:1001",
        "Z1 1 2 0:1:1:1:10:1",
        "Z1 1 2 0:1:1:1:10 0:1:1:1:10",
        "Z1 1 2 A 0:1:1:1:10",
        "Z1 1 2 A0, 0:1:1:1:10",
        "Z1 1 2 A70000",
        "Z1 1 2 A0 A1",
        "Z1 1 2 0:1:1:1:10 A0",
        "Z1 1 2 70000:1:1:1:10",
        "Z1 1 2 0:-1:1:1:10",
        "Z1 1 2 0:1:999999999999:1:10",
        "Z1 5000000000 2",
        "T1 1 2",
    ] {
        assert!(ZoneMessage::decode(text).is_err(), "{text:?}");
    }
}
