//! What share of its traffic each zone gets, where the operators switched that on: the reckoning (`applewall_zone_failover`) with
//! the engine's attempts, clock and datagrams.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::collections::HashMap;

use applewall::api::{EndpointId, EndpointState, EndpointUpdateKind, Outcome, RequestId};
use applewall::platform_settings::PlatformSettings;
use applewall_zone_failover::{
    Input, Observation, Settings, Start, ZoneEndpoints, ZoneFailover, ZoneMessage,
};

use crate::engine::message::EndpointEntry;
use crate::peer_socket::Peers;

/// Between judgements, ns.
pub(crate) const EVERY: u64 = 100_000_000;
/// Nanoseconds of a second.
const SECOND: f64 = 1e9;
/// Part of the aim after which an attempt that says nothing counts against its zone.
const OVERDUE: f64 = 0.75;

/// An attempt that is out.
struct Out {
    zone: usize,
    instance: u32,
    since: u64,
    aim: u64,
    told: bool,
}

/// This ingress's part of the fleet's verdicts on zones.
pub(crate) struct Zoning {
    core: ZoneFailover,
    /// By the module's number of a zone, the core's.
    numbers: Vec<usize>,
    /// Where each instance is, and its number here.
    places: HashMap<EndpointId, (usize, u32)>,
    ready: HashMap<EndpointId, usize>,
    next: u32,
    out: HashMap<RequestId, Out>,
    aims: Vec<u64>,
    /// As the module knows them.
    shares: Vec<f64>,
    /// Words that could not be read were told of.
    told: bool,
}

impl Zoning {
    /// None where it is switched off, or there is nothing to leave.
    pub(crate) fn new(
        set: &Settings,
        facts: &PlatformSettings,
        seed: u64,
        now: u64,
    ) -> Option<Self> {
        let names = facts.zones();
        if !set.enabled.0 || names.len() < 2 {
            return None;
        }
        let settings = &facts.policy;
        let core = ZoneFailover::new(
            set,
            Start {
                zone_names: &names,
                fleet_size: settings.node_count,
                node: settings.node,
                seed,
                now: now as f64 / SECOND,
            },
        );
        let numbers = names
            .iter()
            .filter_map(|name| core.zone_number(name))
            .collect();
        tracing::info!("zones: {} of them are judged by the fleet", names.len());
        Some(Zoning {
            core,
            numbers,
            places: HashMap::new(),
            ready: HashMap::new(),
            next: 0,
            out: HashMap::new(),
            aims: settings
                .classes
                .iter()
                .map(|c| c.latency_objective_ns)
                .collect(),
            shares: vec![1.0; names.len()],
            told: false,
        })
    }

    /// News of the name table.
    pub(crate) fn listed(&mut self, now: u64, kind: EndpointUpdateKind, entries: &[EndpointEntry]) {
        if kind != EndpointUpdateKind::Delta {
            self.places.clear();
            self.ready.clear();
        }
        for EndpointEntry {
            endpoint: member, ..
        } in entries
        {
            // A zone that the settings do not name is judged by nobody.
            let Some(zone) = self.numbers.get(member.zone as usize).copied() else {
                continue;
            };
            match member.state {
                EndpointState::Removed => {
                    self.places.remove(&member.id);
                    self.ready.remove(&member.id);
                }
                state => {
                    let number = self.next;
                    let place = self
                        .places
                        .entry(member.id.clone())
                        .or_insert((zone, number));
                    place.0 = zone;
                    self.next = self.next.wrapping_add(1);
                    match state {
                        EndpointState::Ready => drop(self.ready.insert(member.id.clone(), zone)),
                        _ => drop(self.ready.remove(&member.id)),
                    }
                }
            }
        }
        let mut count = vec![0u32; self.numbers.len()];
        self.ready.values().for_each(|zone| count[*zone] += 1);
        let listed = self.core.zone_names().iter().zip(count);
        let listed = listed
            .map(|(zone, endpoints)| ZoneEndpoints {
                zone: zone.clone(),
                endpoints,
            })
            .collect();
        self.core
            .handle(now as f64 / SECOND, Input::EndpointsListed(listed));
    }

    /// An attempt is sent.
    pub(crate) fn sent(
        &mut self,
        now: u64,
        request: RequestId,
        class: usize,
        backend: &EndpointId,
    ) {
        if let Some((zone, instance)) = self.places.get(backend).copied() {
            let aim = self.aims.get(class).copied().unwrap_or(u64::MAX);
            self.out.insert(
                request,
                Out {
                    zone,
                    instance,
                    since: now,
                    aim,
                    told: false,
                },
            );
        }
    }

    /// It ended.
    pub(crate) fn ended(&mut self, now: u64, request: RequestId, outcome: Outcome) {
        let Some(out) = self.out.remove(&request) else {
            return;
        };
        let late = now.saturating_sub(out.since) > out.aim;
        let observation = match outcome {
            Outcome::Success if !late => Observation::Good,
            // An overdue one counted already.
            Outcome::Success if !out.told => Observation::Failing,
            Outcome::Failure => Observation::Failing,
            Outcome::ConnectFailed | Outcome::ConnectionReset => Observation::Dead,
            Outcome::TimedOut if !out.told => Observation::Failing,
            // Full: it lives, and its load is the ladder's matter. The rest is this ingress's own doing.
            _ => return,
        };
        let observed = Input::AttemptObserved {
            zone: out.zone,
            endpoint: out.instance,
            observation,
        };
        self.core.handle(now as f64 / SECOND, observed);
    }

    /// A datagram of a peer; true where it was a word on zones, and so no message for the module.
    pub(crate) fn hear(&mut self, now: u64, from: u32, text: &str) -> bool {
        if !ZoneMessage::matches(text) {
            return false;
        }
        match ZoneMessage::decode(text) {
            Ok(message) => {
                self.core.handle(
                    now as f64 / SECOND,
                    Input::MessageReceived { from, message },
                );
            }
            Err(_) => {
                // Once a life: whoever sends one such word may send any number.
                if !std::mem::replace(&mut self.told, true) {
                    tracing::warn!(
                        "zones: messages of peer {from} that cannot be decoded are dropped"
                    );
                }
            }
        }
        true
    }

    /// An interval has passed: the shares by the module's numbers, where they changed.
    pub(crate) fn tick(&mut self, now: u64, peers: Option<&Peers>) -> Option<Vec<f64>> {
        for out in self.out.values_mut().filter(|out| !out.told) {
            if now.saturating_sub(out.since) as f64 > out.aim as f64 * OVERDUE {
                out.told = true;
                let overdue = Input::AttemptObserved {
                    zone: out.zone,
                    endpoint: out.instance,
                    observation: Observation::Failing,
                };
                self.core.handle(now as f64 / SECOND, overdue);
            }
        }
        let output = self
            .core
            .handle(now as f64 / SECOND, Input::IntervalElapsed);
        for change in output.transitions {
            tracing::warn!("zones: {} {}", change.zone, change.transition);
        }
        if let (Some(peers), Some(outgoing)) = (peers, output.message) {
            peers.tell(Some(outgoing.to), &outgoing.message.encode());
        }
        let shares: Vec<f64> = self
            .numbers
            .iter()
            .map(|zone| self.core.traffic_share(*zone))
            .collect();
        (shares != self.shares).then(|| {
            self.shares = shares.clone();
            shares
        })
    }
}
