//! Reads the body of a client's request, within limits of memory and time.
//!
//! The memory of all pending bodies is bounded by one semaphore, whose permits are released when the bodies are
//! dropped.

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
use crate::system::http_body;

/// A body has to be complete within this time after its head, unless slow-peer protection sets another limit. Bounds
/// how long a slow client can hold memory permits.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// How much of a request's body has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyState {
    /// The body has not been read completely.
    Unread,
    /// A chunked body has been read completely. The framing guard does not check the input that follows it.
    Chunked,
    /// A body with a Content-Length has been read completely, or there is no body.
    Complete,
}

impl BodyState {
    /// The state before anything has been read: complete if there is no body.
    pub(super) fn before_reading(body: &Incoming) -> Self {
        if body.is_end_stream() {
            BodyState::Complete
        } else {
            BodyState::Unread
        }
    }
}

/// The reason for which a body was not read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum BodyError {
    /// It is longer than [`MAX_BODY_BYTES`].
    #[error("request body exceeds {MAX_BODY_BYTES} bytes")]
    TooLarge,
    /// It ended early, or its framing is malformed.
    #[error("request body truncated or malformed")]
    Incomplete,
    /// It stalled, or could not be complete within its time limit.
    #[error("request body not received in time")]
    TooSlow,
}

impl BodyError {
    fn from_hyper(error: &(dyn std::error::Error + 'static)) -> Self {
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

/// A body that was read completely, and the memory reserved for it.
pub(super) struct ReceivedBody {
    /// The contents without transfer coding; empty if the request has no body.
    pub bytes: Bytes,
    /// Memory permits, released when the body is dropped; `None` for an empty body.
    pub permit: Option<OwnedSemaphorePermit>,
    /// Whether the body was chunked.
    pub state: BodyState,
}

/// Reads the body of one request.
pub(super) struct BodyReader<'a> {
    /// The clock of slow-peer protection.
    pub clock: Clock,
    /// Bounds the memory of all pending bodies: one permit per byte.
    pub permits: &'a Arc<Semaphore>,
    /// The connection's registration with slow-peer protection; `None` if that is disabled.
    pub monitored: Option<&'a MonitoredTransfer>,
    /// The customer to whom a slow-peer event is attributed.
    pub customer: u64,
    /// When the head was read.
    pub arrived: Instant,
    /// Deadline for the response to the request.
    pub deadline: Instant,
}

impl BodyReader<'_> {
    /// Reads a complete body. An error is the response for the client.
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
                Some(monitor) => self.collect_monitored(body, monitor, read_by, length).await,
                None => {
                    // The permits are for this many bytes.
                    let capacity = length.map_or(MAX_BODY_BYTES, |length| length as usize);
                    let read = http_body::read(body, MAX_BODY_BYTES, capacity).await;
                    read.map_err(|error| BodyError::from_hyper(&*error))
                }
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

    /// Acquires memory permits for a body of this length. A body of unknown length needs permits for the maximum
    /// length.
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

    /// The transfer monitor, if it enforces a minimum data rate for request bodies.
    fn upload_monitor(&self) -> Option<&TransferMonitor> {
        self.monitored
            .map(|monitored| &*monitored.monitor)
            .filter(|monitor| monitor.settings().enabled.0)
    }

    /// Counts a body that was abandoned by slow-peer protection.
    fn record_if_too_slow(&self, error: BodyError) {
        if let (BodyError::TooSlow, Some(monitored)) = (error, self.monitored) {
            let owner = monitored.owner(Some(self.customer));
            monitored
                .monitor
                .record(owner, SlowPeerEvent::RequestBodyTooSlow);
        }
    }

    /// Reads a body, and abandons it as soon as it stalls or cannot be complete in time, which frees its memory early.
    async fn collect_monitored(
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
                // The timeout only means that the transfer has to be evaluated again.
                continue;
            };
            match frame {
                None => return Ok(received.freeze()),
                Some(Err(error)) => return Err(BodyError::from_hyper(&*error)),
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
