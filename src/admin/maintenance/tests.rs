use super::*;
use applewall::api::Member;

fn entry(id: &str, port: u16, state: MemberState) -> Entry {
    let member = Member {
        backend: id.into(),
        state,
        ..Member::default()
    };
    Entry {
        member,
        endpoint: ([127, 0, 0, 1], port).into(),
    }
}

fn states(withheld: &mut Withheld, kind: ListKind, mut entries: Vec<Entry>) -> Vec<MemberState> {
    withheld.mask(kind, &mut entries);
    entries.iter().map(|e| e.member.state).collect()
}

#[test]
fn a_withheld_id_stays_out_whatever_the_list_says_of_it() {
    use MemberState::{Draining, Gone, Ready};
    let mut withheld = Withheld::default();
    states(
        &mut withheld,
        ListKind::Full,
        vec![entry("a", 1, Ready), entry("b", 2, Ready)],
    );
    let ruling = withheld.order("a", true, false);
    assert_eq!(ruling.changed.unwrap().member.state, Draining);
    // Named again; gone and back at a new address; a whole list after discovery was lost, without it and with it.
    assert_eq!(
        states(&mut withheld, ListKind::Delta, vec![entry("a", 1, Ready)]),
        [Draining]
    );
    assert_eq!(
        states(&mut withheld, ListKind::Delta, vec![entry("a", 1, Gone)]),
        [Gone]
    );
    assert_eq!(
        states(&mut withheld, ListKind::Delta, vec![entry("a", 9, Ready)]),
        [Draining]
    );
    states(&mut withheld, ListKind::Full, vec![entry("b", 2, Ready)]);
    assert!(matches!(
        withheld.order("a", true, false).answer,
        Answer::Done(_)
    ));
    assert_eq!(
        states(&mut withheld, ListKind::Full, vec![entry("a", 9, Ready)]),
        [Draining]
    );
    // Out twice, back once, at the address that the list has now.
    let back = withheld.order("a", false, false).changed.unwrap();
    assert_eq!((back.member.state, back.endpoint.port()), (Ready, 9));
    assert_eq!(
        states(&mut withheld, ListKind::Delta, vec![entry("a", 9, Ready)]),
        [Ready]
    );
}

#[test]
fn ids_that_nobody_has_are_errors_and_what_was_not_out_is_done_without_a_change() {
    let mut withheld = Withheld::default();
    states(
        &mut withheld,
        ListKind::Full,
        vec![entry("a", 1, MemberState::Ready)],
    );
    for on in [true, false] {
        assert!(matches!(
            withheld.order("x", on, false).answer,
            Answer::Error(_)
        ));
    }
    let ruling = withheld.order("a", false, false);
    assert!(matches!(ruling.answer, Answer::Done(_)) && ruling.changed.is_none());
    assert!(!withheld.none_left());
    withheld.order("a", true, false);
    assert!(withheld.none_left());
    // Left the list while out: still known, and back without a word to the module.
    states(
        &mut withheld,
        ListKind::Delta,
        vec![entry("a", 1, MemberState::Gone)],
    );
    let ruling = withheld.order("a", false, false);
    assert!(matches!(ruling.answer, Answer::Done(_)) && ruling.changed.is_none());
}
