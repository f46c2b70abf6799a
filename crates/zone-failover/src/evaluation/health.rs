//! Detection of healthy alternatives to a failing zone.
//!
//! When all zones fail at once, good outcomes from before the failure make the other zones look healthy until they have
//! decayed. The number of good outcomes is therefore no proof of health. An alternative is proven healthy by a successful
//! attempt of this node that was sent after the failing zone began to fail. Both times are read from this node's own clock,
//! so their order does not depend on the fleet's size or on message delays.

use applewall_node_types::TimeSpan;

use super::Evaluation;
use crate::id::ZoneId;
use crate::zone_state::{FailurePeriod, ZoneState};

/// A zone is healthy up to this fraction of `leave_at`. When all zones fail at once, their bad fractions are close to each
/// other, so that none passes as healthy.
const HEALTHY_FRACTION: f64 = 0.25;
/// Time without an indication of the failure after which it counts as over. Shorter gaps belong to the same failure, since
/// the view varies with the messages that have not expired.
const MAX_FAILURE_GAP: TimeSpan = TimeSpan::from_seconds(1.0);

impl Evaluation<'_> {
    /// Updates the failure period of each zone.
    pub(super) fn update_failures(&self, order: &[ZoneId], states: &mut [ZoneState]) {
        for &zone in order {
            let failure = &mut states[zone.0].failure;
            if self.shows_failure(zone) {
                let known_since = failure.map_or(self.now, |known| known.began_at);
                // The first failed attempt was sent before its outcome became known.
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

    /// Whether the fleet's bad fraction has reached `leave_at`. This determines when a failure began; an ejection needs more
    /// evidence.
    fn shows_failure(&self, zone: ZoneId) -> bool {
        let view = self.view(zone);
        view.fleet.bad_fraction() >= self.settings.leave_at
    }

    /// Whether a zone is healthy and an attempt that this node sent to it after the other zone began to fail has succeeded.
    pub(super) fn is_proven_healthy(&self, zone: ZoneId, failing: &ZoneState) -> bool {
        let last_success_sent_at = self.view(zone).last_success_sent_at;
        let is_proven = failing.failure.is_some_and(|failure| {
            last_success_sent_at.is_some_and(|sent| sent > failure.began_at)
        });
        is_proven && self.is_healthy(zone)
    }

    /// Whether neither this node nor the fleet observes more than a small fraction of bad outcomes.
    fn is_healthy(&self, zone: ZoneId) -> bool {
        let view = self.view(zone);
        let max_bad_fraction = self.settings.leave_at * HEALTHY_FRACTION;
        view.fleet.bad_fraction() <= max_bad_fraction
            && view.short_term.bad_fraction() <= max_bad_fraction
    }
}
