//! Zone failover: determines which share of its usual traffic each zone receives, if the operators enabled it. Connects the
//! failover core (`applewall_zone_failover`) with the engine's attempts, clock and datagrams.
//!
//! Owned by the engine. An attempt that was reported as failing because it is overdue is not reported again if it times
//! out or succeeds late; an error response or a broken connection is reported in any case.

use std::collections::HashMap;

use applewall::api::{ClassId, EndpointId, EndpointUpdateKind, NodeId, Outcome, RequestId};
use applewall::platform_settings::PlatformSettings;
use applewall_zone_failover::{
    self as zone_failover, EndpointId as EndpointNumber, Input, Observation, Settings, Start,
    Timestamp, ZoneEndpoints, ZoneId, ZoneMessage,
};

use crate::engine::message::EndpointEntry;
use crate::system::peer_socket::PeerSocket;

mod placements;

use placements::EndpointPlacements;

/// Interval between evaluations of the zones, which is the time resolution of the core's decisions.
pub(crate) const EVALUATION_INTERVAL_NS: u64 = 100_000_000;
const NANOS_PER_SECOND: f64 = 1e9;
/// Fraction of the latency objective after which an attempt without a response counts as failing. Below 1, so that an
/// unresponsive zone is detected before its requests miss the objective.
const OVERDUE_FRACTION: f64 = 0.75;
/// Minimum number of zones; with fewer there is no zone to move traffic to.
const MIN_ZONES: usize = 2;

struct InFlightAttempt {
    zone: ZoneId,
    endpoint: EndpointNumber,
    started_at_ns: u64,
    latency_objective_ns: u64,
    /// Whether the attempt was overdue and has been reported as failing.
    overdue: bool,
}

/// Zone failover on this node.
pub(crate) struct ZoneFailover {
    core: zone_failover::ZoneFailover,
    placements: EndpointPlacements,
    in_flight: HashMap<RequestId, InFlightAttempt>,
    /// Indexed by priority class.
    latency_objectives_ns: Vec<u64>,
    /// Shares last passed to the decision policy, indexed by its zone numbers.
    shares: Vec<f64>,
    /// Whether an undecodable message was logged.
    undecodable_logged: bool,
}

impl ZoneFailover {
    /// Returns `None` if zone failover is not enabled, or if there are fewer than [`MIN_ZONES`] zones.
    pub(crate) fn new(
        failover: &Settings,
        settings: &PlatformSettings,
        seed: u64,
        now_ns: u64,
    ) -> Option<Self> {
        let names = settings.zone_names();
        if !failover.enabled.0 || names.len() < MIN_ZONES {
            return None;
        }
        let policy = &settings.policy;
        let core = zone_failover::ZoneFailover::new(
            failover,
            Start {
                zone_names: &names,
                fleet_size: policy.node_count,
                node: policy.node,
                seed,
                now: timestamp(now_ns),
            },
        );
        let core_zones = names
            .iter()
            .filter_map(|name| core.zone_number(name))
            .collect();
        let objectives = policy
            .classes
            .iter()
            .map(|class| class.latency_objective_ns);
        tracing::info!(zones = names.len(), "zone failover enabled");
        Some(ZoneFailover {
            core,
            placements: EndpointPlacements::new(core_zones),
            in_flight: HashMap::new(),
            latency_objectives_ns: objectives.collect(),
            shares: vec![1.0; names.len()],
            undecodable_logged: false,
        })
    }

    /// Applies an update of the endpoint list.
    pub(crate) fn endpoints_updated(
        &mut self,
        now_ns: u64,
        kind: EndpointUpdateKind,
        entries: &[EndpointEntry],
    ) {
        self.placements.update(kind, entries);
        let counts = self.placements.count_in_service();
        let listed = self.core.zone_names().iter().zip(counts);
        let listed = listed
            .map(|(zone, endpoints)| ZoneEndpoints {
                zone: zone.clone(),
                endpoints,
            })
            .collect();
        self.core
            .handle(timestamp(now_ns), Input::EndpointsListed(listed));
    }

    /// Records the start of an attempt.
    pub(crate) fn attempt_started(
        &mut self,
        now_ns: u64,
        request: RequestId,
        class: ClassId,
        endpoint: &EndpointId,
    ) {
        let Some(placement) = self.placements.get(endpoint) else {
            return;
        };
        let objective = self.latency_objectives_ns.get(class.0).copied();
        self.in_flight.insert(
            request,
            InFlightAttempt {
                zone: placement.zone,
                endpoint: placement.endpoint,
                started_at_ns: now_ns,
                latency_objective_ns: objective.unwrap_or(u64::MAX),
                overdue: false,
            },
        );
    }

    /// Records the end of an attempt.
    pub(crate) fn attempt_ended(&mut self, now_ns: u64, request: RequestId, outcome: Outcome) {
        let Some(attempt) = self.in_flight.remove(&request) else {
            return;
        };
        let latency_ns = now_ns.saturating_sub(attempt.started_at_ns);
        let late = latency_ns > attempt.latency_objective_ns;
        let observation = match outcome {
            Outcome::Success if !late => Observation::Good,
            // An overdue attempt has already been reported as failing.
            Outcome::Success if !attempt.overdue => Observation::Failing,
            Outcome::Failure => Observation::Failing,
            Outcome::ConnectFailed | Outcome::ConnectionReset => Observation::Dead,
            Outcome::TimedOut if !attempt.overdue => Observation::Failing,
            // An overloaded endpoint is alive, and the load ladder reacts to the overload. All other outcomes are caused by
            // this node.
            _ => return,
        };
        let observed = Input::AttemptObserved {
            zone: attempt.zone,
            endpoint: attempt.endpoint,
            observation,
            sent_at: timestamp(attempt.started_at_ns),
        };
        self.core.handle(timestamp(now_ns), observed);
    }

    /// Handles a peer's datagram. Returns true if it is a zone message, false if it is for the decision policy.
    pub(crate) fn receive(&mut self, now_ns: u64, from: NodeId, text: &str) -> bool {
        if !ZoneMessage::matches(text) {
            return false;
        }
        match ZoneMessage::decode(text) {
            Ok(message) => {
                let received = Input::MessageReceived { from, message };
                self.core.handle(timestamp(now_ns), received);
            }
            Err(_) => {
                // Logged once per process, because a sender may send any number of such messages.
                if !std::mem::replace(&mut self.undecodable_logged, true) {
                    tracing::warn!(peer = %from, "undecodable zone message dropped");
                }
            }
        }
        true
    }

    /// Evaluates the zones; called every [`EVALUATION_INTERVAL_NS`]. Returns the zones' shares, indexed by the decision
    /// policy's zone numbers, if they changed.
    pub(crate) fn tick(&mut self, now_ns: u64, peers: Option<&PeerSocket>) -> Option<Vec<f64>> {
        self.observe_overdue(now_ns);
        let output = self.core.handle(timestamp(now_ns), Input::IntervalElapsed);
        for change in output.transitions {
            let (zone, transition) = (change.zone, change.transition);
            tracing::warn!(%zone, %transition, "zone failover state changed");
        }
        if let Some(peers) = peers {
            for outgoing in output.messages {
                peers.send(Some(outgoing.to), &outgoing.message.encode());
            }
        }
        let shares: Vec<f64> = self
            .placements
            .core_zones()
            .iter()
            .map(|zone| self.core.traffic_share(*zone))
            .collect();
        (shares != self.shares).then(|| {
            self.shares.clone_from(&shares);
            shares
        })
    }

    fn observe_overdue(&mut self, now_ns: u64) {
        for attempt in self.in_flight.values_mut() {
            let waited_ns = now_ns.saturating_sub(attempt.started_at_ns) as f64;
            let limit_ns = attempt.latency_objective_ns as f64 * OVERDUE_FRACTION;
            if !attempt.overdue && waited_ns > limit_ns {
                attempt.overdue = true;
                let overdue = Input::AttemptObserved {
                    zone: attempt.zone,
                    endpoint: attempt.endpoint,
                    observation: Observation::Failing,
                    sent_at: timestamp(attempt.started_at_ns),
                };
                self.core.handle(timestamp(now_ns), overdue);
            }
        }
    }
}

/// Converts a time of the engine's clock to the core's type.
fn timestamp(nanos: u64) -> Timestamp {
    Timestamp::from_seconds(nanos as f64 / NANOS_PER_SECOND)
}
