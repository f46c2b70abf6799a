//! What this node knows of each upstream endpoint.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::{seconds, DecayingRate, PendingRequest, Seconds};
use crate::api::{Endpoint, EndpointId, EndpointState, PolicySettings, RequestId};

/// An attempt in flight.
#[derive(Clone)]
pub(crate) struct InFlightAttempt {
    /// Its request.
    pub(crate) request: RequestId,
    /// Its number, from 0.
    pub(crate) attempt: u32,
    /// When it was sent.
    pub(crate) sent_at: Seconds,
    /// Its cost, in requests of the mean.
    pub(crate) cost: f64,
    /// Index of its class.
    pub(crate) class: usize,
    /// Index of its plan.
    pub(crate) plan: usize,
    /// Its kind, as [`super::LatencyEstimator`] numbers them.
    pub(crate) kind: usize,
}

impl InFlightAttempt {
    /// The next attempt of a request.
    pub(crate) fn next(id: RequestId, request: &PendingRequest, now: Seconds) -> Self {
        InFlightAttempt {
            request: id,
            attempt: request.attempts,
            sent_at: now,
            cost: request.cost,
            class: request.class,
            plan: request.plan,
            kind: request.kind,
        }
    }
}

/// An attempt sent to an endpoint in its slow start.
///
/// The order of the fields of this and the following types is that of the hot-restart snapshot.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(crate) struct RecentAttempt {
    /// When it was sent.
    pub(crate) sent_at: Seconds,
    /// Its cost, in requests of the mean.
    pub(crate) cost: f64,
}

/// Rates of attempts that succeeded and that failed.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct OutcomeRates {
    /// Of those that succeeded.
    pub(crate) succeeded: DecayingRate,
    /// Of those that failed.
    pub(crate) failed: DecayingRate,
}

/// An upstream endpoint as this node sees it.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct EndpointRecord {
    /// Its entry in the list.
    pub(crate) endpoint: Endpoint,
    /// Takes requests.
    pub(crate) ready: bool,
    /// The list no longer names it, or names it as removed.
    pub(crate) removed: bool,
    /// A member of this node's subset of endpoints.
    pub(crate) in_subset: bool,
    /// Start of its slow start.
    pub(crate) slow_start_from: Seconds,
    /// Returned to service after maintenance, with no attempt since.
    pub(crate) awaits_first_attempt: bool,
    /// Attempts in flight from this process; another process has none of these.
    #[serde(skip)]
    pub(crate) in_flight: Vec<InFlightAttempt>,
    /// Latency as a part of the usual one.
    pub(crate) latency_factor: f64,
    /// When it answered last.
    pub(crate) last_response_at: Seconds,
    /// Failures in a row.
    pub(crate) consecutive_failures: u32,
    /// Until when it is ejected.
    pub(crate) ejected_until: Seconds,
    /// Attempts sent during its slow start.
    pub(crate) recent_attempts: VecDeque<RecentAttempt>,
    /// Outcomes by label: the classes, then the plans.
    pub(crate) outcomes: Vec<OutcomeRates>,
}

impl EndpointRecord {
    /// One that nothing is known of but its entry in the list.
    pub(crate) fn new(endpoint: Endpoint, slow_start_from: Seconds, labels: usize) -> Self {
        EndpointRecord {
            ready: endpoint.state == EndpointState::Ready,
            latency_factor: 1.0,
            outcomes: vec![OutcomeRates::default(); labels],
            endpoint,
            slow_start_from,
            ..EndpointRecord::default()
        }
    }

    /// Applies an entry of the list.
    pub(crate) fn update(&mut self, endpoint: &Endpoint, started_at: Seconds) {
        self.ready = endpoint.state == EndpointState::Ready;
        self.removed = endpoint.state == EndpointState::Removed;
        if started_at > self.slow_start_from {
            self.slow_start_from = started_at;
            self.latency_factor = 1.0;
            self.consecutive_failures = 0;
            self.outcomes.fill(OutcomeRates::default());
        }
        self.endpoint = endpoint.clone();
    }

    /// Time without a response while attempts are in flight.
    pub(crate) fn silence(&self, now: Seconds) -> Seconds {
        self.in_flight
            .iter()
            .map(|attempt| attempt.sent_at)
            .reduce(f64::min)
            .map_or(0.0, |oldest| now - oldest.max(self.last_response_at))
    }

    /// Cost in flight from this node.
    pub(crate) fn in_flight_cost(&self) -> f64 {
        self.in_flight.iter().map(|attempt| attempt.cost).sum()
    }

    /// Share of its capacity that it has during slow start, 1 afterwards.
    pub(crate) fn slow_start_fraction(&self, settings: &PolicySettings, now: Seconds) -> f64 {
        let span = seconds(settings.slow_start_ns).max(1e-9);
        let elapsed = ((now - self.slow_start_from) / span).clamp(0.0, 1.0);
        settings.slow_start_fraction + (1.0 - settings.slow_start_fraction) * elapsed
    }

    /// Drops attempts that are older than the window in which overload is counted.
    pub(crate) fn forget_attempts_before(&mut self, now: Seconds, window: Seconds) {
        self.recent_attempts
            .retain(|attempt| now - attempt.sent_at < window);
    }

    /// Records an attempt that is sent. `slow_start`: how long the endpoint warms up.
    pub(crate) fn start_attempt(&mut self, attempt: InFlightAttempt, slow_start: Seconds) {
        self.awaits_first_attempt = false;
        if attempt.sent_at - self.slow_start_from < slow_start {
            self.recent_attempts.push_back(RecentAttempt {
                sent_at: attempt.sent_at,
                cost: attempt.cost,
            });
        }
        self.in_flight.push(attempt);
    }

    /// Takes an attempt out of those in flight.
    pub(crate) fn finish(&mut self, request: RequestId, attempt: u32) -> Option<InFlightAttempt> {
        let matches =
            |other: &InFlightAttempt| other.request == request && other.attempt == attempt;
        let position = self.in_flight.iter().position(matches)?;
        Some(self.in_flight.remove(position))
    }
}

/// All endpoints of the list, by index.
#[derive(Default)]
pub(crate) struct EndpointTable {
    /// The records; an index stays that of its endpoint while anything refers to it.
    pub(crate) records: Vec<EndpointRecord>,
    /// Index of each endpoint.
    pub(crate) indexes: BTreeMap<EndpointId, usize>,
    /// A list was received in this process's time, or before.
    pub(crate) list_received: bool,
    /// Part of its usual traffic that each zone gets; zones beyond get all.
    pub(crate) zone_shares: Vec<f64>,
}

impl EndpointTable {
    /// Index and record of an endpoint.
    pub(crate) fn get_mut(&mut self, id: &EndpointId) -> Option<(usize, &mut EndpointRecord)> {
        let index = *self.indexes.get(id)?;
        Some((index, &mut self.records[index]))
    }

    /// Gives a new endpoint its index: that of a removed one which nothing refers to, else one
    /// more. Otherwise the table would hold all endpoints that ever were, and every choice would go
    /// through them.
    pub(crate) fn insert(
        &mut self,
        new: EndpointRecord,
        is_referenced: impl Fn(usize) -> bool,
    ) -> usize {
        let free = |i: &usize| {
            let record = &self.records[*i];
            record.removed && record.in_flight.is_empty() && !is_referenced(*i)
        };
        let index = (0..self.records.len())
            .find(free)
            .unwrap_or(self.records.len());
        self.indexes.retain(|_, other| *other != index);
        self.indexes.insert(new.endpoint.id.clone(), index);
        match self.records.get_mut(index) {
            Some(old) => *old = new,
            None => self.records.push(new),
        }
        index
    }

    /// Records that take requests.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records.iter().filter(|record| record.ready)
    }

    /// Part of its usual traffic that a zone gets.
    pub(crate) fn zone_share(&self, zone: u32) -> f64 {
        self.zone_shares.get(zone as usize).copied().unwrap_or(1.0)
    }
}
