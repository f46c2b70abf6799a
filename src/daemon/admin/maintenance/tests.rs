use super::*;
use applewall::api::Endpoint;
use CommandOrigin::AdminAddress;
use MaintenanceChange::{Enter, Leave};

fn entry(id: &str, port: u16, state: EndpointState) -> EndpointEntry {
    let endpoint = Endpoint {
        id: id.into(),
        state,
        ..Endpoint::default()
    };
    EndpointEntry {
        endpoint,
        address: ([127, 0, 0, 1], port).into(),
    }
}

fn states(
    filter: &mut MaintenanceFilter,
    kind: EndpointUpdateKind,
    mut entries: Vec<EndpointEntry>,
) -> Vec<EndpointState> {
    filter.apply(kind, &mut entries);
    entries.iter().map(|entry| entry.endpoint.state).collect()
}

/// The state of an entry after it passed `filter` in an update with this entry alone.
fn updated(
    filter: &mut MaintenanceFilter,
    kind: EndpointUpdateKind,
    entry: EndpointEntry,
) -> EndpointState {
    states(filter, kind, vec![entry])[0]
}

#[test]
fn endpoint_stays_in_maintenance_through_changes_of_the_list() {
    use EndpointState::{Draining, Ready, Removed};
    use EndpointUpdateKind::{Delta, Snapshot};
    let mut filter = MaintenanceFilter::default();
    states(
        &mut filter,
        Snapshot,
        vec![entry("a", 1, Ready), entry("b", 2, Ready)],
    );
    let outcome = filter.change("a", Enter, AdminAddress);
    assert_eq!(outcome.changed.unwrap().endpoint.state, Draining);
    // The list repeats the endpoint, removes it and adds it at a new address. After a loss of discovery, a full list lacks
    // the endpoint, and another one has it again.
    let repeated = updated(&mut filter, Delta, entry("a", 1, Ready));
    assert_eq!(repeated, Draining);
    let removed = updated(&mut filter, Delta, entry("a", 1, Removed));
    assert_eq!(removed, Removed);
    let added = updated(&mut filter, Delta, entry("a", 9, Ready));
    assert_eq!(added, Draining);
    states(&mut filter, Snapshot, vec![entry("b", 2, Ready)]);
    let second = filter.change("a", Enter, AdminAddress);
    assert!(matches!(second.answer, AdminResponse::Done(_)));
    let listed_again = states(&mut filter, Snapshot, vec![entry("a", 9, Ready)]);
    assert_eq!(listed_again, [Draining]);
    // Put into maintenance twice and returned to service once, at the address that is now in the list.
    let returned = filter.change("a", Leave, AdminAddress).changed.unwrap();
    assert_eq!(
        (returned.endpoint.state, returned.address.port()),
        (Ready, 9)
    );
    let in_service = updated(&mut filter, Delta, entry("a", 9, Ready));
    assert_eq!(in_service, Ready);
}

#[test]
fn unknown_ids_are_rejected_and_returning_an_endpoint_not_in_maintenance_changes_nothing() {
    let mut filter = MaintenanceFilter::default();
    states(
        &mut filter,
        EndpointUpdateKind::Snapshot,
        vec![entry("a", 1, EndpointState::Ready)],
    );
    for change in [Enter, Leave] {
        let outcome = filter.change("x", change, AdminAddress);
        assert!(matches!(outcome.answer, AdminResponse::Error(_)));
    }
    let outcome = filter.change("a", Leave, AdminAddress);
    assert!(matches!(outcome.answer, AdminResponse::Done(_)) && outcome.changed.is_none());
    assert!(!filter.all_in_maintenance());
    filter.change("a", Enter, AdminAddress);
    assert!(filter.all_in_maintenance());
    // An endpoint that was removed from the list while in maintenance is still known, and returns to service without an
    // update for the decision policy.
    states(
        &mut filter,
        EndpointUpdateKind::Delta,
        vec![entry("a", 1, EndpointState::Removed)],
    );
    let outcome = filter.change("a", Leave, AdminAddress);
    assert!(matches!(outcome.answer, AdminResponse::Done(_)) && outcome.changed.is_none());
}
