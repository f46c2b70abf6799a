//! What share of its traffic each zone gets, where the operators switched that on: the reckoning (`applewall_zone_failover`) with
//! the engine's attempts, clock and datagrams.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::collections::HashMap;

use applewall::api::{EndpointId, EndpointState, EndpointUpdateKind, Outcome, RequestId};
use applewall::platform_settings::PlatformSettings;
use applewall_zone_failover::{Saw, Settings, Word, Zones};

use crate::engine::message::EndpointEntry;
use crate::peer_socket::PeerSocket;

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
    core: Zones,
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
        let core = Zones::new(
            set,
            &names,
            settings.node_count,
            settings.node,
            seed,
            now as f64 / SECOND,
        );
        let numbers = names.iter().filter_map(|name| core.number(name)).collect();
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
    pub(crate) fn listed(&mut self, kind: EndpointUpdateKind, entries: &[EndpointEntry]) {
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
        let names: Vec<String> = self.core.names().to_vec();
        self.core.list(names.iter().map(String::as_str).zip(count));
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
        let saw = match outcome {
            Outcome::Success if !late => Saw::Good,
            // An overdue one counted already.
            Outcome::Success if !out.told => Saw::Failing,
            Outcome::Failure => Saw::Failing,
            Outcome::ConnectFailed | Outcome::ConnectionReset => Saw::Dead,
            Outcome::TimedOut if !out.told => Saw::Failing,
            // Full: it lives, and its load is the ladder's matter. The rest is this ingress's own doing.
            _ => return,
        };
        self.core.saw(out.zone, out.instance, saw);
    }

    /// A datagram of a peer; true where it was a word on zones, and so no message for the module.
    pub(crate) fn hear(&mut self, now: u64, from: u32, text: &str) -> bool {
        if !Word::is(text) {
            return false;
        }
        match Word::read(text) {
            Some(word) => self.core.hear(now as f64 / SECOND, from, &word),
            None => {
                // Once a life: whoever sends one such word may send any number.
                if !std::mem::replace(&mut self.told, true) {
                    tracing::warn!("zones: words of peer {from} that cannot be read are dropped");
                }
            }
        }
        true
    }

    /// An interval has passed: the shares by the module's numbers, where they changed.
    pub(crate) fn tick(&mut self, now: u64, peers: Option<&PeerSocket>) -> Option<Vec<f64>> {
        for out in self.out.values_mut().filter(|out| !out.told) {
            if now.saturating_sub(out.since) as f64 > out.aim as f64 * OVERDUE {
                out.told = true;
                self.core.saw(out.zone, out.instance, Saw::Failing);
            }
        }
        let step = self.core.tick(now as f64 / SECOND);
        for (zone, line) in step.lines {
            tracing::warn!("zones: {zone} {line}");
        }
        if let (Some(peers), Some((to, word))) = (peers, step.word) {
            peers.send(Some(to), &word.write());
        }
        let shares: Vec<f64> = self
            .numbers
            .iter()
            .map(|zone| self.core.share(*zone))
            .collect();
        (shares != self.shares).then(|| {
            self.shares = shares.clone();
            shares
        })
    }
}
