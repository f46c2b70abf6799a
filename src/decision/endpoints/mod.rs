//! Upstream endpoints: the list, the state of each endpoint, and the selection of endpoints for attempts.
//!
//! [`EndpointTable`] owns all records (`table`, `record`). Outcomes of attempts (`outcomes`) change an endpoint's
//! health (`health`) and may eject it (`outlier`). An endpoint in slow start gets its traffic from a budget
//! (`slow_start`). In a large fleet, a node sends to a subset of the endpoints (`subset`). Selection (`selection`)
//! combines all of these. Records are not accessed outside this module.

mod health;
mod outcome_history;
mod outcomes;
mod outlier;
mod record;
mod selection;
mod slow_start;
mod snapshot;
mod subset;
mod table;

pub(crate) use selection::SelectionLoad;
pub(super) use snapshot::EndpointsSnapshot;
pub(crate) use table::{EndpointTable, FinishedAttempt};
