//! Transitions between the phases of a zone, and their log texts.

use std::fmt;

use applewall_node_types::TimeSpan;

use crate::observation::OutcomeSums;

/// A phase transition of one zone. Its `Display` text is a field of the log event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Transition {
    /// Ejected because the fleet observes that the zone fails.
    Ejected(OutcomeSums),
    /// Ejected because most of the fleet has ejected the zone.
    AdoptedEjection(OutcomeSums),
    /// Begins to return, because canary requests succeed or most of the fleet uses the zone.
    Returning(OutcomeSums),
    /// Ejected again, because the zone failed during its return.
    EjectedAgain {
        /// Minimum time until the next return.
        ejection_time: TimeSpan,
        /// Outcomes observed by the fleet.
        observed: OutcomeSums,
    },
    /// The return is complete and the zone is in full use.
    Restored,
}

/// A phase transition together with its zone.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneTransition {
    /// The zone's name, as in [`Start::zone_names`](crate::Start::zone_names).
    pub zone: String,
    /// What changed, with the outcomes that the fleet observed.
    pub transition: Transition,
}

impl fmt::Display for Transition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Transition::Ejected(observed) => {
                write!(formatter, "left, the fleet sees {}", Percentages(observed))
            }
            Transition::AdoptedEjection(observed) => {
                let observed = Percentages(observed);
                write!(formatter, "left, as the fleet has; it sees {observed}")
            }
            Transition::Returning(observed) => {
                write!(formatter, "comes back, {}", Percentages(observed))
            }
            Transition::EjectedAgain {
                ejection_time,
                observed,
            } => {
                let observed = Percentages(observed);
                write!(
                    formatter,
                    "fails again, left for {:.0} s at the least: {observed}",
                    ejection_time.as_seconds()
                )
            }
            Transition::Restored => formatter.write_str("in full use again"),
        }
    }
}

/// Formats the sums as percentages of all outcomes.
struct Percentages<'a>(&'a OutcomeSums);

impl fmt::Display for Percentages<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sums = self.0;
        let total = sums.total().max(1e-9);
        let (dead, failing) = (sums.dead / total * 100.0, sums.failing / total * 100.0);
        write!(
            formatter,
            "{dead:.0} of 100 dead, {failing:.0} failing, of {total:.0} lately"
        )
    }
}
