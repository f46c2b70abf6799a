//! Encoding and decoding of the status message.

use super::*;

#[test]
fn status_message_round_trips_and_fits_a_datagram() {
    let largest = StatusMessage {
        wants_reply: true,
        age_deciseconds: MAX_AGE_DECISECONDS,
        revision: Some(MAX_REVISION),
        confirmed: true,
        overloaded: true,
        starting_peers: u32::MAX,
    };
    let smallest = StatusMessage {
        wants_reply: false,
        age_deciseconds: 0,
        revision: None,
        confirmed: false,
        overloaded: false,
        starting_peers: 0,
    };
    for message in [largest, smallest] {
        let text = message.encode();
        assert!(text.len() <= 256 && StatusMessage::matches(&text), "{text}");
        assert_eq!(StatusMessage::decode(&text), Ok(message));
    }
}

#[test]
fn truncated_foreign_or_other_version_text_is_not_a_status_message() {
    for text in [
        "",
        "T1",
        "T1 ",
        "T1 0 5 7",
        "T1 0 5 7 1 9",
        "T2 0 5 7 1",
        "T1 8 5 7 1",
        "T1 0 -5 7 1",
        "T1 0 5 x 1",
        "T1 0 5 +7 1",
        "T1 0 5 18446744073709551615 1",
        "T1 0 5 7 99999999999",
        "T1  0 5 7 1",
        "uAAAA",
        "T1 0 5  1",
    ] {
        assert!(StatusMessage::decode(text).is_err(), "{text:?}");
    }
}
