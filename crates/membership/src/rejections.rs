//! Limits the logging of rejected members: each is logged once until a value of its key is accepted again.

use std::collections::BTreeSet;

use crate::MemberRecord;

/// Maximum number of rejected members that are logged, so that a registry full of malformed values does not flood the
/// log.
const MAX_LOGGED_REJECTIONS: usize = 100;

/// The rejected members of one source that were logged, by id.
#[derive(Debug, Default)]
pub struct Rejections(BTreeSet<String>);

impl Rejections {
    /// Returns the result of parsing a member's value, and records a rejection.
    ///
    /// # Errors
    ///
    /// The parser's error if it should be logged; `None` if the member was logged before or the limit is reached.
    pub fn check<E>(
        &mut self,
        id: &str,
        parsed: Result<MemberRecord, E>,
    ) -> Result<MemberRecord, Option<E>> {
        match parsed {
            Ok(record) => {
                self.0.remove(id);
                Ok(record)
            }
            Err(error) => {
                let below_limit = self.0.len() < MAX_LOGGED_REJECTIONS;
                let is_new = below_limit && self.0.insert(id.to_string());
                Err(is_new.then_some(error))
            }
        }
    }
}
