//! Reads the body of a client's request, within the memory and the time that it may take.
//!
//! Owner: the request handler, for one request. Input: hyper's body. Output: the complete body, or the response to a client
//! that did not send one. Invariant: the bytes of all waiting bodies are bounded by one semaphore, whose permits are
//! returned when the bodies are dropped.

use std::sync::Arc;
use std::time::{Duration, Instant};

use applewall_slow_peer::socket::TransferMonitor;
use applewall_slow_peer::{IncomingStatus, IncomingTransfer, SlowPeerEvent};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::StatusCode;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::clock::Clock;
use crate::observability::event_counts::{self, CountedEvent};
use crate::resources::limits::MAX_BODY_BYTES;
use crate::server::connection_table::MonitoredTransfer;
use crate::server::response::ClientResponse;

/// A body has to be complete this long after its head, where slow-peer protection sets no other time: bounds how long a
/// slow client can hold permits for memory.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// How much of a request's body was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyState {
    /// Not all of it.
    Unread,
    /// All of it, in chunks: what follows it on the connection is not checked by the framing guard.
    Chunked,
    /// All of it, by its length; or there was none.
    Complete,
}

impl BodyState {
    /// The state before anything is read: complete where there is no body.
    pub(super) fn before_reading(body: &Incoming) -> Self {
        if body.is_end_stream() {
            BodyState::Complete
        } else {
            BodyState::Unread
        }
    }
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum BodyError {
    /// It is longer than [`MAX_BODY_BYTES`].
    #[error("the body is too large")]
    TooLarge,
    /// It ended early, or its framing is broken.
    #[error("the body is not whole")]
    Incomplete,
    /// It can't be complete in its time.
    #[error("the body came too slowly")]
    TooSlow,
}

impl BodyError {
    fn of_hyper(error: &(dyn std::error::Error + 'static)) -> Self {
        if error.is::<LengthLimitError>() {
            BodyError::TooLarge
        } else {
            BodyError::Incomplete
        }
    }
}

impl From<BodyError> for ClientResponse {
    fn from(error: BodyError) -> Self {
        let (status, reason) = match error {
            BodyError::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
            BodyError::Incomplete => (StatusCode::BAD_REQUEST, "the body is not whole"),
            BodyError::TooSlow => (StatusCode::REQUEST_TIMEOUT, "the body came too slowly"),
        };
        ClientResponse::Failed { status, reason }
    }
}

/// A complete body.
pub(super) struct ReceivedBody {
    /// Its bytes.
    pub bytes: Bytes,
    /// Permits for its bytes, returned when the body is dropped; `None` for an empty body.
    pub permit: Option<OwnedSemaphorePermit>,
    /// How it was framed.
    pub state: BodyState,
}

/// Reads one body.
pub(super) struct BodyReader<'a> {
    /// The clock of slow-peer protection.
    pub clock: Clock,
    /// One permit for each byte that all waiting bodies may take.
    pub permits: &'a Arc<Semaphore>,
    /// The connection as slow-peer protection knows it.
    pub monitored: Option<&'a MonitoredTransfer>,
    /// Whose request it is.
    pub customer: u64,
    /// When the head was read.
    pub arrived: Instant,
    /// When the request has to be answered.
    pub deadline: Instant,
}

impl BodyReader<'_> {
    /// Reads a complete body. An error is the response to the client.
    pub(super) async fn read(&self, body: Incoming) -> Result<ReceivedBody, ClientResponse> {
        if body.is_end_stream() {
            return Ok(ReceivedBody {
                bytes: Bytes::new(),
                permit: None,
                state: BodyState::Complete,
            });
        }
        let length = body.size_hint().exact();
        let permit = self.reserve_memory(length)?;
        let monitor = self.upload_monitor();
        let timeout = monitor.map_or(BODY_TIMEOUT, |monitor| monitor.settings().upload_time.0);
        let read_by = self.deadline.min(self.arrived + timeout);
        let collected = async {
            match monitor {
                Some(monitor) => self.collect_paced(body, monitor, read_by, length).await,
                None => collect(body).await,
            }
        };
        match tokio::time::timeout_at(read_by.into(), collected).await {
            Ok(Ok(bytes)) => Ok(ReceivedBody {
                bytes,
                permit: Some(permit),
                state: match length {
                    Some(_) => BodyState::Complete,
                    None => BodyState::Chunked,
                },
            }),
            Ok(Err(error)) => {
                self.record_if_too_slow(error);
                Err(error.into())
            }
            Err(_) => Err(BodyError::TooSlow.into()),
        }
    }

    /// Takes permits for a body of this length; a body of unknown length may take as many as the longest one.
    fn reserve_memory(&self, length: Option<u64>) -> Result<OwnedSemaphorePermit, ClientResponse> {
        let bytes = length.unwrap_or(MAX_BODY_BYTES as u64);
        if bytes > MAX_BODY_BYTES as u64 {
            return Err(BodyError::TooLarge.into());
        }
        let permits = self.permits.clone();
        permits.try_acquire_many_owned(bytes as u32).map_err(|_| {
            event_counts::count(CountedEvent::RejectedBodyMemory);
            ClientResponse::overloaded()
        })
    }

    /// Slow-peer protection, where it watches the data rate of request bodies.
    fn upload_monitor(&self) -> Option<&TransferMonitor> {
        self.monitored
            .map(|monitored| &*monitored.monitor)
            .filter(|monitor| monitor.settings().enabled.0)
    }

    /// Counts a body that slow-peer protection gave up.
    fn record_if_too_slow(&self, error: BodyError) {
        if let (BodyError::TooSlow, Some(monitored)) = (error, self.monitored) {
            let owner = monitored.owner(Some(self.customer));
            monitored
                .monitor
                .record(owner, SlowPeerEvent::RequestBodyTooSlow);
        }
    }

    /// Reads a body that is given up as soon as it stalls or can't be complete in time, which frees its memory early.
    async fn collect_paced(
        &self,
        body: Incoming,
        monitor: &TransferMonitor,
        read_by: Instant,
        length: Option<u64>,
    ) -> Result<Bytes, BodyError> {
        let (mut body, mut received) = (Limited::new(body, MAX_BODY_BYTES), BytesMut::new());
        let (now, read_by_ns) = (self.clock.now(), self.clock.nanos_at(read_by));
        let mut transfer = IncomingTransfer::new(monitor.settings(), now, read_by_ns, length);
        loop {
            let IncomingStatus::CheckAgainAt(check_at) = transfer.evaluate(self.clock.now()) else {
                return Err(BodyError::TooSlow);
            };
            let check_at = self.clock.instant(check_at).into();
            let Ok(frame) = tokio::time::timeout_at(check_at, body.frame()).await else {
                // The transfer is checked again.
                continue;
            };
            match frame {
                None => return Ok(received.freeze()),
                Some(Err(error)) => return Err(BodyError::of_hyper(&*error)),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        transfer.bytes_received(self.clock.now(), data.len() as u64);
                        received.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}

async fn collect(body: Incoming) -> Result<Bytes, BodyError> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => Err(BodyError::of_hyper(&*error)),
    }
}
