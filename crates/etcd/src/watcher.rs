//! Carries out what the watch's state machine decides, and passes on what the registry reports.

use std::time::{Duration, Instant};

use applewall_etcd_proto as proto;
use applewall_membership::{
    ApplyOutcome, DisconnectReason, MemberRecord, MemberUpdate, Position, ReadConsistency,
    Rejections, SourceInput, WatchEffect, WatchInput, WatchMachine, WatchTiming,
};
use tonic::Status;

use crate::client::{RegistryClient, Watch};
use crate::settings::Settings;

/// The first bound on the wait before a reconnect: a few round trips to a registry nearby.
const INITIAL_BACKOFF_NS: u64 = 20_000_000;

/// Why the registry counts as lost, for the log.
#[derive(Debug, thiserror::Error)]
enum LossReason {
    #[error("{path}: {source}")]
    TokenFile {
        path: String,
        source: std::io::Error,
    },
    #[error("no answer in time")]
    NoAnswer,
    #[error(transparent)]
    Status(#[from] Status),
    #[error("the watch ended")]
    WatchEnded,
    #[error("the watch was cancelled: {0}")]
    WatchCancelled(String),
    #[error("no sign that the watch is alive")]
    Silent,
}

/// Watches the registry for as long as it is polled. Each report goes to `on_report` once and in order; where that
/// reports a gap, the list is read again. `position` is where an earlier process got to, `seed` draws the waits and the
/// first endpoint.
///
/// # Cancel safety
///
/// Dropping it drops the connection; a report is passed on whole or not at all.
pub async fn watch(
    settings: &Settings,
    seed: u64,
    position: Option<Position>,
    on_report: impl FnMut(SourceInput) -> ApplyOutcome,
) {
    let timing = WatchTiming {
        progress_interval_ns: settings.probe.as_nanos(),
        response_timeout_ns: settings.patience.as_nanos(),
        initial_backoff_ns: INITIAL_BACKOFF_NS,
        max_backoff_ns: settings.backoff.as_nanos(),
        full_read_jitter_ns: settings.spread.as_nanos(),
    };
    let mut watcher = Watcher {
        settings,
        on_report,
        machine: WatchMachine::new(timing, seed, position),
        started: Instant::now(),
        client: None,
        watch: None,
        fragments: Vec::new(),
        rejections: Rejections::default(),
        lost: false,
    };
    let mut effects = watcher.machine.handle(0, WatchInput::Tick);
    loop {
        for effect in std::mem::take(&mut effects) {
            if let Some(input) = watcher.carry_out(effect).await {
                effects.extend(watcher.handle(input));
            }
        }
        if effects.is_empty() {
            effects = watcher.wait().await;
        }
    }
}

struct Watcher<'settings, F> {
    settings: &'settings Settings,
    on_report: F,
    machine: WatchMachine,
    started: Instant,
    client: Option<RegistryClient>,
    watch: Option<Watch>,
    /// Changes of a fragmented answer, until its last fragment.
    fragments: Vec<MemberUpdate>,
    /// Malformed members that were logged.
    rejections: Rejections,
    /// The loss was logged, and the registry is not back yet.
    lost: bool,
}

impl<F: FnMut(SourceInput) -> ApplyOutcome> Watcher<'_, F> {
    fn now_ns(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_nanos()).unwrap_or(u64::MAX)
    }

    fn until_deadline(&self) -> Duration {
        Duration::from_nanos(self.machine.next_deadline().saturating_sub(self.now_ns()))
    }

    fn handle(&mut self, input: WatchInput) -> Vec<WatchEffect> {
        let now_ns = self.now_ns();
        self.machine.handle(now_ns, input)
    }

    /// Carries out an effect; returns what came of it, where that is known at once.
    async fn carry_out(&mut self, effect: WatchEffect) -> Option<WatchInput> {
        let input = match effect {
            WatchEffect::Connect { endpoint } => self.connect(endpoint).await.map(Some),
            WatchEffect::ReadList => self.read_list().await,
            WatchEffect::Watch { from } => self.create_watch(from).await.map(|()| None),
            WatchEffect::RequestProgress => {
                self.watch.iter().for_each(Watch::request_progress);
                Ok(None)
            }
            WatchEffect::Disconnect { reason } => {
                (self.client, self.watch) = (None, None);
                self.fragments.clear();
                if reason == DisconnectReason::TimedOut {
                    self.log_loss(&LossReason::Silent);
                }
                Ok(None)
            }
        };
        input.unwrap_or_else(|reason| {
            self.log_loss(&reason);
            Some(WatchInput::ConnectionLost)
        })
    }

    async fn connect(&mut self, endpoint: usize) -> Result<WatchInput, LossReason> {
        let timeout = self.until_deadline();
        let endpoints = &self.settings.endpoints.0;
        let address = endpoints[endpoint % endpoints.len().max(1)];
        // Read at each connection, so that a token can be replaced while the program runs.
        let read = |path: &String| {
            std::fs::read_to_string(path).map_err(|source| LossReason::TokenFile {
                path: path.clone(),
                source,
            })
        };
        let token = self.settings.token_file.as_ref().map(read).transpose()?;
        let connect = RegistryClient::connect(address, timeout, token.as_deref());
        self.client = Some(in_time(timeout, connect).await?);
        Ok(WatchInput::Connected)
    }

    async fn read_list(&mut self) -> Result<Option<WatchInput>, LossReason> {
        let timeout = self.until_deadline();
        let Some(client) = self.client.clone() else {
            return Ok(None);
        };
        let prefix = self.settings.prefix.as_bytes();
        let list = in_time(timeout, client.read_prefix(prefix)).await?;
        let position = position(list.header);
        let updates = list
            .kvs
            .into_iter()
            .filter_map(|kv| self.update(kv, proto::EventType::Put))
            .collect();
        // A consistent list always applies.
        (self.on_report)(SourceInput::FullList {
            position,
            consistency: ReadConsistency::Consistent,
            updates,
        });
        Ok(Some(WatchInput::ListRead(position)))
    }

    async fn create_watch(&mut self, from: u64) -> Result<(), LossReason> {
        let timeout = self.until_deadline();
        let Some(client) = self.client.clone() else {
            return Ok(());
        };
        self.fragments.clear();
        let prefix = self.settings.prefix.as_bytes();
        self.watch = Some(in_time(timeout, client.watch_prefix(prefix, from)).await?);
        Ok(())
    }

    /// Waits for the next thing that happens; returns what to do about it.
    async fn wait(&mut self) -> Vec<WatchEffect> {
        let timeout = self.until_deadline();
        let Some(watch) = &mut self.watch else {
            tokio::time::sleep(timeout).await;
            return self.handle(WatchInput::Tick);
        };
        let reason = match tokio::time::timeout(timeout, watch.responses.message()).await {
            Err(_) => return self.handle(WatchInput::Tick),
            Ok(Ok(Some(response))) => return self.respond_to(response),
            Ok(Ok(None)) => LossReason::WatchEnded,
            Ok(Err(status)) => status.into(),
        };
        self.lose(&reason)
    }

    fn respond_to(&mut self, response: proto::WatchResponse) -> Vec<WatchEffect> {
        if response.compact_revision > 0 {
            let revision = response.compact_revision;
            tracing::info!(
                revision,
                "registry: revision compacted, reading the full list"
            );
            self.watch = None;
            return self.handle(WatchInput::Compacted);
        }
        if response.canceled {
            return self.lose(&LossReason::WatchCancelled(response.cancel_reason));
        }
        if response.created {
            if std::mem::take(&mut self.lost) {
                tracing::info!("registry: connected again");
            }
            return self.handle(WatchInput::WatchCreated);
        }
        for event in response.events {
            let kind = match event.r#type == proto::EventType::Put as i32 {
                true => proto::EventType::Put,
                false => proto::EventType::Delete,
            };
            let update = event.kv.and_then(|kv| self.update(kv, kind));
            self.fragments.extend(update);
        }
        if response.fragment {
            return self.handle(WatchInput::Fragment);
        }
        self.pass_on_changes(position(response.header))
    }

    /// Passes on the changes of a complete answer, whose header has this position.
    fn pass_on_changes(&mut self, header: Position) -> Vec<WatchEffect> {
        let updates = std::mem::take(&mut self.fragments);
        // The header may be ahead of the events that come with it: they prove only what they reach. An answer without
        // events proves the revision of its header.
        let reached = updates.iter().map(|update| update.revision).max();
        let position = Position {
            revision: reached.unwrap_or(header.revision),
            ..header
        };
        match (self.on_report)(SourceInput::Changes { position, updates }) {
            ApplyOutcome::Gap => {
                let now_ns = self.now_ns();
                self.machine.invalidate(now_ns)
            }
            ApplyOutcome::Applied | ApplyOutcome::Outdated => {
                self.handle(WatchInput::Progress(position))
            }
        }
    }

    /// What a key's event says about a member; none where the key is no member's.
    fn update(&mut self, kv: proto::KeyValue, kind: proto::EventType) -> Option<MemberUpdate> {
        let prefix = self.settings.prefix.as_bytes();
        // A key that is no text cannot be a member's id, and one without the prefix was not asked for.
        let id = String::from_utf8(kv.key.strip_prefix(prefix)?.to_vec()).ok()?;
        if id.is_empty() {
            return None;
        }
        let record = match kind {
            proto::EventType::Put => self.record(&id, &kv.value),
            proto::EventType::Delete => None,
        };
        Some(MemberUpdate {
            id,
            revision: unsigned(kv.mod_revision),
            create_revision: unsigned(kv.create_revision),
            record,
        })
    }

    fn record(&mut self, id: &str, value: &[u8]) -> Option<MemberRecord> {
        let parsed = MemberRecord::parse(value, &self.settings.allowed);
        let record = self.rejections.check(id, parsed);
        if let Err(Some(error)) = &record {
            tracing::warn!("registry: member {id} rejected: {error}");
        }
        record.ok()
    }

    fn lose(&mut self, reason: &LossReason) -> Vec<WatchEffect> {
        self.log_loss(reason);
        self.handle(WatchInput::ConnectionLost)
    }

    /// One line for each loss, however many attempts it takes to reconnect.
    fn log_loss(&mut self, reason: &LossReason) {
        if !std::mem::replace(&mut self.lost, true) {
            tracing::warn!("registry: connection lost, keeping the last list: {reason}");
        }
    }
}

async fn in_time<T>(
    timeout: Duration,
    call: impl std::future::Future<Output = Result<T, Status>>,
) -> Result<T, LossReason> {
    match tokio::time::timeout(timeout, call).await {
        Ok(answer) => Ok(answer?),
        Err(_) => Err(LossReason::NoAnswer),
    }
}

fn position(header: Option<proto::ResponseHeader>) -> Position {
    let header = header.unwrap_or_default();
    Position {
        cluster: header.cluster_id,
        revision: unsigned(header.revision),
    }
}

/// Revisions are signed in the protocol, and never negative.
fn unsigned(revision: i64) -> u64 {
    u64::try_from(revision).unwrap_or(0)
}
