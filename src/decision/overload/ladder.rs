//! The ladder of filters: admission under load, after the QGuard paper (`docs/design.md`).
//!
//! Filter F0 admits all requests and the last one rejects all; those in between admit a rate of cost that is split
//! over the tiers. The filter in force changes by at most one step per sojourn, depending on the load indexes of the
//! last intervals. The terms are those of the paper: filters F0 to Fn, load index, focal point, sojourn (the time since
//! the filter in force last changed) and lag (the usual duration of an overload).

use std::collections::VecDeque;

use applewall_node_types::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};

use super::load_index::load_index;
use super::statistics::LoadStatistics;
use super::tiers::{FilterMode, Tiers, WeightedRequest};
use super::MONITOR_INTERVAL;
use crate::api::LogEvent;
use crate::decision::decaying_rate::DecayingRate;

/// The last filter, which rejects all requests.
const LAST_FILTER: usize = 7;
/// Number of filters, including F0.
const FILTER_COUNT: usize = LAST_FILTER + 1;
/// Number of intervals in the history (paper: 5 to 15).
const HISTORY_INTERVALS: usize = 10;
/// Ratio of overloaded to underloaded intervals that is required for tightening (paper: 3 to 6).
const OVERLOAD_MAJORITY: usize = 3;
/// Minimum number of overloaded intervals in the history for tightening: a single one can be chance.
const MIN_OVERLOADED_INTERVALS: usize = 2;
/// Minimum sojourn, per second of the rates' time constant: a third of a history, so that the effect of a change can
/// show.
const MIN_SOJOURN: TimeSpan = TimeSpan::from_seconds(0.3);
/// Maximum time constant of rates, in seconds, that lengthens the minimum sojourn.
const MAX_SOJOURN_TIME_CONSTANT: f64 = 5.0;
/// Time after which a change of the filter shows in pooled statistics: their time constant plus the duration of the
/// requests in flight.
const POOL_LAG: TimeSpan = TimeSpan::from_seconds(2.0);
/// Maximum learned lag: an overload that lasts longer has another cause than the change of the filter.
const MAX_LAG: TimeSpan = TimeSpan::from_seconds(4.0);
/// Weight of the latest overload in the learned lag.
const LAG_WEIGHT: f64 = 0.5;
/// Rate of the first limiting filter, relative to the focal point.
const MAX_FILTER_RATE: f64 = 1.15;
/// Rate of the last filter that admits anything, relative to the focal point.
const MIN_FILTER_RATE: f64 = 0.35;
/// Rate, relative to the focal point, at or below which a newly focused ladder starts, so that the backlog drains.
const STARTING_RATE: f64 = 0.95;

/// The filters, their history and the tiers' buckets. The order of the fields is part of the state snapshot's
/// encoding.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Ladder {
    /// The filter in force; 0 admits all requests.
    filter: usize,
    /// Cost per second that each filter admits.
    filter_rates: Vec<f64>,
    /// Throughput, in cost per second, around which the filters are spread (the focal point).
    focal_rate: f64,
    /// Load index of each interval of the history, oldest first.
    load_indexes: VecDeque<i32>,
    /// Outcomes of each interval of the history; the last one is still in progress.
    interval_statistics: VecDeque<LoadStatistics>,
    /// When the filter last changed.
    switched_at: Timestamp,
    /// Start of the current overload: when the load index became positive.
    overload_since: Option<Timestamp>,
    /// Learned duration of an overload, from its onset to its end.
    lag: TimeSpan,
    /// Cost completed per second.
    completed: DecayingRate,
    /// Time constant of the rates: short at a high rate of requests, long at a low one.
    time_constant: TimeSpan,
    tiers: Tiers,
}

impl Ladder {
    /// Creates a ladder with F0 in force.
    pub(super) fn new(tiers: usize, time_constant: TimeSpan) -> Self {
        Ladder {
            filter: 0,
            filter_rates: vec![0.0; FILTER_COUNT],
            focal_rate: 0.0,
            load_indexes: VecDeque::new(),
            interval_statistics: [LoadStatistics::default()].into(),
            switched_at: Timestamp::default(),
            overload_since: None,
            lag: TimeSpan::ZERO,
            completed: DecayingRate::default(),
            time_constant,
            tiers: Tiers::new(tiers),
        }
    }

    /// Returns true if a ladder from a snapshot has `tiers` tiers, the filters of this version and a current
    /// interval.
    pub(super) fn is_consistent(&self, tiers: usize) -> bool {
        self.tiers.len() == tiers
            && self.filter_rates.len() == FILTER_COUNT
            && self.filter < FILTER_COUNT
            && !self.interval_statistics.is_empty()
    }

    /// Returns true while F0 is in force.
    pub(super) fn admits_all(&self) -> bool {
        self.filter == 0
    }

    pub(super) fn time_constant(&self) -> TimeSpan {
        self.time_constant
    }

    pub(super) fn set_time_constant(&mut self, time_constant: TimeSpan) {
        self.time_constant = time_constant;
    }

    /// Total cost of this node's attempts that complete per second.
    pub(super) fn completed_per_second(&self, now: Timestamp) -> f64 {
        self.completed.read(now, self.time_constant)
    }

    pub(super) fn record_completed(&mut self, now: Timestamp, cost: f64) {
        self.completed.add(now, cost, self.time_constant);
    }

    /// Mean priority weight per unit of requested cost.
    pub(super) fn mean_weight(&self, now: Timestamp) -> f64 {
        self.tiers.mean_weight(now, self.time_constant)
    }

    /// Counts a request and takes its cost from its tier's bucket; returns false if the filter in force rejects it.
    /// `draw`: a random number in [0, 1).
    pub(super) fn take_tokens(
        &mut self,
        now: Timestamp,
        request: WeightedRequest,
        draw: f64,
    ) -> bool {
        let mode = match self.filter {
            0 => FilterMode::AdmitAll,
            LAST_FILTER => FilterMode::RejectAll,
            _ => FilterMode::Limit,
        };
        self.tiers
            .take_tokens(now, self.time_constant, request, mode, draw)
    }

    /// Sum of the outcomes of all intervals of the history.
    pub(super) fn history(&self) -> LoadStatistics {
        self.interval_statistics
            .iter()
            .fold(LoadStatistics::default(), |sum, interval| {
                sum.plus(interval, 1.0)
            })
    }

    /// Counts outcomes in the current interval.
    pub(super) fn record(&mut self, statistics: &LoadStatistics) {
        if let Some(current) = self.interval_statistics.back_mut() {
            *current = current.plus(statistics, 1.0);
        }
    }

    /// Ends a monitor interval, which is evaluated by `statistics`. `is_pooled`: they include peers' statistics,
    /// which arrive late.
    pub(super) fn end_interval(
        &mut self,
        now: Timestamp,
        statistics: &LoadStatistics,
        is_pooled: bool,
    ) -> Option<LogEvent> {
        self.tiers.refill(MONITOR_INTERVAL);
        let load_index = load_index(statistics);
        self.begin_interval(load_index);
        self.update_lag(now, load_index);
        let before = self.filter;
        self.change_filter(now, load_index, is_pooled);
        let rate = self.filter_rates[self.filter];
        self.tiers.split_rate(now, self.time_constant, rate);
        if self.filter == before {
            return None;
        }
        self.switched_at = now;
        Some(LogEvent::FilterChanged {
            filter: self.filter,
            load_index,
            focal_rate: self.focal_rate,
        })
    }

    fn begin_interval(&mut self, last_load_index: i32) {
        self.interval_statistics
            .push_back(LoadStatistics::default());
        self.load_indexes.push_back(last_load_index);
        if self.load_indexes.len() > HISTORY_INTERVALS {
            self.load_indexes.pop_front();
            self.interval_statistics.pop_front();
        }
    }

    /// Notes the onset of an overload and, when the load index becomes negative, updates the learned lag by the
    /// overload's duration.
    fn update_lag(&mut self, now: Timestamp, load_index: i32) {
        if load_index > 0 {
            self.overload_since.get_or_insert(now);
        } else if let Some(since) = self.overload_since.take_if(|_| load_index < 0) {
            self.lag += ((now - since).min(MAX_LAG) - self.lag) * LAG_WEIGHT;
        }
    }

    /// Tightens or loosens by one filter if the minimum sojourn has passed and the history requires it.
    fn change_filter(&mut self, now: Timestamp, load_index: i32, is_pooled: bool) {
        let min_sojourn = MIN_SOJOURN
            * self
                .time_constant
                .as_seconds()
                .min(MAX_SOJOURN_TIME_CONSTANT);
        let sojourn = now - self.switched_at;
        if sojourn < min_sojourn {
            return;
        }
        let may_tighten = sojourn >= self.sojourn_before_tightening(min_sojourn, is_pooled);
        if self.is_overloaded(load_index) && may_tighten && self.filter < LAST_FILTER {
            self.tighten(now);
        } else if self.filter > 0 && self.load_is_falling() && load_index <= 0 {
            self.filter -= 1;
        }
    }

    /// Minimum sojourn before a tightening. As in the paper, the learned lag lengthens the sojourn before a tightening
    /// but not the one before a loosening, because it is meant to prevent tightening too far. Pooled statistics are
    /// delayed by up to [`POOL_LAG`], so the effect of the last change must have had time to show in them.
    fn sojourn_before_tightening(&self, min_sojourn: TimeSpan, is_pooled: bool) -> TimeSpan {
        let stretched = if self.lag * 2.0 > min_sojourn {
            min_sojourn.max(self.lag / 2.0)
        } else {
            min_sojourn
        };
        let pool_lag = if is_pooled { POOL_LAG } else { TimeSpan::ZERO };
        stretched.max(pool_lag)
    }

    fn is_overloaded(&self, load_index: i32) -> bool {
        let intervals = &self.load_indexes;
        let overloaded = intervals.iter().filter(|index| **index > 0).count();
        let underloaded = intervals.iter().filter(|index| **index < 0).count();
        load_index > 0
            && overloaded >= MIN_OVERLOADED_INTERVALS
            && overloaded >= OVERLOAD_MAJORITY * underloaded
    }

    /// Returns true if the sum of load indexes of the history's newer half is negative or lower than that of the
    /// older half.
    fn load_is_falling(&self) -> bool {
        let half = self.load_indexes.len() / 2;
        let older: i32 = self.load_indexes.iter().take(half).sum();
        let newer: i32 = self.load_indexes.iter().skip(half).sum();
        newer < older || newer < 0
    }

    fn tighten(&mut self, now: Timestamp) {
        self.filter += 1;
        if self.filter == 1 {
            self.refocus(now);
        }
    }

    /// At the onset of an overload, spreads the rates of the filters in even steps around the throughput (the focal
    /// point) and puts the first filter at or below [`STARTING_RATE`] in force.
    fn refocus(&mut self, now: Timestamp) {
        self.focal_rate = self.completed_per_second(now);
        let step = (MAX_FILTER_RATE - MIN_FILTER_RATE) / (LAST_FILTER - 2) as f64;
        for filter in 1..LAST_FILTER {
            self.filter_rates[filter] =
                self.focal_rate * (MAX_FILTER_RATE - step * (filter - 1) as f64);
        }
        let starting_rate = STARTING_RATE * self.focal_rate;
        self.filter = (1..LAST_FILTER)
            .find(|filter| self.filter_rates[*filter] <= starting_rate)
            .unwrap_or(1);
    }
}
