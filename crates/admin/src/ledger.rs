//! Which instances are withheld. An id stays in the ledger until it is given back, whatever the list says of it.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Ids held at most: bounds memory where ids are withheld, leave the list and are never given back.
pub const MAX_IDS_IN_MAINTENANCE: usize = 4096;

/// The id is neither listed nor withheld: nobody has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownEndpoint;

/// The withheld ids.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MaintenanceSet {
    out: BTreeSet<Arc<str>>,
}

impl MaintenanceSet {
    /// Withholds an id. True where it was not withheld before: two calls out need one call back.
    ///
    /// # Errors
    ///
    /// The id is neither in the list, as `listed` says, nor withheld.
    pub fn disable(&mut self, id: &str, listed: bool) -> Result<bool, UnknownEndpoint> {
        if self.out.contains(id) {
            return Ok(false);
        }
        if !listed || self.out.len() >= MAX_IDS_IN_MAINTENANCE {
            return Err(UnknownEndpoint);
        }
        Ok(self.out.insert(id.into()))
    }

    /// Gives an id back. True where it was withheld.
    ///
    /// # Errors
    ///
    /// The id is neither in the list nor withheld.
    pub fn enable(&mut self, id: &str, listed: bool) -> Result<bool, UnknownEndpoint> {
        match self.out.remove(id) {
            false if !listed => Err(UnknownEndpoint),
            was_out => Ok(was_out),
        }
    }

    /// True while an id is withheld.
    pub fn contains(&self, id: &str) -> bool {
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
        let mut ledger = MaintenanceSet::default();
        assert_eq!(ledger.disable("a", true), Ok(true));
        assert_eq!(ledger.disable("a", true), Ok(false));
        // It left the list meanwhile.
        assert_eq!(ledger.disable("a", false), Ok(false));
        assert_eq!(ledger.enable("a", false), Ok(true));
        assert_eq!(ledger.enable("a", false), Err(UnknownEndpoint));
        assert_eq!(ledger.enable("a", true), Ok(false));
        assert_eq!(ledger.disable("b", false), Err(UnknownEndpoint));
        assert!(ledger.is_empty());
    }

    #[test]
    fn the_ledger_is_bounded_and_full_changes_nothing() {
        let mut ledger = MaintenanceSet::default();
        (0..MAX_IDS_IN_MAINTENANCE)
            .for_each(|i| assert_eq!(ledger.disable(&i.to_string(), true), Ok(true)));
        assert_eq!(ledger.disable("one more", true), Err(UnknownEndpoint));
        assert_eq!(
            (ledger.len(), ledger.contains("one more")),
            (MAX_IDS_IN_MAINTENANCE, false)
        );
    }

    proptest! {
        /// Against the plainest account there is: the last call about an id that somebody had.
        #[test]
        fn the_last_call_holds(calls in proptest::collection::vec((0..4u8, any::<bool>(), any::<bool>()), 0..60)) {
            let (mut ledger, mut out) = (MaintenanceSet::default(), [false; 4]);
            for (id, withhold, listed) in calls {
                let (name, was) = (id.to_string(), out[usize::from(id)]);
                let known = was || listed;
                let changed = match withhold {
                    true => ledger.disable(&name, listed),
                    false => ledger.enable(&name, listed),
                };
                if known {
                    out[usize::from(id)] = withhold;
                    prop_assert_eq!(changed, Ok(was != withhold));
                } else {
                    prop_assert_eq!(changed, Err(UnknownEndpoint));
                }
                prop_assert_eq!(ledger.contains(&name), out[usize::from(id)]);
            }
        }
    }
}
