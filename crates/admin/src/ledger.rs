//! Which instances are withheld. An id stays in the ledger until it is given back, whatever the list says of it.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Ids held at most: bounds memory where ids are withheld, leave the list and are never given back.
pub const MOST: usize = 4096;

/// The id is neither listed nor withheld: nobody has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unknown;

/// The withheld ids.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ledger {
    out: BTreeSet<Arc<str>>,
}

impl Ledger {
    /// Withholds an id. True where it was not withheld before: two calls out need one call back.
    ///
    /// # Errors
    ///
    /// The id is neither in the list, as `listed` says, nor withheld.
    pub fn withhold(&mut self, id: &str, listed: bool) -> Result<bool, Unknown> {
        if self.out.contains(id) {
            return Ok(false);
        }
        if !listed || self.out.len() >= MOST {
            return Err(Unknown);
        }
        Ok(self.out.insert(id.into()))
    }

    /// Gives an id back. True where it was withheld.
    ///
    /// # Errors
    ///
    /// The id is neither in the list nor withheld.
    pub fn give_back(&mut self, id: &str, listed: bool) -> Result<bool, Unknown> {
        match self.out.remove(id) {
            false if !listed => Err(Unknown),
            was_out => Ok(was_out),
        }
    }

    /// True while an id is withheld.
    pub fn holds(&self, id: &str) -> bool {
        self.out.contains(id)
    }

    /// The withheld ids, in order.
    pub fn ids(&self) -> impl Iterator<Item = &Arc<str>> {
        self.out.iter()
    }

    /// How many are withheld.
    pub fn len(&self) -> usize {
        self.out.len()
    }

    /// True where none is.
    pub fn is_empty(&self) -> bool {
        self.out.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn twice_out_is_once_back_and_what_nobody_has_is_unknown() {
        let mut ledger = Ledger::default();
        assert_eq!(ledger.withhold("a", true), Ok(true));
        assert_eq!(ledger.withhold("a", true), Ok(false));
        // It left the list meanwhile.
        assert_eq!(ledger.withhold("a", false), Ok(false));
        assert_eq!(ledger.give_back("a", false), Ok(true));
        assert_eq!(ledger.give_back("a", false), Err(Unknown));
        assert_eq!(ledger.give_back("a", true), Ok(false));
        assert_eq!(ledger.withhold("b", false), Err(Unknown));
        assert!(ledger.is_empty());
    }

    #[test]
    fn the_ledger_is_bounded_and_full_changes_nothing() {
        let mut ledger = Ledger::default();
        (0..MOST).for_each(|i| assert_eq!(ledger.withhold(&i.to_string(), true), Ok(true)));
        assert_eq!(ledger.withhold("one more", true), Err(Unknown));
        assert_eq!((ledger.len(), ledger.holds("one more")), (MOST, false));
    }

    proptest! {
        /// Against the plainest account there is: the last call about an id that somebody had.
        #[test]
        fn the_last_call_holds(calls in proptest::collection::vec((0..4u8, any::<bool>(), any::<bool>()), 0..60)) {
            let (mut ledger, mut out) = (Ledger::default(), [false; 4]);
            for (id, withhold, listed) in calls {
                let (name, was) = (id.to_string(), out[usize::from(id)]);
                let known = was || listed;
                let changed = match withhold {
                    true => ledger.withhold(&name, listed),
                    false => ledger.give_back(&name, listed),
                };
                if known {
                    out[usize::from(id)] = withhold;
                    prop_assert_eq!(changed, Ok(was != withhold));
                } else {
                    prop_assert_eq!(changed, Err(Unknown));
                }
                prop_assert_eq!(ledger.holds(&name), out[usize::from(id)]);
            }
        }
    }
}
