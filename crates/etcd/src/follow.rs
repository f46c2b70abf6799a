//! Carries out the course of a watch.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use applewall_etcd_proto as proto;
use applewall_membership::{
    DisconnectReason, MemberRecord, MemberUpdate, WatchEffect, WatchInput, WatchMachine,
    WatchTiming,
};
use tonic::Status;

use crate::calls::{Calls, Watch};
use crate::settings::Settings;

/// What the registry told.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryUpdate {
    /// The whole list, consistent with all that was written before.
    FullList {
        /// The cluster.
        cluster: u64,
        /// The revision.
        revision: u64,
        /// All members.
        items: Vec<MemberUpdate>,
    },
    /// Changes up to a revision; none: nothing changed up to it.
    Changes {
        /// The cluster.
        cluster: u64,
        /// The revision.
        revision: u64,
        /// What changed.
        items: Vec<MemberUpdate>,
    },
}

/// First bound on the wait before a reconnect.
const BACKOFF: u64 = 20_000_000;
/// Entries that are told of as malformed at most, once each: a registry full of them must not fill the log.
const TOLD: usize = 100;

struct Course<'a> {
    settings: &'a Settings,
    follow: WatchMachine,
    clock: Instant,
    calls: Option<Calls>,
    watch: Option<Watch>,
    /// Changes of an answer that is split, until its last part.
    parts: Vec<MemberUpdate>,
    /// Malformed entries that were told of.
    bad: BTreeSet<String>,
    lost: bool,
}

/// Follows the registry for as long as `take` wants: news go to it in order, each revision's once, and it says whether
/// they follow on what it holds; if not, the list is read anew. `position` is where an earlier life got to, `seed`
/// draws waits and the first endpoint.
///
/// # Cancel safety
///
/// Dropping it drops the connection; news are given in whole or not at all.
pub async fn follow(
    settings: &Settings,
    seed: u64,
    position: Option<(u64, u64)>,
    mut take: impl FnMut(RegistryUpdate) -> bool,
) {
    let pace = WatchTiming {
        progress_interval_ns: settings.probe.as_nanos(),
        response_timeout_ns: settings.patience.as_nanos(),
        backoff_ns: (BACKOFF, settings.backoff.as_nanos()),
        full_read_jitter_ns: settings.spread.as_nanos(),
    };
    let mut course = Course {
        settings,
        follow: WatchMachine::new(pace, seed, position),
        clock: Instant::now(),
        calls: None,
        watch: None,
        parts: Vec::new(),
        bad: BTreeSet::new(),
        lost: false,
    };
    let mut acts = course.follow.handle(0, WatchInput::Tick);
    loop {
        for act in std::mem::take(&mut acts) {
            if let Some(event) = course.carry_out(act, &mut take).await {
                acts.extend(course.follow.handle(course.now(), event));
            }
        }
        if acts.is_empty() {
            let event = course.next(&mut take).await;
            acts = match event {
                Some(event) => course.follow.handle(course.now(), event),
                // What came does not follow on what is held.
                None => course.follow.invalidate(course.now()),
            };
        }
    }
}

impl Course<'_> {
    fn now(&self) -> u64 {
        u64::try_from(self.clock.elapsed().as_nanos()).unwrap_or(u64::MAX)
    }

    fn left(&self) -> Duration {
        Duration::from_nanos(self.follow.next_deadline().saturating_sub(self.now()))
    }

    /// Does what is to be done; what came of it, where that is known at once.
    async fn carry_out(
        &mut self,
        act: WatchEffect,
        take: &mut impl FnMut(RegistryUpdate) -> bool,
    ) -> Option<WatchInput> {
        let left = self.left();
        let failed = |course: &mut Self, status: Result<Status, tokio::time::error::Elapsed>| {
            let reason = status.map_or("no answer in time".to_string(), |s| s.to_string());
            course.lose(&reason);
            Some(WatchInput::ConnectionLost)
        };
        match act {
            WatchEffect::Connect { endpoint } => {
                let endpoints = &self.settings.endpoints.0;
                let to = endpoints[endpoint % endpoints.len().max(1)];
                let token = match &self.settings.token_file {
                    Some(file) => match std::fs::read_to_string(file) {
                        Ok(token) => Some(token),
                        Err(e) => {
                            self.lose(&format!("{file}: {e}"));
                            return Some(WatchInput::ConnectionLost);
                        }
                    },
                    None => None,
                };
                let connect = Calls::connect(to, left, token.as_deref());
                match tokio::time::timeout(left, connect).await {
                    Ok(Ok(calls)) => {
                        self.calls = Some(calls);
                        Some(WatchInput::Connected)
                    }
                    Ok(Err(status)) => failed(self, Ok(status)),
                    Err(e) => failed(self, Err(e)),
                }
            }
            WatchEffect::ReadList => {
                let calls = self.calls.clone()?;
                match tokio::time::timeout(left, calls.read(self.settings.prefix.as_bytes())).await
                {
                    Ok(Ok(read)) => {
                        let header = read.header.unwrap_or_default();
                        let (cluster, revision) =
                            (header.cluster_id, header.revision.max(0) as u64);
                        let items = read
                            .kvs
                            .into_iter()
                            .filter_map(|kv| self.item(Some(kv), true))
                            .collect();
                        take(RegistryUpdate::FullList {
                            cluster,
                            revision,
                            items,
                        });
                        Some(WatchInput::ListRead { cluster, revision })
                    }
                    Ok(Err(status)) => failed(self, Ok(status)),
                    Err(e) => failed(self, Err(e)),
                }
            }
            WatchEffect::Watch { from } => {
                let calls = self.calls.clone()?;
                self.parts.clear();
                match tokio::time::timeout(left, calls.watch(self.settings.prefix.as_bytes(), from))
                    .await
                {
                    Ok(Ok(watch)) => {
                        self.watch = Some(watch);
                        None
                    }
                    Ok(Err(status)) => failed(self, Ok(status)),
                    Err(e) => failed(self, Err(e)),
                }
            }
            WatchEffect::RequestProgress => {
                self.watch.iter().for_each(Watch::probe);
                None
            }
            WatchEffect::Disconnect { reason } => {
                (self.calls, self.watch) = (None, None);
                self.parts.clear();
                if reason == DisconnectReason::TimedOut {
                    self.lose("it fell silent");
                }
                None
            }
        }
    }

    /// The next thing that happens; none where news did not follow on what is held.
    async fn next(&mut self, take: &mut impl FnMut(RegistryUpdate) -> bool) -> Option<WatchInput> {
        let left = self.left();
        let Some(watch) = &mut self.watch else {
            tokio::time::sleep(left).await;
            return Some(WatchInput::Tick);
        };
        let message = match tokio::time::timeout(left, watch.down.message()).await {
            Err(_) => return Some(WatchInput::Tick),
            Ok(Ok(Some(message))) => message,
            Ok(Ok(None)) => {
                self.lose("the watch ended");
                return Some(WatchInput::ConnectionLost);
            }
            Ok(Err(status)) => {
                self.lose(&status.to_string());
                return Some(WatchInput::ConnectionLost);
            }
        };
        if message.compact_revision > 0 {
            tracing::info!(
                "registry: revision {} is compacted; reading the whole list",
                message.compact_revision
            );
            self.watch = None;
            return Some(WatchInput::Compacted);
        }
        if message.canceled {
            self.lose(&format!(
                "the watch was cancelled: {}",
                message.cancel_reason
            ));
            return Some(WatchInput::ConnectionLost);
        }
        let header = message.header.unwrap_or_default();
        let (cluster, revision) = (header.cluster_id, header.revision.max(0) as u64);
        if message.created {
            if std::mem::take(&mut self.lost) {
                tracing::info!("registry: it is back");
            }
            return Some(WatchInput::WatchCreated);
        }
        for event in message.events {
            let put = event.r#type == proto::EventType::Put as i32;
            if let Some(item) = self.item(event.kv, put) {
                self.parts.push(item);
            }
        }
        if message.fragment {
            return Some(WatchInput::Fragment);
        }
        let items = std::mem::take(&mut self.parts);
        // The header may be ahead of the events that come with it: what is proven is what they reach, and a notice
        // without events proves its whole revision.
        let reached = items
            .iter()
            .map(|item| item.revision)
            .max()
            .unwrap_or(revision);
        if !take(RegistryUpdate::Changes {
            cluster,
            revision: reached,
            items,
        }) {
            return None;
        }
        Some(WatchInput::Progress {
            cluster,
            revision: reached,
        })
    }

    fn item(&mut self, kv: Option<proto::KeyValue>, put: bool) -> Option<MemberUpdate> {
        let kv = kv?;
        let prefix = self.settings.prefix.as_bytes();
        // A key that is no text can't be a member's id, and one without the prefix was not asked for.
        let id = String::from_utf8(kv.key.strip_prefix(prefix)?.to_vec())
            .ok()
            .filter(|id| !id.is_empty())?;
        let entry = match put.then(|| MemberRecord::parse(&kv.value, &self.settings.allowed)) {
            None => None,
            Some(Ok(entry)) => {
                self.bad.remove(&id);
                Some(entry)
            }
            Some(Err(reason)) => {
                // Told once, and left out: the others stay.
                if self.bad.len() < TOLD && self.bad.insert(id.clone()) {
                    tracing::warn!("registry: {id} left out: {reason}");
                }
                None
            }
        };
        let revision = kv.mod_revision.max(0) as u64;
        Some(MemberUpdate {
            id,
            revision,
            create_revision: kv.create_revision.max(0) as u64,
            record: entry,
        })
    }

    /// Once a loss, however many tries it takes to get back.
    fn lose(&mut self, reason: &str) {
        if !std::mem::replace(&mut self.lost, true) {
            tracing::warn!("registry: lost: {reason}; the list stays as it was");
        }
    }
}
