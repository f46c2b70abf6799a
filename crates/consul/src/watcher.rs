//! Carries out the blocking queries, and passes on the lists that they are answered with.

use std::net::SocketAddr;
use std::time::Duration;

use applewall_membership::{
    MemberRecord, MemberUpdate, Position, ReadConsistency, RecordError, Rejections, SourceInput,
};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;

use crate::blocking_query::{BlockingQueries, BlockingQuery, QueryOutcome};
use crate::client::{AgentConnection, KeyValue, ListAnswer, QueryError};
use crate::settings::Settings;

/// The cluster id of a store's positions: a store has none. An index that goes back shows one that began anew.
const CLUSTER: u64 = 0;

/// The first bound on the wait after a failure: a few round trips to an agent on the same machine.
const INITIAL_BACKOFF_NS: u64 = 20_000_000;

const NANOS_PER_MILLI: u64 = 1_000_000;

/// Watches the store for as long as it is polled; each list that is newer goes to `on_report`. `seed` draws the waits.
///
/// # Cancel safety
///
/// Dropping it drops the connection; a list is passed on whole or not at all.
pub async fn watch(settings: &Settings, seed: u64, mut on_report: impl FnMut(SourceInput)) {
    let Some(agent) = settings.agent else {
        return std::future::pending().await;
    };
    let mut queries = BlockingQueries::new(
        settings.wait.as_nanos() / NANOS_PER_MILLI,
        INITIAL_BACKOFF_NS,
        settings.backoff.as_nanos(),
        seed,
    );
    let mut watcher = Watcher {
        settings,
        agent,
        connection: None,
        rejections: Rejections::default(),
        lost: false,
    };
    loop {
        let query = queries.next_query();
        let answer = watcher.query(&query).await;
        let effect = queries.handle(outcome(answer.as_ref()));
        if let (Some(consistency), Some(answer)) = (effect.apply_list, answer) {
            on_report(watcher.report(consistency, answer));
        }
        tokio::time::sleep(Duration::from_nanos(effect.next_query_after_ns)).await;
    }
}

fn outcome(answer: Option<&ListAnswer>) -> QueryOutcome {
    answer.map_or(QueryOutcome::Failed, |answer| QueryOutcome::List {
        index: answer.index,
        leader_known: answer.leader_known,
    })
}

struct Watcher<'settings> {
    settings: &'settings Settings,
    agent: SocketAddr,
    /// The connection of the last query, if its answer was read completely.
    connection: Option<AgentConnection>,
    /// Malformed members that were logged.
    rejections: Rejections,
    /// The loss was logged, and the store is not back yet.
    lost: bool,
}

impl Watcher<'_> {
    /// Carries out a query; none where it failed.
    async fn query(&mut self, query: &BlockingQuery) -> Option<ListAnswer> {
        let patience = self.settings.patience.0;
        let timeout = match query.index {
            0 => patience,
            _ => Duration::from_millis(query.wait_ms) + patience,
        };
        let answer = tokio::time::timeout(timeout, self.try_query(query)).await;
        match answer.unwrap_or(Err(QueryError::NoAnswer)) {
            Ok(answer) => Some(answer),
            Err(reason) => {
                // One line for each loss, however many attempts it takes to reconnect.
                if !std::mem::replace(&mut self.lost, true) {
                    tracing::warn!("consul: connection lost, keeping the last list: {reason}");
                }
                None
            }
        }
    }

    async fn try_query(&mut self, query: &BlockingQuery) -> Result<ListAnswer, QueryError> {
        // Taken out: a connection whose answer was not read completely is of no further use.
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => AgentConnection::open(self.agent, self.settings).await?,
        };
        let answer = connection.query(&self.settings.prefix, query).await?;
        self.connection = Some(connection);
        Ok(answer)
    }

    fn report(&mut self, consistency: ReadConsistency, answer: ListAnswer) -> SourceInput {
        if std::mem::take(&mut self.lost) {
            tracing::info!("consul: connected again");
        }
        let entries = answer.entries.into_iter();
        SourceInput::FullList {
            position: Position {
                cluster: CLUSTER,
                revision: answer.index,
            },
            consistency,
            updates: entries.filter_map(|entry| self.update(entry)).collect(),
        }
    }

    /// What a key says about a member; none where the key is no member's.
    fn update(&mut self, entry: KeyValue) -> Option<MemberUpdate> {
        let id = entry.key.strip_prefix(&self.settings.prefix)?;
        if id.is_empty() {
            return None;
        }
        let value = entry.value.unwrap_or_default();
        let parsed = self.record(&value);
        let record = self.rejections.check(id, parsed);
        if let Err(Some(error)) = &record {
            tracing::warn!("consul: member {id} rejected: {error}");
        }
        Some(MemberUpdate {
            id: id.to_string(),
            revision: entry.modify_index,
            create_revision: entry.create_index,
            record: record.ok(),
        })
    }

    fn record(&self, value: &str) -> Result<MemberRecord, ValueError> {
        let value = STANDARD.decode(value)?;
        Ok(MemberRecord::parse(&value, &self.settings.allowed)?)
    }
}

/// Why a key's value is no member's record, for the log.
#[derive(Debug, thiserror::Error)]
enum ValueError {
    #[error(transparent)]
    Base64(#[from] base64::DecodeError),
    #[error(transparent)]
    Record(#[from] RecordError),
}
