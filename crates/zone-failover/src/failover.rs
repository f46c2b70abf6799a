//! The zone failover state machine of one node: its view of the zones and of its peers, and how each input updates it.
//!
//! Owned by the engine's task. Invariants: each message is counted at most once, and no peer carries more weight than any
//! other node, whatever it reports.

mod gossip;
mod zone_views;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use applewall_node_types::{NodeId, TimeSpan, Timestamp};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use self::gossip::ReceivedMessage;
use crate::evaluation::Evaluation;
use crate::event::{Input, Output, Start, ZoneEndpoints};
use crate::id::ZoneId;
use crate::observation::{DecayFactors, OutcomeSums, ZoneObservations};
use crate::settings::Settings;
use crate::transition::ZoneTransition;
use crate::zone_state::{ZonePhase, ZoneState};

/// Time constant of the exponential decay of the outcomes that are reported to peers. Short, because good outcomes from
/// before a failure mask it.
const SHORT_TERM_TIME_CONSTANT: TimeSpan = TimeSpan::from_seconds(1.0);
/// Time constant of the exponential decay of the outcomes on which this node bases its own decisions. Longer, because one
/// node has fewer samples than the fleet.
const LONG_TERM_TIME_CONSTANT: TimeSpan = TimeSpan::from_seconds(2.0);
/// Fraction of bad outcomes above which a failure is indicated, given [`MIN_FAILURE_INDICATION_OUTCOMES`].
const FAILURE_INDICATION_FRACTION: f64 = 0.1;
/// Minimum number of outcomes before their bad fraction can indicate a failure.
const MIN_FAILURE_INDICATION_OUTCOMES: f64 = 1.0;
/// Number of peers that must have reported before a zone is evaluated; in a smaller fleet, all peers.
const QUORUM: u32 = 3;
/// How long a peer's sequence number is retained. Longer than the message lifetime, so that a delayed duplicate is not
/// counted again.
const SEQUENCE_LIFETIME: TimeSpan = TimeSpan::from_seconds(60.0);
/// Grace period after startup, during which the node has too few observations of its own and adopts the fleet's decisions.
const GRACE_PERIOD: TimeSpan = TimeSpan::from_seconds(3.0);
/// Maximum gap between two evaluations (ten intervals). A longer gap means that the process was suspended and its
/// observations are outdated.
const MAX_INTERVAL_GAP: TimeSpan = TimeSpan::from_seconds(1.0);
/// Upper bound on canary traffic, as a share of a zone's usual traffic: a node with few requests must not use all of them
/// as canaries.
const MAX_CANARY_SHARE: f64 = 0.1;
/// Avoids a division by zero on a node without requests.
const MIN_REQUESTS_PER_SECOND: f64 = 1e-9;

/// Decides which share of its usual traffic one node sends to each zone. See the [crate documentation](crate).
#[derive(Clone, Debug)]
pub struct ZoneFailover {
    settings: Settings,
    /// Sorted. A zone's id is its index in this list and is the same on all nodes.
    zone_names: Vec<String>,
    observations: Vec<ZoneObservations>,
    endpoints: Vec<u32>,
    states: Vec<ZoneState>,
    fleet_size: u32,
    node: NodeId,
    incarnation: u32,
    sequence: u32,
    rng: SmallRng,
    /// The latest message of each peer.
    received: BTreeMap<NodeId, ReceivedMessage>,
    started_at: Timestamp,
    last_interval_at: Timestamp,
    intervals: u32,
    /// When a failure was last indicated, by this node's own observations or by a peer's report.
    last_failure_indication_at: Option<Timestamp>,
}

/// Whether the outcomes indicate a failure.
fn indicates_failure(sums: &OutcomeSums) -> bool {
    sums.bad_fraction() > FAILURE_INDICATION_FRACTION
        && sums.total() >= MIN_FAILURE_INDICATION_OUTCOMES
}

impl ZoneFailover {
    /// Creates the state of a node that starts at `start.now`.
    pub fn new(settings: &Settings, start: Start<'_>) -> Self {
        let mut zone_names = start.zone_names.to_vec();
        zone_names.sort();
        zone_names.dedup();
        let mut rng = SmallRng::seed_from_u64(start.seed);
        ZoneFailover {
            settings: settings.clone(),
            observations: vec![ZoneObservations::default(); zone_names.len()],
            endpoints: vec![0; zone_names.len()],
            states: vec![ZoneState::new(start.now); zone_names.len()],
            zone_names,
            fleet_size: start.fleet_size.max(1),
            node: start.node,
            incarnation: rng.random(),
            sequence: 0,
            rng,
            received: BTreeMap::new(),
            started_at: start.now,
            last_interval_at: start.now,
            intervals: 0,
            last_failure_indication_at: None,
        }
    }

    /// Names of all zones, indexed by [`ZoneId`].
    pub fn zone_names(&self) -> &[String] {
        &self.zone_names
    }

    /// The id of the zone with this name; `None` for an unknown zone.
    pub fn zone_number(&self, name: &str) -> Option<ZoneId> {
        self.zone_names
            .binary_search_by(|known| known.as_str().cmp(name))
            .ok()
            .map(ZoneId)
    }

    /// The zone's phase on this node. Unknown zones count as in use.
    pub fn phase(&self, zone: ZoneId) -> ZonePhase {
        self.states
            .get(zone.0)
            .map_or(ZonePhase::InUse, |state| state.phase)
    }

    /// The share of the zone's usual traffic, from 0 to 1, that this node currently sends to it, canary traffic included.
    ///
    /// The canary rate is a limit for the whole fleet, not for each node. The fleet's usual traffic into the zone is
    /// extrapolated from this node's requests, and each node sends the share `canaries_per_s / usual_per_second`.
    ///
    /// Tests: `canary_rate_is_limited_for_the_whole_fleet`,
    /// `failing_zone_is_ejected_by_most_nodes_within_two_seconds_and_then_gets_only_canaries`.
    pub fn traffic_share(&self, zone: ZoneId) -> f64 {
        let Some(state) = self.states.get(zone.0) else {
            return 1.0;
        };
        if state.is_in_use() {
            return 1.0;
        }
        let all: u32 = self.endpoints.iter().sum();
        let zone_fraction = f64::from(self.endpoints[zone.0]) / f64::from(all.max(1));
        let outcomes = self.observations.iter().map(|zone| zone.long_term.total());
        let requests_per_second = outcomes.sum::<f64>() / LONG_TERM_TIME_CONSTANT.as_seconds();
        let usual_per_second = f64::from(self.fleet_size) * requests_per_second * zone_fraction;
        let canary_share =
            self.settings.canaries_per_s / usual_per_second.max(MIN_REQUESTS_PER_SECOND);
        state.traffic_share.max(canary_share.min(MAX_CANARY_SHARE))
    }

    /// Processes an input. `now` must not decrease between calls.
    pub fn handle(&mut self, now: Timestamp, input: Input) -> Output {
        match input {
            Input::EndpointsListed(zones) => self.set_endpoints(&zones),
            Input::AttemptObserved {
                zone,
                endpoint,
                observation,
                sent_at,
            } => {
                if let Some(observations) = self.observations.get_mut(zone.0) {
                    observations.record(endpoint, observation, sent_at);
                }
            }
            Input::MessageReceived { from, message } => self.receive(now, from, message),
            Input::IntervalElapsed => return self.end_interval(now),
        }
        Output::default()
    }

    fn set_endpoints(&mut self, zones: &[ZoneEndpoints]) {
        self.endpoints.fill(0);
        for ZoneEndpoints { zone, endpoints } in zones {
            if let Some(number) = self.zone_number(zone) {
                self.endpoints[number.0] = *endpoints;
            }
        }
    }

    fn end_interval(&mut self, now: Timestamp) -> Output {
        let elapsed = (now - self.last_interval_at).max(TimeSpan::ZERO);
        self.last_interval_at = now;
        if elapsed > MAX_INTERVAL_GAP {
            self.resume_after_suspension(now);
        }
        self.update_observations(now, elapsed);
        let views = self.views(now);
        let required_peers = QUORUM.min(self.fleet_size - 1);
        let evaluation = Evaluation {
            settings: &self.settings,
            now,
            elapsed,
            has_quorum: self.has_quorum(now) && !self.is_isolated(&views),
            required_votes: required_peers.max(1),
            views: &views,
        };
        let transitions = evaluation
            .run(&mut self.states)
            .into_iter()
            .map(|(zone, transition)| ZoneTransition {
                zone: self.zone_names[zone.0].clone(),
                transition,
            })
            .collect();
        self.intervals += 1;
        let mut messages = Vec::new();
        if self.is_message_due(now, &views) {
            messages.push(self.message());
        }
        Output {
            messages,
            transitions,
        }
    }

    fn update_observations(&mut self, now: Timestamp, elapsed: TimeSpan) {
        let decay = DecayFactors {
            short_term: (-(elapsed / SHORT_TERM_TIME_CONSTANT)).exp(),
            long_term: (-(elapsed / LONG_TERM_TIME_CONSTANT)).exp(),
        };
        for observations in &mut self.observations {
            observations.end_interval(decay);
        }
        self.received
            .retain(|_, received| now - received.at < SEQUENCE_LIFETIME);
        let zones = self.observations.iter().zip(&self.states);
        let has_failures = zones.into_iter().any(|(observations, state)| {
            indicates_failure(&observations.long_term) || !state.is_in_use()
        });
        if has_failures {
            self.last_failure_indication_at = Some(now);
        }
    }

    /// Discards outdated observations and decisions after the process or its machine was suspended, so that the node adopts
    /// the fleet's decisions.
    fn resume_after_suspension(&mut self, now: Timestamp) {
        for (observations, state) in self.observations.iter_mut().zip(&mut self.states) {
            *observations = ZoneObservations::default();
            state.failure = None;
            if !state.is_in_use() {
                // Restart with canary traffic. Within a second the fleet's mean share shows whether peers use the zone.
                state.eject(now);
            }
        }
        self.last_failure_indication_at = Some(now);
    }
}
