//! The core of one node: what it knows of the zones and of its peers, and how an input changes that.
//!
//! Owned by the engine's task. Invariants: a message is counted once, and a peer has no more weight than any other node,
//! whatever it reports.

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
use crate::observation::{OutcomeSums, Retention, ZoneObservations};
use crate::settings::Settings;
use crate::transition::ZoneTransition;
use crate::zone_state::{ZonePhase, ZoneState};

/// Time constant with which the outcomes fade that are reported to peers: short, since good ones from before a failure
/// hide it.
const RECENT_MEMORY: TimeSpan = TimeSpan::from_seconds(1.0);
/// Time constant with which the outcomes fade that this node relies on itself: longer, since these are fewer than the
/// fleet's.
const OWN_MEMORY: TimeSpan = TimeSpan::from_seconds(2.0);
/// Fraction of bad outcomes that is a sign of a failure, given [`MIN_FAILURE_SIGN_OUTCOMES`].
const FAILURE_SIGN_FRACTION: f64 = 0.1;
/// Outcomes that must have been observed before their bad fraction is a sign of a failure.
const MIN_FAILURE_SIGN_OUTCOMES: f64 = 1.0;
/// Peers that must have reported before a zone is judged; all of them in a smaller fleet.
const QUORUM: u32 = 3;
/// Time for which a peer's sequence number is stored: longer than its message counts, or a late one would count again.
const SEQUENCE_LIFETIME: TimeSpan = TimeSpan::from_seconds(60.0);
/// Grace period after the start, in which a node observes too little to judge: it adopts the fleet's decisions.
const GRACE_PERIOD: TimeSpan = TimeSpan::from_seconds(3.0);
/// Longest gap between two intervals, ten of them. After a longer one the process was stopped, and its observations are
/// outdated.
const MAX_INTERVAL_GAP: TimeSpan = TimeSpan::from_seconds(1.0);
/// Bounds canary traffic, as a share of a zone's usual traffic: a node with few requests must not send all of them.
const MAX_CANARY_SHARE: f64 = 0.1;
/// Prevents a division by zero at a node without requests.
const MIN_REQUESTS_PER_SECOND: f64 = 1e-9;

/// Decides what share of its usual traffic each zone gets from one node. See the [crate documentation](crate).
#[derive(Clone, Debug)]
pub struct ZoneFailover {
    settings: Settings,
    /// Sorted; a zone's number is its index here, the same at all nodes.
    names: Vec<String>,
    observations: Vec<ZoneObservations>,
    endpoints: Vec<u32>,
    states: Vec<ZoneState>,
    fleet_size: u32,
    node: NodeId,
    incarnation: u32,
    sequence: u32,
    rng: SmallRng,
    /// The last message of each peer.
    received: BTreeMap<NodeId, ReceivedMessage>,
    started_at: Timestamp,
    last_interval_at: Timestamp,
    intervals: u32,
    /// When a sign of a failure was last observed here or reported.
    last_failure_sign_at: Option<Timestamp>,
}

/// True if the outcomes are a sign of a failure.
fn shows_failures(sums: &OutcomeSums) -> bool {
    sums.bad_fraction() > FAILURE_SIGN_FRACTION && sums.total() >= MIN_FAILURE_SIGN_OUTCOMES
}

impl ZoneFailover {
    /// The core of a node that starts now.
    pub fn new(settings: &Settings, start: Start<'_>) -> Self {
        let mut names = start.zone_names.to_vec();
        names.sort();
        names.dedup();
        let mut rng = SmallRng::seed_from_u64(start.seed);
        ZoneFailover {
            settings: settings.clone(),
            observations: vec![ZoneObservations::default(); names.len()],
            endpoints: vec![0; names.len()],
            states: vec![ZoneState::new(start.now); names.len()],
            names,
            fleet_size: start.fleet_size.max(1),
            node: start.node,
            incarnation: rng.random(),
            sequence: 0,
            rng,
            received: BTreeMap::new(),
            started_at: start.now,
            last_interval_at: start.now,
            intervals: 0,
            last_failure_sign_at: None,
        }
    }

    /// Names of all zones, by their numbers.
    pub fn zone_names(&self) -> &[String] {
        &self.names
    }

    /// The number of a zone.
    pub fn zone_number(&self, name: &str) -> Option<ZoneId> {
        self.names
            .binary_search_by(|known| known.as_str().cmp(name))
            .ok()
            .map(ZoneId)
    }

    /// How this node uses a zone; one that it does not know is in use.
    pub fn phase(&self, zone: ZoneId) -> ZonePhase {
        self.states
            .get(zone.0)
            .map_or(ZonePhase::InUse, |state| state.phase)
    }

    /// Share of its usual traffic that a zone gets from this node now, canaries included: 0 to 1.
    ///
    /// Canaries are a few requests a second of the fleet, and not of each node. With the fleet's usual traffic into the zone
    /// estimated from this node's requests, each node sends `canaries_per_s / usual_per_second` of its own traffic there.
    ///
    /// Tests: `canaries_are_a_few_requests_a_second_of_the_fleet`,
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
        let outcomes = self.observations.iter().map(|zone| zone.own.total());
        let requests_per_second = outcomes.sum::<f64>() / OWN_MEMORY.as_seconds();
        let usual_per_second = f64::from(self.fleet_size) * requests_per_second * zone_fraction;
        let canary_share =
            self.settings.canaries_per_s / usual_per_second.max(MIN_REQUESTS_PER_SECOND);
        state.traffic_share.max(canary_share.min(MAX_CANARY_SHARE))
    }

    /// Processes an input at the time `now`, which never decreases.
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
            self.resume_after_stop(now);
        }
        self.update_observations(now, elapsed);
        let views = self.views(now);
        let required_peers = QUORUM.min(self.fleet_size - 1);
        let evaluation = Evaluation {
            settings: &self.settings,
            now,
            elapsed,
            has_quorum: self.has_quorum(now) && !self.is_cut_off(&views),
            required_votes: required_peers.max(1),
            views: &views,
        };
        let transitions = evaluation
            .run(&mut self.states)
            .into_iter()
            .map(|(zone, transition)| ZoneTransition {
                zone: self.names[zone.0].clone(),
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
        let retention = Retention {
            recent: (-(elapsed / RECENT_MEMORY)).exp(),
            own: (-(elapsed / OWN_MEMORY)).exp(),
        };
        for observations in &mut self.observations {
            observations.end_interval(retention);
        }
        self.received
            .retain(|_, received| now - received.at < SEQUENCE_LIFETIME);
        let zones = self.observations.iter().zip(&self.states);
        let has_failures = zones
            .into_iter()
            .any(|(observations, state)| shows_failures(&observations.own) || !state.is_in_use());
        if has_failures {
            self.last_failure_sign_at = Some(now);
        }
    }

    /// The process, or its machine, was stopped: its observations and decisions are outdated, and it adopts those of the
    /// fleet.
    fn resume_after_stop(&mut self, now: Timestamp) {
        for (observations, state) in self.observations.iter_mut().zip(&mut self.states) {
            *observations = ZoneObservations::default();
            state.failure = None;
            if !state.is_in_use() {
                // Canaries at first; the fleet's mean share shows within a second whether the others use the zone.
                state.eject(now);
            }
        }
        self.last_failure_sign_at = Some(now);
    }
}
