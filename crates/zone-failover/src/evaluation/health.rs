//! Which zones are healthy alternatives to one that fails.
//!
//! Where all zones fail at once, the good outcomes from before the failure make each zone look healthy beside the others
//! until they have faded. So what counts is not how many good outcomes there are, but when their attempts were sent: an
//! alternative is proven healthy by an attempt of this node that was sent after the failing zone was seen to fail. The
//! order of the two moments holds on this node's own clock, whatever the fleet's size, and however messages are delayed.

use applewall_node_types::TimeSpan;

use super::Evaluation;
use crate::id::ZoneId;
use crate::zone_state::{FailurePeriod, ZoneState};

/// Fraction of `leave_at` up to which another zone is healthy: where all zones fail at once, none is far behind the others.
const HEALTHY_FRACTION: f64 = 0.25;
/// Time without a sign of a failure after which it is over: the view depends on the messages that count at a moment, and a
/// failure that is shown again after a gap is the same one.
const MAX_FAILURE_GAP: TimeSpan = TimeSpan::from_seconds(1.0);

impl Evaluation<'_> {
    /// Updates since when each zone fails.
    pub(super) fn update_failures(&self, order: &[ZoneId], states: &mut [ZoneState]) {
        for &zone in order {
            let failure = &mut states[zone.0].failure;
            if self.shows_failure(zone) {
                let known_since = failure.map_or(self.now, |known| known.began_at);
                // Its first failed attempt was sent before its outcome was known.
                let began_at = match self.view(zone).failure_sent_at {
                    Some(sent_at) if sent_at < known_since => sent_at,
                    _ => known_since,
                };
                *failure = Some(FailurePeriod {
                    began_at,
                    last_shown_at: self.now,
                });
            } else if failure.is_some_and(|known| self.now - known.last_shown_at > MAX_FAILURE_GAP)
            {
                *failure = None;
            }
        }
    }

    /// True where most of what the fleet observes of a zone is bad. That dates the failure; an ejection needs more evidence.
    fn shows_failure(&self, zone: ZoneId) -> bool {
        let view = self.view(zone);
        view.fleet.bad_fraction() >= self.settings.leave_at
    }

    /// True where a zone is healthy, and an attempt that this node sent there since the failing zone fails has succeeded.
    pub(super) fn is_proven_healthy(&self, zone: ZoneId, failing: &ZoneState) -> bool {
        let last_success_sent_at = self.view(zone).last_success_sent_at;
        let is_proven = failing.failure.is_some_and(|failure| {
            last_success_sent_at.is_some_and(|sent| sent > failure.began_at)
        });
        is_proven && self.is_healthy(zone)
    }

    /// True where neither this node nor the fleet observes more than a few bad outcomes.
    fn is_healthy(&self, zone: ZoneId) -> bool {
        let view = self.view(zone);
        let max_bad_fraction = self.settings.leave_at * HEALTHY_FRACTION;
        view.fleet.bad_fraction() <= max_bad_fraction
            && view.recent.bad_fraction() <= max_bad_fraction
    }
}
