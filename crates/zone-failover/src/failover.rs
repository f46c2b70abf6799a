//! The core of one node: inputs, outputs, and what it knows of the zones and of its peers.
//!
//! Owned by the engine's task. Invariants: a message is counted once, and a peer weighs no more than any other node,
//! whatever it reports.

mod gossip;

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::message::ZoneMessage;
use crate::observation::{Observation, OutcomeSums, Retention, ZoneObservations};
use crate::policy::{Evaluation, ZonePhase, ZoneState, ZoneView};
use crate::settings::Settings;
use crate::transition::ZoneTransition;

/// Time since an origin of the caller's choice, or a span of time, in seconds.
pub type Seconds = f64;

/// Time constant with which the outcomes fade that peers are told: short, since good ones from before a failure hide it.
const RECENT_MEMORY: Seconds = 1.0;
/// Time constant with which the outcomes fade that this node relies on itself.
const OWN_MEMORY: Seconds = 2.0;
/// Fraction of bad outcomes that is a sign of a failure, given [`MIN_FAILURE_SIGN_OUTCOMES`].
const FAILURE_SIGN_FRACTION: f64 = 0.1;
/// Outcomes that must have been observed before their bad fraction is a sign of a failure.
const MIN_FAILURE_SIGN_OUTCOMES: f64 = 1.0;
/// Peers that must have reported before a zone is judged; all of them in a smaller fleet.
const QUORUM: u32 = 3;
/// Time for which a peer's sequence number is kept: longer than its message counts, or a late one would count again.
const SEQUENCE_LIFETIME: Seconds = 60.0;
/// Outcomes of a zone that one node counts for, at most: each node has about the same weight, and a wrong one no more.
const MAX_OUTCOMES_PER_NODE: f64 = 3.0;
/// Bad outcomes from which a node's report is a vote that the zone is of no use.
const VOTE_THRESHOLD: f64 = 0.3;
/// Time after its start in which a node observes too little to judge; it may follow the fleet.
const GRACE_PERIOD: Seconds = 3.0;
/// A longer gap between two intervals: the process was stopped, and its observations are outdated.
const MAX_INTERVAL_GAP: Seconds = 1.0;
/// Bounds canary traffic, as a share of a zone's usual traffic.
const MAX_CANARY_SHARE: f64 = 0.1;

/// What a node knows when it starts.
#[derive(Clone, Copy, Debug)]
pub struct Start<'a> {
    /// Names of all zones: the same ones, in any order, at all nodes.
    pub zone_names: &'a [String],
    /// Nodes in the fleet.
    pub fleet_size: u32,
    /// The node's number, from 0.
    pub node: u32,
    /// Seed of its random draws.
    pub seed: u64,
    /// When it starts.
    pub now: Seconds,
}

/// How many endpoints the list names in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneEndpoints {
    /// The zone's name.
    pub zone: String,
    /// How many endpoints are ready.
    pub endpoints: u32,
}

/// An event for the core.
#[derive(Clone, Debug)]
pub enum Input {
    /// The endpoint list changed: all zones that have endpoints. Zones that are not configured are ignored.
    EndpointsListed(Vec<ZoneEndpoints>),
    /// An attempt ended, or is long overdue.
    AttemptObserved {
        /// Number of the endpoint's zone.
        zone: usize,
        /// Number of the endpoint, chosen by the caller.
        endpoint: u32,
        /// What became of it.
        observation: Observation,
    },
    /// A peer's message arrived.
    MessageReceived {
        /// Number of the sending node.
        from: u32,
        /// The message.
        message: ZoneMessage,
    },
    /// An interval of about 100 ms passed.
    IntervalElapsed,
}

/// A message and the peer to send it to.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// Number of the receiving node.
    pub to: u32,
    /// The message.
    pub message: ZoneMessage,
}

/// What the caller has to do after an input.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// A message to send.
    pub message: Option<OutgoingMessage>,
    /// Changes of zones, to be logged.
    pub transitions: Vec<ZoneTransition>,
}

/// A peer's last message.
#[derive(Clone, Debug)]
struct Received {
    at: Seconds,
    message: ZoneMessage,
}

/// One node's part of the zone failover. See the [crate documentation](crate).
#[derive(Clone, Debug)]
pub struct ZoneFailover {
    settings: Settings,
    /// Sorted; a zone's number is its index here, the same at all nodes.
    names: Vec<String>,
    observations: Vec<ZoneObservations>,
    endpoints: Vec<u32>,
    states: Vec<ZoneState>,
    fleet_size: u32,
    node: u32,
    incarnation: u32,
    sequence: u32,
    rng: SmallRng,
    /// By peer.
    received: BTreeMap<u32, Received>,
    started_at: Seconds,
    last_interval_at: Seconds,
    intervals: u32,
    /// When a sign of a failure was last observed here or reported.
    last_failure_sign_at: Seconds,
}

/// True if the outcomes are a sign of a failure.
fn shows_failures(sums: &OutcomeSums) -> bool {
    sums.bad_fraction() > FAILURE_SIGN_FRACTION && sums.total() >= MIN_FAILURE_SIGN_OUTCOMES
}

/// 1 if the outcomes are a vote that the zone is of no use.
fn vote(sums: &OutcomeSums) -> u32 {
    u32::from(sums.bad() >= VOTE_THRESHOLD)
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
            last_failure_sign_at: f64::NEG_INFINITY,
        }
    }

    /// Names of all zones, by their numbers.
    pub fn zone_names(&self) -> &[String] {
        &self.names
    }

    /// The number of a zone.
    pub fn zone_number(&self, name: &str) -> Option<usize> {
        self.names
            .binary_search_by(|known| known.as_str().cmp(name))
            .ok()
    }

    /// How this node uses a zone; one that it does not know is in use.
    pub fn phase(&self, zone: usize) -> ZonePhase {
        self.states
            .get(zone)
            .map_or(ZonePhase::InUse, |state| state.phase)
    }

    /// Share of its usual traffic that a zone gets from this node now, canaries included: 0 to 1.
    pub fn traffic_share(&self, zone: usize) -> f64 {
        let Some(state) = self.states.get(zone) else {
            return 1.0;
        };
        if state.phase == ZonePhase::InUse {
            return 1.0;
        }
        // The fleet's canary rate over the fleet's usual traffic into the zone: a few requests for all, not for each node.
        let all: u32 = self.endpoints.iter().sum();
        let zone_fraction = f64::from(self.endpoints[zone]) / f64::from(all.max(1));
        let outcomes = self.observations.iter().map(|zone| zone.own.total());
        let requests_per_s: f64 = outcomes.sum::<f64>() / OWN_MEMORY;
        let usual_per_s = f64::from(self.fleet_size) * requests_per_s * zone_fraction;
        let canary_share = self.settings.canaries_per_s / usual_per_s.max(1e-9);
        state.share.max(canary_share.min(MAX_CANARY_SHARE))
    }

    /// Processes an input at the time `now`, which never decreases.
    pub fn handle(&mut self, now: Seconds, input: Input) -> Output {
        match input {
            Input::EndpointsListed(zones) => self.set_endpoints(&zones),
            Input::AttemptObserved {
                zone,
                endpoint,
                observation,
            } => {
                if let Some(observations) = self.observations.get_mut(zone) {
                    observations.record(endpoint, observation);
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
                self.endpoints[number] = *endpoints;
            }
        }
    }

    fn end_interval(&mut self, now: Seconds) -> Output {
        let elapsed = (now - self.last_interval_at).max(0.0);
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
                zone: self.names[zone].clone(),
                transition,
            })
            .collect();
        self.intervals += 1;
        Output {
            message: self.is_message_due(now, &views).then(|| self.message()),
            transitions,
        }
    }

    fn update_observations(&mut self, now: Seconds, elapsed: Seconds) {
        let retention = Retention {
            recent: (-elapsed / RECENT_MEMORY).exp(),
            own: (-elapsed / OWN_MEMORY).exp(),
        };
        for observations in &mut self.observations {
            observations.end_interval(retention);
        }
        self.received
            .retain(|_, received| now - received.at < SEQUENCE_LIFETIME);
        let zones = self.observations.iter().zip(&self.states);
        let has_failures = zones.into_iter().any(|(observations, state)| {
            shows_failures(&observations.own) || state.phase != ZonePhase::InUse
        });
        if has_failures {
            self.last_failure_sign_at = now;
        }
    }

    /// True if enough peers reported to judge zones. In a small fleet messages come often enough to outweigh losses; in a
    /// large one they are a sample.
    fn has_quorum(&self, now: Seconds) -> bool {
        let reporting = self.current_messages(now).count() as u32;
        let is_pooled =
            reporting >= QUORUM.min(self.fleet_size - 1) && now - self.started_at >= GRACE_PERIOD;
        is_pooled || self.fleet_size == 1
    }

    /// True if this node sees every zone fail: it is cut off itself, which is no reason to leave any.
    fn is_cut_off(&self, views: &[ZoneView]) -> bool {
        let observed = || {
            views
                .iter()
                .filter(|view| view.own.total() >= MIN_FAILURE_SIGN_OUTCOMES)
        };
        observed().count() > 1
            && observed().all(|view| view.own.bad_fraction() >= self.settings.leave_at)
    }

    fn views(&self, now: Seconds) -> Vec<ZoneView> {
        let messages: Vec<&ZoneMessage> = self.current_messages(now).collect();
        (0..self.names.len())
            .map(|zone| self.view(zone, &messages))
            .collect()
    }

    fn view(&self, zone: usize, messages: &[&ZoneMessage]) -> ZoneView {
        let ZoneObservations {
            recent,
            own,
            last_interval,
            ..
        } = &self.observations[zone];
        let mut fleet = recent.capped(MAX_OUTCOMES_PER_NODE);
        let mut votes = vote(recent);
        let (mut share_sum, mut peers) = (0.0, 0.0);
        let reports = messages.iter().filter_map(|message| {
            let mut reports = message.reports.iter();
            reports.find(|report| usize::from(report.zone) == zone)
        });
        for report in reports {
            fleet = fleet.plus(report.sums.capped(MAX_OUTCOMES_PER_NODE));
            votes += vote(&report.sums);
            share_sum += report.traffic_share;
            peers += 1.0;
        }
        let has_mean = peers >= f64::from(QUORUM.min(self.fleet_size - 1)) && peers > 0.0;
        ZoneView {
            endpoints: self.endpoints[zone],
            fleet,
            votes,
            recent: *recent,
            own: *own,
            interval: *last_interval,
            mean_share: has_mean.then(|| share_sum / peers),
        }
    }

    /// The process, or its machine, was stopped: its observations are outdated, and so are its decisions, which it takes
    /// over from the fleet again.
    fn resume_after_stop(&mut self, now: Seconds) {
        for (observations, state) in self.observations.iter_mut().zip(&mut self.states) {
            *observations = ZoneObservations::default();
            if state.phase != ZonePhase::InUse {
                // Canaries at first; the fleet's mean share shows within a second whether the others use the zone.
                state.enter(now, ZonePhase::Ejected, 0.0);
            }
        }
        self.last_failure_sign_at = now;
    }
}
