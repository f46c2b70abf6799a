//! Changes sent to the engine after reports of discovery and of a registry.

use applewall::api::{Endpoint, EndpointState};
use applewall_membership::{MemberRecord, MemberState};

use super::*;
use crate::config::platform::PlatformConfig;

fn entry(id: &str, started_at_ns: Option<u64>, state: EndpointState) -> EndpointEntry {
    let endpoint = Endpoint {
        id: id.into(),
        started_at_ns,
        state,
        ..Endpoint::default()
    };
    EndpointEntry {
        endpoint,
        address: ([127, 0, 0, 1], 1).into(),
    }
}

fn list(known: &[EndpointEntry]) -> MergedList {
    let config = PlatformConfig::sample();
    MergedList::new(known, Duration::MAX, config.settings, Clock::start())
}

fn states(entries: &[EndpointEntry]) -> Vec<(&str, EndpointState)> {
    entries
        .iter()
        .map(|entry| (&*entry.endpoint.id, entry.endpoint.state))
        .collect()
}

#[test]
fn known_endpoints_cause_no_changes() {
    let known = vec![entry("a", Some(1), EndpointState::Ready)];
    let mut list = list(&known);
    list.apply_discovery(EndpointUpdateKind::Cached, known);
    list.discard_changes();
    let changes = list.take_changes();
    assert!(changes.removed.is_empty() && changes.updated.is_empty());
}

#[test]
fn new_incarnation_is_removed_and_added_with_its_observed_start() {
    let mut list = list(&[]);
    let first = entry("a", Some(1), EndpointState::Ready);
    list.apply_discovery(EndpointUpdateKind::Snapshot, vec![first]);
    assert_eq!(
        states(&list.take_changes().updated),
        [("a", EndpointState::Ready)]
    );
    let next = entry("a", Some(2), EndpointState::Ready);
    list.apply_discovery(EndpointUpdateKind::Delta, vec![next]);
    let changes = list.take_changes();
    assert_eq!(states(&changes.removed), [("a", EndpointState::Removed)]);
    assert_eq!(states(&changes.updated), [("a", EndpointState::Ready)]);
    assert!(changes.updated[0].endpoint.started_at_ns > Some(2));
}

#[test]
fn endpoint_missing_from_a_full_list_is_removed() {
    let mut list = list(&[]);
    let both = ["a", "b"].map(|id| entry(id, Some(1), EndpointState::Ready));
    list.apply_discovery(EndpointUpdateKind::Snapshot, both.into());
    list.take_changes();
    let one = entry("b", Some(1), EndpointState::Draining);
    list.apply_discovery(EndpointUpdateKind::Snapshot, vec![one]);
    let changes = list.take_changes();
    assert_eq!(states(&changes.removed), [("a", EndpointState::Removed)]);
    assert_eq!(states(&changes.updated), [("b", EndpointState::Draining)]);
}

#[test]
fn member_of_the_first_full_list_is_not_treated_as_newly_started() {
    let mut list = list(&[]);
    let member = |id: &str, revision| MemberUpdate {
        id: id.to_string(),
        revision,
        create_revision: revision,
        record: Some(MemberRecord {
            endpoint: ([127, 0, 0, 1], 1).into(),
            az: String::new(),
            pod_group: -1,
            state: MemberState::InService,
            capacity_hint: 0.0,
            boot_ms: 0,
        }),
    };
    let position = |revision| Position {
        cluster: ClusterId(7),
        revision,
    };
    list.apply(
        REGISTRY,
        SourceInput::FullList(FullList {
            position: position(1),
            consistency: ReadConsistency::Consistent,
            updates: vec![member("a", 1)],
        }),
    );
    let first = list.take_changes().updated;
    assert_eq!(first[0].endpoint.started_at_ns, Some(LONG_PAST_NS));
    assert_eq!(list.registry_position(), Some(position(1)));
    list.apply(
        REGISTRY,
        SourceInput::Changes {
            position: position(2),
            updates: vec![member("b", 2)],
        },
    );
    let later = list.take_changes().updated;
    assert_eq!(states(&later), [("b", EndpointState::Ready)]);
    assert_ne!(later[0].endpoint.started_at_ns, Some(LONG_PAST_NS));
}
