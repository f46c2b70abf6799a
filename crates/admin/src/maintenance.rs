//! The endpoints that operators have put into maintenance.
//!
//! An id stays in the set until an operator returns the endpoint to service, independently of the endpoint list: an
//! endpoint that is removed from the list and added again is still in maintenance. The size of the set is limited, and
//! a rejected command changes nothing.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::AdminCommand;

/// Maximum number of ids in maintenance, well above the number of endpoints in the largest planned fleet. Limits the
/// memory for ids that are removed from the endpoint list and never enabled again.
pub const MAX_IDS_IN_MAINTENANCE: usize = 4096;

/// Why a change of the set is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MaintenanceError {
    /// The id is neither in the endpoint list nor in maintenance.
    #[error("no endpoint has the id")]
    UnknownEndpoint,
    /// The id is in the endpoint list, but [`MAX_IDS_IN_MAINTENANCE`] ids are in maintenance already.
    #[error("{MAX_IDS_IN_MAINTENANCE} ids are in maintenance")]
    Full,
}

/// The ids of the endpoints in maintenance. Serialized as a sorted sequence of ids.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MaintenanceSet {
    ids: BTreeSet<Arc<str>>,
}

impl MaintenanceSet {
    /// Puts an endpoint into maintenance, and returns whether the set changed. `is_listed` is true if the endpoint list
    /// contains the id. Calls are not counted: a single `enable` reverts any number of `disable`.
    ///
    /// # Errors
    ///
    /// The id is neither in the endpoint list nor in maintenance, or the set is full.
    pub fn disable(&mut self, id: &str, is_listed: bool) -> Result<bool, MaintenanceError> {
        if self.ids.contains(id) {
            return Ok(false);
        }
        if !is_listed {
            return Err(MaintenanceError::UnknownEndpoint);
        }
        if self.ids.len() >= MAX_IDS_IN_MAINTENANCE {
            return Err(MaintenanceError::Full);
        }
        Ok(self.ids.insert(id.into()))
    }

    /// Returns an endpoint to service, and returns whether the set changed. `is_listed` is true if the endpoint list
    /// contains the id.
    ///
    /// # Errors
    ///
    /// The id is neither in the endpoint list nor in maintenance.
    pub fn enable(&mut self, id: &str, is_listed: bool) -> Result<bool, MaintenanceError> {
        let was_in_maintenance = self.ids.remove(id);
        if !was_in_maintenance && !is_listed {
            return Err(MaintenanceError::UnknownEndpoint);
        }
        Ok(was_in_maintenance)
    }

    /// The commands that turn the set `earlier` into this one.
    pub fn changes_since(&self, earlier: &MaintenanceSet) -> Vec<AdminCommand> {
        let entered = self.ids.difference(&earlier.ids);
        let left = earlier.ids.difference(&self.ids);
        let disable = entered.map(|id| AdminCommand::Disable(id.to_string()));
        let enable = left.map(|id| AdminCommand::Enable(id.to_string()));
        disable.chain(enable).collect()
    }

    /// True if the endpoint is in maintenance.
    pub fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// The ids in maintenance, sorted.
    pub fn ids(&self) -> impl Iterator<Item = &Arc<str>> {
        self.ids.iter()
    }

    /// The number of ids in maintenance.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// True if no endpoint is in maintenance.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}

#[cfg(test)]
mod tests;
