//! Encoding of the state file, and decoding of intact, damaged and newer ones.

use super::{decode, encode};
use crate::MaintenanceSet;

#[test]
fn a_written_file_is_read_back_and_each_kind_of_damage_is_named() {
    let mut set = MaintenanceSet::default();
    assert_eq!(set.disable("s-1", true), Ok(true));
    assert_eq!(set.disable("s \"2\"", true), Ok(true));
    let text = encode(&set);
    assert_eq!(decode(&text).unwrap(), set);
    let fails_with = |text: &str, reason: &str| {
        decode(text).is_err_and(|error| error.to_string().contains(reason))
    };
    for length in 0..text.len() {
        assert!(fails_with(&text[..length], "truncated"), "{length} bytes");
    }
    let damaged = [
        ("{}", "'applewall_state' is missing"),
        ("[1]", "'applewall_state' is missing"),
        (r#"{"applewall_state":2,"withheld":7}"#, "version 2"),
        (r#"{"applewall_state":1}"#, "truncated"),
        (r#"{"applewall_state":1,"withheld":[7]}"#, "truncated"),
    ];
    for (text, reason) in damaged {
        assert!(fails_with(text, reason), "{text}");
    }
}
