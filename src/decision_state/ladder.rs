//! State of the filter ladder: its history, its rates and the token buckets of the tiers.

use std::collections::VecDeque;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::{DecayingRate, LoadStatistics, Seconds};

/// The last filter, which rejects all.
pub(crate) const LAST_FILTER: usize = 7;
/// Filters, F0 with them.
pub(crate) const FILTER_COUNT: usize = LAST_FILTER + 1;
/// Longest lag learned: beyond it, the cause is not the change of the filter.
const LONGEST_LAG: Seconds = 4.0;
/// Weight of the last overload in the learned lag.
const LAG_WEIGHT: f64 = 0.5;

/// A change of the filter in force, for the log.
pub(crate) struct FilterChange {
    /// The filter now.
    pub(crate) filter: usize,
    /// The load index of the last interval.
    pub(crate) index: i32,
    /// The focal point, in cost per second.
    pub(crate) focal_rate: f64,
}

impl fmt::Display for FilterChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let FilterChange {
            filter,
            index,
            focal_rate,
        } = self;
        write!(
            formatter,
            "ladder F{filter} (index {index}, focal {focal_rate:.1}/s)"
        )
    }
}

/// One (plan, class) pair, whose requests draw on one token bucket.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Tier {
    /// Cost requested per second.
    pub(crate) demand: DecayingRate,
    /// Mean priority weight of a unit of cost.
    pub(crate) weight_per_cost: f64,
    /// Cost that may pass now.
    pub(crate) tokens: f64,
    /// Cost per second that fills the bucket.
    pub(crate) tokens_per_second: f64,
    /// Cost requested since the start.
    pub(crate) requested_cost: f64,
}

impl Tier {
    /// Adds the tokens of a time span, up to a capacity.
    pub(crate) fn refill(&mut self, span: Seconds, capacity: f64) {
        self.tokens = (self.tokens + self.tokens_per_second * span).min(capacity);
    }
}

/// The filter hierarchy, its history and its buckets. The terms are those of the QGuard paper: the
/// filters F0 to Fn, the load index, the focal point, the sojourn and the lag.
///
/// The order of the fields is that of the hot-restart snapshot.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Ladder {
    /// The filter in force; 0 admits all.
    pub(crate) filter: usize,
    /// Cost per second that each filter admits.
    pub(crate) filter_rates: Vec<f64>,
    /// Throughput, in cost per second, that the filters are spread around.
    pub(crate) focal_rate: f64,
    /// Load index of each interval of the history, oldest first.
    pub(crate) load_indexes: VecDeque<i32>,
    /// Outcomes of each interval of the history; the last one is still being counted.
    pub(crate) interval_statistics: VecDeque<LoadStatistics>,
    /// When the filter changed last.
    pub(crate) switched_at: Seconds,
    /// Since when the index has been positive.
    pub(crate) overload_since: Option<Seconds>,
    /// Learned time from the onset of an overload to its end.
    pub(crate) lag: Seconds,
    /// Cost completed per second.
    pub(crate) completed: DecayingRate,
    /// Time constant of the rates: short where many requests come, long where few do.
    pub(crate) memory: Seconds,
    /// Buckets by plan, then class.
    pub(crate) tiers: Vec<Tier>,
}

impl Ladder {
    /// A ladder that admits all.
    pub(crate) fn at_first_filter(tiers: usize, memory: Seconds) -> Self {
        Ladder {
            tiers: vec![Tier::default(); tiers],
            interval_statistics: [LoadStatistics::default()].into(),
            filter_rates: vec![0.0; FILTER_COUNT],
            memory,
            ..Ladder::default()
        }
    }

    /// Learns how long an overload lasts once it is answered. `index`: the load index of the last
    /// interval.
    pub(crate) fn learn_lag(&mut self, now: Seconds, index: i32) {
        if index > 0 {
            self.overload_since.get_or_insert(now);
        } else if let Some(since) = self.overload_since.take_if(|_| index < 0) {
            self.lag += ((now - since).min(LONGEST_LAG) - self.lag) * LAG_WEIGHT;
        }
    }

    /// Mean priority weight of a unit of requested cost.
    pub(crate) fn mean_weight(&self, now: Seconds) -> f64 {
        let mut total_demand = 0.0;
        let mut total_weight = 0.0;
        for tier in &self.tiers {
            let demand = tier.demand.read(now, self.memory);
            total_demand += demand;
            total_weight += demand * tier.weight_per_cost;
        }
        total_weight / total_demand.max(1e-9)
    }

    /// Outcomes of the whole history.
    pub(crate) fn history(&self) -> LoadStatistics {
        self.interval_statistics
            .iter()
            .fold(LoadStatistics::default(), |sum, interval| {
                sum.plus(interval, 1.0)
            })
    }

    /// Counts outcomes in the present interval.
    pub(crate) fn record(&mut self, statistics: &LoadStatistics) {
        let current = self
            .interval_statistics
            .back_mut()
            .expect("there is always a present interval");
        *current = current.plus(statistics, 1.0);
    }
}
