//! A watch: sends the events from the requested revision on, and new ones as they happen.

use std::sync::atomic::Ordering;

use applewall_etcd_proto as proto;
use proto::watch_request::Union;
use tokio::sync::{mpsc, watch};
use tonic::{Status, Streaming};

use super::EtcdServer;

/// Maximum number of events per response if the client accepts fragmented responses.
const MAX_FRAGMENT_EVENTS: usize = 16;

/// Channel for the responses of a watch.
pub(super) type Responses = mpsc::Sender<Result<proto::WatchResponse, Status>>;

/// The client closed the stream, or the watch was canceled.
struct Ended;

/// A watch after its creation.
struct Watch {
    server: EtcdServer,
    create: proto::WatchCreateRequest,
    requests: Streaming<proto::WatchRequest>,
    responses: Responses,
    revision: watch::Receiver<i64>,
    /// Lowest revision whose events have not been sent.
    next_revision: i64,
}

/// Serves a stream of watch requests. The first create request creates the watch; requests before it, and further create
/// requests, are ignored.
pub(super) async fn serve(
    server: EtcdServer,
    mut requests: Streaming<proto::WatchRequest>,
    responses: Responses,
) {
    let create = loop {
        match next_request(&mut requests).await {
            Ok(Union::Create(create)) => break create,
            Ok(Union::Progress(_) | Union::Cancel(_)) => {}
            Err(Ended) => return,
        }
    };
    server.calls.watches.fetch_add(1, Ordering::Relaxed);
    let revision = server.revision.subscribe();
    let header = server.store().header();
    let watch = Watch {
        next_revision: 0,
        create,
        requests,
        responses,
        revision,
        server,
    };
    let created = proto::WatchResponse {
        header,
        created: true,
        ..Default::default()
    };
    if watch.send(created).await.is_ok() {
        let Err(Ended) = watch.run().await;
    }
}

async fn next_request(requests: &mut Streaming<proto::WatchRequest>) -> Result<Union, Ended> {
    let message = requests.message().await;
    let request = message.ok().flatten().ok_or(Ended)?;
    request.request_union.ok_or(Ended)
}

impl Watch {
    async fn run(mut self) -> Result<std::convert::Infallible, Ended> {
        self.next_revision = match self.create.start_revision {
            1.. => self.create.start_revision,
            _ => self.server.store().revision + 1,
        };
        loop {
            self.send_events().await?;
            tokio::select! {
                changed = self.revision.changed() => changed.map_err(|_| Ended)?,
                request = next_request(&mut self.requests) => match request? {
                    Union::Progress(_) => self.send_progress().await?,
                    Union::Cancel(_) => return Err(Ended),
                    Union::Create(_) => {}
                },
            }
        }
    }

    /// Sends the events that have not been sent, or cancels the watch if some of them have been compacted.
    async fn send_events(&mut self) -> Result<(), Ended> {
        let (events, compacted, header) = {
            let store = self.server.store();
            let events = store.events(&self.create, self.next_revision);
            let compacted = (self.next_revision < store.compacted).then_some(store.compacted);
            self.next_revision = self.next_revision.max(store.revision + 1);
            (events, compacted, store.header())
        };
        if let Some(compact_revision) = compacted {
            self.server.calls.compacted.fetch_add(1, Ordering::Relaxed);
            let canceled = proto::WatchResponse {
                header,
                canceled: true,
                compact_revision,
                ..Default::default()
            };
            self.send(canceled).await?;
            return Err(Ended);
        }
        // A client that does not accept fragments gets all events in one response, so that no response ends within a
        // revision.
        let max_events = if self.create.fragment {
            MAX_FRAGMENT_EVENTS
        } else {
            events.len().max(1)
        };
        let fragments = events.chunks(max_events);
        let last = fragments.len().saturating_sub(1);
        for (index, fragment) in fragments.enumerate() {
            let response = proto::WatchResponse {
                header: header.clone(),
                fragment: index < last,
                events: fragment.to_vec(),
                ..Default::default()
            };
            self.send(response).await?;
        }
        Ok(())
    }

    /// Answers a progress request. If events have not been sent, there is no answer: the caller's loop sends these instead.
    async fn send_progress(&self) -> Result<(), Ended> {
        let calls = &self.server.calls;
        calls.progress.fetch_add(1, Ordering::Relaxed);
        let (header, behind) = {
            let store = self.server.store();
            (store.header(), self.next_revision <= store.revision)
        };
        if behind {
            return Ok(());
        }
        let progress = proto::WatchResponse {
            header,
            watch_id: -1,
            ..Default::default()
        };
        self.send(progress).await
    }

    async fn send(&self, response: proto::WatchResponse) -> Result<(), Ended> {
        self.responses.send(Ok(response)).await.map_err(|_| Ended)
    }
}
