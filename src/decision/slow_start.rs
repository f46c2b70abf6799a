//! The slow-start budget: how much an endpoint that warms up may get from this node, so that all nodes
//! together don't push it over.

use crate::decision_state::{seconds, DecisionPolicy, Seconds, MONITOR_INTERVAL};
use crate::gossip::codec::periodic_draw;

/// Part of the budget that is used: chance and other nodes need the rest.
const USED_BUDGET: f64 = 0.7;
/// Requests per window up to which each counts whole.
const FEW_REQUESTS: f64 = 1.0;
/// Part of a budget of few requests that is used: they come by chance.
const USED_FEW: f64 = 0.8;
/// Part of a window's budget that is there at once: it is served within an objective.
const INITIAL_BUDGET: f64 = 0.3;
/// Windows of budget for an endpoint that was returned to service: it has to get its first attempt soon.
const RETURNED_BUDGET: f64 = 2.0;
/// Mean part of the attempts in a window that counts, as capacity comes back evenly.
const MEAN_COUNTED: f64 = 0.5;

/// What the budget of an endpoint in slow start goes by.
#[derive(Clone, Copy)]
pub(super) struct SlowStartBudget {
    /// Share of its capacity that the endpoint has now.
    pub(super) fraction: f64,
    /// Work per second that this node sends a fully started endpoint.
    pub(super) throughput: f64,
}

impl DecisionPolicy {
    /// Requests of this cost that an endpoint in slow start can still take from this node; negative where
    /// none.
    ///
    /// The budget of the window, less what the endpoint got, by how late: capacity comes back evenly, and
    /// half of what is sent in a window counts on the mean. Less a part of a request drawn once per window:
    /// drawn with each request, many requests would all pass. A process that has just started knows nothing
    /// of an earlier one: most of its first window fills with time.
    pub(super) fn remaining_slow_start_budget(
        &self,
        index: usize,
        now: Seconds,
        budget: SlowStartBudget,
        cost: f64,
    ) -> f64 {
        let record = &self.endpoints.records[index];
        let window = seconds(self.settings.overload_window_ns);
        let known_since = self.started_at.max(record.slow_start_from);
        let (period, part) = if record.awaits_first_attempt {
            (MONITOR_INTERVAL, RETURNED_BUDGET)
        } else {
            (
                window,
                (INITIAL_BUDGET + (now - known_since) / window).min(1.0),
            )
        };
        let draw = periodic_draw(index as u32, self.settings.node, now / period);
        let SlowStartBudget {
            fraction,
            throughput,
        } = budget;
        let multiple = self.settings.overload_multiple;
        let budget = USED_BUDGET * multiple * fraction * throughput * window * part / cost;
        let recent = &record.recent_attempts;
        if budget < FEW_REQUESTS {
            let is_recent = |sent_at: Seconds| now - sent_at < window;
            let sent = recent
                .iter()
                .filter(|attempt| is_recent(attempt.sent_at))
                .count();
            return budget * USED_FEW - draw - sent as f64;
        }
        let spent: f64 = recent
            .iter()
            .map(|attempt| attempt.cost * (1.0 - (now - attempt.sent_at) / window).max(0.0))
            .sum();
        budget * MEAN_COUNTED - spent / cost - draw
    }
}
