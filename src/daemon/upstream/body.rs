//! Reads the body of an endpoint's response, either prefetching it into memory or streaming it to the client.
//!
//! At most the maximum prefetch length is held in memory.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::resources::limits::MAX_BODY_BYTES;
use crate::server::streaming_body::BodySender;

/// A response of unknown length is prefetched for this long before it is streamed. Most are complete by then.
const PREFETCH_TIMEOUT: Duration = Duration::from_millis(100);
/// A streamed response may make no progress for this long, on either side. Bounds how long an endpoint that stopped
/// sending or a client that stopped reading can occupy two connections.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The body of an endpoint's response.
pub(crate) type UpstreamBody = hyper::body::Incoming;

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
/// needs immediately, so it is prefetched for a short time only.
pub(super) async fn prefetch(body: &mut UpstreamBody) -> Option<Prefetched> {
    let mut received = BytesMut::new();
    let timeout = match body.size_hint().exact() {
        Some(_) => Duration::MAX,
        None => PREFETCH_TIMEOUT,
    };
    let prefetch_timeout = tokio::time::sleep(timeout);
    tokio::pin!(prefetch_timeout);
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = &mut prefetch_timeout, if !received.is_empty() => {
                return Some(Prefetched::partial(received.freeze()));
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

/// Reads the first chunk of a body that cannot be prefetched; `None` if the body is malformed.
pub(super) async fn first_chunk(body: &mut UpstreamBody) -> Option<Prefetched> {
    while let Some(frame) = body.frame().await {
        if let Ok(bytes) = frame.ok()?.into_data() {
            let is_complete = body.is_end_stream();
            return Some(Prefetched { bytes, is_complete });
        }
    }
    Some(Prefetched::complete(Bytes::new()))
}

/// Streams the rest of a body; false if the body is malformed, or if either side stalled or closed its connection.
pub(super) async fn forward(sender: BodySender, first: Bytes, body: &mut UpstreamBody) -> bool {
    if sender.send(first).await.is_err() {
        return false;
    }
    loop {
        let Ok(frame) = tokio::time::timeout(STREAM_IDLE_TIMEOUT, body.frame()).await else {
            return false;
        };
        let frame = match frame {
            None => break,
            Some(Err(_)) => return false,
            Some(Ok(frame)) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        match tokio::time::timeout(STREAM_IDLE_TIMEOUT, sender.send(data)).await {
            Ok(Ok(())) => {}
            _ => return false,
        }
    }
    sender.finish().await;
    true
}
