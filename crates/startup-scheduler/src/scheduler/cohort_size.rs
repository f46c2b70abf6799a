//! The number of nodes that start together: counted once the cohort is completely known, and estimated before.

use super::StartupScheduler;

/// Fraction of the queried peers without a reply that count as starting. Either the peer is not up yet or a datagram was
/// lost, and the two cases cannot be distinguished.
const MISSING_REPLIES_STARTING_FRACTION: f64 = 0.5;

impl StartupScheduler {
    /// Number of nodes that start together: the known nodes if the cohort is complete, and otherwise the greater of the
    /// known nodes and the estimate. A window that is too short overloads the service, while one that is too long only costs
    /// time.
    ///
    /// Test: `first_call_window_follows_the_estimated_and_then_the_known_cohort_size`.
    pub(super) fn cohort_size(&self) -> f64 {
        let known = f64::from(self.cohort.counts().started + 1);
        if self.cohort.is_complete() {
            known
        } else {
            known.max(self.estimated_cohort_size())
        }
    }

    /// Estimate of the number of nodes that start together: the maximum of three estimates, between 1 and the fleet's size.
    /// If no message has arrived, either all peers are just starting or all messages were lost, and the estimate is the
    /// fleet's size.
    ///
    /// Tests: `all_nodes_are_assumed_to_start_when_all_messages_are_lost`,
    /// `restarting_nodes_learn_the_cohort_size_from_running_nodes`.
    fn estimated_cohort_size(&self) -> f64 {
        let fleet_size = f64::from(self.fleet_size);
        let queried = f64::from(self.queried_peers());
        if queried == 0.0 {
            return 1.0;
        }
        if self.replies.is_empty() && self.starting_peers.is_empty() {
            return fleet_size;
        }
        self.size_from_replies()
            .max(self.size_from_queries(queried))
            .max(self.size_from_missing_replies(queried))
            .clamp(1.0, fleet_size)
    }

    /// The replying peers are a random sample of the fleet: if a fraction `p` of them started recently, the estimate is
    /// `p * fleet_size`. Without replies, it is the fleet's size.
    ///
    /// Test: `cohort_size_is_estimated_from_replies_queries_and_missing_replies`.
    fn size_from_replies(&self) -> f64 {
        let fleet_size = f64::from(self.fleet_size);
        if self.replies.is_empty() {
            return fleet_size;
        }
        let recent = self.replies.iter().filter(|reply| reply.started_recently);
        recent.count() as f64 / self.replies.len() as f64 * fleet_size
    }

    /// Each of `m` starting nodes queries `queried` random peers, so a node receives `q = m * queried / fleet_size` queries
    /// on average, and `m = q * fleet_size / queried`.
    ///
    /// There are two values of `q`, of which the greater one counts. The replying peers report how many queries they
    /// received; one of each was this node's own and is not counted. This node received queries itself: it knows the
    /// starting peers, but up to `queried` of them became known by their replies instead of by queries.
    ///
    /// Test: `cohort_size_is_estimated_from_replies_queries_and_missing_replies`.
    fn size_from_queries(&self, queried: f64) -> f64 {
        let replies = self.replies.len().max(1) as f64;
        let queries_at_peers = self
            .replies
            .iter()
            .map(|reply| f64::from(reply.starting_peers.saturating_sub(1)))
            .sum::<f64>()
            / replies;
        let queries_here = self.starting_peers.len() as f64 - queried;
        queries_at_peers.max(queries_here) * f64::from(self.fleet_size) / queried
    }

    /// Peers that do not reply may be starting and not up yet: if `s` of `queried` peers do not reply, the estimate is
    /// `s / queried * fleet_size` times [`MISSING_REPLIES_STARTING_FRACTION`].
    ///
    /// Test: `cohort_size_is_estimated_from_replies_queries_and_missing_replies`.
    fn size_from_missing_replies(&self, queried: f64) -> f64 {
        let missing = (queried - self.replies.len() as f64).max(0.0);
        missing * MISSING_REPLIES_STARTING_FRACTION / queried * f64::from(self.fleet_size)
    }
}
