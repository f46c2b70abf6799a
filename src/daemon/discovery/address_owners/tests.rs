use applewall::api::Endpoint;

use super::*;

fn entry(id: &str, port: u16, started_at_ns: Option<u64>) -> EndpointEntry {
    EndpointEntry {
        endpoint: Endpoint {
            id: id.into(),
            started_at_ns,
            state: EndpointState::Ready,
            ..Endpoint::default()
        },
        address: SocketAddr::from(([127, 0, 0, 1], port)),
    }
}

fn removed(mut entry: EndpointEntry) -> EndpointEntry {
    entry.endpoint.state = EndpointState::Removed;
    entry
}

/// The endpoints of an update that are in service, then those that are removed.
fn applied(
    owners: &mut AddressOwners,
    kind: EndpointUpdateKind,
    mut entries: Vec<EndpointEntry>,
) -> (Vec<String>, Vec<String>) {
    owners.apply(kind, &mut entries);
    let (ready, gone): (Vec<_>, Vec<_>) = entries
        .into_iter()
        .partition(|entry| entry.endpoint.state == EndpointState::Ready);
    let ids = |entries: Vec<EndpointEntry>| {
        let mut ids: Vec<_> = entries
            .iter()
            .map(|entry| entry.endpoint.id.to_string())
            .collect();
        ids.sort();
        ids
    };
    (ids(ready), ids(gone))
}

use EndpointUpdateKind::{Delta, Snapshot};

#[test]
fn new_endpoint_displaces_the_one_at_its_address_until_it_is_removed() {
    let mut owners = AddressOwners::default();
    let list = vec![entry("old", 1, None), entry("other", 2, None)];
    let (ready, gone) = applied(&mut owners, Snapshot, list);
    assert_eq!((ready.len(), gone.len()), (2, 0));
    let (ready, gone) = applied(&mut owners, Delta, vec![entry("new", 1, Some(5))]);
    assert_eq!((ready, gone), (vec!["new".into()], vec!["old".into()]));
    // The old one is reported once more.
    let (ready, gone) = applied(&mut owners, Delta, vec![entry("old", 1, None)]);
    assert_eq!((ready, gone), (vec![], vec!["old".into()]));
    let (ready, gone) = applied(&mut owners, Delta, vec![removed(entry("new", 1, Some(5)))]);
    assert_eq!((ready, gone), (vec!["old".into()], vec!["new".into()]));
}

#[test]
fn complete_list_keeps_the_endpoint_that_started_last_at_each_address() {
    let mut owners = AddressOwners::default();
    for list in [
        [entry("a", 1, Some(1)), entry("b", 1, Some(2))],
        [entry("b", 1, Some(2)), entry("a", 1, Some(1))],
    ] {
        let (ready, gone) = applied(&mut owners, Snapshot, list.into());
        assert_eq!((ready, gone), (vec!["b".into()], vec![]));
    }
    // Without start times, the one that is new at the address.
    let mut owners = AddressOwners::default();
    applied(&mut owners, Snapshot, vec![entry("a", 1, None)]);
    for _ in 0..2 {
        let list = vec![entry("b", 1, None), entry("a", 1, None)];
        let (ready, _) = applied(&mut owners, Snapshot, list);
        assert_eq!(ready, ["b".to_string()]);
    }
}

#[test]
fn endpoint_that_moves_leaves_its_address_to_others() {
    let mut owners = AddressOwners::default();
    applied(&mut owners, Snapshot, vec![entry("a", 1, None)]);
    applied(&mut owners, Delta, vec![entry("b", 1, None)]);
    let (ready, gone) = applied(&mut owners, Delta, vec![entry("b", 2, None)]);
    assert_eq!(
        (ready, gone),
        (vec!["a".to_string(), "b".to_string()], vec![])
    );
    // An endpoint that is restarted at its address is no new one.
    let (ready, gone) = applied(&mut owners, Delta, vec![entry("a", 1, Some(9))]);
    assert_eq!((ready, gone), (vec!["a".into()], vec![]));
}
