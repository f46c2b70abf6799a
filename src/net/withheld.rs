//! What discovery lists, as seen through the ledger of withheld instances: the list goes through here on its way to
//! the module and to the connections, so that both see one truth.

use std::collections::HashMap;

use applewall::api::{BackendId, ListKind, MemberState};
use applewall_control::{Answer, Ledger, LEDGER_MOST};

use super::message::Entry;

/// The list and the ledger. Kept only where there is a second address.
#[derive(Default)]
pub struct Withheld {
    ledger: Ledger,
    /// Every id that the list names, as it does.
    listed: HashMap<BackendId, Entry>,
}

/// What an order comes to.
pub struct Ruling {
    pub answer: Answer,
    /// The entry that has to be taken in again, changed by it.
    pub changed: Option<Entry>,
}

impl Withheld {
    /// One that goes on with a ledger.
    pub fn new(ledger: Ledger) -> Self {
        Withheld { ledger, listed: HashMap::new() }
    }

    /// The ledger, and the list as discovery has it.
    pub fn parts(&self) -> (&Ledger, impl Iterator<Item = &Entry>) {
        (&self.ledger, self.listed.values())
    }

    /// Takes in news of the list; an instance that is withheld goes on as one that terminates.
    pub fn mask(&mut self, kind: ListKind, entries: &mut [Entry]) {
        if matches!(kind, ListKind::Cached | ListKind::Full) {
            self.listed.clear();
        }
        for entry in entries {
            let id = &entry.member.backend;
            if entry.member.state == MemberState::Gone {
                self.listed.remove(id);
                continue;
            }
            self.listed.insert(id.clone(), entry.clone());
            if self.ledger.holds(id) {
                entry.member.state = MemberState::Draining;
            }
        }
    }

    /// Carries out an order as far as the ledger goes; `known`: the id is somebody's, whatever is listed here.
    pub fn order(&mut self, id: &str, withhold: bool, known: bool) -> Ruling {
        let entry = self.listed.get(id).cloned();
        let listed = known || entry.is_some();
        let ruled = match withhold {
            true => self.ledger.withhold(id, listed),
            false => self.ledger.give_back(id, listed),
        };
        let answer = match ruled {
            Ok(_) => {
                let state = match (&entry, withhold) {
                    (None, true) => "withheld, and not listed now",
                    (None, false) => "given back, and not listed now",
                    (_, true) => "withheld",
                    (_, false) => "given back",
                };
                Answer::Done(format!("{state}; {} withheld in all", self.ledger.len()))
            }
            Err(_) if listed => Answer::Error(format!("{LEDGER_MOST} ids are withheld; no more are kept")),
            Err(_) => Answer::Error(format!("no instance has the id '{id}'")),
        };
        // One that does not serve by the list's own word changes nothing, in or out.
        let serves = |e: &Entry| e.member.state == MemberState::Ready;
        let changed = entry.filter(|e| ruled == Ok(true) && serves(e)).map(|mut entry| {
            if withhold {
                entry.member.state = MemberState::Draining;
            }
            entry
        });
        Ruling { answer, changed }
    }

    /// True where instances are listed and all that would serve are withheld.
    pub fn none_left(&self) -> bool {
        let mut serving = self.listed.values().filter(|e| e.member.state == MemberState::Ready).peekable();
        serving.peek().is_some() && serving.all(|e| self.ledger.holds(&e.member.backend))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use applewall::api::Member;

    fn entry(id: &str, port: u16, state: MemberState) -> Entry {
        let member = Member { backend: id.into(), state, ..Member::default() };
        Entry { member, endpoint: ([127, 0, 0, 1], port).into() }
    }

    fn states(withheld: &mut Withheld, kind: ListKind, mut entries: Vec<Entry>) -> Vec<MemberState> {
        withheld.mask(kind, &mut entries);
        entries.iter().map(|e| e.member.state).collect()
    }

    #[test]
    fn a_withheld_id_stays_out_whatever_the_list_says_of_it() {
        use MemberState::{Draining, Gone, Ready};
        let mut withheld = Withheld::default();
        states(&mut withheld, ListKind::Full, vec![entry("a", 1, Ready), entry("b", 2, Ready)]);
        let ruling = withheld.order("a", true, false);
        assert_eq!(ruling.changed.unwrap().member.state, Draining);
        // Named again; gone and back at a new address; a whole list after discovery was lost, without it and with it.
        assert_eq!(states(&mut withheld, ListKind::Delta, vec![entry("a", 1, Ready)]), [Draining]);
        assert_eq!(states(&mut withheld, ListKind::Delta, vec![entry("a", 1, Gone)]), [Gone]);
        assert_eq!(states(&mut withheld, ListKind::Delta, vec![entry("a", 9, Ready)]), [Draining]);
        states(&mut withheld, ListKind::Full, vec![entry("b", 2, Ready)]);
        assert!(matches!(withheld.order("a", true, false).answer, Answer::Done(_)));
        assert_eq!(states(&mut withheld, ListKind::Full, vec![entry("a", 9, Ready)]), [Draining]);
        // Out twice, back once, at the address that the list has now.
        let back = withheld.order("a", false, false).changed.unwrap();
        assert_eq!((back.member.state, back.endpoint.port()), (Ready, 9));
        assert_eq!(states(&mut withheld, ListKind::Delta, vec![entry("a", 9, Ready)]), [Ready]);
    }

    #[test]
    fn ids_that_nobody_has_are_errors_and_what_was_not_out_is_done_without_a_change() {
        let mut withheld = Withheld::default();
        states(&mut withheld, ListKind::Full, vec![entry("a", 1, MemberState::Ready)]);
        for on in [true, false] {
            assert!(matches!(withheld.order("x", on, false).answer, Answer::Error(_)));
        }
        let ruling = withheld.order("a", false, false);
        assert!(matches!(ruling.answer, Answer::Done(_)) && ruling.changed.is_none());
        assert!(!withheld.none_left());
        withheld.order("a", true, false);
        assert!(withheld.none_left());
        // Left the list while out: still known, and back without a word to the module.
        states(&mut withheld, ListKind::Delta, vec![entry("a", 1, MemberState::Gone)]);
        let ruling = withheld.order("a", false, false);
        assert!(matches!(ruling.answer, Answer::Done(_)) && ruling.changed.is_none());
    }
}
