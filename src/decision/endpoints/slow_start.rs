//! Slow start: the capacity of an endpoint that is warming up, and how much of it this node may use, so that all
//! nodes together do not overload it.

use applewall_node_types::{TimeSpan, Timestamp};

use super::record::EndpointRecord;
use crate::decision::context::Context;
use crate::decision::hashing::periodic_draw;
use crate::decision::ids::EndpointIndex;
use crate::decision::overload::MONITOR_INTERVAL;

/// Fraction of the budget that is used; the rest is a margin for random variation and for other nodes.
const USED_FRACTION: f64 = 0.7;
/// Budget, in requests per window, below which requests are counted instead of their cost and age.
const MAX_COUNTED_REQUESTS: f64 = 1.0;
/// Fraction of a budget of few requests that is used, since their arrivals are random.
const USED_FRACTION_OF_SMALL_BUDGET: f64 = 0.8;
/// Fraction of a window's budget that is available at once. The endpoint serves it within an objective.
const INITIAL_FRACTION: f64 = 0.3;
/// Number of windows of budget for an endpoint returned to service, which has to get its first attempt soon.
const RETURNED_WINDOWS: f64 = 2.0;
/// Mean fraction by which the attempts within a window count against the budget. The fraction of an attempt falls from
/// 1 to 0 with its age.
const MEAN_COUNTED_FRACTION: f64 = 0.5;
/// Minimum duration of slow start as a divisor.
const MIN_SLOW_START: TimeSpan = TimeSpan::from_seconds(1e-9);

/// Inputs of the budget of an endpoint in slow start.
#[derive(Clone, Copy)]
pub(super) struct SlowStartLoad {
    /// Fraction of its capacity that the endpoint has now.
    pub(super) fraction: f64,
    /// Work per second that this node sends to a fully started endpoint.
    pub(super) throughput: f64,
    /// Cost of the request.
    pub(super) cost: f64,
}

impl EndpointRecord {
    /// Fraction of its capacity that the endpoint has; 1 after slow start.
    pub(super) fn slow_start_fraction(&self, context: &Context<'_>) -> f64 {
        let span = context.slow_start_span().max(MIN_SLOW_START);
        let elapsed = ((context.now() - self.slow_start_from) / span).clamp(0.0, 1.0);
        let initial = context.settings().slow_start_fraction;
        initial + (1.0 - initial) * elapsed
    }

    /// Number of requests of cost `load.cost` that an endpoint in slow start can still take from this node; negative
    /// if none.
    ///
    /// In a window, the endpoint can take the following number of requests from this node:
    ///
    /// `used fraction * overload multiple * slow-start fraction * throughput * window * available fraction / cost`
    ///
    /// Subtracted from it are the requests that the endpoint got within the window and a random fraction of a request.
    /// That fraction is drawn once per window: if it were drawn per request, many requests would pass.
    ///
    /// An attempt counts by how late in the window it was sent, since the endpoint regains the capacity evenly. The
    /// attempts are therefore compared with half of the budget. If the budget is less than [`MAX_COUNTED_REQUESTS`],
    /// the attempts within the window are counted in full instead.
    ///
    /// A process that has just started does not know the attempts of an earlier one, so most of its first window
    /// becomes available only over time.
    pub(super) fn remaining_budget(
        &self,
        context: &Context<'_>,
        index: EndpointIndex,
        load: SlowStartLoad,
    ) -> f64 {
        let window = context.overload_window();
        let now = context.now();
        let (draw_period, fraction) = self.available_window(context, window);
        let periods = now.in_periods_of(draw_period);
        let draw = periodic_draw(index.number(), context.node(), periods);
        let multiple = context.settings().overload_multiple;
        let SlowStartLoad {
            fraction: capacity_fraction,
            throughput,
            cost,
        } = load;
        let window_work =
            USED_FRACTION * multiple * capacity_fraction * throughput * window.as_seconds();
        let budget = window_work * fraction / cost;
        if budget < MAX_COUNTED_REQUESTS {
            return budget * USED_FRACTION_OF_SMALL_BUDGET
                - draw
                - self.attempts_within(now, window);
        }
        budget * MEAN_COUNTED_FRACTION - self.spent_work(now, window) / cost - draw
    }

    /// The period of the draw and the available fraction of a window's budget.
    fn available_window(&self, context: &Context<'_>, window: TimeSpan) -> (TimeSpan, f64) {
        if self.awaits_first_attempt {
            return (MONITOR_INTERVAL, RETURNED_WINDOWS);
        }
        let known_since = context.started_at().max(self.slow_start_from);
        let elapsed = (context.now() - known_since) / window;
        (window, (INITIAL_FRACTION + elapsed).min(1.0))
    }

    fn attempts_within(&self, now: Timestamp, window: TimeSpan) -> f64 {
        let is_recent = |sent_at: Timestamp| now - sent_at < window;
        let attempts = self.recent_attempts.iter();
        attempts
            .filter(|attempt| is_recent(attempt.sent_at))
            .count() as f64
    }

    /// Total cost of the recent attempts, each scaled by the fraction of the window for which it still counts.
    fn spent_work(&self, now: Timestamp, window: TimeSpan) -> f64 {
        self.recent_attempts
            .iter()
            .map(|attempt| attempt.cost * (1.0 - (now - attempt.sent_at) / window).max(0.0))
            .sum()
    }

    /// Discards the attempts before the window in which overload is counted.
    pub(super) fn expire_recent_attempts(&mut self, now: Timestamp, window: TimeSpan) {
        self.recent_attempts
            .retain(|attempt| now - attempt.sent_at < window);
    }
}
