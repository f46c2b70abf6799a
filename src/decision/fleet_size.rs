//! Whether all nodes of a set can report to each other within the receive limit.

use applewall_node_types::TimeSpan;

use crate::api::PolicySettings;

/// Interval of usage reports. Sets of nodes that are too large to report to all others at this interval use
/// aggregators.
pub(crate) const REPORT_INTERVAL: TimeSpan = TimeSpan::from_seconds(0.2);
/// Fraction of the receive limit that usage reports may use; the rest is for aggregates, grants and load statistics.
pub(crate) const REPORT_FRACTION: f64 = 0.5;

/// Returns true if the receive limit lets each of `nodes` nodes report to all others once per [`REPORT_INTERVAL`].
pub(crate) fn all_can_report_to_all(settings: &PolicySettings, nodes: u32) -> bool {
    f64::from(nodes.max(1) - 1)
        <= REPORT_FRACTION * settings.gossip_messages_per_second * REPORT_INTERVAL.as_seconds()
}

/// Returns true if the fleet is too large for each node to report to all others.
pub(crate) fn is_large_fleet(settings: &PolicySettings) -> bool {
    !all_can_report_to_all(settings, settings.node_count)
}
