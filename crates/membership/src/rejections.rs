//! Values of a source that are no records: each is to be logged once, for as long as it stays wrong.

use std::collections::BTreeSet;

use crate::MemberRecord;

/// Most malformed members that are logged, once each: a source full of them must not fill the log.
const MAX_LOGGED_REJECTIONS: usize = 100;

/// The malformed members of one source that were logged.
#[derive(Debug, Default)]
pub struct Rejections(BTreeSet<String>);

impl Rejections {
    /// Passes a parsed record on. One that was rejected is left out, the other members stay.
    ///
    /// # Errors
    ///
    /// Why the value is no record, where that is to be logged; `None` where it was logged before.
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
