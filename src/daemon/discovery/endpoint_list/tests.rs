//! Lists with malformed entries, and which of those entries are remembered as logged.

use super::*;
use crate::config::platform::PlatformConfig;
use serde_json::json;

fn malformed(revision: u64, complete: bool, ids: std::ops::Range<usize>) -> EndpointList {
    EndpointList {
        revision,
        complete,
        targets: ids.map(|id| json!({ "uid": id.to_string() })).collect(),
    }
}

#[test]
fn malformed_entry_is_rejected_alone() {
    let config = PlatformConfig::sample();
    let list = EndpointList {
        targets: vec![
            json!({ "uid": "a", "endpoint": "127.0.0.1:1", "state": "in_service" }),
            json!({ "uid": "b", "endpoint": "127.0.0.1:2", "state": "asleep" }),
            json!(3),
            json!({ "uid": "c", "endpoint": "127.0.0.1:3", "state": "terminating" }),
        ],
        ..EndpointList::default()
    };
    let entries = list.entries(&config.settings, &Clock::start());
    let read: Vec<_> = entries
        .iter()
        .map(|entry| (&*entry.endpoint.id, entry.endpoint.state))
        .collect();
    assert_eq!(
        read,
        [("a", EndpointState::Ready), ("c", EndpointState::Draining)]
    );
}

#[test]
fn reported_entries_are_those_of_the_last_full_list_and_the_changes_since() {
    let (config, clock) = (PlatformConfig::sample(), Clock::start());
    let mut reported = ReportedEntries::default();
    let mut read = |list: EndpointList| {
        list.entries_with_new_warnings(&mut reported, &config.settings, &clock);
        reported.entries.len()
    };
    assert_eq!(read(malformed(1, true, 0..5)), 5);
    assert_eq!(read(malformed(2, false, 5..6)), 6, "changes add to them");
    assert_eq!(
        read(malformed(3, true, 0..2)),
        2,
        "a full list replaces them"
    );
    assert_eq!(
        read(malformed(4, false, 10..10 + MAX_REPORTED_ENTRIES)),
        2,
        "more than the maximum are not remembered"
    );
}
