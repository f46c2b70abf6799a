//! Reads the body of an endpoint's response, either prefetching it into memory or streaming it to the client.
//!
//! At most the maximum prefetch length is held in memory.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::sync::OwnedSemaphorePermit;

use crate::resources::limits::MAX_BODY_BYTES;
use crate::server::streaming_body::{without_spare, BodySender};

/// A response of unknown length is prefetched for this long before it is streamed. Most are complete by then.
const PREFETCH_TIMEOUT: Duration = Duration::from_millis(100);
/// A streamed response may make no progress for this long, on either side. Bounds how long an endpoint that stopped
/// sending or a client that stopped reading can occupy two connections.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for the first byte of a body after its head alone was forwarded at the request's deadline. A response counts up to
/// half a second after the deadline.
const FIRST_BYTE_GRACE: Duration = Duration::from_millis(500);

/// The body of an endpoint's response.
pub(crate) type UpstreamBody = hyper::body::Incoming;

/// Bytes that count against a memory limit until they have been written or discarded.
struct CountedBytes {
    bytes: Bytes,
    /// One permit per byte.
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Keeps as many permits as there are bytes, until the last reference to the bytes is dropped, and returns the others.
pub(super) fn count(bytes: Bytes, permit: Option<OwnedSemaphorePermit>) -> Bytes {
    let kept = permit.and_then(|mut permit| permit.split(bytes.len()));
    match kept {
        Some(kept) if !bytes.is_empty() => Bytes::from_owner(CountedBytes {
            bytes: without_spare(bytes),
            _permit: kept,
        }),
        _ => bytes,
    }
}

/// The prefetched part of a body.
pub(super) struct Prefetched {
    /// The contents of the frames received so far.
    pub bytes: Bytes,
    /// Whether they are the complete body.
    pub is_complete: bool,
}

impl Prefetched {
    /// A body that has ended, so that nothing is left to stream.
    pub(super) fn complete(bytes: Bytes) -> Self {
        Prefetched {
            bytes,
            is_complete: true,
        }
    }

    /// The beginning of a body whose rest is not prefetched.
    pub(super) fn partial(bytes: Bytes) -> Self {
        Prefetched {
            bytes,
            is_complete: false,
        }
    }
}

/// Prefetches a body; `None` if it is malformed. A body of unknown length may be a stream whose first bytes the client
/// needs immediately, so it is prefetched for a short time only. If none has arrived by `forward_by`, there is nothing to
/// prefetch.
pub(super) async fn prefetch(body: &mut UpstreamBody, forward_by: Instant) -> Option<Prefetched> {
    let mut received = BytesMut::new();
    let has_unknown_length = body.size_hint().exact().is_none();
    let prefetch_timeout = tokio::time::sleep(PREFETCH_TIMEOUT);
    let nothing_received = tokio::time::sleep_until(forward_by.into());
    tokio::pin!(prefetch_timeout, nothing_received);
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = &mut prefetch_timeout, if has_unknown_length && !received.is_empty() => {
                return Some(Prefetched::partial(received.freeze()));
            }
            () = &mut nothing_received, if has_unknown_length && received.is_empty() => {
                return Some(Prefetched::partial(Bytes::new()));
            }
        };
        let Some(frame) = frame else {
            return Some(Prefetched::complete(received.freeze()));
        };
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        // Most bodies consist of one frame, which need not be copied.
        if received.is_empty() && body.is_end_stream() {
            return Some(Prefetched::complete(data));
        }
        received.extend_from_slice(&data);
        if received.len() > MAX_BODY_BYTES {
            return Some(Prefetched::partial(received.freeze()));
        }
    }
}

/// Reads the first chunk of a body that cannot be prefetched; `None` if the body is malformed. The chunk is empty if none
/// has arrived by `forward_by`.
pub(super) async fn first_chunk(
    body: &mut UpstreamBody,
    forward_by: Instant,
) -> Option<Prefetched> {
    loop {
        let frame = match tokio::time::timeout_at(forward_by.into(), body.frame()).await {
            Err(_) => return Some(Prefetched::partial(Bytes::new())),
            Ok(None) => return Some(Prefetched::complete(Bytes::new())),
            Ok(Some(frame)) => frame,
        };
        if let Ok(bytes) = frame.ok()?.into_data() {
            let is_complete = body.is_end_stream();
            return Some(Prefetched { bytes, is_complete });
        }
    }
}

/// Streams the rest of a body; false if the body is malformed, or if either side stalled or closed its connection.
pub(super) async fn forward(sender: BodySender, first: Bytes, body: &mut UpstreamBody) -> bool {
    let mut idle_timeout = if first.is_empty() {
        FIRST_BYTE_GRACE
    } else {
        STREAM_IDLE_TIMEOUT
    };
    if !first.is_empty() && sender.send(first).await.is_err() {
        return false;
    }
    // The client's side may be dropped after the last byte of a body of known length.
    while !body.is_end_stream() {
        let ready = tokio::time::timeout(STREAM_IDLE_TIMEOUT, sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            return false;
        }
        let Ok(frame) = tokio::time::timeout(idle_timeout, body.frame()).await else {
            return false;
        };
        idle_timeout = STREAM_IDLE_TIMEOUT;
        let frame = match frame {
            None => break,
            Some(Err(_)) => return false,
            Some(Ok(frame)) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if sender.send(data).await.is_err() {
            return false;
        }
    }
    sender.finish().await;
    true
}

#[cfg(test)]
mod tests;
