//! Sends the blocking queries of the state machine, and reports the lists of the responses.

use std::net::SocketAddr;
use std::time::Duration;

use applewall_membership::{
    Backoff, ClusterId, FullList, MemberRecord, MemberUpdate, Position, ReadConsistency,
    RecordError, Rejections, SourceInput,
};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;

use crate::blocking_query::{BlockingQuery, BlockingQueryMachine, QueryInput, QueryTiming};
use crate::client::{AgentConnection, KeyValue, ListResponse, QueryError};
use crate::settings::Settings;

/// The cluster id in the positions of a store. Stores have no cluster id; a reset of the history is detected by an
/// index that goes back.
const CLUSTER: ClusterId = ClusterId(0);

/// Upper bound of the delay after the first failure: a few round trips to an agent on the same machine.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Watches the store until the future is dropped. Each list that the state machine accepts is passed to `on_report`.
/// `seed` determines the random delays.
///
/// # Cancel safety
///
/// Dropping the future closes the connection. A list is passed on completely or not at all.
pub async fn watch(settings: &Settings, seed: u64, mut on_report: impl FnMut(SourceInput)) {
    let Some(agent) = settings.agent else {
        return std::future::pending().await;
    };
    let timing = QueryTiming {
        wait_ms: u64::try_from(settings.wait.0.as_millis()).unwrap_or(u64::MAX),
        backoff: Backoff {
            initial: INITIAL_BACKOFF,
            max: settings.backoff.0,
        },
    };
    let mut machine = BlockingQueryMachine::new(timing, seed);
    let mut watcher = Watcher {
        settings,
        agent,
        connection: None,
        rejections: Rejections::default(),
        loss_logged: false,
    };
    loop {
        let query = machine.next_query();
        let response = watcher.query(&query).await;
        let output = machine.handle(query_input(response.as_ref()));
        if let (Some(consistency), Some(response)) = (output.apply_list, response) {
            on_report(watcher.full_list(consistency, response));
        }
        tokio::time::sleep(output.next_query_after).await;
    }
}

fn query_input(response: Option<&ListResponse>) -> QueryInput {
    response.map_or(QueryInput::Failed, |response| QueryInput::List {
        index: response.index,
        leader_known: response.leader_known,
    })
}

struct Watcher<'settings> {
    settings: &'settings Settings,
    agent: SocketAddr,
    /// The connection of the last query, if its whole response was read.
    connection: Option<AgentConnection>,
    rejections: Rejections,
    /// Whether the current loss of the watch was logged; false while queries succeed.
    loss_logged: bool,
}

impl Watcher<'_> {
    /// Sends a query; returns `None` if it failed.
    async fn query(&mut self, query: &BlockingQuery) -> Option<ListResponse> {
        let patience = self.settings.patience.0;
        let timeout = match query.index {
            None => patience,
            Some(_) => Duration::from_millis(query.wait_ms) + patience,
        };
        let response = tokio::time::timeout(timeout, self.try_query(query)).await;
        match response.unwrap_or(Err(QueryError::TimedOut)) {
            Ok(response) => Some(response),
            Err(error) => {
                self.log_loss(&error);
                None
            }
        }
    }

    /// Logs a loss of the watch once, independently of the number of reconnect attempts.
    fn log_loss(&mut self, error: &QueryError) {
        if !std::mem::replace(&mut self.loss_logged, true) {
            tracing::warn!(agent = %self.agent, %error, "consul watch lost");
        }
    }

    async fn try_query(&mut self, query: &BlockingQuery) -> Result<ListResponse, QueryError> {
        // The connection is put back after the query: it cannot be reused unless the whole response was read.
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => AgentConnection::open(self.agent, self.settings).await?,
        };
        let response = connection.query(&self.settings.prefix, query).await?;
        self.connection = Some(connection);
        Ok(response)
    }

    /// Converts a response to the report of a full list, and logs that the watch has recovered if its loss was logged.
    fn full_list(&mut self, consistency: ReadConsistency, response: ListResponse) -> SourceInput {
        if std::mem::take(&mut self.loss_logged) {
            tracing::info!(agent = %self.agent, "consul watch recovered");
        }
        let entries = response.entries.into_iter();
        SourceInput::FullList(FullList {
            position: Position {
                cluster: CLUSTER,
                revision: response.index,
            },
            consistency,
            updates: entries
                .filter_map(|entry| self.member_update(entry))
                .collect(),
        })
    }

    /// Converts a key to an update of its member; `None` if the key does not belong to a member.
    fn member_update(&mut self, entry: KeyValue) -> Option<MemberUpdate> {
        let id = entry.key.strip_prefix(&self.settings.prefix)?;
        if id.is_empty() {
            return None;
        }
        let value = entry.value.unwrap_or_default();
        let parsed = self.parse_record(&value);
        let record = self.rejections.check(id, parsed);
        if let Err(Some(error)) = &record {
            tracing::warn!(member = id, %error, "consul member rejected");
        }
        Some(MemberUpdate {
            id: id.to_string(),
            revision: entry.modify_index,
            create_revision: entry.create_index,
            record: record.ok(),
        })
    }

    /// Parses a member's record from its base64 text.
    fn parse_record(&self, value: &str) -> Result<MemberRecord, ValueError> {
        let value = STANDARD.decode(value)?;
        Ok(MemberRecord::parse(&value, &self.settings.allowed)?)
    }
}

/// Why the value of a key is not a valid record, for the log.
#[derive(Debug, thiserror::Error)]
enum ValueError {
    #[error("value is not base64: {0}")]
    Base64(#[from] base64::DecodeError),
    #[error(transparent)]
    Record(#[from] RecordError),
}
