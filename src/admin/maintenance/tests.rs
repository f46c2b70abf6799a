#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use super::*;
use applewall::api::Endpoint;

fn entry(id: &str, port: u16, state: EndpointState) -> EndpointEntry {
    let member = Endpoint {
        id: id.into(),
        state,
        ..Endpoint::default()
    };
    EndpointEntry {
        endpoint: member,
        address: ([127, 0, 0, 1], port).into(),
    }
}

fn states(
    withheld: &mut Withheld,
    kind: EndpointUpdateKind,
    mut entries: Vec<EndpointEntry>,
) -> Vec<EndpointState> {
    withheld.mask(kind, &mut entries);
    entries.iter().map(|e| e.endpoint.state).collect()
}

#[test]
fn a_withheld_id_stays_out_whatever_the_list_says_of_it() {
    use EndpointState::{Draining, Ready, Removed};
    let mut withheld = Withheld::default();
    states(
        &mut withheld,
        EndpointUpdateKind::Snapshot,
        vec![entry("a", 1, Ready), entry("b", 2, Ready)],
    );
    let ruling = withheld.order("a", true, false);
    assert_eq!(ruling.changed.unwrap().endpoint.state, Draining);
    // Named again; gone and back at a new address; a whole list after discovery was lost, without it and with it.
    assert_eq!(
        states(
            &mut withheld,
            EndpointUpdateKind::Delta,
            vec![entry("a", 1, Ready)]
        ),
        [Draining]
    );
    assert_eq!(
        states(
            &mut withheld,
            EndpointUpdateKind::Delta,
            vec![entry("a", 1, Removed)]
        ),
        [Removed]
    );
    assert_eq!(
        states(
            &mut withheld,
            EndpointUpdateKind::Delta,
            vec![entry("a", 9, Ready)]
        ),
        [Draining]
    );
    states(
        &mut withheld,
        EndpointUpdateKind::Snapshot,
        vec![entry("b", 2, Ready)],
    );
    assert!(matches!(
        withheld.order("a", true, false).answer,
        AdminResponse::Done(_)
    ));
    assert_eq!(
        states(
            &mut withheld,
            EndpointUpdateKind::Snapshot,
            vec![entry("a", 9, Ready)]
        ),
        [Draining]
    );
    // Out twice, back once, at the address that the list has now.
    let back = withheld.order("a", false, false).changed.unwrap();
    assert_eq!((back.endpoint.state, back.address.port()), (Ready, 9));
    assert_eq!(
        states(
            &mut withheld,
            EndpointUpdateKind::Delta,
            vec![entry("a", 9, Ready)]
        ),
        [Ready]
    );
}

#[test]
fn ids_that_nobody_has_are_errors_and_what_was_not_out_is_done_without_a_change() {
    let mut withheld = Withheld::default();
    states(
        &mut withheld,
        EndpointUpdateKind::Snapshot,
        vec![entry("a", 1, EndpointState::Ready)],
    );
    for on in [true, false] {
        assert!(matches!(
            withheld.order("x", on, false).answer,
            AdminResponse::Error(_)
        ));
    }
    let ruling = withheld.order("a", false, false);
    assert!(matches!(ruling.answer, AdminResponse::Done(_)) && ruling.changed.is_none());
    assert!(!withheld.none_left());
    withheld.order("a", true, false);
    assert!(withheld.none_left());
    // Left the list while out: still known, and back without a word to the module.
    states(
        &mut withheld,
        EndpointUpdateKind::Delta,
        vec![entry("a", 1, EndpointState::Removed)],
    );
    let ruling = withheld.order("a", false, false);
    assert!(matches!(ruling.answer, AdminResponse::Done(_)) && ruling.changed.is_none());
}
