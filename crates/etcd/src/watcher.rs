//! Performs the actions of the watch's state machine, and converts the registry's responses to reports.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use applewall_etcd_proto as proto;
use applewall_membership::{
    Backoff, ClusterId, DisconnectReason, FullList, MemberRecord, MemberUpdate, Position,
    ReadConsistency, Rejections, SourceInput, SourceOutput, WatchInput, WatchMachine, WatchOutput,
    WatchTiming,
};
use tonic::Status;

use crate::client::{RegistryClient, Watch};
use crate::settings::Settings;

/// Upper bound of the delay before the first reconnect: a few round trips to a nearby registry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Why the watch was lost, for the log.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("token file {path} cannot be read: {source}")]
    TokenFile {
        path: String,
        source: std::io::Error,
    },
    #[error("no response within the timeout")]
    TimedOut,
    #[error(transparent)]
    Status(#[from] Status),
    #[error("registry closed the watch stream")]
    StreamEnded,
    #[error("registry cancelled the watch: {0}")]
    Cancelled(String),
    #[error("no progress notification within the timeout")]
    NoProgress,
}

/// Watches the registry until the future is dropped. Each report is passed to `on_report` once and in order; if it
/// returns [`SourceOutput::Gap`], the full list is read again. `position` is that of the restored snapshot, if there is
/// one. `seed` determines the random delays and the first endpoint.
///
/// # Cancel safety
///
/// Dropping the future closes the connection. A report is passed on completely or not at all.
pub async fn watch(
    settings: &Settings,
    seed: u64,
    position: Option<Position>,
    on_report: impl FnMut(SourceInput) -> SourceOutput,
) {
    let timing = WatchTiming {
        progress_interval: settings.probe.0,
        response_timeout: settings.patience.0,
        backoff: Backoff {
            initial: INITIAL_BACKOFF,
            max: settings.backoff.0,
        },
        full_read_jitter: settings.spread.0,
    };
    let now = Instant::now();
    let mut watcher = Watcher {
        settings,
        on_report,
        machine: WatchMachine::new(now, timing, seed, position),
        address: None,
        client: None,
        watch: None,
        fragments: Vec::new(),
        rejections: Rejections::default(),
        loss_logged: false,
    };
    let mut outputs = watcher.machine.handle(now, WatchInput::Tick);
    loop {
        for output in std::mem::take(&mut outputs) {
            if let Some(input) = watcher.perform(output).await {
                outputs.extend(watcher.handle(input));
            }
        }
        if outputs.is_empty() {
            outputs = watcher.wait().await;
        }
    }
}

struct Watcher<'settings, F> {
    settings: &'settings Settings,
    on_report: F,
    machine: WatchMachine,
    /// The endpoint of the connection or of the last attempt, for the log.
    address: Option<SocketAddr>,
    client: Option<RegistryClient>,
    watch: Option<Watch>,
    /// Changes of a fragmented response, until its last fragment arrives.
    fragments: Vec<MemberUpdate>,
    rejections: Rejections,
    /// Whether the current loss of the watch was logged; false while the watch is alive.
    loss_logged: bool,
}

impl<F: FnMut(SourceInput) -> SourceOutput> Watcher<'_, F> {
    /// The time left for the current call or delay.
    fn until_deadline(&self) -> Duration {
        let deadline = self.machine.next_deadline();
        deadline.saturating_duration_since(Instant::now())
    }

    fn handle(&mut self, input: WatchInput) -> Vec<WatchOutput> {
        self.machine.handle(Instant::now(), input)
    }

    /// Performs an action of the state machine; returns the result as an input, unless it arrives later on the watch.
    async fn perform(&mut self, output: WatchOutput) -> Option<WatchInput> {
        let input = match output {
            WatchOutput::Connect { endpoint } => self.connect(endpoint).await.map(Some),
            WatchOutput::ReadList => self.read_list().await,
            WatchOutput::Watch { from } => self.create_watch(from).await.map(|()| None),
            WatchOutput::RequestProgress => {
                if let Some(watch) = &self.watch {
                    watch.request_progress();
                }
                Ok(None)
            }
            WatchOutput::Disconnect { reason } => {
                self.disconnect(reason);
                Ok(None)
            }
        };
        input.unwrap_or_else(|error| {
            self.log_loss(&error);
            Some(WatchInput::ConnectionLost)
        })
    }

    fn disconnect(&mut self, reason: DisconnectReason) {
        self.client = None;
        self.watch = None;
        self.fragments.clear();
        if reason == DisconnectReason::TimedOut {
            self.log_loss(&WatchError::NoProgress);
        }
    }

    async fn connect(&mut self, endpoint: usize) -> Result<WatchInput, WatchError> {
        let timeout = self.until_deadline();
        let endpoints = &self.settings.endpoints.0;
        let address = endpoints[endpoint % endpoints.len().max(1)];
        self.address = Some(address);
        // The token is read for each connection, so that it can be replaced while the process is running.
        let token = self
            .settings
            .token_file
            .as_deref()
            .map(read_token)
            .transpose()?;
        let connect = RegistryClient::connect(address, timeout, token.as_deref());
        self.client = Some(with_timeout(timeout, connect).await?);
        Ok(WatchInput::Connected)
    }

    async fn read_list(&mut self) -> Result<Option<WatchInput>, WatchError> {
        let timeout = self.until_deadline();
        let Some(client) = self.client.clone() else {
            return Ok(None);
        };
        let prefix = self.settings.prefix.as_bytes();
        let list = with_timeout(timeout, client.read_prefix(prefix)).await?;
        let position = position(list.header);
        let updates = list
            .kvs
            .into_iter()
            .filter_map(|kv| self.member_update(kv, proto::EventType::Put))
            .collect();
        // The outcome is ignored: a consistent list is always applied.
        (self.on_report)(SourceInput::FullList(FullList {
            position,
            consistency: ReadConsistency::Consistent,
            updates,
        }));
        Ok(Some(WatchInput::ListRead(position)))
    }

    async fn create_watch(&mut self, from: u64) -> Result<(), WatchError> {
        let timeout = self.until_deadline();
        let Some(client) = self.client.clone() else {
            return Ok(());
        };
        self.fragments.clear();
        let prefix = self.settings.prefix.as_bytes();
        self.watch = Some(with_timeout(timeout, client.watch_prefix(prefix, from)).await?);
        Ok(())
    }

    /// Waits for the next response or the deadline; returns the resulting actions.
    async fn wait(&mut self) -> Vec<WatchOutput> {
        let timeout = self.until_deadline();
        let Some(watch) = &mut self.watch else {
            tokio::time::sleep(timeout).await;
            return self.handle(WatchInput::Tick);
        };
        let error = match tokio::time::timeout(timeout, watch.responses.message()).await {
            Err(_) => return self.handle(WatchInput::Tick),
            Ok(Ok(Some(response))) => return self.handle_response(response),
            Ok(Ok(None)) => WatchError::StreamEnded,
            Ok(Err(status)) => status.into(),
        };
        self.connection_lost(&error)
    }

    fn handle_response(&mut self, response: proto::WatchResponse) -> Vec<WatchOutput> {
        if response.compact_revision > 0 {
            let revision = response.compact_revision;
            tracing::info!(revision, "registry watch compacted, full list needed");
            self.watch = None;
            return self.handle(WatchInput::Compacted);
        }
        if response.canceled {
            return self.connection_lost(&WatchError::Cancelled(response.cancel_reason));
        }
        if response.created {
            if std::mem::take(&mut self.loss_logged) {
                tracing::info!(
                    address = self.address.map(display),
                    "registry watch recovered"
                );
            }
            return self.handle(WatchInput::WatchCreated);
        }
        for event in response.events {
            let kind = if event.r#type == proto::EventType::Put as i32 {
                proto::EventType::Put
            } else {
                proto::EventType::Delete
            };
            let update = event.kv.and_then(|kv| self.member_update(kv, kind));
            self.fragments.extend(update);
        }
        if response.fragment {
            return self.handle(WatchInput::Fragment);
        }
        self.report_changes(position(response.header))
    }

    /// Reports the changes of a complete response, whose header has this position.
    fn report_changes(&mut self, header: Position) -> Vec<WatchOutput> {
        let updates = std::mem::take(&mut self.fragments);
        // The revision of the header may be ahead of the events in the response. With events, all changes are known
        // only up to the last event; without events, up to the revision of the header.
        let reached = updates.iter().map(|update| update.revision).max();
        let position = Position {
            revision: reached.unwrap_or(header.revision),
            ..header
        };
        match (self.on_report)(SourceInput::Changes { position, updates }) {
            SourceOutput::Gap => self.machine.invalidate(Instant::now()),
            SourceOutput::Applied | SourceOutput::Outdated => {
                self.handle(WatchInput::Progress(position))
            }
        }
    }

    /// Converts a key to an update of its member; `None` if the key does not belong to a member.
    fn member_update(
        &mut self,
        kv: proto::KeyValue,
        kind: proto::EventType,
    ) -> Option<MemberUpdate> {
        let prefix = self.settings.prefix.as_bytes();
        // A member's id is UTF-8; a key without the prefix was not requested.
        let id = String::from_utf8(kv.key.strip_prefix(prefix)?.to_vec()).ok()?;
        if id.is_empty() {
            return None;
        }
        let record = match kind {
            proto::EventType::Put => self.parse_record(&id, &kv.value),
            proto::EventType::Delete => None,
        };
        Some(MemberUpdate {
            id,
            revision: unsigned(kv.mod_revision),
            create_revision: unsigned(kv.create_revision),
            record,
        })
    }

    /// Parses a member's record. If it is rejected, returns `None` and logs the reason within the limits of
    /// [`Rejections`].
    fn parse_record(&mut self, id: &str, value: &[u8]) -> Option<MemberRecord> {
        let parsed = MemberRecord::parse(value, &self.settings.allowed);
        let record = self.rejections.check(id, parsed);
        if let Err(Some(error)) = &record {
            tracing::warn!(member = id, %error, "registry member rejected");
        }
        record.ok()
    }

    fn connection_lost(&mut self, error: &WatchError) -> Vec<WatchOutput> {
        self.log_loss(error);
        self.handle(WatchInput::ConnectionLost)
    }

    /// Logs a loss of the watch once, independently of the number of reconnect attempts.
    fn log_loss(&mut self, error: &WatchError) {
        if !std::mem::replace(&mut self.loss_logged, true) {
            tracing::warn!(address = self.address.map(display), %error, "registry watch lost");
        }
    }
}

fn read_token(path: &str) -> Result<String, WatchError> {
    std::fs::read_to_string(path).map_err(|source| WatchError::TokenFile {
        path: path.to_string(),
        source,
    })
}

async fn with_timeout<T>(
    timeout: Duration,
    call: impl std::future::Future<Output = Result<T, Status>>,
) -> Result<T, WatchError> {
    match tokio::time::timeout(timeout, call).await {
        Ok(response) => Ok(response?),
        Err(_) => Err(WatchError::TimedOut),
    }
}

fn position(header: Option<proto::ResponseHeader>) -> Position {
    let header = header.unwrap_or_default();
    Position {
        cluster: ClusterId(header.cluster_id),
        revision: unsigned(header.revision),
    }
}

/// Converts a revision, which is signed in the protocol but never negative.
fn unsigned(revision: i64) -> u64 {
    u64::try_from(revision).unwrap_or(0)
}
